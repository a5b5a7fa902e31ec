"""Stories of deployments that tolerate the loss of whole zones or regions."""

import asyncio
import random

from kestrelbend.tier.fleet.faults import KINDS, owner_machine
from kestrelbend.tier.fleet.fleet import Size
from kestrelbend.tier.fleet.loop import run
from kestrelbend.tier.fleet.shapes import SHAPES
from kestrelbend.tier.fleet.world import World
from kestrelbend.tier.membership.fault_tolerance import Losses
from kestrelbend.tier.membership.placement import CONFIGURATION_SHARD, LOST_TIMEOUT_S, budget_shards
from tests.tier.fleet_story import FleetStory
from tests.tier.test_fleet_placement import CATCHUP_S, SHARDS, holders

DOWN_S = 1.0
ONE_ZONE = Losses(zones=1)


def zones_of(world, shard):
    """The zones of a shard's voters, in order."""
    zone_of = {
        process.instance.replica_id: process.machine.spec.zone
        for role in ("control", "store")
        for process in world.fleet.processes(role)
    }
    return sorted(zone_of[voter] for voter in holders(world, shard))


async def lose_disks(world, machines):
    """The machines lose their disks, and return a second later."""
    for machine in machines:
        world.fleet.wipe_or_darken(machine)
    await asyncio.sleep(DOWN_S)
    for machine in machines:
        world.fleet.start(machine)
    await asyncio.sleep(2 * CATCHUP_S)


class TestZoneLosesItsDisks(FleetStory):
    """What was acknowledged was lost with a tolerated zone, as groups counted machines alone (review/4)."""

    def lose_after_an_acknowledgement(self, size, zone_to_lose, expected_zones=None):
        async def story(world):
            await asyncio.sleep(CATCHUP_S)
            order = await world.operator.change()
            self.assertIsNotNone(order.acknowledged_at)
            await lose_disks(world, world.fleet.machines_in([zone_to_lose(world)]))
            await world.operator.read_back()
            for shard in SHARDS if expected_zones else ():
                self.assertEqual(expected_zones, zones_of(world, shard))

        self.tell(story, seeds=(1, 2), size=size)

    def test_given_no_tolerated_machine_when_the_owners_zone_is_lost_then_the_configuration_is_read(self):
        self.lose_after_an_acknowledgement(
            Size(tolerated=ONE_ZONE),
            lambda world: owner_machine(world).spec.zone,
            ["zone-1", "zone-2", "zone-3"],
        )

    def test_given_founders_in_one_zone_when_it_is_lost_then_the_configuration_is_read(self):
        self.lose_after_an_acknowledgement(
            SHAPES["one-zone-founders-together"], lambda world: "zone-1", ["zone-1", "zone-2", "zone-3"]
        )

    def test_given_control_nodes_in_two_zones_of_unequal_size_when_the_larger_is_lost_then_it_is_read(self):
        self.lose_after_an_acknowledgement(
            SHAPES["one-zone-of-unequal-ones"], lambda world: "zone-1", ["zone-1", "zone-2", "zone-3"]
        )

    def test_given_control_nodes_in_one_zone_when_it_is_lost_then_stores_keep_the_configuration(self):
        size = Size(tolerated=ONE_ZONE, control_zones=("zone-1",))
        self.lose_after_an_acknowledgement(size, lambda world: "zone-1", ["zone-1", "zone-2", "zone-3"])

    def test_given_stores_in_one_zone_when_it_is_lost_then_control_nodes_keep_the_budgets(self):
        size = Size(tolerated=ONE_ZONE, store_zones=("zone-1",))
        self.lose_after_an_acknowledgement(size, lambda world: "zone-1", ["zone-1", "zone-2", "zone-3"])


