"""A former owner, and directories that name it: what a gateway asks and what it takes.

The rules are watched throughout, see `kestrelbend/tier/fleet/watch.py`.
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
MOST = 16


def report(epoch, owner):
    return ShardReport(SHARD, owner, epoch, owner, ("a#1", "b#1", "c#1"), 0, 0)


class DirectoryTest(testtools.TestCase):
    def directory(self, version, *reports):
        return Directory(version, (), (), reports, ())

    def test_given_a_later_owner_is_known_when_an_old_directory_comes_then_it_is_not_believed(self):
        view = DirectoryView()
        view.merge("one", self.directory(7, report(5, "b#1")))
        view.merge("two", self.directory(3, report(4, "a#1")))
        self.assertEqual("b#1", view.owner_of(SHARD))
        view.merge("two", self.directory(9, report(4, "a#1")))
        self.assertEqual("b#1", view.owner_of(SHARD), "a newer directory may hold an older report")

    def test_given_an_epoch_without_an_owner_yet_when_its_owner_is_told_then_that_is_known(self):
        view = DirectoryView()
        view.merge("one", self.directory(7, report(5, "")))
        view.merge("two", self.directory(7, report(4, "a#1")))
        self.assertEqual("", view.owner_of(SHARD))
        view.merge("two", self.directory(7, report(5, "c#1")))
        view.merge("one", self.directory(7, report(5, "")))
        self.assertEqual("c#1", view.owner_of(SHARD))


@attrs.define
class Taken:
    """A reply that a gateway got."""

    requested_at: float
    address: str
    shard: str
    owner: bool
    epoch: int
    names: tuple[str, ...]


class TestCutOffOwner(FleetStory):
    """Given an owner of budgets that only gateways still reach, when they reserve, then it admits nothing."""

    def cut_off(self, one_way):
        async def story(world):
            fleet = world.fleet
            owner = owner_machine(world, SHARD)
            former = f"{owner.spec.ip}:"
            gateways = fleet.processes("gateway")
            counted = [machine for machine in fleet.quorum_machines() if machine is not owner]
            taken = []
            for gateway in gateways:
                self.note_replies(world, gateway.instance, taken)
            fleet.partition(owner, counted, one_way)
            cut_at = fleet.now()
            verdicts = await self.turns(world, gateways, seconds=5.0)
            fleet.heal(owner, counted)
            joined_at = fleet.now()
            await asyncio.sleep(3.0)
            self.check(taken, former, cut_at, joined_at)
            self.assertEqual({Verdict.ADMITTED}, set(verdicts), "each was served by the next owner")

        return story

    def note_replies(self, world, gateway, taken):
        send = gateway.budgets.client._send

        async def noting(address, request):
            requested_at = world.fleet.now()
            reply = await send(address, request)
            if reply is not None:
                names = tuple(reserve.reservation for reserve in request.reserves)
                taken.append(Taken(requested_at, address, reply.shard, reply.owner, reply.epoch, names))
            return reply

        for queue in gateway.budgets.client._queues.values():
            queue._send = noting
        gateway.budgets.client._send = noting

    async def turns(self, world, gateways, seconds):
        """A turn of a program of the shard every 100 ms, at each gateway in turn."""
        names = [f"former-{n}" for n in range(400) if shard_of(f"former-{n}", BUDGET_SHARD_COUNT) == SHARD]
        verdicts = []

        async def turn(gateway, program):
            instance = gateway.instance
            command = Reserve(program, "s", instance.budgets.reservation_name(""), 1, MOST, 1000, True)
            outcome = await instance.budgets.reserve("model", command)
            verdicts.append(Verdict(outcome.verdict))
            if outcome.verdict == Verdict.ADMITTED:
                end = int(TurnEnd.COMPLETE)
                instance.budgets.settle("model", Settlement(program, command.reservation, MOST, end))

        loop = world.fleet.loop
        for number in range(int(seconds / 0.1)):
            gateway = gateways[number % len(gateways)]
            coroutine = turn(gateway, names[number % len(names)])
            loop.call_soon(_begin, loop, coroutine, context=gateway.execution.context)
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        return verdicts

    def check(self, taken, former, cut_at, joined_at):
        of_shard = [one for one in taken if one.shard == SHARD and one.requested_at > cut_at]
        admitted = [one for one in of_shard if one.owner]
        self.assertGreater(len(admitted), 10)
        old = [one for one in admitted if one.address.startswith(former) and one.requested_at < joined_at]
        self.assertEqual([], old, "a former owner's word was taken")
        first = min(one.epoch for one in admitted)
        self.assertTrue(all(one.epoch >= first for one in admitted))
        by_time = sorted(admitted, key=lambda one: one.requested_at)
        self.assertEqual(sorted(one.epoch for one in by_time), [one.epoch for one in by_time])

    def test_an_owner_is_cut_off_from_its_group_and_gateways_reach_both(self):
        self.tell(self.cut_off(one_way=False), seeds=(1, 2, 3))

    def test_an_owner_hears_its_group_and_is_not_heard_and_gateways_reach_both(self):
        self.tell(self.cut_off(one_way=True), seeds=(1, 2, 3))


def _begin(loop, coroutine) -> None:
    loop.create_task(coroutine)
