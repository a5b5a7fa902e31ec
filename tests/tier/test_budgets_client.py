"""A gateway's budget calls against replicas in memory, on a clock that jumps."""

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

MOST = 100
BUDGET = 1200


def reserve(program="program", reservation="a", budget=BUDGET):
    return Reserve(program, f"session of {reservation}", reservation, 1, MOST, budget, True)


def client_of(fleet):
    return BudgetClient(fleet.send, lambda shard: ADDRESSES, shard_count=1)


def totals(fleet, program="program", address="b"):
    """Reserved and handed out, as a replica has them."""
    outcome = fleet.hosts[address].machine.table.reserve(reserve(program, f"probe of {address}", budget=1))
    return outcome.total - outcome.settled, outcome.settled


class ClientTest(testtools.TestCase):
    def story(self, play, **faults):
        async def begin():
            fleet = BudgetFleet(random.Random(1), Faults(**faults))
            await play(fleet, client_of(fleet))

        virtual_time.run(begin())

    def test_given_an_owner_when_a_turn_is_reserved_and_settled_then_one_request_each(self):
        async def play(fleet, client):
            outcome = await client.reserve(reserve())
            self.assertEqual((Verdict.ADMITTED, MOST), (outcome.verdict, outcome.total))
            client.settle(Settlement("program", "a", 40, TurnEnd.COMPLETE))
            self.assertTrue(await client.close(max_wait_s=1))
            self.assertEqual((0, 40), totals(fleet))
            self.assertEqual(["a", "a"], [address for address, _request in fleet.requests])

        self.story(play)

    def test_given_a_call_in_flight_when_more_turns_come_then_they_share_the_next(self):
        async def play(fleet, client):
            first = asyncio.create_task(client.reserve(reserve("first")))
            await asyncio.sleep(0.001)
            await asyncio.gather(first, *(client.reserve(reserve(f"program {n}")) for n in range(20)))
            self.assertEqual([1, 20], [len(request.reserves) for _address, request in fleet.requests])

        self.story(play)

    def test_given_the_owner_moved_when_a_turn_comes_then_the_hint_is_followed(self):
        async def play(fleet, client):
            fleet.move("c")
            self.assertEqual(Verdict.ADMITTED, (await client.reserve(reserve())).verdict)
            self.assertEqual(["a", "c"], [address for address, _request in fleet.requests])

        self.story(play)

    def test_given_the_owner_moves_during_a_call_when_repeated_then_the_turn_counts_once(self):
        async def play(fleet, client):
            asyncio.get_running_loop().call_later(0.002, fleet.move, "c")
            outcome = await client.reserve(reserve())
            self.assertEqual((Verdict.ADMITTED, MOST), (outcome.verdict, outcome.total))

        self.story(play)

    def test_given_no_replies_when_the_time_is_over_then_silent_and_its_tokens_come_back(self):
        async def play(fleet, client):
            outcome = await client.reserve(reserve(), max_wait_s=0.4)
            self.assertEqual(Verdict.OWNER_UNAVAILABLE, outcome.verdict)
            self.assertEqual(0.4, asyncio.get_running_loop().time())
            self.assertEqual((MOST, 0), totals(fleet))
            fleet.faults = Faults()
            await asyncio.sleep(3)
            self.assertEqual((0, 0, 0), (client.pending_settlements, *totals(fleet)))

        self.story(play, reply_lost=1.0)

    def test_given_a_caller_leaves_during_a_call_then_its_tokens_come_back(self):
        async def play(fleet, client):
            call = asyncio.create_task(client.reserve(reserve()))
            asyncio.get_running_loop().call_later(0.005, call.cancel)
            await asyncio.wait([call])
            await asyncio.sleep(1)
            self.assertEqual((True, 0, 0), (call.cancelled(), *totals(fleet)))

        self.story(play)

    def test_given_replicas_that_refuse_when_an_owner_is_back_then_settlements_reach_it(self):
        async def play(fleet, client):
            client.settle(Settlement("program", "a", 40, TurnEnd.COMPLETE))
            await asyncio.sleep(30)
            self.assertEqual(1, client.pending_settlements)
            self.assertLess(len(fleet.requests), 400)
            fleet.faults = Faults()
            self.assertTrue(await client.close(max_wait_s=2))

        self.story(play, refused=1.0)

    def test_given_the_tokens_seen_leave_no_room_when_asked_locally_then_no_call_is_needed(self):
        async def play(fleet, client):
            await client.reserve(reserve())
            client.settle(Settlement("program", "a", 950, TurnEnd.COMPLETE))
            await client.reserve(reserve(reservation="b"))
            self.assertTrue(client.spent_locally("program", 251, BUDGET))
            self.assertFalse(client.spent_locally("program", 250, BUDGET))
            self.assertFalse(client.spent_locally("program", 250, 0))
            self.assertFalse(client.spent_locally("other", 250, BUDGET))

        self.story(play)

    def test_given_a_header_beyond_all_bounds_when_reserved_then_others_are_not_held_up(self):
        async def play(fleet, client):
            strange = attrs.evolve(reserve("\udcff" * 9000), fingerprint=-(2**70), budget=2**90)
            outcomes = await asyncio.gather(client.reserve(strange), client.reserve(reserve()))
            self.assertEqual([Verdict.ADMITTED] * 2, [outcome.verdict for outcome in outcomes])

        self.story(play)


