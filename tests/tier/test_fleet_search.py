"""A seeded search over days of mixed troubles; a failing day is told as one line for `lab fleet --day`."""

import gc
import os

import logbook
import testtools

from kestrelbend.tier.fleet.day import Day, play_day
from kestrelbend.tier.fleet.disks import MemoryDisk
from tests.tier.forked_pool import forked_pool

SEEDS = 200
COLLECT_AFTER = 50_000  # allocations between collections of garbage


def play_seed(seed):
    logbook.NullHandler().push_application()
    gc.set_threshold(COLLECT_AFTER)
    return play_day(Day.draw(seed))


def play_with_disks_that_forget(seed):
    """As `play_seed`, with a mistake put in: nothing that is synced lasts."""
    logbook.NullHandler().push_application()
    MemoryDisk.sync = lambda self, path: None
    return play_day(Day.draw(seed, ("wipe_and_power",)))


class TestFleetSearch(testtools.TestCase):
    def test_no_day_breaks_a_rule(self):
        with forked_pool(os.cpu_count()) as pool:
            results = pool.map(play_seed, range(1, SEEDS + 1), chunksize=1)
        broken = [f"--day {result.day}: {result.violations[0]}" for result in results if result.violations]
        self.assertEqual([], broken)

    def test_a_day_goes_the_same_way_each_time(self):
        with forked_pool(2) as pool:
            first, second = pool.map(play_seed, (7, 7), chunksize=1)
        self.assertEqual(first.log_lines, second.log_lines)
        self.assertEqual(first.turns, second.turns)

    def test_a_day_is_read_as_it_is_told(self):
        for seed in range(20):
            day = Day.draw(seed)
            self.assertEqual(day, Day.read(str(day)))
            self.assertEqual(day, Day.read(str(seed)))

    def test_a_mistake_is_found(self):
        with forked_pool(1) as pool:
            result = pool.map(play_with_disks_that_forget, (1,))[0]
        self.assertNotEqual((), result.violations)
