"""Commands that come again after all that a table remembers of them by count, and programs that come back.

Each story goes just past a bound: 64 closed reservations and 64 sessions of a program, programs in use, lives
of gateways, programs laid aside.
"""

import asyncio
import random
from types import SimpleNamespace

import testtools

from kestrelbend.tier.budgets import names, program
from kestrelbend.tier.budgets.client import BudgetClient
from kestrelbend.tier.budgets.commands import decode_elapsed_ms
from kestrelbend.tier.budgets.messages import BudgetRequest, Reserve, Settlement, TurnEnd, Verdict
from kestrelbend.tier.budgets.idle_programs import DEFAULT_RETAIN_S
from kestrelbend.tier.budgets.names import MAX_INCARNATIONS, ForgottenNames, ReservationNameGenerator
from kestrelbend.tier.budgets.route import ClientSettings
from kestrelbend.tier.budgets.program import MAX_CLOSED_RESERVATIONS, MAX_SESSIONS
from kestrelbend.tier.budgets.shard_service import BudgetShards
from kestrelbend.tier.budgets.table import MAX_ACTIVE_PROGRAMS, MAX_IDLE_PROGRAMS, BudgetTable
from kestrelbend.tier.dataplane.delivery import Delivery
from kestrelbend.tier.dataplane.turn import Turn, Turns
from tests.tier import virtual_time
from tests.tier.budget_fleet import ADDRESSES, BudgetFleet, Faults

MOST = 100
BUDGET = 100_000


class Gateway:
    """One life of a gateway that reserves at a table without anything between them."""

    def __init__(self, table, incarnation=1):
        self.table = table
        self.names = ReservationNameGenerator("10.0.0.1", incarnation)

    def command(self, name="program", session="main", fingerprint=1, budget=BUDGET, retain_s=0):
        return Reserve(name, session, self.names.next(), fingerprint, MOST, budget, False, retain_s)

    def reserve(self, *arguments, **others):
        return self.table.reserve(self.command(*arguments, **others))

    def settle(self, command, used=MOST, end=TurnEnd.COMPLETE):
        self.table.settle(Settlement(command.program, command.reservation, used, end))

    def whole_turns(self, count, name="program"):
        for number in range(count):
            command = self.command(name, fingerprint=1000 + number)
            self.table.reserve(command)
            self.settle(command)


class NamesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = BudgetTable()
        self.gateway = Gateway(self.table)

    def counter(self, name="program"):
        """Reserved and handed out."""
        outcome = self.table.reserve(Reserve(name, "", "probe", 0, 1, 1, False))
        return outcome.total - outcome.settled, outcome.settled

    def test_given_a_closed_reservation_when_it_comes_again_past_the_bound_then_it_is_not_admitted(self):
        for others in (MAX_CLOSED_RESERVATIONS - 1, MAX_CLOSED_RESERVATIONS, 3 * MAX_CLOSED_RESERVATIONS):
            table = BudgetTable()
            gateway = Gateway(table)
            command = gateway.command()
            table.reserve(command)
            gateway.settle(command, used=40)
            gateway.whole_turns(others)
            again = table.reserve(command)
            self.assertEqual(Verdict.RETRY_LATER, again.verdict)
            self.assertEqual(40 + others * MOST, again.total, "no token is held")

    def test_given_a_settlement_when_it_comes_again_past_the_bound_then_its_tokens_count_once(self):
        command = self.gateway.command()
        self.table.reserve(command)
        self.gateway.settle(command, used=40)
        self.gateway.whole_turns(MAX_CLOSED_RESERVATIONS)
        self.table.reserve(command)
        self.gateway.settle(command, used=40)
        self.assertEqual((0, 40 + MAX_CLOSED_RESERVATIONS * MOST), self.counter())

    def test_given_a_turn_settled_before_its_reservation_when_that_comes_past_the_bound_then_it_is_refused(
        self,
    ):
        command = self.gateway.command()
        self.gateway.settle(command, used=0, end=TurnEnd.NOT_EXECUTED)
        self.gateway.whole_turns(MAX_CLOSED_RESERVATIONS)
        self.assertEqual(Verdict.RETRY_LATER, self.table.reserve(command).verdict)
        self.assertEqual((0, MAX_CLOSED_RESERVATIONS * MOST), self.counter())

    def test_given_an_open_turn_when_others_close_then_its_repeat_is_the_same_one_still(self):
        command = self.gateway.command()
        self.table.reserve(command)
        self.gateway.whole_turns(2 * MAX_CLOSED_RESERVATIONS)
        self.assertEqual(Verdict.ADMITTED, self.table.reserve(command).verdict)
        self.assertEqual((MOST, 2 * MAX_CLOSED_RESERVATIONS * MOST), self.counter())

    def test_given_a_program_laid_aside_with_an_open_turn_when_that_comes_again_then_it_counts_once(self):
        table = BudgetTable(max_active=2)
        gateway = Gateway(table)
        command = gateway.command()
        table.reserve(command)
        for number in range(4):
            gateway.reserve(f"other {number}")
        outcome = table.reserve(command)
        self.assertEqual((Verdict.RETRY_LATER, MOST), (outcome.verdict, outcome.total))

    def test_given_forgotten_names_when_saved_and_restored_then_they_stay_forgotten(self):
        command = self.gateway.command()
        self.table.reserve(command)
        self.gateway.settle(command)
        self.gateway.whole_turns(MAX_CLOSED_RESERVATIONS)
        copy = BudgetTable()
        copy.restore(self.table.snapshot())
        self.assertEqual(Verdict.RETRY_LATER, copy.reserve(command).verdict)
        self.assertEqual(self.table.reserve(command), copy.reserve(command))
        self.assertEqual(self.table.snapshot(), copy.snapshot())

    def test_given_forgotten_names_when_new_tries_come_from_any_gateway_then_they_are_admitted(self):
        self.gateway.whole_turns(2 * MAX_CLOSED_RESERVATIONS)
        restarted = Gateway(self.table, incarnation=2)
        self.assertEqual(Verdict.ADMITTED, self.gateway.reserve(fingerprint=1).verdict)
        self.assertEqual(Verdict.ADMITTED, restarted.reserve(session="b", fingerprint=2).verdict)

    def test_given_more_lives_than_are_kept_then_the_last_ones_are_known(self):
        forgotten = ForgottenNames()
        for incarnation in range(MAX_INCARNATIONS + 1):
            forgotten.add(ReservationNameGenerator("10.0.0.1", incarnation).next())
        known = [
            ReservationNameGenerator("10.0.0.1", incarnation).next() in forgotten
            for incarnation in range(MAX_INCARNATIONS + 1)
        ]
        self.assertEqual([False] + [True] * MAX_INCARNATIONS, known)

    def test_given_names_of_another_form_then_none_is_taken_for_forgotten(self):
        forgotten = ForgottenNames({"a@1": 9})
        for name in ("", "try-1", "a@1", "a@1.", "a@1.-3", "a@1.²", "a.5", "b@1.5"):
            forgotten.add(name)
            self.assertNotIn("a@1.10", forgotten)
        self.assertIn("a@1.9", forgotten)

    def test_given_one_try_more_than_sessions_are_kept_when_repeated_then_the_budget_still_holds(self):
        """Past the bound a repeat counts as a first try: the share of retries is looser, not the budget."""
        gateway = self.gateway
        broken = gateway.command(session="first", fingerprint=7)
        self.table.reserve(broken)
        gateway.settle(broken, end=TurnEnd.INTERRUPTED)
        for number in range(MAX_SESSIONS):
            command = gateway.command(session=f"session {number}")
            self.table.reserve(command)
            gateway.settle(command)
        budget = self.counter()[1] + MOST
        self.assertEqual(
            [Verdict.ADMITTED, Verdict.BUDGET_EXCEEDED],
            [gateway.reserve(session="first", fingerprint=7, budget=budget).verdict for _ in range(2)],
        )


class RetentionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = BudgetTable(max_active=4, max_idle=8)
        self.gateway = Gateway(self.table)

    def fill(self, first, count):
        return [self.gateway.reserve(f"program {n}").verdict for n in range(first, first + count)]

    def test_given_a_full_table_when_new_programs_come_then_they_are_refused_and_old_ones_go_on(self):
        self.assertEqual([Verdict.ADMITTED] * 12, self.fill(0, 12))
        outcome = self.gateway.reserve("program 12")
        self.assertEqual((Verdict.RETRY_LATER, 0), (outcome.verdict, outcome.total))
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertEqual(2 * MOST, self.gateway.reserve("program 0", fingerprint=2).total)

    def test_given_a_full_table_when_programs_were_away_for_their_time_then_these_make_room(self):
        self.fill(0, 12)
        self.table.advance(DEFAULT_RETAIN_S * 1000)
        self.assertEqual([Verdict.RETRY_LATER], self.fill(12, 1))
        self.table.advance(1)
        self.assertEqual([Verdict.ADMITTED] * 12, self.fill(12, 12))
        self.assertEqual([Verdict.RETRY_LATER], self.fill(24, 1))

    def test_given_a_program_that_may_stay_away_longer_when_others_make_room_then_it_is_known(self):
        self.gateway.reserve("stays", retain_s=2 * DEFAULT_RETAIN_S)
        self.fill(0, 11)
        self.table.advance(DEFAULT_RETAIN_S * 1000 + 1)
        self.assertEqual([Verdict.ADMITTED] * 4, self.fill(11, 4))
        self.assertEqual(2 * MOST, self.gateway.reserve("stays", fingerprint=2).total)

    def test_given_many_that_may_stay_away_longer_when_others_are_over_then_these_are_found(self):
        table = BudgetTable(max_active=4, max_idle=100)
        gateway = Gateway(table)
        for number in range(50):
            gateway.reserve(f"long {number}", retain_s=10 * DEFAULT_RETAIN_S)
        for number in range(54):
            gateway.reserve(f"short {number}")
        table.advance(DEFAULT_RETAIN_S * 1000 + 1)
        verdicts = [gateway.reserve(f"new {number}").verdict for number in range(60)]
        self.assertEqual([Verdict.ADMITTED] * 40, verdicts[10:50])
        self.assertEqual(2 * MOST, gateway.reserve("long 0", fingerprint=2).total)

    def test_given_a_program_stopped_before_a_final_fault_when_it_comes_back_then_its_tokens_are_known(self):
        self.gateway.whole_turns(3, "stopped")
        self.fill(0, 11)
        self.table.advance(DEFAULT_RETAIN_S * 500)
        copy = BudgetTable(max_active=4, max_idle=8)
        copy.restore(self.table.snapshot())
        copy.advance(DEFAULT_RETAIN_S * 500)
        outcome = copy.reserve(Gateway(copy, incarnation=2).command("stopped", fingerprint=2))
        self.assertEqual((Verdict.ADMITTED, 4 * MOST), (outcome.verdict, outcome.total))

    def test_given_a_settlement_of_a_program_without_room_when_its_reservation_follows_then_it_is_refused(
        self,
    ):
        self.fill(0, 12)
        command = self.gateway.command("late")
        self.gateway.settle(command, used=0, end=TurnEnd.NOT_EXECUTED)
        self.table.advance(DEFAULT_RETAIN_S * 1000 + 1)
        self.assertEqual(Verdict.RETRY_LATER, self.table.reserve(command).verdict)

    def test_given_the_sizes_that_it_is_meant_for_when_programs_stop_then_all_may_come_back(self):
        """docs/CAPACITY.md: 64,000 programs at once, 2,200 turns a second, six shards; the least turns a
        program, two, begin the most programs: 1,100 a second, 184 for a shard."""
        shards, turns_a_second, programs_at_once = 6, 2_200, 64_000
        begun_a_second = turns_a_second // 2 // shards + 1
        at_once = programs_at_once // shards + 1
        table = BudgetTable()
        gateway = Gateway(table)
        for number in range(at_once):
            gateway.reserve(f"at once {number}")
        for second in range(DEFAULT_RETAIN_S):
            table.advance(1000)
            for number in range(begun_a_second):
                self.assertEqual(Verdict.ADMITTED, gateway.reserve(f"begun {second} {number}").verdict)
        self.assertLess(
            at_once + DEFAULT_RETAIN_S * begun_a_second, (MAX_ACTIVE_PROGRAMS + MAX_IDLE_PROGRAMS) // 2
        )
        for name in ("at once 0", "begun 0 0", f"begun {DEFAULT_RETAIN_S - 1} 0"):
            self.assertEqual(2 * MOST, gateway.reserve(name, fingerprint=2).total)


