"""Stories of an overload: the limit that answers' times lead to, and who is let in under it."""

from __future__ import annotations

import asyncio
import random

import testtools

from kestrelbend.tier.dataplane.concurrency_limit import ResponseLatency, ConcurrencyLimits
from tests.tier.dataplane_world import World, events, turn

BASELINE_S = 0.05
TARGET_S = 0.2
FAIR_SHARE = 8.0


class LimitOfAService(testtools.TestCase):
    """The limit by itself."""

    def setUp(self):
        super().setUp()
        self.limits = ConcurrencyLimits()
        self.now = 100.0

    def answers(self, count, seconds, route="r"):
        for _ in range(count):
            self.now += 0.02
            self.limits.record_response(
                ResponseLatency("s", route, seconds, TARGET_S), lambda: FAIR_SHARE, self.now
            )

    def in_flight(self, count):
        for _ in range(count):
            self.limits.begin("s")

    def test_in_calm_times_there_is_none(self):
        self.answers(50, BASELINE_S)
        self.in_flight(500)
        self.assertTrue(self.limits.admits("s", 0.5))
        self.assertFalse(self.limits.is_limited("s"))

    def test_answers_that_are_slow_but_far_from_their_objective_mean_nothing(self):
        self.answers(50, 0.01)
        self.answers(50, 0.06)
        self.assertFalse(self.limits.is_limited("s"))

    def test_a_service_that_is_always_near_its_objective_has_none(self):
        self.answers(200, TARGET_S * 0.9)
        self.assertFalse(self.limits.is_limited("s"))

    def test_answers_that_tell_of_a_queue_lower_it_to_its_floor_at_most(self):
        self.answers(50, BASELINE_S)
        self.in_flight(40)
        self.answers(300, 1.0)
        self.assertFalse(self.limits.admits("s", 1.0))
        for _ in range(35):
            self.limits.end("s")
        self.assertTrue(self.limits.admits("s", 1.0))
        self.in_flight(1)
        self.assertFalse(self.limits.admits("s", 1.0), "six of eight is the floor")

    def test_it_rises_while_it_holds_requests_back_and_is_dropped_in_the_end(self):
        self.answers(50, BASELINE_S)
        self.in_flight(40)
        self.answers(300, 1.0)
        before = self.now
        while not self.limits.admits("s", 1.0):
            self.answers(1, BASELINE_S)
        self.assertTrue(1 < self.now - before < 20, self.now - before)
        self.answers(1000, BASELINE_S)
        self.assertFalse(self.limits.is_limited("s"))


class Overload(testtools.TestCase):
    """Two backends of two slots that queue without end, and far more turns than they can run."""

    def setUp(self):
        super().setUp()
        self.world = World()
        self.random = random.Random(7)
        for name in ("i-1", "i-2"):
            self.world.backend(name, "models", slots=2).answers(self.queueing(asyncio.Semaphore(2)))

    def queueing(self, slots):
        async def script(asked):
            async with slots:
                await events(range(1, 10))(asked)

        return script

    async def turns(self, count, seconds, program="p{}"):
        async def one(number):
            await asyncio.sleep(self.random.random() * seconds)
            fields = turn(program=program.format(number))
            return await self.world.ask("/turns/x", fields=fields), self.world.loop.time()

        return await asyncio.gather(*(one(number) for number in range(count)))

    def test_what_is_let_in_is_answered_in_time_and_the_rest_told_to_come_back_at_once(self):
        async def story():
            await self.turns(20, 4, "calm{}")
            await self.turns(100, 4, "first{}")
            return await self.turns(200, 8)

        outcomes = [got for got, _ in self.world.run(story())]
        served = [got for got in outcomes if got.status == 200]
        refused = [got for got in outcomes if got.status == 503]
        self.assertEqual(200, len(served) + len(refused))
        self.assertTrue(len(served) > 60, f"{len(served)} of about 160 that there is room for")
        self.assertTrue(all("retry-after" in got.fields for got in refused))
        runs = sum(len(scripted.asked) for scripted in self.world.scripted.values())
        self.assertEqual(runs, sum(settlement.used_tokens > 0 for settlement in self.world.budget.settled))

    def test_a_program_that_was_served_goes_before_new_ones(self):
        async def known():
            statuses = []
            for _ in range(30):
                await asyncio.sleep(0.2)
                statuses.append((await self.world.ask("/turns/x", fields=turn(program="old"))).status)
            return statuses

        async def story():
            await self.turns(20, 4, "calm{}")
            await self.world.ask("/turns/x", fields=turn(program="old"))
            await self.turns(100, 4, "first{}")
            return await asyncio.gather(known(), self.turns(300, 8))

        statuses, outcomes = self.world.run(story())
        new = sum(got.status == 200 for got, _ in outcomes) / len(outcomes)
        old = statuses.count(200) / len(statuses)
        self.assertTrue(old > 2 * new, (old, new))

    def test_nothing_waits_longer_than_a_quarter_of_its_objective_to_be_let_in(self):
        async def story():
            await self.turns(20, 4, "calm{}")
            begun = {}

            async def one(number):
                await asyncio.sleep(self.random.random() * 4)
                begun[number] = self.world.loop.time()
                return number, await self.world.ask("/turns/x", fields=turn(program=f"p{number}"))

            results = await asyncio.gather(*(one(number) for number in range(200)))
            return [got.at - begun[number] for number, got in results if got.status == 503]

        waits = self.world.run(story())
        self.assertTrue(waits)
        self.assertTrue(max(waits) < 0.05, max(waits))
