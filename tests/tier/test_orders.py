"""Stories of orders whose answers are lost: two operators, one base, one number, every control node.

Whatever happens between, one of the two is taken and the other is refused, at every node and for ever after.
"""

import asyncio
import random

import testtools

from kestrelbend.tier.configuration import document_orders
from kestrelbend.tier.configuration.messages import UNDETERMINED, ConfigOrder, OrderKind
from kestrelbend.tier.configuration.shard_service import (
    LARGE_ORDER_BYTES,
    ConfigurationStateMachine,
    ConfigurationService,
    ShardNotOpen,
)
from kestrelbend.tier.fleet.http import Reply
from kestrelbend.tier.fleet.operator import BASE_VERSION
from kestrelbend.tier.fleet.faults import owner_machine
from kestrelbend.tier.membership.placement import CONFIGURATION_SHARD
from kestrelbend.tier.protocol.codec import decode
from tests.tier.test_configuration_state import put
from tests.tier.fleet_story import FleetStory
from tests.tier.virtual_time import run

CALL_S = 1.0
TRIES = 30
AT_ONCE = 8


def twins(world):
    """Two orders of the same number on the same base with different bodies."""
    first = world.operator.put()
    second = world.operator.put(first.base)
    while second.version != first.version:
        second = world.operator.put(first.base)
    return first, second


async def send_once(world, order, machine):
    """One try at one node; the reply, or None without one."""
    order.sent_at = order.sent_at or world.fleet.now()
    headers = [(BASE_VERSION, str(order.base).encode())]
    address = machine.spec.control_address
    path = f"/api/Config.{order.kind}"
    reply = await world.fleet.http.call(address, "POST", path, headers, order.body, CALL_S)
    return reply if isinstance(reply, Reply) else None


async def clear_answer(world, order, machine):
    """The first clear answer of one node, noted by the rules of answers; 0 where none came."""
    for _ in range(TRIES):
        reply = await send_once(world, order, machine)
        if reply is not None and reply.status != 503:
            world.operator._answered(order, reply, machine.spec.control_address)
            return reply.status
        await asyncio.sleep(0.2)
    return 0


async def answers_everywhere(world, orders):
    """For each order the clear answers of all control nodes."""
    answers = []
    for order in orders:
        answers.append(
            [await clear_answer(world, order, machine) for machine in world.fleet.control_machines()]
        )
    return answers


def expect_one_taken(world, answers, when):
    """One order is taken at all nodes, the other one refused with 412 at all of them."""
    count = len(answers[0])
    if sorted(answers) != [[200] * count, [412] * count]:
        world.fleet.report_violation(f"{when}: {answers}")


async def lose_answers(world, orders, rng):
    """Sends the orders at different nodes at once, and repeats them elsewhere; no answer is looked at."""
    sending = []
    for order in orders:
        for machine in rng.sample(world.fleet.control_machines(), 2):
            sending.append(asyncio.create_task(send_once(world, order, machine)))
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.01))))
    return sending


class TestRaces(FleetStory):
    def race(self, trouble):
        async def story(world):
            rng = random.Random(f"orders {world.fleet.seed}")
            orders = twins(world)
            sending = await lose_answers(world, orders, rng)
            await asyncio.sleep(rng.uniform(0.0, 0.008))
            recover = await trouble(world, rng)
            await asyncio.wait(sending)
            expect_one_taken(world, await answers_everywhere(world, orders), "after the race")
            await recover()
            for _ in range(3):
                await world.operator.change()
            expect_one_taken(world, await answers_everywhere(world, orders), "after other changes")
            await self.restart_core(world)
            expect_one_taken(world, await answers_everywhere(world, orders), "after restarts")

        return story

    async def restart_core(self, world):
        machines = world.fleet.control_machines()
        for machine in machines:
            world.fleet.lose_power(machine)
        await asyncio.sleep(0.3)
        for machine in machines:
            world.fleet.start(machine)

    async def nothing(self, world, rng):
        async def recover():
            await asyncio.sleep(0.1)

        return recover

    async def owner_loses_power(self, world, rng):
        machine = owner_machine(world)
        world.fleet.lose_power(machine)

        async def recover():
            await asyncio.sleep(0.1)

        await asyncio.sleep(rng.uniform(0.5, 2.0))
        world.fleet.start(machine)
        return recover

    async def owner_is_cut_off(self, world, rng):
        machine = owner_machine(world)
        others = [other for other in world.fleet.quorum_machines() if other is not machine]
        world.fleet.partition(machine, others, one_way=rng.random() < 0.5)
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        world.fleet.heal(machine, others)

        async def recover():
            await asyncio.sleep(1.0)

        return recover

    async def owner_stands_still(self, world, rng):
        machine = owner_machine(world)
        world.fleet.freeze(machine, silent=rng.random() < 0.5)
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        world.fleet.thaw(machine)

        async def recover():
            await asyncio.sleep(1.0)

        return recover

    def test_two_orders_race_in_calm(self):
        self.tell(self.race(self.nothing), seeds=(1, 2))

    def test_the_owner_loses_power_between_two_orders(self):
        self.tell(self.race(self.owner_loses_power), seeds=range(1, 5))

    def test_the_owner_is_cut_off_between_two_orders(self):
        self.tell(self.race(self.owner_is_cut_off), seeds=range(1, 5))

    def test_the_owner_stands_still_between_two_orders(self):
        self.tell(self.race(self.owner_stands_still), seeds=range(1, 4))

    def test_eight_orders_at_once_are_taken_in_a_row_or_refused(self):
        async def story(world):
            rng = random.Random(f"pipeline {world.fleet.seed}")
            base = world.operator.version
            orders = []
            for _ in range(AT_ONCE):
                orders.append(world.operator.put(base))
                base = orders[-1].version
            answers = await asyncio.gather(
                *(clear_answer(world, order, rng.choice(world.fleet.control_machines())) for order in orders)
            )
            if answers != [200] * AT_ONCE:
                world.fleet.report_violation(
                    f"orders on top of each other, sent at once, are answered {answers}"
                )

        self.tell(story, seeds=(1, 2, 3))

    def test_a_taken_order_past_the_history_is_never_refused(self):
        self.patch(document_orders, "MAX_HISTORY", 2)

        async def story(world):
            orders = twins(world)
            sending = await lose_answers(world, orders, random.Random(1))
            await asyncio.wait(sending)
            expect_one_taken(world, await answers_everywhere(world, orders), "at first")
            taken = next(order for order in orders if order.acknowledged_at is not None)
            for _ in range(4):
                newest = await world.operator.change()
            for machine in world.fleet.control_machines():
                reply = await send_once(world, taken, machine)
                if reply is None or reply.status != 503:
                    world.fleet.report_violation(f"a forgotten order is answered {reply}")
                if await clear_answer(world, newest, machine) != 200:
                    world.fleet.report_violation("the newest order is not taken again")

        self.tell(story)


