"""Tests of duplicate commands and returning programs beyond the bounds of what a table keeps.

Each test goes just past one bound: 64 closed reservations and 64 sessions per program, active programs, idle
programs, and gateway incarnations.
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

MAX_TOKENS = 100
BUDGET = 100_000


class Gateway:
    """One incarnation of a gateway that applies its commands directly to a table."""

    def __init__(self, table, incarnation=1):
        self.table = table
        self.names = ReservationNameGenerator("10.0.0.1", incarnation)

    def command(self, name="program", session="main", fingerprint=1, budget=BUDGET, retain_s=0):
        return Reserve(name, session, self.names.next(), fingerprint, MAX_TOKENS, budget, False, retain_s)

    def reserve(self, *arguments, **options):
        return self.table.reserve(self.command(*arguments, **options))

    def settle(self, command, used=MAX_TOKENS, end=TurnEnd.COMPLETE):
        self.table.settle(Settlement(command.program, command.reservation, used, end))

    def complete_turns(self, count, name="program"):
        for number in range(count):
            command = self.command(name, fingerprint=1000 + number)
            self.table.reserve(command)
            self.settle(command)


class NamesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = BudgetTable()
        self.gateway = Gateway(self.table)

    def reserved_and_settled(self, name="program"):
        """Returns the program's reserved and settled tokens."""
        outcome = self.table.reserve(Reserve(name, "", "probe", 0, 1, 1, False))
        return outcome.total - outcome.settled, outcome.settled

    def test_duplicate_of_a_closed_reservation_is_rejected_after_its_name_was_dropped(self):
        for later_turns in (
            MAX_CLOSED_RESERVATIONS - 1,
            MAX_CLOSED_RESERVATIONS,
            3 * MAX_CLOSED_RESERVATIONS,
        ):
            table = BudgetTable()
            gateway = Gateway(table)
            command = gateway.command()
            table.reserve(command)
            gateway.settle(command, used=40)
            gateway.complete_turns(later_turns)
            duplicate = table.reserve(command)
            self.assertEqual(Verdict.RETRY_LATER, duplicate.verdict)
            self.assertEqual(40 + later_turns * MAX_TOKENS, duplicate.total, "no token is held")

    def test_tokens_of_a_duplicate_settlement_count_once_after_its_name_was_dropped(self):
        command = self.gateway.command()
        self.table.reserve(command)
        self.gateway.settle(command, used=40)
        self.gateway.complete_turns(MAX_CLOSED_RESERVATIONS)
        self.table.reserve(command)
        self.gateway.settle(command, used=40)
        self.assertEqual((0, 40 + MAX_CLOSED_RESERVATIONS * MAX_TOKENS), self.reserved_and_settled())

    def test_reservation_after_its_settlement_is_rejected_after_its_name_was_dropped(
        self,
    ):
        command = self.gateway.command()
        self.gateway.settle(command, used=0, end=TurnEnd.NOT_EXECUTED)
        self.gateway.complete_turns(MAX_CLOSED_RESERVATIONS)
        self.assertEqual(Verdict.RETRY_LATER, self.table.reserve(command).verdict)
        self.assertEqual((0, MAX_CLOSED_RESERVATIONS * MAX_TOKENS), self.reserved_and_settled())

    def test_open_reservation_is_still_recognised_after_many_others_closed(self):
        command = self.gateway.command()
        self.table.reserve(command)
        self.gateway.complete_turns(2 * MAX_CLOSED_RESERVATIONS)
        self.assertEqual(Verdict.ADMITTED, self.table.reserve(command).verdict)
        self.assertEqual((MAX_TOKENS, 2 * MAX_CLOSED_RESERVATIONS * MAX_TOKENS), self.reserved_and_settled())

    def test_duplicate_of_an_open_turn_counts_once_after_its_program_became_idle(self):
        table = BudgetTable(max_active=2)
        gateway = Gateway(table)
        command = gateway.command()
        table.reserve(command)
        for number in range(4):
            gateway.reserve(f"other {number}")
        outcome = table.reserve(command)
        self.assertEqual((Verdict.RETRY_LATER, MAX_TOKENS), (outcome.verdict, outcome.total))

    def test_forgotten_names_are_part_of_the_snapshot(self):
        command = self.gateway.command()
        self.table.reserve(command)
        self.gateway.settle(command)
        self.gateway.complete_turns(MAX_CLOSED_RESERVATIONS)
        copy = BudgetTable()
        copy.restore(self.table.snapshot())
        self.assertEqual(Verdict.RETRY_LATER, copy.reserve(command).verdict)
        self.assertEqual(self.table.reserve(command), copy.reserve(command))
        self.assertEqual(self.table.snapshot(), copy.snapshot())

    def test_new_reservations_are_admitted_after_names_were_forgotten(self):
        self.gateway.complete_turns(2 * MAX_CLOSED_RESERVATIONS)
        restarted = Gateway(self.table, incarnation=2)
        self.assertEqual(Verdict.ADMITTED, self.gateway.reserve(fingerprint=1).verdict)
        self.assertEqual(Verdict.ADMITTED, restarted.reserve(session="b", fingerprint=2).verdict)

    def test_forgotten_names_keep_the_most_recent_incarnations(self):
        forgotten = ForgottenNames()
        for incarnation in range(MAX_INCARNATIONS + 1):
            forgotten.add(ReservationNameGenerator("10.0.0.1", incarnation).next())
        known = [
            ReservationNameGenerator("10.0.0.1", incarnation).next() in forgotten
            for incarnation in range(MAX_INCARNATIONS + 1)
        ]
        self.assertEqual([False] + [True] * MAX_INCARNATIONS, known)

    def test_names_not_generated_by_a_gateway_are_never_forgotten(self):
        forgotten = ForgottenNames({"a@1": 9})
        for name in ("", "try-1", "a@1", "a@1.", "a@1.-3", "a@1.²", "a.5", "b@1.5"):
            forgotten.add(name)
            self.assertNotIn("a@1.10", forgotten)
        self.assertIn("a@1.9", forgotten)

    def test_budget_holds_for_a_retry_whose_session_was_dropped(self):
        """Beyond the bound a retry counts as a first attempt: only the retry share is relaxed."""
        gateway = self.gateway
        interrupted = gateway.command(session="first", fingerprint=7)
        self.table.reserve(interrupted)
        gateway.settle(interrupted, end=TurnEnd.INTERRUPTED)
        for number in range(MAX_SESSIONS):
            command = gateway.command(session=f"session {number}")
            self.table.reserve(command)
            gateway.settle(command)
        budget = self.reserved_and_settled()[1] + MAX_TOKENS
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

    def test_full_table_rejects_new_programs_and_serves_known_ones(self):
        self.assertEqual([Verdict.ADMITTED] * 12, self.fill(0, 12))
        outcome = self.gateway.reserve("program 12")
        self.assertEqual((Verdict.RETRY_LATER, 0), (outcome.verdict, outcome.total))
        self.assertGreater(outcome.retry_after_ms, 0)
        self.assertEqual(2 * MAX_TOKENS, self.gateway.reserve("program 0", fingerprint=2).total)

    def test_expired_programs_of_a_full_table_are_replaced_by_new_ones(self):
        self.fill(0, 12)
        self.table.advance(DEFAULT_RETAIN_S * 1000)
        self.assertEqual([Verdict.RETRY_LATER], self.fill(12, 1))
        self.table.advance(1)
        self.assertEqual([Verdict.ADMITTED] * 12, self.fill(12, 12))
        self.assertEqual([Verdict.RETRY_LATER], self.fill(24, 1))

    def test_program_with_a_longer_retention_is_kept_when_others_expire(self):
        self.gateway.reserve("stays", retain_s=2 * DEFAULT_RETAIN_S)
        self.fill(0, 11)
        self.table.advance(DEFAULT_RETAIN_S * 1000 + 1)
        self.assertEqual([Verdict.ADMITTED] * 4, self.fill(11, 4))
        self.assertEqual(2 * MAX_TOKENS, self.gateway.reserve("stays", fingerprint=2).total)

    def test_expired_programs_are_found_among_many_with_a_longer_retention(self):
        table = BudgetTable(max_active=4, max_idle=100)
        gateway = Gateway(table)
        for number in range(50):
            gateway.reserve(f"long {number}", retain_s=10 * DEFAULT_RETAIN_S)
        for number in range(54):
            gateway.reserve(f"short {number}")
        table.advance(DEFAULT_RETAIN_S * 1000 + 1)
        verdicts = [gateway.reserve(f"new {number}").verdict for number in range(60)]
        self.assertEqual([Verdict.ADMITTED] * 40, verdicts[10:50])
        self.assertEqual(2 * MAX_TOKENS, gateway.reserve("long 0", fingerprint=2).total)

    def test_totals_of_an_inactive_program_survive_a_restore_from_a_snapshot(self):
        self.gateway.complete_turns(3, "stopped")
        self.fill(0, 11)
        self.table.advance(DEFAULT_RETAIN_S * 500)
        copy = BudgetTable(max_active=4, max_idle=8)
        copy.restore(self.table.snapshot())
        copy.advance(DEFAULT_RETAIN_S * 500)
        outcome = copy.reserve(Gateway(copy, incarnation=2).command("stopped", fingerprint=2))
        self.assertEqual((Verdict.ADMITTED, 4 * MAX_TOKENS), (outcome.verdict, outcome.total))

    def test_reservation_is_rejected_if_its_settlement_came_when_the_table_was_full(
        self,
    ):
        self.fill(0, 12)
        command = self.gateway.command("late")
        self.gateway.settle(command, used=0, end=TurnEnd.NOT_EXECUTED)
        self.table.advance(DEFAULT_RETAIN_S * 1000 + 1)
        self.assertEqual(Verdict.RETRY_LATER, self.table.reserve(command).verdict)

    def test_table_keeps_all_programs_at_the_design_load_for_the_default_retention(self):
        """The design load of docs/CAPACITY.md: 64,000 concurrent programs and 2,200 turns per second on six
        shards.  Programs have at least two turns, so at most 1,100 start per second, 184 per shard."""
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
            self.assertEqual(2 * MAX_TOKENS, gateway.reserve(name, fingerprint=2).total)