class ElapsedTest(testtools.TestCase):
    """The table's time: of the owner's steady clock, never ahead of the true time."""

    def setUp(self):
        super().setUp()
        self.now = 1000.0
        self.entries = []
        self.term = 1
        self.service = BudgetShards()
        self.service.attach(self, lambda: self.now)

    def replica(self, shard):
        return self

    def propose(self, shard, data, done, now):
        self.entries.append(decode_elapsed_ms(data))
        return True

    def flush(self, shard):
        pass

    def ask(self):
        self.service.request(BudgetRequest("budget-0", (), ()), lambda reply: None)

    def test_given_one_owner_when_time_goes_on_then_its_entries_carry_all_of_it(self):
        self.ask()
        for _ in range(1000):
            self.now += 0.0015
            self.ask()
        self.assertEqual(0, self.entries[0])
        self.assertIn(sum(self.entries), (1499, 1500))

    def test_given_a_new_epoch_when_this_process_owns_again_then_the_time_between_is_left_out(self):
        self.ask()
        self.now += 30.0
        self.term = 3
        self.ask()
        self.now += 2.0
        self.ask()
        self.assertEqual([0, 0, 2000], self.entries)


class RepeatsSearchTest(testtools.TestCase):
    """Requests that arrive twice and late, while almost nothing is remembered by count: no token counts
    twice, and no more than the budget is handed out."""

    budget = 1500

    def test_given_seeded_trouble_when_two_names_are_remembered_then_no_turn_counts_twice(self):
        self.patch(program, "MAX_CLOSED_RESERVATIONS", 2)
        for seed in range(40):
            virtual_time.run(self.play(seed))

    async def play(self, seed):
        chance = random.Random(seed)
        fleet = BudgetFleet(chance, Faults(duplicated=0.4, reply_lost=0.1, delay_s=0.1))
        gateways = [
            (
                BudgetClient(fleet.send, lambda shard: ADDRESSES, 1),
                ReservationNameGenerator("10.0.0.1", incarnation),
            )
            for incarnation in range(2)
        ]
        handed_out = 0

        async def turn(number):
            nonlocal handed_out
            await asyncio.sleep(chance.uniform(0, 8))
            client, given = chance.choice(gateways)
            command = Reserve("program", str(number), given.next(), number, MOST, self.budget, True)
            outcome = await client.reserve(command, max_wait_s=chance.choice((0.05, 1.0)))
            if outcome.verdict == Verdict.ADMITTED:
                used = chance.randint(0, MOST)
                handed_out += used
                self.assertLessEqual(handed_out, self.budget)
                client.settle(Settlement("program", command.reservation, used, TurnEnd.COMPLETE))

        await asyncio.gather(*(turn(number) for number in range(60)))
        fleet.faults = Faults()
        await asyncio.sleep(5)
        closed = [await client.close(max_wait_s=5) for client, _ in gateways]
        self.assertEqual([True, True], closed)
        probe = fleet.hosts["b"].machine.table.reserve(Reserve("program", "", "probe", 0, 1, 1, False))
        self.assertEqual((handed_out, handed_out), (probe.total, probe.settled), f"seed {seed}")


