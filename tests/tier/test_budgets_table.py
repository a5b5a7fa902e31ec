"""What a program's counter admits, refuses and takes back."""

import random

import testtools

from kestrelbend.tier.budgets import snapshot_codec
from kestrelbend.tier.budgets.commands import decode_commands, encode_commands
from kestrelbend.tier.budgets.messages import Reserve, Settlement, TurnEnd, Verdict
from kestrelbend.tier.budgets.shards import shard_names, shard_of
from kestrelbend.tier.budgets.table import BudgetTable

MOST = 100


class Program:
    """One program's turns at a table."""

    def __init__(self, table, name="program", budget=1000):
        self.table = table
        self.name = name
        self.budget = budget

    def reserve(self, reservation, fingerprint=1, session="main", spare_capacity=False):
        command = Reserve(self.name, session, reservation, fingerprint, MOST, self.budget, spare_capacity)
        return self.table.reserve(command)

    def settle(self, reservation, used, end=TurnEnd.COMPLETE):
        self.table.settle(Settlement(self.name, reservation, used, end))

    def turns(self, count):
        """Whole turns of different sessions."""
        for number in range(count):
            self.reserve(f"turn {number}", session=f"session {number}")
            self.settle(f"turn {number}", MOST)

    def broken_turn(self, end=TurnEnd.INTERRUPTED, used=MOST):
        self.reserve("first try", fingerprint=7)
        self.settle("first try", used, end)


def play(tables, chance, count):
    """The same commands for each table; names need escapes, and turns repeat, stay open and fail."""
    for _ in range(count):
        name = f'prögram "{chance.randrange(12)}"'
        reservation, session = f"turn {chance.randrange(90)}", f"session {chance.randrange(3)}"
        if chance.random() < 0.6:
            reserve = Reserve(name, session, reservation, chance.randrange(4), MOST, 10**6, True)
            outcomes = {str(table.reserve(reserve)) for table in tables}
        else:
            end = chance.choice(list(TurnEnd))
            settlement = Settlement(name, reservation, chance.randrange(MOST), end)
            outcomes = {str(table.settle(settlement)) for table in tables}
        assert len(outcomes) == 1, outcomes


class BudgetTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = BudgetTable()
        self.program = Program(self.table, budget=250)

    def test_given_room_for_two_turns_when_three_come_at_once_then_the_third_is_spent(self):
        verdicts = [self.program.reserve(name, session=name).verdict for name in "abc"]
        self.assertEqual([Verdict.ADMITTED, Verdict.ADMITTED, Verdict.BUDGET_EXCEEDED], verdicts)

    def test_given_a_budget_that_turns_fill_exactly_when_it_is_one_token_less_then_the_last_is_spent(self):
        for budget, verdict in ((200, Verdict.ADMITTED), (199, Verdict.BUDGET_EXCEEDED)):
            program = Program(self.table, f"of {budget}", budget)
            program.reserve("a", session="a")
            self.assertEqual(verdict, program.reserve("b", session="b").verdict)

    def test_given_a_turn_ends_early_when_settled_then_its_tokens_come_back(self):
        self.program.reserve("a")
        self.program.reserve("b", fingerprint=2, session="other")
        self.program.settle("a", 30)
        outcome = self.program.reserve("c", fingerprint=3)
        self.assertEqual((Verdict.ADMITTED, 230, 30), (outcome.verdict, outcome.total, outcome.settled))

    def test_given_more_was_handed_out_than_reserved_when_settled_then_the_true_figure_counts(self):
        self.program.reserve("a")
        self.program.settle("a", 160)
        self.assertEqual(
            (Verdict.BUDGET_EXCEEDED, 160, 160), self.figures(self.program.reserve("b", fingerprint=2))
        )

    def test_given_no_budget_when_turns_come_then_all_are_admitted(self):
        for budget in (0, -1):
            program = Program(self.table, f"without {budget}", budget)
            self.assertEqual({Verdict.ADMITTED}, {program.reserve(str(n), n).verdict for n in range(50)})

    def test_given_an_outcome_when_the_command_is_repeated_then_it_is_the_same_and_adds_nothing(self):
        for name in "abc":
            first = self.program.reserve(name, session=name)
            self.assertEqual(first, self.program.reserve(name, session=name))

    def test_given_a_settlement_when_it_is_repeated_then_nothing_changes(self):
        self.program.reserve("a")
        self.program.settle("a", 60)
        self.program.settle("a", 60)
        self.assertEqual(160, self.program.reserve("b", fingerprint=2).total)

    def test_given_a_settled_turn_when_its_reservation_comes_late_then_it_is_not_admitted(self):
        self.program.settle("early", 0, TurnEnd.NOT_EXECUTED)
        outcome = self.program.reserve("early")
        self.assertEqual((Verdict.RETRY_LATER, 0, 0), self.figures(outcome))
        self.assertGreater(outcome.retry_after_ms, 0)

    def figures(self, outcome):
        return outcome.verdict, outcome.total, outcome.settled


class RetryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.program = Program(BudgetTable(), budget=10_000)

    def retry(self, reservation="again", **other):
        outcome = self.program.reserve(reservation, fingerprint=7, **other)
        return outcome.verdict, outcome.retry_after_ms

    def test_given_few_turns_when_a_broken_one_is_repeated_then_the_floor_admits_it(self):
        self.program.broken_turn()
        self.assertEqual((Verdict.ADMITTED, 0), self.retry())

    def test_given_many_turns_when_retries_pass_their_share_then_they_are_told_when_to_come_back(self):
        self.program.turns(5)
        self.program.broken_turn()
        self.assertEqual((Verdict.ADMITTED, 0), self.retry("second"))
        self.program.settle("second", MOST, TurnEnd.INTERRUPTED)
        self.assertEqual((Verdict.RETRY_LATER, 1000), self.retry("third"))
        self.assertEqual((Verdict.ADMITTED, 0), self.retry("fourth", spare_capacity=True))

    def test_given_a_refused_retry_when_more_turns_ran_then_the_retry_is_admitted(self):
        self.program.broken_turn()
        for name in ("second", "third"):
            self.retry(name, spare_capacity=True)
            self.program.settle(name, MOST, TurnEnd.INTERRUPTED)
        self.program.turns(10)
        self.assertEqual(Verdict.RETRY_LATER, self.retry("fourth")[0])
        for number in range(10, 15):
            self.program.reserve(f"turn {number}", session=f"session {number}")
        self.assertEqual(Verdict.ADMITTED, self.retry("fifth")[0])

    def test_given_a_whole_turn_when_the_same_comes_again_then_it_is_no_retry(self):
        self.program.turns(5)
        for number in range(20):
            self.assertEqual(Verdict.ADMITTED, self.retry(str(number))[0])
            self.program.settle(str(number), MOST)

    def test_given_a_turn_is_open_when_it_is_repeated_then_both_stay_reserved_and_one_is_a_retry(self):
        self.program.turns(2)
        self.program.reserve("first try", fingerprint=7)
        self.assertEqual(400, self.program.reserve("second", fingerprint=7).total)
        self.assertEqual(Verdict.RETRY_LATER, self.retry("third")[0])

    def test_given_retries_that_did_not_run_when_repeated_then_they_count_for_nothing(self):
        self.program.turns(8)
        self.program.broken_turn(TurnEnd.NOT_EXECUTED, 0)
        for number in range(20):
            self.assertEqual(Verdict.ADMITTED, self.retry(str(number))[0])
            self.program.settle(str(number), 0, TurnEnd.NOT_EXECUTED)

    def test_given_the_budget_is_spent_when_a_turn_is_repeated_then_it_is_spent_and_no_retry(self):
        self.program.budget = 400
        self.program.turns(3)
        self.program.broken_turn()
        for number in range(9):
            self.assertEqual((Verdict.BUDGET_EXCEEDED, 0), self.retry(str(number)))
        self.program.budget = 1000
        self.assertEqual(Verdict.ADMITTED, self.retry("later")[0])