class ElapsedTimeTest(testtools.TestCase):
    """The table's time is measured with the owner's monotonic clock and never runs ahead of real time."""

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

    def send_request(self):
        self.service.request(BudgetRequest("budget-0", (), ()), lambda reply: None)

    def test_entries_of_one_owner_carry_all_elapsed_time(self):
        self.send_request()
        for _ in range(1000):
            self.now += 0.0015
            self.send_request()
        self.assertEqual(0, self.entries[0])
        self.assertIn(sum(self.entries), (1499, 1500))

    def test_time_between_two_epochs_of_ownership_is_not_counted(self):
        self.send_request()
        self.now += 30.0
        self.term = 3
        self.send_request()
        self.now += 2.0
        self.send_request()
        self.assertEqual([0, 0, 2000], self.entries)


class RandomDuplicatesTest(testtools.TestCase):
    """Requests arrive twice and late, and the table remembers only two closed reservations.

    Guards against tokens counted twice and against tokens delivered beyond the budget.
    """

    budget = 1500

    def test_no_turn_counts_twice_under_random_faults_with_two_remembered_names(self):
        self.patch(program, "MAX_CLOSED_RESERVATIONS", 2)
        for seed in range(40):
            virtual_time.run(self.scenario(seed))

    async def scenario(self, seed):
        rng = random.Random(seed)
        fleet = BudgetFleet(rng, Faults(duplicated=0.4, reply_lost=0.1, delay_s=0.1))
        gateways = [
            (
                BudgetClient(fleet.send, lambda shard: ADDRESSES, 1),
                ReservationNameGenerator("10.0.0.1", incarnation),
            )
            for incarnation in range(2)
        ]
        delivered = 0

        async def turn(number):
            nonlocal delivered
            await asyncio.sleep(rng.uniform(0, 8))
            client, name_generator = rng.choice(gateways)
            command = Reserve(
                "program", str(number), name_generator.next(), number, MAX_TOKENS, self.budget, True
            )
            outcome = await client.reserve(command, max_wait_s=rng.choice((0.05, 1.0)))
            if outcome.verdict == Verdict.ADMITTED:
                used = rng.randint(0, MAX_TOKENS)
                delivered += used
                self.assertLessEqual(delivered, self.budget)
                client.settle(Settlement("program", command.reservation, used, TurnEnd.COMPLETE))

        await asyncio.gather(*(turn(number) for number in range(60)))
        fleet.faults = Faults()
        await asyncio.sleep(5)
        closed = [await client.close(max_wait_s=5) for client, _ in gateways]
        self.assertEqual([True, True], closed)
        probe = fleet.hosts["b"].shard_state.table.reserve(Reserve("program", "", "probe", 0, 1, 1, False))
        self.assertEqual((delivered, delivered), (probe.total, probe.settled), f"seed {seed}")


