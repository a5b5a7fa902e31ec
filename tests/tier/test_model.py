"""The model of the replication core and of orders: no run violates an invariant, with a fault at any step.

By default, only the first states of each script are searched.  `MODEL=1` or more searches all runs with up to
that many faults, like `kestrelbend lab model --depth`.
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
DEFAULT_MAX_STATES = 2500  # per script


def search_script(name):
    if DEPTH:
        return search(SCRIPTS[name], DEPTH)
    return search(SCRIPTS[name], 1, DEFAULT_MAX_STATES)


def search_order_script(name):
    return search_orders(name, DEPTH)


class TestModel(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.pool = forked_pool(os.cpu_count())
        self.addCleanup(self.pool.terminate)

    def test_no_run_of_the_core_violates_an_invariant(self):
        results = self.pool.map(search_script, SCRIPTS, chunksize=1)
        self.assertEqual([], [result.summary() for result in results if result.violation])
        self.assertGreater(sum(result.states for result in results), 1000 * len(SCRIPTS))

    def test_no_run_with_orders_violates_an_invariant(self):
        results = self.pool.map(search_order_script, ORDER_SCRIPTS, chunksize=1)
        self.assertEqual([], [result.summary() for result in results if result.violation])


class TestScripts(testtools.TestCase):
    """Scripts reach their intended final state when no fault occurs."""

    def test_scripts_that_replace_voters_or_the_leader_reach_the_target_group(self):
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


class TestPartitions(testtools.TestCase):
    def test_partitions_of_a_search_cover_all_states_of_the_full_search(self):
        full = search(SCRIPTS["old_replies"], 1)
        parts = [search(SCRIPTS["old_replies"], 1, partition=Partition(index, 3)) for index in range(3)]
        merged = merge_results(parts)
        without_faults = search(SCRIPTS["old_replies"], 0).states
        self.assertEqual((True, "", full.longest), (merged.complete, merged.violation, merged.longest))
        self.assertGreaterEqual(merged.states - 2 * without_faults, full.states)  # no state is missed
        self.assertTrue(all(without_faults < part.states < full.states for part in parts))

    def test_partitions_of_an_order_search_cover_different_runs(self):
        full = search_orders("orders_race", 0)
        parts = [search_orders("orders_race", 1, Partition(index, 400)) for index in (0, 1)]
        self.assertEqual(["", ""], [part.violation for part in parts])
        self.assertTrue(all(part.states > full.states for part in parts))
        self.assertNotEqual(*(part.states for part in parts))

    def test_merged_result_reports_a_violation_found_by_one_partition(self):
        with without("own-epoch"):
            parts = [
                search(SCRIPTS["entry_of_an_older_epoch"], 1, partition=Partition(index, 2))
                for index in (0, 1)
            ]
        self.assertNotEqual("", merge_results(parts).violation)


class TestModelVerb(testtools.TestCase):
    def run_verb(self, *arguments):
        tester = CommandTester(ModelVerb())
        code = tester.execute(" ".join(arguments))
        return code, tester.io.fetch_output()

    def test_search_prints_its_coverage(self):
        code, output = self.run_verb("--depth 0 --jobs 1 --scripts orders,orders_race")
        self.assertEqual(0, code)
        self.assertIn("orders, 0 faults: all runs", output)
        self.assertIn("0 scripts broke a rule", output)

    def test_search_without_a_guard_prints_the_violated_invariant(self):
        code, output = self.run_verb("--depth 0 --jobs 1 --scripts orders_race --without order-name")
        self.assertEqual(FAILED, code)
        self.assertIn("BROKEN", output)