class BoundsTest(testtools.TestCase):
    def test_given_a_table_when_saved_and_restored_then_it_goes_on_as_before(self):
        table = BudgetTable(max_active=2)
        programs = [Program(table, f"program {number}") for number in range(4)]
        for program in programs:
            program.turns(2)
            program.broken_turn()
        programs[-1].reserve("open", fingerprint=9)
        copy = BudgetTable(max_active=2)
        copy.restore(table.snapshot())
        for number in (3, 0, 1):
            programs[number].table = table
            outcome = programs[number].reserve("next", fingerprint=7)
            programs[number].table = copy
            self.assertEqual(outcome, programs[number].reserve("next", fingerprint=7))
        self.assertEqual(table.snapshot(), copy.snapshot())

    def test_given_a_table_in_use_when_saved_step_by_step_then_it_is_the_one_of_the_beginning(self):
        for seed in range(30):
            chance = random.Random(seed)
            table, other = BudgetTable(4, 20), BudgetTable(4, 20)
            play((table, other), chance, 200)
            expected, image, state = table.snapshot(), table.begin_snapshot(), None
            while state is None:
                play((table, other), chance, 3)
                state = image.advance()
            self.assertEqual(expected, state)
            play((table, other), chance, 50)
            self.assertEqual(other.snapshot(), table.snapshot())

    def test_given_a_restored_table_when_used_then_it_saves_the_same_bytes_as_the_original(self):
        for seed in range(30):
            chance = random.Random(seed)
            table, restored = BudgetTable(4, 20), BudgetTable(4, 20)
            self.patch(snapshot_codec, "IDLE_PROGRAMS_PER_LINE", chance.randint(1, 4))
            play((table,), chance, 200)
            restored.restore(table.begin_snapshot().finish())
            play((table, restored), chance, 60)
            self.assertEqual(table.snapshot(), restored.snapshot())

    def test_given_a_second_snapshot_when_the_first_goes_on_then_each_is_of_its_own_moment(self):
        table = BudgetTable(4, 20)
        chance = random.Random(1)
        play((table,), chance, 50)
        first, before = table.begin_snapshot(), table.snapshot()
        play((table,), chance, 50)
        second, after = table.begin_snapshot(), table.snapshot()
        play((table,), chance, 50)
        self.assertEqual(after, second.finish())
        play((table,), chance, 50)
        self.assertEqual(before, first.finish())

    def test_given_the_largest_table_when_it_is_saved_then_no_step_writes_more_than_a_few_programs(self):
        table = BudgetTable()
        for number in range(400):
            Program(table, f"program {number}", budget=10**9).turns(70)
        image, lines, most = table.begin_snapshot(), 0, 0
        while image.advance() is None:
            most = max(most, image.line_count - lines)
            lines = image.line_count
        self.assertLess(most, 40)

    def test_given_more_programs_than_are_kept_when_one_comes_back_then_its_tokens_are_known(self):
        table = BudgetTable(max_active=4)
        old = Program(table, "old")
        old.turns(3)
        still_open = Program(table, "open")
        still_open.reserve("a")
        for number in range(50):
            Program(table, f"program {number}").turns(1)
        self.assertEqual(400, old.reserve("next").total)
        still_open.settle("a", 20)
        self.assertEqual(20, still_open.reserve("b", fingerprint=2).settled)

    def test_given_all_programs_have_open_turns_when_one_must_go_then_it_counts_at_its_most(self):
        table = BudgetTable(max_active=4)
        for number in range(9):
            Program(table, f"program {number}").reserve("a")
        outcome = Program(table, "program 0").reserve("b", fingerprint=2)
        self.assertEqual((200, 100), (outcome.total, outcome.settled))

    def test_given_endless_programs_and_turns_when_they_go_on_then_the_table_stays_small(self):
        table = BudgetTable(max_active=4, max_idle=8)
        for number in range(300):
            Program(table, f"program {number}").reserve("a")
            Program(table, "endless").reserve(f"turn {number}", session=f"session {number}")
        self.assertLess(len(table.snapshot()), 20_000)


class CarriedTest(testtools.TestCase):
    def test_given_commands_when_encoded_and_decoded_then_they_are_the_same(self):
        settlements = (Settlement("prögram", "a", 7, 2), Settlement("", "", 0, 0))
        reserves = (Reserve("prögram", "session", "r", 2**63 - 1, 5, -1, True),)
        self.assertEqual(
            ([*settlements], [*reserves]), decode_commands(encode_commands(settlements, reserves))
        )

    def test_given_programs_when_spread_over_shards_then_each_has_its_share_and_keeps_it(self):
        shards = [shard_of(f"program {number}", 4) for number in range(4000)]
        self.assertEqual(set(shard_names(4)), set(shards))
        self.assertTrue(all(800 < shards.count(name) < 1200 for name in shard_names(4)))
        self.assertEqual("budget-3", shard_of("3fa81c", 4))
