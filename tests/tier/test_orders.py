"""Concurrent orders whose responses are lost, and the owner's decisions on pending orders.

Two operators send different documents with the same version on the same base to all control nodes.  Whatever
faults occur in between, every node must permanently accept one of the two orders and reject the other.
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

CALL_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 30
CHAINED_ORDERS = 8


def conflicting_orders(world):
    """Returns two orders with the same version and base, but different bodies."""
    first = world.operator.put()
    second = world.operator.put(first.base)
    while second.version != first.version:
        second = world.operator.put(first.base)
    return first, second


async def send_order(world, order, machine):
    """Sends an order once to one node; returns the reply or None."""
    order.sent_at = order.sent_at or world.fleet.now()
    headers = [(BASE_VERSION, str(order.base).encode())]
    address = machine.spec.control_address
    path = f"/api/Config.{order.kind}"
    reply = await world.fleet.http.call(address, "POST", path, headers, order.body, CALL_TIMEOUT_S)
    return reply if isinstance(reply, Reply) else None


async def final_status(world, order, machine):
    """Repeats an order at one node until its status is final; returns the status, or 0 if none was final."""
    for _ in range(MAX_ATTEMPTS):
        reply = await send_order(world, order, machine)
        if reply is not None and reply.status != 503:
            world.operator._answered(order, reply, machine.spec.control_address)
            return reply.status
        await asyncio.sleep(0.2)
    return 0


async def final_statuses(world, orders):
    """Returns for each order the final statuses of all control nodes."""
    statuses_by_order = []
    for order in orders:
        statuses_by_order.append(
            [await final_status(world, order, machine) for machine in world.fleet.control_machines()]
        )
    return statuses_by_order


def expect_one_accepted(world, statuses_by_order, when):
    """Reports a violation unless all nodes accept one order and reject the other with 412."""
    count = len(statuses_by_order[0])
    if sorted(statuses_by_order) != [[200] * count, [412] * count]:
        world.fleet.report_violation(f"{when}: {statuses_by_order}")


async def send_without_reading_replies(world, orders, rng):
    """Sends each order to two nodes almost at once, without reading the replies."""
    send_tasks = []
    for order in orders:
        for machine in rng.sample(world.fleet.control_machines(), 2):
            send_tasks.append(asyncio.create_task(send_order(world, order, machine)))
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 0.01))))
    return send_tasks


class TestOrderRaces(FleetStory):
    def race(self, inject_fault):
        async def scenario(world):
            rng = random.Random(f"orders {world.fleet.seed}")
            orders = conflicting_orders(world)
            send_tasks = await send_without_reading_replies(world, orders, rng)
            await asyncio.sleep(rng.uniform(0.0, 0.008))
            recover = await inject_fault(world, rng)
            await asyncio.wait(send_tasks)
            expect_one_accepted(world, await final_statuses(world, orders), "after the race")
            await recover()
            for _ in range(3):
                await world.operator.change()
            expect_one_accepted(world, await final_statuses(world, orders), "after other changes")
            await self.restart_control_nodes(world)
            expect_one_accepted(world, await final_statuses(world, orders), "after restarts")

        return scenario

    async def restart_control_nodes(self, world):
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

    async def power_off_owner(self, world, rng):
        machine = owner_machine(world)
        world.fleet.lose_power(machine)

        async def recover():
            await asyncio.sleep(0.1)

        await asyncio.sleep(rng.uniform(0.5, 2.0))
        world.fleet.start(machine)
        return recover

    async def partition_owner(self, world, rng):
        machine = owner_machine(world)
        others = [other for other in world.fleet.quorum_machines() if other is not machine]
        world.fleet.partition(machine, others, one_way=rng.random() < 0.5)
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        world.fleet.heal(machine, others)

        async def recover():
            await asyncio.sleep(1.0)

        return recover

    async def freeze_owner(self, world, rng):
        machine = owner_machine(world)
        world.fleet.freeze(machine, silent=rng.random() < 0.5)
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        world.fleet.thaw(machine)

        async def recover():
            await asyncio.sleep(1.0)

        return recover

    def test_two_concurrent_orders_without_faults(self):
        self.tell(self.race(self.nothing), seeds=(1, 2))

    def test_two_concurrent_orders_while_the_owner_loses_power(self):
        self.tell(self.race(self.power_off_owner), seeds=range(1, 5))

    def test_two_concurrent_orders_while_the_owner_is_partitioned(self):
        self.tell(self.race(self.partition_owner), seeds=range(1, 5))

    def test_two_concurrent_orders_while_the_owner_is_frozen(self):
        self.tell(self.race(self.freeze_owner), seeds=range(1, 4))

    def test_eight_chained_orders_sent_at_once_are_all_accepted(self):
        async def scenario(world):
            rng = random.Random(f"pipeline {world.fleet.seed}")
            base = world.operator.version
            orders = []
            for _ in range(CHAINED_ORDERS):
                orders.append(world.operator.put(base))
                base = orders[-1].version
            statuses_by_order = await asyncio.gather(
                *(final_status(world, order, rng.choice(world.fleet.control_machines())) for order in orders)
            )
            if statuses_by_order != [200] * CHAINED_ORDERS:
                world.fleet.report_violation(
                    f"chained orders sent at once got the statuses {statuses_by_order}"
                )

        self.tell(scenario, seeds=(1, 2, 3))

    def test_accepted_order_evicted_from_the_history_gets_503(self):
        self.patch(document_orders, "MAX_HISTORY", 2)

        async def scenario(world):
            orders = conflicting_orders(world)
            send_tasks = await send_without_reading_replies(world, orders, random.Random(1))
            await asyncio.wait(send_tasks)
            expect_one_accepted(world, await final_statuses(world, orders), "at first")
            accepted_order = next(order for order in orders if order.acknowledged_at is not None)
            for _ in range(4):
                newest = await world.operator.change()
            for machine in world.fleet.control_machines():
                reply = await send_order(world, accepted_order, machine)
                if reply is None or reply.status != 503:
                    world.fleet.report_violation(f"an order evicted from the history got {reply}")
                if await final_status(world, newest, machine) != 200:
                    world.fleet.report_violation("the repeated newest order was not accepted")

        self.tell(scenario)


class TestAcknowledgementTimes(FleetStory):
    def test_changes_without_faults_are_acknowledged_within_100_ms_at_every_node(self):
        async def scenario(world):
            slowest = 0.0
            for number in range(12):
                machine = world.fleet.control_machines()[number % 3]
                started_at = world.fleet.now()
                order = world.operator.put()
                if await final_status(world, order, machine) != 200:
                    world.fleet.report_violation(f"{order} was not accepted")
                slowest = max(slowest, world.fleet.now() - started_at)
            if slowest > 0.1:
                world.fleet.report_violation(f"a change took {slowest:.3f} s without faults")

        self.tell(scenario)

    def test_unresponsive_gateway_delays_a_change_by_less_than_a_second(self):
        async def scenario(world):
            machine = next(one for one in world.fleet.machines.values() if not one.spec.has_disk)
            world.fleet.freeze(machine)
            started_at = world.fleet.now()
            await final_status(world, world.operator.put(), owner_machine(world))
            if world.fleet.now() - started_at > 0.6:
                world.fleet.report_violation(f"a change took {world.fleet.now() - started_at:.3f} s")
            world.fleet.thaw(machine)

        self.tell(scenario)


class FakeHost:
    """The owner's shard host, whose pending entries the test commits or loses explicitly."""

    def __init__(self, machine):
        self._machine = machine
        self.pending = []
        self.is_owner = True
        self.is_cut_off = False
        self.is_leader = True
        self.leader = ""

    def replica(self, shard):
        return self

    def state_machine(self, shard):
        return self._machine

    def propose(self, shard, command, outcome, now):
        if self.is_owner:
            self.pending.append((command, outcome))
        return self.is_owner

    def confirm_read(self, shard, outcome, now):
        if self.is_owner and not self.is_cut_off:
            asyncio.get_running_loop().call_soon(outcome, True)
        return self.is_owner

    def flush(self, shard):
        assert shard == CONFIGURATION_SHARD

    def commit(self):
        pending, self.pending = self.pending, []
        for command, outcome in pending:
            outcome(self._machine.apply(command))

    def lose_ownership(self):
        pending, self.pending = self.pending, []
        self.is_owner = False
        for _, outcome in pending:
            outcome(None)


