"""Guards are proven by their removal: with one taken out, a known script of the model or a test fails."""

import contextlib
import json
import multiprocessing
import unittest

import logbook
import testtools

from kestrelbend.tier.fleet import removals  # noqa: F401  (fills the registry)
from kestrelbend.tier.fleet.day import Day, play_day
from kestrelbend.tier.fleet.guards import GUARDS, UnknownGuard, find, locate, without
from kestrelbend.tier.model.orders import search_orders
from kestrelbend.tier.model.scripts import SCRIPTS
from kestrelbend.tier.model.search import search
from kestrelbend.tier.roles.gateway import RoutingHolder
from tests.tier.dataplane_world import STAMP, World

FOUND_BY_MODEL = {  # guard: script, faults
    "vote-on-disk": ("vote_lost_with_the_power", 0),
    "one-vote": ("orders", 0),
    "vote-for-full-logs": ("candidate_that_lags", 0),
    "entry-on-disk": ("follower_with_a_stalled_disk", 0),
    "own-entry-on-disk": ("owner_with_a_stalled_disk", 0),
    "own-epoch": ("entry_of_an_older_epoch", 1),
    "former-owner": ("former_owner_speaks", 0),
    "learner": ("newcomer_with_a_stalled_disk", 0),
    "group-step": ("two_changes_at_once", 0),
    "group-epoch": ("change_in_a_new_epoch", 0),
    "confirmed-read": ("owner_cut_off_reads", 0),
    "read-after-first-entry": ("new_owner_reads", 0),
    "rounds": ("old_replies", 0),
    "check-quorum": ("owner_alone", 0),
    "stood-still": ("stood_still", 0),
    "contact": ("cut_off_and_current", 0),
    "current": ("cut_off_and_current", 0),
}

FOUND_BY_MODEL_OF_ORDERS = {"confirmed-refusal": "orders_at_a_former_owner", "order-name": "orders_race"}
FOUND_BY_TEST = {
    "placement-number": "test_replication_placement.TestPlacementNumbers"
    ".test_given_a_restarted_owner_when_an_old_directory_comes_then_the_group_stays",
    "placement-order": "test_configuration_state.OrdersTest"
    ".test_given_a_placement_in_force_then_only_the_next_number_takes_its_place",
    "settled": "test_replication_placement.TestSettled"
    ".test_given_a_change_that_is_not_committed_then_the_group_before_is_told_and_it_is_not_settled",
    "emptied": "test_configuration_state.EmptyingTest"
    ".test_given_an_order_and_nothing_heard_then_the_state_is_running",
    "emptied-identity": "test_storage_journal.DataFolderTest"
    ".test_given_an_emptied_disk_when_started_then_it_is_another_and_stays_so",
    "reservation-first": "test_dataplane_streams.Budgets.test_a_spent_budget_is_402_without_a_send",
    "reservation-name": "test_budgets_table.BudgetTest"
    ".test_given_an_outcome_when_the_command_is_repeated_then_it_is_the_same_and_adds_nothing",
    "instance": "test_dataplane_requests.Passing"
    ".test_method_path_query_body_and_headers_reach_the_backend_unchanged",
    "answer-id": "test_guards.TestAnswers.test_an_answer_that_names_no_request_or_two_is_given_to_nobody",
    "gateway-refusal": "test_gateway_contact_stories.TestCutOff.test_a_gateway_without_a_disk_is_cut_off",
    "version-order": "test_guards.TestVersions.test_an_older_version_is_not_put_in_force",
}

DAY_OF_A_LONG_CUT = "1:0/long_cut"
FOUND_BY_DAY = ("contact", "current", "leaving-vouched")  # the first two are known to the model, too


class TestGuards(testtools.TestCase):
    def test_each_guard_names_a_function_that_is_there(self):
        for guard in GUARDS.values():
            self.assertIsNotNone(locate(guard.target).present, guard.name)

    def test_an_unknown_guard_and_a_function_that_is_gone_are_errors(self):
        self.assertRaises(UnknownGuard, find, "no-such-guard")
        self.assertRaises(UnknownGuard, locate, "replication.owner:Ownership.no_such_function")

    def test_each_guard_is_found_by_something(self):
        finders = {*FOUND_BY_MODEL, *FOUND_BY_MODEL_OF_ORDERS, *FOUND_BY_TEST, *FOUND_BY_DAY}
        self.assertEqual(sorted(GUARDS), sorted(finders))

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

    def test_each_removal_breaks_a_rule_of_orders(self):
        for guard, script in FOUND_BY_MODEL_OF_ORDERS.items():
            with without(guard):
                found = search_orders(script, faults=0)
            self.assertNotEqual("", found.broken, f"nothing finds the removal of {guard}")


class TestGuardsOfTheRest(testtools.TestCase):
    """The other guards, each found by a test that passes with it and fails without it."""

    def test_each_removal_fails_its_test(self):
        for guard, name in FOUND_BY_TEST.items():
            self.assertTrue(passes(name), f"{name} fails")
            with without(guard):
                self.assertFalse(passes(name), f"{name} does not find the removal of {guard}")


class TestGuardsOfTheFleet(testtools.TestCase):
    """Guards whose removal a day of the in-memory fleet shows."""

    def test_each_removal_breaks_a_rule_of_the_watch(self):
        with multiprocessing.get_context("fork").Pool(len(FOUND_BY_DAY) + 1) as pool:
            failures = pool.map(failures_without, ("", *FOUND_BY_DAY), chunksize=1)
        self.assertEqual((), failures[0])
        for guard, found in zip(FOUND_BY_DAY, failures[1:], strict=True):
            self.assertNotEqual((), found, f"nothing finds the removal of {guard}")


def failures_without(guard):
    """The rules that a day breaks without a guard, or with all of them."""
    logbook.NullHandler().push_application()
    with without(guard) if guard else contextlib.nullcontext():
        return play_day(Day.read(DAY_OF_A_LONG_CUT)).failures


def passes(name):
    """Whether a test of this folder passes."""
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromName(f"tests.tier.{name}").run(result)
    return result.wasSuccessful()


class TestAnswers(testtools.TestCase):
    def test_an_answer_that_names_no_request_or_two_is_given_to_nobody(self):
        for names in ([], ["own", "other"]):
            world = World()
            world.backend("i-1").answers(answer_that_names(names))
            got = world.run(world.ask("/pay/x"))
            self.assertNotIn(b"foreign", got.body)


def answer_that_names(names):
    """An answer with these request ids, "own" for the one that was asked."""

    async def script(asked):
        own = asked.fields["x-kestrelbend-request-id"]
        lines = [f"X-Kestrelbend-Request-Id: {own if name == 'own' else name}".encode() for name in names]
        lines += [b"X-Kestrelbend-Server-Stamp: " + STAMP, b"Content-Length: 7", b"", b"foreign"]
        asked.connection.send(b"\r\n".join([b"HTTP/1.1 200 X", *lines]))

    return script


class TestVersions(testtools.TestCase):
    def test_an_older_version_is_not_put_in_force(self):
        holder = RoutingHolder()
        for version in (2, 1):
            document = {"Ver": version, "Routes": [], "Services": []}
            holder.take(version, json.dumps(document).encode())
        self.assertEqual(2, holder.version)
