"""Tests of the budget table: admission, retries, snapshots, bounds, and the encoding of commands."""

import random

import testtools

from kestrelbend.tier.budgets import snapshot_codec
from kestrelbend.tier.budgets.commands import decode_commands, encode_commands
from kestrelbend.tier.budgets.messages import Reserve, Settlement, TurnEnd, Verdict
from kestrelbend.tier.budgets.shards import shard_names, shard_of
from kestrelbend.tier.budgets.table import BudgetTable

MAX_TOKENS = 100


class Program:
    """Issues the commands of one program to a table."""

    def __init__(self, table, name="program", budget=1000):
        self.table = table
        self.name = name
        self.budget = budget

    def reserve(self, reservation, fingerprint=1, session="main", spare_capacity=False):
        command = Reserve(
            self.name, session, reservation, fingerprint, MAX_TOKENS, self.budget, spare_capacity
        )
        return self.table.reserve(command)

    def settle(self, reservation, used, end=TurnEnd.COMPLETE):
        self.table.settle(Settlement(self.name, reservation, used, end))

    def complete_turns(self, count):
        """Runs complete turns in different sessions."""
        for number in range(count):
            self.reserve(f"turn {number}", session=f"session {number}")
            self.settle(f"turn {number}", MAX_TOKENS)

    def interrupted_turn(self, end=TurnEnd.INTERRUPTED, used=MAX_TOKENS):
        self.reserve("first try", fingerprint=7)
        self.settle("first try", used, end)


def apply_random_commands(tables, rng, count):
    """Applies the same random commands to each table and checks that the outcomes are equal.

    The program names need JSON escapes.  Some commands are duplicates, and some turns stay open or fail.
    """
    for _ in range(count):
        name = f'prögram "{rng.randrange(12)}"'
        reservation, session = f"turn {rng.randrange(90)}", f"session {rng.randrange(3)}"
        if rng.random() < 0.6:
            reserve = Reserve(name, session, reservation, rng.randrange(4), MAX_TOKENS, 10**6, True)
            outcomes = {str(table.reserve(reserve)) for table in tables}
        else:
            end = rng.choice(list(TurnEnd))
            settlement = Settlement(name, reservation, rng.randrange(MAX_TOKENS), end)
            outcomes = {str(table.settle(settlement)) for table in tables}
        assert len(outcomes) == 1, outcomes


class BudgetTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = BudgetTable()
        self.program = Program(self.table, budget=250)

    def test_third_of_three_concurrent_turns_exceeds_a_budget_for_two(self):
        verdicts = [self.program.reserve(name, session=name).verdict for name in "abc"]
        self.assertEqual([Verdict.ADMITTED, Verdict.ADMITTED, Verdict.BUDGET_EXCEEDED], verdicts)

    def test_turn_that_uses_the_budget_exactly_is_admitted_and_one_token_less_rejects_it(self):
        for budget, verdict in ((200, Verdict.ADMITTED), (199, Verdict.BUDGET_EXCEEDED)):
            program = Program(self.table, f"of {budget}", budget)
            program.reserve("a", session="a")
            self.assertEqual(verdict, program.reserve("b", session="b").verdict)

    def test_settling_with_fewer_tokens_releases_the_rest(self):
        self.program.reserve("a")
        self.program.reserve("b", fingerprint=2, session="other")
        self.program.settle("a", 30)
        outcome = self.program.reserve("c", fingerprint=3)
        self.assertEqual((Verdict.ADMITTED, 230, 30), (outcome.verdict, outcome.total, outcome.settled))

    def test_settling_with_more_tokens_than_reserved_counts_the_delivered_tokens(self):
        self.program.reserve("a")
        self.program.settle("a", 160)
        self.assertEqual(
            (Verdict.BUDGET_EXCEEDED, 160, 160),
            self.verdict_and_totals(self.program.reserve("b", fingerprint=2)),
        )

    def test_program_without_a_budget_is_always_admitted(self):
        for budget in (0, -1):
            program = Program(self.table, f"without {budget}", budget)
            self.assertEqual({Verdict.ADMITTED}, {program.reserve(str(n), n).verdict for n in range(50)})

    def test_duplicate_reservation_gets_the_same_outcome_and_adds_no_tokens(self):
        for name in "abc":
            first = self.program.reserve(name, session=name)
            self.assertEqual(first, self.program.reserve(name, session=name))

    def test_duplicate_settlement_changes_nothing(self):
        self.program.reserve("a")
        self.program.settle("a", 60)
        self.program.settle("a", 60)
        self.assertEqual(160, self.program.reserve("b", fingerprint=2).total)

    def test_reservation_that_arrives_after_its_settlement_is_rejected(self):
        self.program.settle("early", 0, TurnEnd.NOT_EXECUTED)
        outcome = self.program.reserve("early")
        self.assertEqual((Verdict.RETRY_LATER, 0, 0), self.verdict_and_totals(outcome))
        self.assertGreater(outcome.retry_after_ms, 0)

    def verdict_and_totals(self, outcome):
        return outcome.verdict, outcome.total, outcome.settled


class RetryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.program = Program(BudgetTable(), budget=10_000)

    def retry(self, reservation="again", **other):
        outcome = self.program.reserve(reservation, fingerprint=7, **other)
        return outcome.verdict, outcome.retry_after_ms

    def test_retry_is_admitted_while_the_total_is_below_the_floor(self):
        self.program.interrupted_turn()
        self.assertEqual((Verdict.ADMITTED, 0), self.retry())

    def test_retries_beyond_their_share_are_rejected_with_retry_after(self):
        self.program.complete_turns(5)
        self.program.interrupted_turn()
        self.assertEqual((Verdict.ADMITTED, 0), self.retry("second"))
        self.program.settle("second", MAX_TOKENS, TurnEnd.INTERRUPTED)
        self.assertEqual((Verdict.RETRY_LATER, 1000), self.retry("third"))
        self.assertEqual((Verdict.ADMITTED, 0), self.retry("fourth", spare_capacity=True))

    def test_rejected_retry_is_admitted_after_more_turns(self):
        self.program.interrupted_turn()
        for name in ("second", "third"):
            self.retry(name, spare_capacity=True)
            self.program.settle(name, MAX_TOKENS, TurnEnd.INTERRUPTED)
        self.program.complete_turns(10)
        self.assertEqual(Verdict.RETRY_LATER, self.retry("fourth")[0])
        for number in range(10, 15):
            self.program.reserve(f"turn {number}", session=f"session {number}")
        self.assertEqual(Verdict.ADMITTED, self.retry("fifth")[0])

    def test_repeating_a_complete_turn_is_not_a_retry(self):
        self.program.complete_turns(5)
        for number in range(20):
            self.assertEqual(Verdict.ADMITTED, self.retry(str(number))[0])
            self.program.settle(str(number), MAX_TOKENS)

    def test_repeating_an_open_turn_is_a_retry_and_both_stay_reserved(self):
        self.program.complete_turns(2)
        self.program.reserve("first try", fingerprint=7)
        self.assertEqual(400, self.program.reserve("second", fingerprint=7).total)
        self.assertEqual(Verdict.RETRY_LATER, self.retry("third")[0])

    def test_retries_that_were_not_executed_are_not_counted(self):
        self.program.complete_turns(8)
        self.program.interrupted_turn(TurnEnd.NOT_EXECUTED, 0)
        for number in range(20):
            self.assertEqual(Verdict.ADMITTED, self.retry(str(number))[0])
            self.program.settle(str(number), 0, TurnEnd.NOT_EXECUTED)

    def test_retry_beyond_the_budget_gets_budget_exceeded_and_is_not_counted(self):
        self.program.budget = 400
        self.program.complete_turns(3)
        self.program.interrupted_turn()
        for number in range(9):
            self.assertEqual((Verdict.BUDGET_EXCEEDED, 0), self.retry(str(number)))
        self.program.budget = 1000
        self.assertEqual(Verdict.ADMITTED, self.retry("later")[0])


