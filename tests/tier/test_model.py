"""The model of the replication core and of orders: no run breaks a rule, with a fault at any step.

The quick bound looks at the first states of each script.  `MODEL=1` and more search all runs with so many
faults, as `kestrelbend lab model --depth` does.
"""

import os

import testtools
from cleo.testers.command_tester import CommandTester

from kestrelbend.command.lab_model import ModelVerb
from kestrelbend.command.outcome import FAILED
from kestrelbend.tier.model.orders import search_orders
from kestrelbend.tier.model.scripts import ORDER_SCRIPTS, SCRIPTS
from kestrelbend.tier.fleet import mutations  # noqa: F401  (fills the registry)
from kestrelbend.tier.fleet.guards import without
from kestrelbend.tier.model.search import Partition, merge_results, search
from tests.tier.forked_pool import forked_pool

DEPTH = int(os.environ.get("MODEL", "0"))
QUICK_STATES = 2500  # of each script


def search_script(name):
    if DEPTH:
        return search(SCRIPTS[name], DEPTH)
    return search(SCRIPTS[name], 1, QUICK_STATES)


def search_script_of_orders(name):
    return search_orders(name, DEPTH)


class TestModel(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pool = forked_pool(os.cpu_count())
        self.addCleanup(self.pool.terminate)

    def test_no_run_of_the_core_breaks_a_rule(self):
        found = self.pool.map(search_script, SCRIPTS, chunksize=1)
        self.assertEqual([], [one.summary() for one in found if one.violation])
        self.assertGreater(sum(one.states for one in found), 1000 * len(SCRIPTS))

    def test_no_run_with_orders_breaks_a_rule(self):
        found = self.pool.map(search_script_of_orders, ORDER_SCRIPTS, chunksize=1)
        self.assertEqual([], [one.summary() for one in found if one.violation])


class TestScripts(testtools.TestCase):
    """Without a fault each script comes to what it is about."""

    def test_voters_are_replaced_the_owner_too(self):
        groups = {
            name: search(SCRIPTS[name], 0).group
            for name in ("replace", "replace_owner", "emptied", "snapshot_to_newcomer")
        }
        expected = {
            "replace": ("a#1", "b#1", "d#1"),
            "replace_owner": ("d#1", "b#1", "c#1"),
            "emptied": ("a#1", "b#1", "c#2"),
            "snapshot_to_newcomer": ("a#1", "b#1", "d#1"),
        }
        self.assertEqual(expected, groups)


class TestShares(testtools.TestCase):
    def test_the_shares_of_a_search_cover_what_one_search_does(self):
        whole = search(SCRIPTS["old_replies"], 1)
        parts = [search(SCRIPTS["old_replies"], 1, partition=Partition(index, 3)) for index in range(3)]
        merged = merge_results(parts)
        alone = search(SCRIPTS["old_replies"], 0).states
        self.assertEqual((True, "", whole.longest), (merged.complete, merged.violation, merged.longest))
        self.assertGreaterEqual(merged.states - 2 * alone, whole.states)  # no state is left out
        self.assertTrue(all(alone < part.states < whole.states for part in parts))

    def test_the_shares_of_a_search_of_orders_play_each_run_once(self):
        whole = search_orders("orders_race", 0)
        parts = [search_orders("orders_race", 1, Partition(index, 400)) for index in (0, 1)]
        self.assertEqual(["", ""], [part.violation for part in parts])
        self.assertTrue(all(part.states > whole.states for part in parts))
        self.assertNotEqual(*(part.states for part in parts))

    def test_what_one_share_finds_is_told(self):
        with without("own-epoch"):
            parts = [
                search(SCRIPTS["entry_of_an_older_epoch"], 1, partition=Partition(index, 2))
                for index in (0, 1)
            ]
        self.assertNotEqual("", merge_results(parts).violation)


class TestModelVerb(testtools.TestCase):
    def run_verb(self, *words):
        tester = CommandTester(ModelVerb())
        code = tester.execute(" ".join(words))
        return code, tester.io.fetch_output()

    def test_a_search_tells_what_it_covered(self):
        code, told = self.run_verb("--depth 0 --jobs 1 --scripts orders,orders_race")
        self.assertEqual(0, code)
        self.assertIn("orders, 0 faults: all runs", told)
        self.assertIn("0 scripts broke a rule", told)

    def test_without_a_guard_it_tells_the_rule_that_broke(self):
        code, told = self.run_verb("--depth 0 --jobs 1 --scripts orders_race --without order-name")
        self.assertEqual(FAILED, code)
        self.assertIn("BROKEN", told)
