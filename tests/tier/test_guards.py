"""Guards are proven by their removal: with one taken out, a known script of the model or a test fails."""

import testtools

from kestrelbend.tier.fleet import removals  # noqa: F401  (fills the registry)
from kestrelbend.tier.fleet.guards import GUARDS, UnknownGuard, find, locate, without
from kestrelbend.tier.model.scripts import SCRIPTS
from kestrelbend.tier.model.search import search

FOUND_BY_MODEL = {  # guard: script, faults
    "vote-on-disk": ("vote_lost_with_the_power", 0),
    "one-vote": ("orders", 0),
    "vote-for-full-logs": ("candidate_that_lags", 0),
    "entry-on-disk": ("newcomer_with_a_stalled_disk", 0),
    "own-entry-on-disk": ("owner_with_a_stalled_disk", 0),
    "own-epoch": ("entry_of_an_older_epoch", 1),
    "former-owner": ("former_owner_speaks", 0),
    "learner": ("newcomer_with_a_stalled_disk", 0),
    "group-step": ("two_changes_at_once", 0),
    "group-epoch": ("change_in_a_new_epoch", 0),
    "confirmed-read": ("owner_cut_off_reads", 0),
    "rounds": ("old_replies", 0),
    "check-quorum": ("owner_alone", 0),
    "stood-still": ("stood_still", 0),
    "contact": ("cut_off_and_current", 0),
    "current": ("cut_off_and_current", 0),
}


class TestGuards(testtools.TestCase):
    def test_each_guard_names_a_function_that_is_there(self):
        for guard in GUARDS.values():
            self.assertIsNotNone(locate(guard.target).present, guard.name)

    def test_an_unknown_guard_and_a_function_that_is_gone_are_errors(self):
        self.assertRaises(UnknownGuard, find, "no-such-guard")
        self.assertRaises(UnknownGuard, locate, "replication.owner:Ownership.no_such_function")

    def test_a_guard_is_back_afterwards(self):
        for guard in GUARDS.values():
            place = locate(guard.target)
            with without(guard.name):
                self.assertIsNot(place.present, locate(guard.target).present)
            self.assertIs(place.present, locate(guard.target).present)


class TestGuardsOfTheCore(testtools.TestCase):
    """The replication core's guards, found by the model."""

    def test_no_script_breaks_a_rule_with_all_guards_in_place(self):
        for name, script in SCRIPTS.items():
            self.assertEqual("", search(script, faults=0).broken, name)

    def test_each_removal_breaks_a_rule(self):
        for guard, (script, faults) in FOUND_BY_MODEL.items():
            with without(guard):
                found = search(SCRIPTS[script], faults)
            self.assertNotEqual("", found.broken, f"nothing finds the removal of {guard}")
