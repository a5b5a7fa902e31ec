"""Tests of gateways that lose contact, in the in-memory fleet: readiness, and the results of turns.

The fleet's safety rules are checked throughout, see `kestrelbend/tier/fleet/watch.py`.
"""

from __future__ import annotations

import asyncio

import attrs

from kestrelbend.tier.budgets.messages import Reserve, Settlement, TurnEnd, Verdict
from kestrelbend.tier.fleet.fleet import Size
from kestrelbend.tier.fleet.faults import owner_machine
from tests.tier.fleet_story import FleetStory

PARTITION_S = 20.0
UNREADY_WITHIN_S = 2.0
MAX_ANSWER_S = 0.3
READY_AGAIN_S = 3.0
POLL_INTERVAL_S = 0.05
MAX_TOKENS = 16


@attrs.define
class TurnResult:
    """The result of a turn that was requested from a gateway."""

    requested_at: float
    seconds: float
    verdict: Verdict


class Observer:
    """Records the readiness of every gateway and requests turns from one of them."""

    def __init__(self, world, gateway_process) -> None:
        self.world = world
        self.gateway_process = gateway_process  # the process that turns are requested from
        self.results: list[TurnResult] = []
        self.ready: list[tuple[float, dict[str, bool]]] = []
        self.may_refuse: list[tuple[float, bool]] = []
        self._tasks = [
            asyncio.create_task(self._record_readiness()),
            asyncio.create_task(self._request_turns()),
        ]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def ready_times(self, name: str, value: bool) -> list[float]:
        return [now for now, ready in self.ready if ready.get(name) is value]

    async def _record_readiness(self) -> None:
        while True:
            now = self.world.fleet.now()
            gateways = self.world.fleet.processes("gateway")
            self.ready.append((now, {process.name: process.instance.lifecycle.ready for process in gateways}))
            if self.gateway_process.instance is not None:
                self.may_refuse.append((now, self.gateway_process.instance.may_refuse()))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _request_turns(self) -> None:
        number = 0
        loop = self.world.fleet.loop
        while True:
            number += 1
            if self.gateway_process.instance is not None:
                coroutine = self._turn(self.gateway_process.instance, number)
                loop.call_soon(_create_task, loop, coroutine, context=self.gateway_process.execution.context)
            await asyncio.sleep(0.1)

    async def _turn(self, gateway, number: int) -> None:
        program, name = f"observed-{number}", f"observed-turn-{number}"
        requested_at = self.world.fleet.now()
        outcome = await gateway.budgets.reserve(
            "model", Reserve(program, "s", name, 1, MAX_TOKENS, 1000, True)
        )
        verdict = Verdict(outcome.verdict)
        self.results.append(TurnResult(requested_at, self.world.fleet.now() - requested_at, verdict))
        if verdict is Verdict.ADMITTED:
            gateway.budgets.settle("model", Settlement(program, name, MAX_TOKENS, int(TurnEnd.COMPLETE)))


def _create_task(loop, coroutine) -> None:
    loop.create_task(coroutine)


class PartitionTestCase(FleetStory):
    """Checks that the gateway of a partitioned machine becomes unready, and ready again afterwards."""

    def run_partition(self, one_way, size=None, seeds=(1, 2), machine_of=owner_machine):
        async def story(world):
            fleet = world.fleet
            machine = machine_of(world)
            others = [other for other in fleet.machines.values() if other is not machine]
            gateway = machine.processes["gateway"]
            observer = Observer(world, gateway)
            await asyncio.sleep(1.0)
            partitioned_at = fleet.now()
            fleet.partition(machine, others, one_way)
            await asyncio.sleep(PARTITION_S)
            healed_at = fleet.now()
            fleet.heal(machine, others)
            await asyncio.sleep(READY_AGAIN_S + 1.0)
            observer.stop()
            self.check_unready(observer, gateway.name, partitioned_at, healed_at)
            self.check_results(observer, partitioned_at, healed_at)
            self.check_others(observer, gateway.name, partitioned_at)

        self.tell(story, seeds, size)

    def check_unready(self, observer, name, partitioned_at, healed_at):
        ready = observer.ready_times(name, True)
        while_partitioned = [now for now in ready if partitioned_at + UNREADY_WITHIN_S <= now <= healed_at]
        self.assertEqual([], while_partitioned, "ready during the partition")
        self.assertTrue(
            any(partitioned_at - 0.2 <= now < partitioned_at for now in ready),
            "not ready before the partition",
        )
        late = [now for now in observer.ready_times(name, False) if now > healed_at + READY_AGAIN_S]
        self.assertEqual([], late, "not ready again")
        refusing = [now for now, may in observer.may_refuse if may]
        self.assertEqual(
            [], [now for now in refusing if partitioned_at + UNREADY_WITHIN_S <= now <= healed_at]
        )
        self.assertTrue(any(now > healed_at + READY_AGAIN_S for now in refusing), "never confirmed again")

    def check_results(self, observer, partitioned_at, healed_at):
        during_partition = [
            result
            for result in observer.results
            if partitioned_at + UNREADY_WITHIN_S <= result.requested_at <= healed_at - 2
        ]
        self.assertGreater(len(during_partition), 100)
        self.assertEqual({Verdict.OWNER_UNAVAILABLE}, {result.verdict for result in during_partition})
        self.assertLess(max(result.seconds for result in during_partition), MAX_ANSWER_S)
        after = [result for result in observer.results if result.requested_at > healed_at + READY_AGAIN_S]
        self.assertEqual({Verdict.ADMITTED}, {result.verdict for result in after})

    def check_others(self, observer, name, partitioned_at):
        """No other gateway becomes unready, even if the machine held a shard's owner."""
        for now, ready in observer.ready:
            if now > partitioned_at:
                unready = [
                    other_name
                    for other_name, is_ready in ready.items()
                    if other_name != name and not is_ready
                ]
                self.assertEqual([], unready, f"at {now}, partitioned at {partitioned_at}")