class SettlementsTest(testtools.TestCase):
    def test_turns_whose_settlements_were_dropped_count_at_their_maximum(self):
        async def scenario():
            fleet = BudgetFleet(random.Random(1))
            settings = ClientSettings(max_pending_settlements=2)
            client = BudgetClient(fleet.send, lambda shard: ADDRESSES, 1, settings)
            name_generator = ReservationNameGenerator("10.0.0.1", 1)
            commands = [
                Reserve("program", str(n), name_generator.next(), n, MAX_TOKENS, BUDGET, True)
                for n in range(5)
            ]
            for command in commands:
                await client.reserve(command)
            fleet.faults = Faults(connection_reset=1.0)
            for command in commands:
                client.settle(Settlement("program", command.reservation, 10, TurnEnd.COMPLETE))
            await asyncio.sleep(1.0)
            self.assertEqual(2, client.pending_settlements)
            fleet.faults = Faults()
            self.assertTrue(await client.close(max_wait_s=5))
            probe = Reserve("program", "", "probe", 0, 1, 1, False)
            outcome = fleet.hosts["a"].shard_state.table.reserve(probe)
            self.assertEqual((3 * MAX_TOKENS + 20, 20), (outcome.total, outcome.settled))

        virtual_time.run(scenario())


class ReservationNameTest(testtools.TestCase):
    def test_each_attempt_gets_a_reservation_name_of_its_own(self):
        name_generator = ReservationNameGenerator("10.0.0.1", 5)
        other = ReservationNameGenerator("10.0.0.1", 6)
        reservation_names = [name_generator.next(), name_generator.next(), other.next()]
        self.assertEqual(3, len(set(reservation_names)))
        self.assertLess(max(len(name) for name in reservation_names), 40)
        self.assertTrue(all(names._parse(name) for name in reservation_names))

    def test_turns_with_the_same_request_id_are_counted_separately(self):
        async def scenario():
            fleet = BudgetFleet(random.Random(1))
            ports = [_BudgetPort(fleet, incarnation) for incarnation in (1, 2)]
            await asyncio.gather(*(_run_turn(Turns(port)) for port in (*ports, ports[0])))
            probe = Reserve("program", "", "probe", 0, 1, 1, False)
            return fleet.hosts["a"].shard_state.table.reserve(probe).total

        self.assertEqual(3 * MAX_TOKENS, virtual_time.run(scenario()))


class _BudgetPort:
    """The data plane's budget interface (`ports.Budget`) on top of a `BudgetClient`."""

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


async def _run_turn(turns):
    """Runs one complete turn and waits until it is settled."""
    turn = Turn("program", "session", "the same id", 1, MAX_TOKENS, BUDGET)
    exchange = SimpleNamespace(
        service=SimpleNamespace(name="model", stride=1), route=SimpleNamespace(retain_s=0)
    )
    client = SimpleNamespace(events=0, finished=False, success=False, started=False)

    async def forward(delivery):
        client = delivery.client
        client.events, client.finished, client.success, client.started = MAX_TOKENS, True, True, True

    delivery = Delivery(exchange, client, SimpleNamespace(may_have_run=True))
    await turns.run(turn, delivery, True, forward)
    await asyncio.sleep(1.0)