class TestSpreadIsRestored(FleetStory):
    """Voters that replaced those of a lost zone stand in the zones that are left."""

    def lose_another_after(self, change, lost_later="zone-1"):
        async def story(world):
            await asyncio.sleep(CATCHUP_S)
            await change(world)
            await asyncio.sleep(CATCHUP_S)
            for shard in SHARDS:
                self.assertEqual(["zone-1", "zone-2", "zone-3"], zones_of(world, shard))
            order = await world.operator.change()
            self.assertIsNotNone(order.acknowledged_at)
            await lose_disks(world, world.fleet.machines_in([lost_later]))
            await world.operator.read_back()

        self.tell(story, seeds=(1, 2), size=Size(control=4, stores=5, tolerated=ONE_ZONE))

    def test_given_a_zone_that_was_away_for_long_when_it_returns_then_another_may_be_lost(self):
        async def change(world):
            away = world.fleet.machines_in(["zone-3"])
            for machine in away:
                world.fleet.lose_power(machine)
            await asyncio.sleep(LOST_TIMEOUT_S + CATCHUP_S)
            self.assertNotIn("zone-3", zones_of(world, CONFIGURATION_SHARD))
            for machine in away:
                world.fleet.start(machine)

        self.lose_another_after(change)

    def test_given_a_zone_whose_machines_are_replaced_then_another_may_be_lost(self):
        async def change(world):
            await KINDS["replace_zones"].play(world, random.Random(world.fleet.seed))

        self.lose_another_after(change)

    def test_given_a_store_that_is_emptied_by_order_then_its_zone_keeps_a_voter(self):
        async def change(world):
            leaving = world.fleet.stores()[0]
            self.assertTrue(await world.operator.retire(leaving.name, 20.0))
            world.fleet.remove(leaving)

        self.lose_another_after(change, "zone-2")


class TestRegionsAndSeveralFigures(FleetStory):
    """Each of the three figures holds, whichever of them is the largest."""

    def tell_loss(self, shape, kind):
        async def story(world):
            await asyncio.sleep(CATCHUP_S)
            await KINDS[kind].play(world, random.Random(f"{kind} {world.fleet.seed}"))
            await asyncio.sleep(2 * CATCHUP_S)
            await world.operator.read_back()

        self.tell(story, size=SHAPES[shape])

    def test_given_two_nodes_a_zone_and_a_region_when_the_nodes_are_lost_then_all_is_kept(self):
        self.tell_loss("nodes-zone-and-region", "wipe_tolerated")

    def test_given_two_nodes_a_zone_and_a_region_when_the_zone_is_lost_then_all_is_kept(self):
        self.tell_loss("nodes-zone-and-region", "wipe_zones")

    def test_given_two_nodes_a_zone_and_a_region_when_the_region_is_lost_then_all_is_kept(self):
        self.tell_loss("nodes-zone-and-region", "wipe_regions")

    def test_given_two_zones_of_five_when_they_are_lost_then_all_is_kept(self):
        self.tell_loss("two-zones", "wipe_zones")


class TestFirstPlacement(FleetStory):
    """Budget shards were founded on whichever disks came first."""

    def test_given_stores_of_a_third_zone_that_come_late_then_the_first_placement_waits_for_them(self):
        async def story(loop):
            world = World(loop, 1, Size(stores=6, gateways=0, tolerated=ONE_ZONE))
            late = [machine for machine in world.fleet.stores() if machine.spec.zone == "zone-3"]
            for machine in world.fleet.machines.values():
                if machine not in late:
                    machine.start(True)
            await asyncio.sleep(1.5)
            for machine in late:
                machine.start(True)
            await asyncio.sleep(CATCHUP_S)
            owner = owner_machine(world).processes["control"].instance
            placements = owner.configuration.state.placements
            self.assertEqual([1] * len(budget_shards()), [placed.number for placed in placements])
            for shard in budget_shards():
                self.assertEqual(["zone-1", "zone-2", "zone-3"], zones_of(world, shard))
            world.watch.stop()

        run(story)