class TestCutOff(PartitionTestCase):
    def test_gateway_of_a_core_machine_is_unready_while_partitioned_both_ways(self):
        self.run_partition(one_way=False)

    def test_gateway_of_a_core_machine_is_unready_while_its_outgoing_packets_are_lost(self):
        self.run_partition(one_way=True)

    def test_gateway_of_a_core_machine_with_budget_shards_is_unready_while_partitioned(self):
        self.run_partition(one_way=False, size=Size(control=3, stores=0, gateways=2))

    def test_gateway_without_a_disk_is_unready_while_partitioned(self):
        def gateway_without_disk(world):
            return next(m for m in world.fleet.machines.values() if set(m.processes) == {"gateway"})

        self.run_partition(one_way=False, machine_of=gateway_without_disk, seeds=(1,))


class TestUnknownRoutes(FleetStory):
    """Requests on unknown routes get 404 only if the configuration was confirmed recently."""

    def check_unknown_route(self, one_way):
        async def story(world):
            fleet = world.fleet
            machine = owner_machine(world)
            others = [other for other in fleet.machines.values() if other is not machine]
            front = machine.processes["gateway"].instance.settings.listen_clients

            async def request_status():
                reply = await fleet.http.call(front, "GET", "/no/such/route/")
                return reply.status

            before = await request_status()
            fleet.partition(machine, others, one_way)
            await asyncio.sleep(UNREADY_WITHIN_S)
            during = [await request_status() for _ in range(50)]
            fleet.heal(machine, others)
            await asyncio.sleep(READY_AGAIN_S)
            self.assertEqual((404, {503}, 404), (before, set(during), await request_status()))

        return story

    def test_partitioned_gateway_replies_503_and_not_404_on_unknown_routes(self):
        self.tell(self.check_unknown_route(one_way=False), seeds=(1, 2))

    def test_gateway_whose_outgoing_packets_are_lost_replies_503_and_not_404_on_unknown_routes(self):
        self.tell(self.check_unknown_route(one_way=True), seeds=(1, 2))

    def test_gateway_started_beside_a_partitioned_control_node_is_unready_and_never_replies_404(self):
        async def story(world):
            fleet = world.fleet
            machine = owner_machine(world)
            others = [other for other in fleet.machines.values() if other is not machine]
            fleet.partition(machine, others)
            await asyncio.sleep(UNREADY_WITHIN_S)
            fleet.kill(machine, "gateway")
            await asyncio.sleep(0.5)
            machine.start()
            fleet.contact.fault_ended(machine.name)
            for _ in range(20):
                await asyncio.sleep(0.3)
                gateway = machine.processes["gateway"].instance
                if gateway is None:
                    continue
                self.assertFalse(gateway.lifecycle.ready)
                reply = await fleet.http.call(
                    gateway.settings.listen_clients, "GET", "/no/such/route/", timeout=2.0
                )
                self.assertNotEqual(404, getattr(reply, "status", None))
            fleet.heal(machine, others)

        self.tell(story, seeds=(1, 2))


class TestElections(FleetStory):
    def check_owner_loss(self, shard):
        async def story(world):
            fleet = world.fleet
            machine = owner_machine(world, shard)
            gateway_process = next(g for g in fleet.processes("gateway") if g.machine is not machine)
            observer = Observer(world, gateway_process)
            await asyncio.sleep(1.0)
            lost_at = fleet.now()
            fleet.lose_power(machine)
            await asyncio.sleep(3.0)
            observer.stop()
            fleet.start(machine)
            unready = [now for now in observer.ready_times(gateway_process.name, False) if now > lost_at]
            self.assertEqual([], unready)
            unanswered = [
                result for result in observer.results if result.verdict is Verdict.OWNER_UNAVAILABLE
            ]
            self.assertEqual([], unanswered, "turns failed although a new owner was elected")

        return story

    def test_turns_wait_for_the_next_owner_when_an_owner_of_budgets_loses_power(self):
        self.tell(self.check_owner_loss("budget-1"), seeds=(1, 2, 3))

    def test_gateways_stay_ready_when_the_owner_of_the_configuration_loses_power(self):
        self.tell(self.check_owner_loss("configuration"), seeds=(1, 2, 3))
