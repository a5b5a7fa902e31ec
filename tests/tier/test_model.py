"""The model of the replication core and of orders: no run breaks a rule, with a fault at any step.

The quick bound looks at the first states of each script.  `MODEL=1` and more search all runs with so many
faults, as `kestrelbend lab model --depth` does.
"""

import multiprocessing
import os

import testtools

from kestrelbend.tier.model.orders import search_orders
from kestrelbend.tier.model.scripts import ORDER_SCRIPTS, SCRIPTS
from kestrelbend.tier.model.search import search

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
        self.pool = multiprocessing.get_context("fork").Pool(os.cpu_count())
        self.addCleanup(self.pool.terminate)

    def test_no_run_of_the_core_breaks_a_rule(self):
        found = self.pool.map(search_script, SCRIPTS, chunksize=1)
        self.assertEqual([], [one.told() for one in found if one.broken])
        self.assertGreater(sum(one.states for one in found), 1000 * len(SCRIPTS))

    def test_no_run_with_orders_breaks_a_rule(self):
        found = self.pool.map(search_script_of_orders, ORDER_SCRIPTS, chunksize=1)
        self.assertEqual([], [one.told() for one in found if one.broken])


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