class TestAcknowledgementTimes(FleetStory):
    def test_in_calm_every_change_is_acknowledged_within_a_second_at_every_node(self):
        async def story(world):
            slowest = 0.0
            for number in range(12):
                machine = world.fleet.control_machines()[number % 3]
                began = world.fleet.now()
                order = world.operator.put()
                if await clear_answer(world, order, machine) != 200:
                    world.fleet.report_violation(f"{order} is not taken")
                slowest = max(slowest, world.fleet.now() - began)
            if slowest > 0.1:
                world.fleet.report_violation(f"a change took {slowest:.3f} s in calm")

        self.tell(story)

    def test_a_gateway_that_answers_nothing_holds_a_change_up_by_less_than_a_second(self):
        async def story(world):
            machine = next(one for one in world.fleet.machines.values() if not one.spec.has_disk)
            world.fleet.freeze(machine)
            began = world.fleet.now()
            await clear_answer(world, world.operator.put(), owner_machine(world))
            if world.fleet.now() - began > 0.6:
                world.fleet.report_violation(f"a change took {world.fleet.now() - began:.3f} s")
            world.fleet.thaw(machine)

        self.tell(story)


class Host:
    """The owner's host: entries are committed, or lost, when the test says so."""

    def __init__(self, machine):
        self._machine = machine
        self.pending = []
        self.owns = True
        self.is_cut_off = False
        self.is_leader = True
        self.leader = ""

    def replica(self, shard):
        return self

    def state_machine(self, shard):
        return self._machine

    def propose(self, shard, command, outcome, now):
        if self.owns:
            self.pending.append((command, outcome))
        return self.owns

    def confirm_read(self, shard, outcome, now):
        if self.owns and not self.is_cut_off:
            asyncio.get_running_loop().call_soon(outcome, True)
        return self.owns

    def flush(self, shard):
        assert shard == CONFIGURATION_SHARD

    def commit(self):
        pending, self.pending = self.pending, []
        for command, outcome in pending:
            outcome(self._machine.apply(command))

    def lose(self):
        pending, self.pending = self.pending, []
        self.owns = False
        for _, outcome in pending:
            outcome(None)


class NotOpenTest(testtools.TestCase):
    """A process whose replica of the shard has not been opened yet."""

    def test_given_no_replica_then_the_state_and_the_replica_are_a_typed_error(self):
        class EmptyHost:
            def replica(self, shard):
                return None

            state_machine = replica

        service = ConfigurationService(EmptyHost(), None, lambda: 0.0, None)
        self.assertFalse(service.is_open)
        for name in ("state", "replica"):
            error = self.assertRaises(ShardNotOpen, getattr, service, name)
            self.assertEqual("configuration.not_open", error.code)