class ServiceTest(testtools.TestCase):
    def test_given_a_process_without_a_disk_when_asked_then_it_owns_nothing(self):
        replies = []
        service = BudgetShards()
        service.attach(None, lambda: 0.0)
        service.request(BudgetRequest("budget-0", (reserve(),), ()), replies.append)
        self.assertEqual([BudgetReply("budget-0", False, "", ())], replies)


class SearchTest(testtools.TestCase):
    """Gateways and owners under seeded trouble: no program is handed more than its budget, and in the end
    nothing is reserved but the turns of gateways that died."""

    def test_given_seeded_trouble_when_all_is_over_then_budgets_held_and_tokens_came_back(self):
        for seed in range(60):
            virtual_time.run(self.play(seed))

    async def play(self, seed):
        self.chance = random.Random(seed)
        self.handed_out = dict.fromkeys(("one", "two", "three"), 0)
        self.left_open = dict.fromkeys(self.handed_out, 0)
        chances = {name: self.chance.choice((0, 0.1, 0.3)) for name in ("lost", "reply_lost", "duplicated")}
        fleet = BudgetFleet(self.chance, Faults(refused=0.1, delay_s=self.chance.uniform(0, 0.4), **chances))
        clients = [client_of(fleet) for _gateway in range(3)]
        turns = [self.turn(self.chance.choice(clients), number) for number in range(80)]
        await asyncio.gather(self.trouble(fleet), *turns)
        fleet.faults = Faults()
        await asyncio.sleep(5)
        self.assertEqual([True] * 3, [await client.close(max_wait_s=5) for client in clients])
        states = {host.machine.snapshot() for host in fleet.hosts.values()}
        self.assertEqual(1, len(states), f"seed {seed}: replicas differ")
        for program, tokens in self.handed_out.items():
            expected = (self.left_open[program], tokens)
            self.assertEqual(expected, totals(fleet, program), f"seed {seed}: {program}")

    async def turn(self, client, number):
        await asyncio.sleep(self.chance.uniform(0, 10))
        program = self.chance.choice(list(self.handed_out))
        command = reserve(program, f"turn {number}")
        if client.spent_locally(program, MOST, BUDGET):
            return
        outcome = await client.reserve(command, max_wait_s=self.chance.choice((0.01, 0.5, 1.2)))
        if outcome.verdict != Verdict.ADMITTED:
            return
        if self.chance.random() < 0.05:
            self.left_open[program] += MOST
            return
        used = self.chance.randint(0, MOST)
        self.handed_out[program] += used
        self.assertLessEqual(self.handed_out[program], BUDGET)
        await asyncio.sleep(self.chance.uniform(0, 2))
        end = TurnEnd.COMPLETE if used == MOST else TurnEnd.INTERRUPTED
        client.settle(Settlement(program, command.reservation, used, end))

    async def trouble(self, fleet):
        for _event in range(20):
            await asyncio.sleep(self.chance.uniform(0, 1))
            what = self.chance.choice((fleet.move, fleet.renew))
            what(self.chance.choice(ADDRESSES))
