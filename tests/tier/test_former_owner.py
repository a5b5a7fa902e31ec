"""A former owner of a shard, and directories that still name it: what a gateway sends and accepts.

The fleet's rules are checked throughout, see `kestrelbend/tier/fleet/watch.py`.
"""

from __future__ import annotations

import asyncio

import attrs
import testtools

from kestrelbend.tier.budgets.messages import Reserve, Settlement, TurnEnd, Verdict
from kestrelbend.tier.budgets.shards import shard_of
from kestrelbend.tier.fleet.faults import owner_machine
from kestrelbend.tier.membership.directory import DirectoryView
from kestrelbend.tier.membership.messages import Directory, ShardReport
from kestrelbend.tier.membership.placement import BUDGET_SHARD_COUNT
from tests.tier.fleet_story import FleetStory

SHARD = "budget-0"
TURN_UNITS = 16


def report(epoch, owner):
    return ShardReport(SHARD, owner, epoch, owner, ("a#1", "b#1", "c#1"), 0, 0)


class DirectoryViewTest(testtools.TestCase):
    def directory(self, version, *reports):
        return Directory(version, (), (), reports, ())

    def test_given_a_later_owner_when_an_older_report_arrives_then_it_is_ignored(self):
        view = DirectoryView()
        view.merge("one", self.directory(7, report(5, "b#1")))
        view.merge("two", self.directory(3, report(4, "a#1")))
        self.assertEqual("b#1", view.owner_of(SHARD))
        view.merge("two", self.directory(9, report(4, "a#1")))
        self.assertEqual("b#1", view.owner_of(SHARD), "a newer directory may contain an older report")

    def test_given_an_epoch_without_an_owner_when_its_owner_is_reported_then_it_is_known(self):
        view = DirectoryView()
        view.merge("one", self.directory(7, report(5, "")))
        view.merge("two", self.directory(7, report(4, "a#1")))
        self.assertEqual("", view.owner_of(SHARD))
        view.merge("two", self.directory(7, report(5, "c#1")))
        view.merge("one", self.directory(7, report(5, "")))
        self.assertEqual("c#1", view.owner_of(SHARD))


@attrs.define
class RecordedReply:
    """A reply that a gateway received, with the time of its request."""

    requested_at: float
    address: str
    shard: str
    owner: bool
    epoch: int
    names: tuple[str, ...]


class TestPartitionedOwner(FleetStory):
    """An owner that is partitioned from its group but not from the gateways admits no reservation."""

    def partition_owner(self, one_way):
        async def scenario(world):
            fleet = world.fleet
            owner = owner_machine(world, SHARD)
            former_address = f"{owner.spec.ip}:"
            gateways = fleet.processes("gateway")
            peers = [machine for machine in fleet.quorum_machines() if machine is not owner]
            replies = []
            for gateway in gateways:
                self.record_replies(world, gateway.instance, replies)
            fleet.partition(owner, peers, one_way)
            partitioned_at = fleet.now()
            verdicts = await self.run_turns(world, gateways, seconds=5.0)
            fleet.heal(owner, peers)
            healed_at = fleet.now()
            await asyncio.sleep(3.0)
            self.check_replies(replies, former_address, partitioned_at, healed_at)
            self.assertEqual({Verdict.ADMITTED}, set(verdicts), "the next owner admits every reservation")

        return scenario

    def record_replies(self, world, gateway, replies):
        send = gateway.budgets.client._send

        async def send_and_record(address, request):
            requested_at = world.fleet.now()
            reply = await send(address, request)
            if reply is not None:
                names = tuple(reserve.reservation for reserve in request.reserves)
                replies.append(
                    RecordedReply(requested_at, address, reply.shard, reply.owner, reply.epoch, names)
                )
            return reply

        for queue in gateway.budgets.client._queues.values():
            queue._send = send_and_record
        gateway.budgets.client._send = send_and_record

    async def run_turns(self, world, gateways, seconds):
        """Runs a turn of a program of the shard every 100 ms, at the gateways in rotation."""
        names = [f"former-{n}" for n in range(400) if shard_of(f"former-{n}", BUDGET_SHARD_COUNT) == SHARD]
        verdicts = []

        async def turn(gateway, program):
            instance = gateway.instance
            command = Reserve(program, "s", instance.budgets.reservation_name(""), 1, TURN_UNITS, 1000, True)
            outcome = await instance.budgets.reserve("model", command)
            verdicts.append(Verdict(outcome.verdict))
            if outcome.verdict == Verdict.ADMITTED:
                end = int(TurnEnd.COMPLETE)
                instance.budgets.settle("model", Settlement(program, command.reservation, TURN_UNITS, end))

        loop = world.fleet.loop
        for number in range(int(seconds / 0.1)):
            gateway = gateways[number % len(gateways)]
            coroutine = turn(gateway, names[number % len(names)])
            loop.call_soon(_begin, loop, coroutine, context=gateway.execution.context)
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        return verdicts

    def check_replies(self, replies, former_address, partitioned_at, healed_at):
        shard_replies = [
            recorded
            for recorded in replies
            if recorded.shard == SHARD and recorded.requested_at > partitioned_at
        ]
        admitted = [recorded for recorded in shard_replies if recorded.owner]
        self.assertGreater(len(admitted), 10)
        stale_replies = [
            recorded
            for recorded in admitted
            if recorded.address.startswith(former_address) and recorded.requested_at < healed_at
        ]
        self.assertEqual([], stale_replies, "replies of the former owner were accepted")
        first = min(recorded.epoch for recorded in admitted)
        self.assertTrue(all(recorded.epoch >= first for recorded in admitted))
        in_time_order = sorted(admitted, key=lambda recorded: recorded.requested_at)
        self.assertEqual(
            sorted(recorded.epoch for recorded in in_time_order),
            [recorded.epoch for recorded in in_time_order],
        )

    def test_given_a_partition_both_ways_then_only_the_next_owner_admits(self):
        self.tell(self.partition_owner(one_way=False), seeds=(1, 2, 3))

    def test_given_a_partition_one_way_then_only_the_next_owner_admits(self):
        self.tell(self.partition_owner(one_way=True), seeds=(1, 2, 3))


def _begin(loop, coroutine) -> None:
    loop.create_task(coroutine)
