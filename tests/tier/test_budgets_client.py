"""Tests of `BudgetClient` against replicas in memory, on a virtual clock."""

import asyncio
import random

import attrs
import testtools

from kestrelbend.tier.budgets.client import BudgetClient
from kestrelbend.tier.budgets.messages import (
    BudgetReply,
    BudgetRequest,
    Reserve,
    Settlement,
    TurnEnd,
    Verdict,
)
from kestrelbend.tier.budgets.shard_service import BudgetShards
from tests.tier import virtual_time
from tests.tier.budget_fleet import ADDRESSES, BudgetFleet, Faults

MAX_TOKENS = 100
BUDGET = 1200


def reserve(program="program", reservation="a", budget=BUDGET):
    return Reserve(program, f"session of {reservation}", reservation, 1, MAX_TOKENS, budget, True)


def make_client(fleet):
    return BudgetClient(fleet.send, lambda shard: ADDRESSES, shard_count=1)


def reserved_and_settled(fleet, program="program", address="b"):
    """Returns a program's reserved and settled tokens at one replica."""
    outcome = fleet.hosts[address].shard_state.table.reserve(
        reserve(program, f"probe of {address}", budget=1)
    )
    return outcome.total - outcome.settled, outcome.settled


class ClientTest(testtools.TestCase):
    def run_scenario(self, scenario, **faults):
        async def run_on_new_fleet():
            fleet = BudgetFleet(random.Random(1), Faults(**faults))
            await scenario(fleet, make_client(fleet))

        virtual_time.run(run_on_new_fleet())

    def test_reserving_and_settling_a_turn_takes_one_request_each(self):
        async def scenario(fleet, client):
            outcome = await client.reserve(reserve())
            self.assertEqual((Verdict.ADMITTED, MAX_TOKENS), (outcome.verdict, outcome.total))
            client.settle(Settlement("program", "a", 40, TurnEnd.COMPLETE))
            self.assertTrue(await client.close(max_wait_s=1))
            self.assertEqual((0, 40), reserved_and_settled(fleet))
            self.assertEqual(["a", "a"], [address for address, _request in fleet.requests])

        self.run_scenario(scenario)

    def test_reservations_made_during_a_request_share_the_next_one(self):
        async def scenario(fleet, client):
            first = asyncio.create_task(client.reserve(reserve("first")))
            await asyncio.sleep(0.001)
            await asyncio.gather(first, *(client.reserve(reserve(f"program {n}")) for n in range(20)))
            self.assertEqual([1, 20], [len(request.reserves) for _address, request in fleet.requests])

        self.run_scenario(scenario)

    def test_owner_hint_of_a_former_owner_is_followed(self):
        async def scenario(fleet, client):
            fleet.change_owner("c")
            self.assertEqual(Verdict.ADMITTED, (await client.reserve(reserve())).verdict)
            self.assertEqual(["a", "c"], [address for address, _request in fleet.requests])

        self.run_scenario(scenario)

    def test_turn_resent_after_a_change_of_owner_counts_once(self):
        async def scenario(fleet, client):
            asyncio.get_running_loop().call_later(0.002, fleet.change_owner, "c")
            outcome = await client.reserve(reserve())
            self.assertEqual((Verdict.ADMITTED, MAX_TOKENS), (outcome.verdict, outcome.total))

        self.run_scenario(scenario)

    def test_reservation_without_a_reply_fails_at_its_timeout_and_its_tokens_are_released(self):
        async def scenario(fleet, client):
            outcome = await client.reserve(reserve(), max_wait_s=0.4)
            self.assertEqual(Verdict.OWNER_UNAVAILABLE, outcome.verdict)
            self.assertEqual(0.4, asyncio.get_running_loop().time())
            self.assertEqual((MAX_TOKENS, 0), reserved_and_settled(fleet))
            fleet.faults = Faults()
            await asyncio.sleep(3)
            self.assertEqual((0, 0, 0), (client.pending_settlements, *reserved_and_settled(fleet)))

        self.run_scenario(scenario, reply_lost=1.0)

    def test_tokens_of_a_cancelled_reservation_are_released(self):
        async def scenario(fleet, client):
            call = asyncio.create_task(client.reserve(reserve()))
            asyncio.get_running_loop().call_later(0.005, call.cancel)
            await asyncio.wait([call])
            await asyncio.sleep(1)
            self.assertEqual((True, 0, 0), (call.cancelled(), *reserved_and_settled(fleet)))

        self.run_scenario(scenario)

    def test_settlements_are_resent_until_an_owner_is_reachable(self):
        async def scenario(fleet, client):
            client.settle(Settlement("program", "a", 40, TurnEnd.COMPLETE))
            await asyncio.sleep(30)
            self.assertEqual(1, client.pending_settlements)
            self.assertLess(len(fleet.requests), 400)
            fleet.faults = Faults()
            self.assertTrue(await client.close(max_wait_s=2))

        self.run_scenario(scenario, connection_reset=1.0)

    def test_known_settled_tokens_show_locally_that_the_budget_is_exceeded(self):
        async def scenario(fleet, client):
            await client.reserve(reserve())
            client.settle(Settlement("program", "a", 950, TurnEnd.COMPLETE))
            await client.reserve(reserve(reservation="b"))
            self.assertTrue(client.spent_locally("program", 251, BUDGET))
            self.assertFalse(client.spent_locally("program", 250, BUDGET))
            self.assertFalse(client.spent_locally("program", 250, 0))
            self.assertFalse(client.spent_locally("other", 250, BUDGET))

        self.run_scenario(scenario)

    def test_out_of_range_header_values_do_not_block_other_programs(self):
        async def scenario(fleet, client):
            extreme = attrs.evolve(reserve("\udcff" * 9000), fingerprint=-(2**70), budget=2**90)
            outcomes = await asyncio.gather(client.reserve(extreme), client.reserve(reserve()))
            self.assertEqual([Verdict.ADMITTED] * 2, [outcome.verdict for outcome in outcomes])

        self.run_scenario(scenario)