class DecidingTest(testtools.TestCase):
    """The owner's decisions while entries are under way."""

    def play(self, story):
        async def whole():
            self.machine = ConfigurationStateMachine()
            self.host = Host(self.machine)
            self.accepted = []
            loop = asyncio.get_running_loop()
            self.service = ConfigurationService(self.host, None, loop.time, self.accept)
            self.began = loop.time()
            await story()

        run(whole())

    def evaluate_beside_the_loop(self, seconds):
        async def aside(function):
            await asyncio.sleep(seconds)
            return function()

        now = asyncio.get_running_loop().time
        self.service = ConfigurationService(self.host, None, now, self.accept, aside)

    async def accept(self, version, within):
        self.accepted.append((version, within))

    def begin(self, *orders):
        return [asyncio.ensure_future(self.service.decide(order, 0.85)) for order in orders]

    async def statuses(self, tasks):
        return [outcome.status for outcome in await asyncio.gather(*tasks)]

    def test_given_two_orders_under_way_then_the_second_is_refused_by_its_entry(self):
        async def story():
            tasks = self.begin(put(0, 3), put(0, 3, Extra=1))
            await asyncio.sleep(0.01)
            self.assertEqual(2, len(self.host.pending))
            self.host.commit()
            self.assertEqual([200, 412], await self.statuses(tasks))

        self.play(story)

    def test_given_the_same_order_twice_under_way_then_both_are_acknowledged(self):
        async def story():
            tasks = self.begin(put(0, 3), put(0, 3))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual([200, 200], await self.statuses(tasks))

        self.play(story)

    def test_given_an_ownership_lost_while_orders_are_under_way_then_none_gets_a_clear_answer(self):
        async def story():
            tasks = self.begin(put(0, 3), put(0, 3, Extra=1))
            await asyncio.sleep(0.01)
            self.host.lose()
            self.assertEqual([UNDETERMINED, UNDETERMINED], await self.statuses(tasks))
            late = self.begin(ConfigOrder(int(OrderKind.PUT), 0, b"{"), put(0, 3))
            self.assertEqual([UNDETERMINED, UNDETERMINED], await self.statuses(late))

        self.play(story)

    def test_given_an_order_on_one_that_is_under_way_then_it_is_not_refused(self):
        async def story():
            tasks = self.begin(put(0, 3), put(3, 5))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual([200, UNDETERMINED], await self.statuses(tasks))
            again = self.begin(put(3, 5))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual([200], await self.statuses(again))

        self.play(story)

    def test_given_disks_that_stall_then_the_caller_is_answered_in_time_and_the_order_counts_later(self):
        async def story():
            tasks = self.begin(put(0, 3))
            self.assertEqual([UNDETERMINED], await self.statuses(tasks))
            self.assertAlmostEqual(0.85, asyncio.get_running_loop().time() - self.began, 3)
            self.host.commit()
            self.assertEqual([200], await self.statuses(self.begin(put(0, 3))))

        self.play(story)

    def test_given_a_large_order_then_it_is_checked_beside_the_loop_and_others_go_on(self):
        async def story():
            self.evaluate_beside_the_loop(0.4)
            large = put(0, 5, Padding="x" * LARGE_ORDER_BYTES)
            tasks = self.begin(large, put(0, 3))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual(200, (await tasks[1]).status)
            self.assertEqual([200, 412], await self.statuses(tasks[1:] + tasks[:1]))
            tasks = self.begin(put(3, 5, Padding="x" * LARGE_ORDER_BYTES))
            await asyncio.sleep(0.41)
            self.host.commit()
            self.assertEqual([200], await self.statuses(tasks))

        self.play(story)

    def test_given_a_check_that_takes_all_the_time_then_the_order_is_refused_when_it_comes_again(self):
        async def story():
            self.evaluate_beside_the_loop(0.5)
            large = put(0, 5, Padding="x" * LARGE_ORDER_BYTES)
            tasks = self.begin(large, put(0, 3))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual([UNDETERMINED, 200], await self.statuses(tasks))
            began = asyncio.get_running_loop().time()
            self.assertEqual([412], await self.statuses(self.begin(large)))
            self.assertEqual(began, asyncio.get_running_loop().time())

        self.play(story)

    def test_given_a_majority_that_is_silent_then_a_refusal_waits_no_longer_than_its_caller(self):
        async def story():
            self.host.is_cut_off = True
            outcome = await self.service.decide(ConfigOrder(int(OrderKind.PUT), 0, b"{"), 0.2)
            self.assertEqual(UNDETERMINED, outcome.status)
            self.assertAlmostEqual(0.2, asyncio.get_running_loop().time() - self.began, 3)

        self.play(story)

    def test_given_a_large_order_that_is_checked_then_its_entry_says_so(self):
        async def story():
            tasks = self.begin(put(0, 3))
            await asyncio.sleep(0.01)
            self.assertEqual(OrderKind.CHECKED_PUT, decode(self.host.pending[0][0]).kind)
            self.host.commit()
            await self.statuses(tasks)

        self.play(story)

    def test_given_a_late_commit_then_gateways_are_waited_for_only_in_the_time_that_is_left(self):
        async def story():
            tasks = self.begin(put(0, 3))
            await asyncio.sleep(0.6)
            self.host.commit()
            self.assertEqual([200], await self.statuses(tasks))
            [(version, within)] = self.accepted
            self.assertEqual(3, version)
            self.assertAlmostEqual(0.25, within, 3)

        self.play(story)
