"""Overload: the concurrency limit derived from latencies, and which requests are admitted under it."""

from __future__ import annotations

import asyncio
import random

import testtools

from kestrelbend.tier.dataplane.concurrency_limit import ResponseLatency, ConcurrencyLimits
from tests.tier.dataplane_world import Simulation, event_stream, turn_headers

BASELINE_S = 0.05
TARGET_S = 0.2
FAIR_SHARE = 8.0


class ConcurrencyLimitTest(testtools.TestCase):
    """The concurrency limit in isolation."""

    def setUp(self):
        super().setUp()
        self.limits = ConcurrencyLimits()
        self.now = 100.0

    def record_responses(self, count, seconds, route="r"):
        for _ in range(count):
            self.now += 0.02
            self.limits.record_response(
                ResponseLatency("s", route, seconds, TARGET_S), lambda: FAIR_SHARE, self.now
            )

    def in_flight(self, count):
        for _ in range(count):
            self.limits.begin("s")

    def test_steady_latency_sets_no_limit(self):
        self.record_responses(50, BASELINE_S)
        self.in_flight(500)
        self.assertTrue(self.limits.admits("s", 0.5))
        self.assertFalse(self.limits.is_limited("s"))

    def test_latency_rise_far_below_the_target_sets_no_limit(self):
        self.record_responses(50, 0.01)
        self.record_responses(50, 0.06)
        self.assertFalse(self.limits.is_limited("s"))

    def test_constant_latency_near_the_target_sets_no_limit(self):
        self.record_responses(200, TARGET_S * 0.9)
        self.assertFalse(self.limits.is_limited("s"))

    def test_queueing_latency_lowers_the_limit_no_further_than_its_floor(self):
        self.record_responses(50, BASELINE_S)
        self.in_flight(40)
        self.record_responses(300, 1.0)
        self.assertFalse(self.limits.admits("s", 1.0))
        for _ in range(35):
            self.limits.end("s")
        self.assertTrue(self.limits.admits("s", 1.0))
        self.in_flight(1)
        self.assertFalse(self.limits.admits("s", 1.0), "the floor is six of eight slots")

    def test_limit_rises_after_recovery_and_is_eventually_removed(self):
        self.record_responses(50, BASELINE_S)
        self.in_flight(40)
        self.record_responses(300, 1.0)
        before = self.now
        while not self.limits.admits("s", 1.0):
            self.record_responses(1, BASELINE_S)
        self.assertTrue(1 < self.now - before < 20, self.now - before)
        self.record_responses(1000, BASELINE_S)
        self.assertFalse(self.limits.is_limited("s"))


class OverloadTest(testtools.TestCase):
    """Two backends with two slots and unbounded queues, and far more turns than they can run."""

    def setUp(self):
        super().setUp()
        self.simulation = Simulation()
        self.random = random.Random(7)
        for name in ("i-1", "i-2"):
            self.simulation.backend(name, "models", slots=2).respond_with(self.queueing(asyncio.Semaphore(2)))

    def queueing(self, slots):
        async def script(received):
            async with slots:
                await event_stream(range(1, 10))(received)

        return script

    async def turns(self, count, seconds, program="p{}"):
        async def one(number):
            await asyncio.sleep(self.random.random() * seconds)
            fields = turn_headers(program=program.format(number))
            return await self.simulation.send_request("/turns/x", fields=fields), self.simulation.loop.time()

        return await asyncio.gather(*(one(number) for number in range(count)))

    def test_under_overload_requests_are_served_or_rejected_with_retry_after(self):
        async def scenario():
            await self.turns(20, 4, "calm{}")
            await self.turns(100, 4, "first{}")
            return await self.turns(200, 8)

        outcomes = [response for response, _ in self.simulation.run(scenario())]
        served = [response for response in outcomes if response.status == 200]
        rejected = [response for response in outcomes if response.status == 503]
        self.assertEqual(200, len(served) + len(rejected))
        self.assertTrue(len(served) > 60, f"{len(served)} of about 160 that there is capacity for")
        self.assertTrue(all("retry-after" in response.fields for response in rejected))
        runs = sum(len(scripted.requests) for scripted in self.simulation.scripted.values())
        self.assertEqual(
            runs, sum(settlement.used_tokens > 0 for settlement in self.simulation.budget.settled)
        )

    def test_previously_served_program_takes_precedence_over_new_programs(self):
        async def old_program_statuses():
            statuses = []
            for _ in range(30):
                await asyncio.sleep(0.2)
                statuses.append(
                    (
                        await self.simulation.send_request("/turns/x", fields=turn_headers(program="old"))
                    ).status
                )
            return statuses

        async def scenario():
            await self.turns(20, 4, "calm{}")
            await self.simulation.send_request("/turns/x", fields=turn_headers(program="old"))
            await self.turns(100, 4, "first{}")
            return await asyncio.gather(old_program_statuses(), self.turns(300, 8))

        statuses, outcomes = self.simulation.run(scenario())
        new = sum(response.status == 200 for response, _ in outcomes) / len(outcomes)
        old = statuses.count(200) / len(statuses)
        self.assertTrue(old > 2 * new, (old, new))

    def test_rejected_requests_wait_less_than_a_quarter_of_the_latency_target(self):
        async def scenario():
            await self.turns(20, 4, "calm{}")
            started_at = {}

            async def one(number):
                await asyncio.sleep(self.random.random() * 4)
                started_at[number] = self.simulation.loop.time()
                return number, await self.simulation.send_request(
                    "/turns/x", fields=turn_headers(program=f"p{number}")
                )

            results = await asyncio.gather(*(one(number) for number in range(200)))
            return [
                response.at - started_at[number] for number, response in results if response.status == 503
            ]

        waits = self.simulation.run(scenario())
        self.assertTrue(waits)
        self.assertTrue(max(waits) < 0.05, max(waits))