class SettlementsTest(testtools.TestCase):
    def test_given_more_settlements_than_a_gateway_keeps_then_the_oldest_turns_count_at_their_most(self):
        async def play():
            fleet = BudgetFleet(random.Random(1))
            settings = ClientSettings(max_pending_settlements=2)
            client = BudgetClient(fleet.send, lambda shard: ADDRESSES, 1, settings)
            given = ReservationNameGenerator("10.0.0.1", 1)
            commands = [Reserve("program", str(n), given.next(), n, MOST, BUDGET, True) for n in range(5)]
            for command in commands:
                await client.reserve(command)
            fleet.faults = Faults(refused=1.0)
            for command in commands:
                client.settle(Settlement("program", command.reservation, 10, TurnEnd.COMPLETE))
            await asyncio.sleep(1.0)
            self.assertEqual(2, client.pending_settlements)
            fleet.faults = Faults()
            self.assertTrue(await client.close(max_wait_s=5))
            probe = Reserve("program", "", "probe", 0, 1, 1, False)
            outcome = fleet.hosts["a"].machine.table.reserve(probe)
            self.assertEqual((3 * MOST + 20, 20), (outcome.total, outcome.settled))

        virtual_time.run(play())


class GatewayNamesTest(testtools.TestCase):
    def test_given_tries_of_one_client_id_then_each_has_a_reservation_of_its_own(self):
        given = ReservationNameGenerator("10.0.0.1", 5)
        other = ReservationNameGenerator("10.0.0.1", 6)
        told = [given.next(), given.next(), other.next()]
        self.assertEqual(3, len(set(told)))
        self.assertLess(max(len(name) for name in told), 40)
        self.assertTrue(all(names._parse(name) for name in told))

    def test_given_two_requests_of_one_id_when_both_are_turns_then_both_count(self):
        async def play():
            fleet = BudgetFleet(random.Random(1))
            ports = [_Port(fleet, incarnation) for incarnation in (1, 2)]
            await asyncio.gather(*(_carry(Turns(port)) for port in (*ports, ports[0])))
            probe = Reserve("program", "", "probe", 0, 1, 1, False)
            return fleet.hosts["a"].machine.table.reserve(probe).total

        self.assertEqual(3 * MOST, virtual_time.run(play()))


class _Port:
    """A gateway's budget, as the data plane sees it."""

    def __init__(self, fleet, incarnation):
        self._client = BudgetClient(fleet.send, lambda shard: ADDRESSES, 1)
        self._names = ReservationNameGenerator("10.0.0.1", incarnation)

    def reservation_name(self, request_id):
        return self._names.next()

    async def reserve(self, service, command):
        return await self._client.reserve(command)

    def settle(self, service, command):
        self._client.settle(command)

    def spent_locally(self, program, max_tokens, budget):
        return False


async def _carry(turns):
    """One whole turn, and the time that its settlement takes."""
    turn = Turn("program", "session", "the same id", 1, MOST, BUDGET)
    exchange = SimpleNamespace(
        service=SimpleNamespace(name="model", stride=1), route=SimpleNamespace(retain_s=0)
    )
    client = SimpleNamespace(events=0, finished=False, success=False, started=False)

    async def forward(delivery):
        client = delivery.client
        client.events, client.finished, client.success, client.started = MOST, True, True, True

    delivery = Delivery(exchange, client, SimpleNamespace(may_have_run=True))
    await turns.run(turn, delivery, True, forward)
    await asyncio.sleep(1.0)