class ServiceTest(testtools.TestCase):
    def test_process_without_a_disk_replies_that_it_is_not_the_owner(self):
        replies = []
        service = BudgetShards()
        service.attach(None, lambda: 0.0)
        service.request(BudgetRequest("budget-0", (reserve(),), ()), replies.append)
        self.assertEqual([BudgetReply("budget-0", False, "", ())], replies)


class RandomFaultsTest(testtools.TestCase):
    """Several gateways under random faults and changes of owner.

    Guards against tokens delivered beyond a budget, and against tokens that stay reserved without an open
    turn: at the end, only turns that were never settled, as after a crash of their gateway, are reserved.
    """

    def test_budgets_hold_and_unused_tokens_are_released_under_random_faults(self):
        for seed in range(60):
            virtual_time.run(self.scenario(seed))

    async def scenario(self, seed):
        self.rng = random.Random(seed)
        self.delivered = dict.fromkeys(("one", "two", "three"), 0)
        self.abandoned = dict.fromkeys(self.delivered, 0)
        probabilities = {
            name: self.rng.choice((0, 0.1, 0.3)) for name in ("lost", "reply_lost", "duplicated")
        }
        fleet = BudgetFleet(
            self.rng, Faults(connection_reset=0.1, delay_s=self.rng.uniform(0, 0.4), **probabilities)
        )
        clients = [make_client(fleet) for _gateway in range(3)]
        turns = [self.turn(self.rng.choice(clients), number) for number in range(80)]
        await asyncio.gather(self.inject_faults(fleet), *turns)
        fleet.faults = Faults()
        await asyncio.sleep(5)
        self.assertEqual([True] * 3, [await client.close(max_wait_s=5) for client in clients])
        states = {host.shard_state.snapshot() for host in fleet.hosts.values()}
        self.assertEqual(1, len(states), f"seed {seed}: replicas differ")
        for program, tokens in self.delivered.items():
            expected = (self.abandoned[program], tokens)
            self.assertEqual(expected, reserved_and_settled(fleet, program), f"seed {seed}: {program}")

    async def turn(self, client, number):
        await asyncio.sleep(self.rng.uniform(0, 10))
        program = self.rng.choice(list(self.delivered))
        command = reserve(program, f"turn {number}")
        if client.spent_locally(program, MAX_TOKENS, BUDGET):
            return
        outcome = await client.reserve(command, max_wait_s=self.rng.choice((0.01, 0.5, 1.2)))
        if outcome.verdict != Verdict.ADMITTED:
            return
        if self.rng.random() < 0.05:
            self.abandoned[program] += MAX_TOKENS
            return
        used = self.rng.randint(0, MAX_TOKENS)
        self.delivered[program] += used
        self.assertLessEqual(self.delivered[program], BUDGET)
        await asyncio.sleep(self.rng.uniform(0, 2))
        end = TurnEnd.COMPLETE if used == MAX_TOKENS else TurnEnd.INTERRUPTED
        client.settle(Settlement(program, command.reservation, used, end))

    async def inject_faults(self, fleet):
        for _event in range(20):
            await asyncio.sleep(self.rng.uniform(0, 1))
            fault = self.rng.choice((fleet.change_owner, fleet.restore_replica))
            fault(self.rng.choice(ADDRESSES))