class BoundsTest(testtools.TestCase):
    def test_restored_table_gives_the_same_outcomes_as_the_original(self):
        table = BudgetTable(max_active=2)
        programs = [Program(table, f"program {number}") for number in range(4)]
        for program in programs:
            program.complete_turns(2)
            program.interrupted_turn()
        programs[-1].reserve("open", fingerprint=9)
        copy = BudgetTable(max_active=2)
        copy.restore(table.snapshot())
        for number in (3, 0, 1):
            programs[number].table = table
            outcome = programs[number].reserve("next", fingerprint=7)
            programs[number].table = copy
            self.assertEqual(outcome, programs[number].reserve("next", fingerprint=7))
        self.assertEqual(table.snapshot(), copy.snapshot())

    def test_snapshot_in_steps_holds_the_state_at_its_start(self):
        for seed in range(30):
            rng = random.Random(seed)
            table, other = BudgetTable(4, 20), BudgetTable(4, 20)
            apply_random_commands((table, other), rng, 200)
            expected, pending_snapshot, state = table.snapshot(), table.begin_snapshot(), None
            while state is None:
                apply_random_commands((table, other), rng, 3)
                state = pending_snapshot.advance()
            self.assertEqual(expected, state)
            apply_random_commands((table, other), rng, 50)
            self.assertEqual(other.snapshot(), table.snapshot())

    def test_restored_table_produces_the_same_snapshot_bytes_after_further_use(self):
        for seed in range(30):
            rng = random.Random(seed)
            table, restored = BudgetTable(4, 20), BudgetTable(4, 20)
            self.patch(snapshot_codec, "IDLE_PROGRAMS_PER_LINE", rng.randint(1, 4))
            apply_random_commands((table,), rng, 200)
            restored.restore(table.begin_snapshot().finish())
            apply_random_commands((table, restored), rng, 60)
            self.assertEqual(table.snapshot(), restored.snapshot())

    def test_overlapping_snapshots_each_hold_the_state_at_their_own_start(self):
        table = BudgetTable(4, 20)
        rng = random.Random(1)
        apply_random_commands((table,), rng, 50)
        first, before = table.begin_snapshot(), table.snapshot()
        apply_random_commands((table,), rng, 50)
        second, after = table.begin_snapshot(), table.snapshot()
        apply_random_commands((table,), rng, 50)
        self.assertEqual(after, second.finish())
        apply_random_commands((table,), rng, 50)
        self.assertEqual(before, first.finish())

    def test_no_snapshot_step_of_a_large_table_encodes_more_than_a_few_programs(self):
        table = BudgetTable()
        for number in range(400):
            Program(table, f"program {number}", budget=10**9).complete_turns(70)
        pending_snapshot, lines, max_lines = table.begin_snapshot(), 0, 0
        while pending_snapshot.advance() is None:
            max_lines = max(max_lines, pending_snapshot.line_count - lines)
            lines = pending_snapshot.line_count
        self.assertLess(max_lines, 40)

    def test_totals_of_an_idle_program_are_kept_when_it_becomes_active_again(self):
        table = BudgetTable(max_active=4)
        returning = Program(table, "old")
        returning.complete_turns(3)
        with_open_turn = Program(table, "open")
        with_open_turn.reserve("a")
        for number in range(50):
            Program(table, f"program {number}").complete_turns(1)
        self.assertEqual(400, returning.reserve("next").total)
        with_open_turn.settle("a", 20)
        self.assertEqual(20, with_open_turn.reserve("b", fingerprint=2).settled)

    def test_open_turn_of_a_program_that_becomes_idle_counts_at_its_maximum(self):
        table = BudgetTable(max_active=4)
        for number in range(9):
            Program(table, f"program {number}").reserve("a")
        outcome = Program(table, "program 0").reserve("b", fingerprint=2)
        self.assertEqual((200, 100), (outcome.total, outcome.settled))

    def test_table_size_stays_bounded_with_many_programs_and_turns(self):
        table = BudgetTable(max_active=4, max_idle=8)
        for number in range(300):
            Program(table, f"program {number}").reserve("a")
            Program(table, "endless").reserve(f"turn {number}", session=f"session {number}")
        self.assertLess(len(table.snapshot()), 20_000)


class CommandsAndShardsTest(testtools.TestCase):
    def test_commands_are_unchanged_by_encoding_and_decoding(self):
        settlements = (Settlement("prögram", "a", 7, 2), Settlement("", "", 0, 0))
        reserves = (Reserve("prögram", "session", "r", 2**63 - 1, 5, -1, True),)
        self.assertEqual(
            ([*settlements], [*reserves]), decode_commands(encode_commands(settlements, reserves))
        )

    def test_programs_are_spread_evenly_over_shards_by_a_fixed_hash(self):
        shards = [shard_of(f"program {number}", 4) for number in range(4000)]
        self.assertEqual(set(shard_names(4)), set(shards))
        self.assertTrue(all(800 < shards.count(name) < 1200 for name in shard_names(4)))
        self.assertEqual("budget-3", shard_of("3fa81c", 4))