class NotOpenTest(testtools.TestCase):
    """A process that has no open replica of the shard."""

    def test_state_and_replica_raise_shard_not_open_without_a_replica(self):
        class EmptyHost:
            def replica(self, shard):
                return None

            state_machine = replica

        service = ConfigurationService(EmptyHost(), None, lambda: 0.0, None)
        self.assertFalse(service.is_open)
        for name in ("state", "replica"):
            error = self.assertRaises(ShardNotOpen, getattr, service, name)
            self.assertEqual("configuration.not_open", error.code)


class OwnerDecisionTest(testtools.TestCase):
    """The owner's decisions while entries are pending."""

    def run_scenario(self, scenario):
        async def run_with_service():
            self.machine = ConfigurationStateMachine()
            self.host = FakeHost(self.machine)
            self.ack_waits = []
            loop = asyncio.get_running_loop()
            self.service = ConfigurationService(self.host, None, loop.time, self.record_ack_wait)
            self.started_at = loop.time()
            await scenario()

        run(run_with_service())

    def evaluate_off_loop(self, seconds):
        async def run_delayed(function):
            await asyncio.sleep(seconds)
            return function()

        now = asyncio.get_running_loop().time
        self.service = ConfigurationService(self.host, None, now, self.record_ack_wait, run_delayed)

    async def record_ack_wait(self, version, timeout_s):
        self.ack_waits.append((version, timeout_s))

    def start_decisions(self, *orders):
        return [asyncio.ensure_future(self.service.decide(order, 0.85)) for order in orders]

    async def statuses(self, tasks):
        return [outcome.status for outcome in await asyncio.gather(*tasks)]

    def test_second_of_two_pending_orders_is_rejected_by_its_entry(self):
        async def scenario():
            tasks = self.start_decisions(put(0, 3), put(0, 3, Extra=1))
            await asyncio.sleep(0.01)
            self.assertEqual(2, len(self.host.pending))
            self.host.commit()
            self.assertEqual([200, 412], await self.statuses(tasks))

        self.run_scenario(scenario)

    def test_same_order_pending_twice_is_acknowledged_twice(self):
        async def scenario():
            tasks = self.start_decisions(put(0, 3), put(0, 3))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual([200, 200], await self.statuses(tasks))

        self.run_scenario(scenario)

    def test_pending_orders_are_undetermined_after_the_ownership_is_lost(self):
        async def scenario():
            tasks = self.start_decisions(put(0, 3), put(0, 3, Extra=1))
            await asyncio.sleep(0.01)
            self.host.lose_ownership()
            self.assertEqual([UNDETERMINED, UNDETERMINED], await self.statuses(tasks))
            late = self.start_decisions(ConfigOrder(int(OrderKind.PUT), 0, b"{"), put(0, 3))
            self.assertEqual([UNDETERMINED, UNDETERMINED], await self.statuses(late))

        self.run_scenario(scenario)

    def test_order_based_on_a_pending_order_is_not_rejected(self):
        async def scenario():
            tasks = self.start_decisions(put(0, 3), put(3, 5))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual([200, UNDETERMINED], await self.statuses(tasks))
            again = self.start_decisions(put(3, 5))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual([200], await self.statuses(again))

        self.run_scenario(scenario)

    def test_stalled_disks_give_undetermined_in_time_and_the_order_commits_later(self):
        async def scenario():
            tasks = self.start_decisions(put(0, 3))
            self.assertEqual([UNDETERMINED], await self.statuses(tasks))
            self.assertAlmostEqual(0.85, asyncio.get_running_loop().time() - self.started_at, 3)
            self.host.commit()
            self.assertEqual([200], await self.statuses(self.start_decisions(put(0, 3))))

        self.run_scenario(scenario)

    def test_large_order_is_evaluated_off_the_loop_while_others_proceed(self):
        async def scenario():
            self.evaluate_off_loop(0.4)
            large = put(0, 5, Padding="x" * LARGE_ORDER_BYTES)
            tasks = self.start_decisions(large, put(0, 3))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual(200, (await tasks[1]).status)
            self.assertEqual([200, 412], await self.statuses(tasks[1:] + tasks[:1]))
            tasks = self.start_decisions(put(3, 5, Padding="x" * LARGE_ORDER_BYTES))
            await asyncio.sleep(0.41)
            self.host.commit()
            self.assertEqual([200], await self.statuses(tasks))

        self.run_scenario(scenario)

    def test_order_whose_evaluation_times_out_is_rejected_when_repeated(self):
        async def scenario():
            self.evaluate_off_loop(0.5)
            large = put(0, 5, Padding="x" * LARGE_ORDER_BYTES)
            tasks = self.start_decisions(large, put(0, 3))
            await asyncio.sleep(0.01)
            self.host.commit()
            self.assertEqual([UNDETERMINED, 200], await self.statuses(tasks))
            started_at = asyncio.get_running_loop().time()
            self.assertEqual([412], await self.statuses(self.start_decisions(large)))
            self.assertEqual(started_at, asyncio.get_running_loop().time())

        self.run_scenario(scenario)

    def test_rejection_without_majority_ends_at_the_timeout_of_the_caller(self):
        async def scenario():
            self.host.is_cut_off = True
            outcome = await self.service.decide(ConfigOrder(int(OrderKind.PUT), 0, b"{"), 0.2)
            self.assertEqual(UNDETERMINED, outcome.status)
            self.assertAlmostEqual(0.2, asyncio.get_running_loop().time() - self.started_at, 3)

        self.run_scenario(scenario)

    def test_entry_of_a_checked_order_has_the_checked_kind(self):
        async def scenario():
            tasks = self.start_decisions(put(0, 3))
            await asyncio.sleep(0.01)
            self.assertEqual(OrderKind.CHECKED_PUT, decode(self.host.pending[0][0]).kind)
            self.host.commit()
            await self.statuses(tasks)

        self.run_scenario(scenario)

    def test_wait_for_gateways_is_limited_to_the_remaining_time(self):
        async def scenario():
            tasks = self.start_decisions(put(0, 3))
            await asyncio.sleep(0.6)
            self.host.commit()
            self.assertEqual([200], await self.statuses(tasks))
            [(version, timeout_s)] = self.ack_waits
            self.assertEqual(3, version)
            self.assertAlmostEqual(0.25, timeout_s, 3)

        self.run_scenario(scenario)
