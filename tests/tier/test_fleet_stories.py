"""Stories of the whole tier in memory: each begins with a running system and ends in a calm in which all is
served.  The rules are watched throughout, see `kestrelbend/tier/fleet/watch.py`.
"""

import asyncio
import random


from kestrelbend.tier.fleet.fleet import Size
from kestrelbend.tier.fleet.faults import KINDS, owner_machine, pick_quorum_machine, start_all
from kestrelbend.tier.protocol.peer_connection import SILENCE_LIMITS
from tests.tier.fleet_story import FleetStory


class TestBeginning(FleetStory):
    def test_all_machines_start_within_a_moment_in_any_order(self):
        async def nothing_happens(world):
            await asyncio.sleep(0.5)

        self.tell(nothing_happens, seeds=range(3))

    def test_core_machines_keep_the_budgets_where_there_is_no_store(self):
        async def a_control_process_stays_away(world):
            machine = owner_machine(world)
            world.fleet.kill(machine, "control")
            await asyncio.sleep(9.0)
            world.fleet.start(machine)

        self.tell(a_control_process_stays_away, size=Size(control=3, stores=0, gateways=1))


class TestAcknowledged(FleetStory):
    """What was acknowledged outlives the machine that did it."""

    def test_the_machine_that_acknowledged_loses_power(self):
        self.tell_kind("after_ack_kill")

    def test_the_machine_that_acknowledged_loses_its_disk(self):
        self.tell_kind("after_ack_wipe")

    def test_the_owner_goes_down_while_a_change_is_under_way(self):
        self.tell_kind("owner_killed_midway")

    def test_a_disk_is_lost_while_all_others_lose_power(self):
        self.tell_kind("wipe_and_power", seeds=(1, 2, 3))

    def test_a_store_goes_down_right_after_a_reservation(self):
        self.tell_kind("store_taken_power", seeds=(1, 2, 3))

    def test_the_core_is_killed_at_once(self):
        async def story(world):
            machines = world.fleet.control_machines()
            for machine in machines:
                world.fleet.kill(machine)
            await start_all(world, random.Random(1), machines, 0.5)

        self.tell(story)

    def test_everything_loses_power_at_once(self):
        async def story(world):
            machines = list(world.fleet.machines.values())
            for machine in machines:
                world.fleet.lose_power(machine)
            await start_all(world, random.Random(2), machines, 1.0)

        self.tell(story)


class TestSilence(FleetStory):
    """A connection in memory ends after the silence that the sockets' options allow."""

    def test_a_connection_whose_peer_is_cut_off_ends_after_as_long_as_on_sockets(self):
        async def story(world):
            machine = pick_quorum_machine(world, random.Random(1))
            others = [other for other in world.fleet.machines.values() if other is not machine]
            [process, *_] = machine.processes.values()
            connections = process.instance.connections
            internal = [address for address in connections.addresses() if connections.to(address)]
            self.assertNotEqual([], internal)
            world.fleet.partition(machine, others)
            limit_s = SILENCE_LIMITS.unacknowledged_ms / 1000
            await asyncio.sleep(limit_s / 2)
            self.assertTrue(any(connections.to(address) for address in internal))
            await asyncio.sleep(limit_s)
            self.assertFalse(any(connections.to(address) for address in internal))
            world.fleet.heal(machine, others)

        self.tell(story)


class TestCutsAndPauses(FleetStory):
    def cut_the_owner(self, one_way):
        async def story(world):
            owner = owner_machine(world)
            others = [machine for machine in world.fleet.quorum_machines() if machine is not owner]
            world.fleet.partition(owner, others, one_way)
            race = asyncio.create_task(world.operator.race())
            await asyncio.sleep(4.0)
            world.fleet.heal(owner, others)
            await race

        return story

    def test_the_owner_is_cut_off_while_two_changes_race(self):
        self.tell(self.cut_the_owner(one_way=False))

    def test_the_owner_hears_the_others_and_is_not_heard(self):
        self.tell(self.cut_the_owner(one_way=True))

    def test_a_store_is_cut_off_while_two_gateways_reserve_for_one_program(self):
        async def story(world):
            owner = owner_machine(world, "budget-0")
            others = [machine for machine in world.fleet.quorum_machines() if machine is not owner]
            world.fleet.partition(owner, others)
            await asyncio.gather(*(world.programs.begin_in_two_sessions() for _ in range(6)))
            world.fleet.heal(owner, others)

        self.tell(story)

    def freeze_the_owner(self, shard, silent):
        async def story(world):
            owner = owner_machine(world, shard)
            world.fleet.freeze(owner, silent)
            change = asyncio.create_task(world.operator.change())
            await asyncio.sleep(2.5)
            world.fleet.thaw(owner)
            await change

        return story

    def test_the_owner_of_the_configuration_stands_still_and_wakes(self):
        self.tell(self.freeze_the_owner("configuration", silent=False))

    def test_the_owner_of_a_budget_falls_silent_and_wakes(self):
        self.tell(self.freeze_the_owner("budget-1", silent=True))


class TestMachinesComeAndGo(FleetStory):
    def replace(self, planned):
        async def story(world):
            old = owner_machine(world)
            if planned:
                world.fleet.add_machine("front", old.spec.zone, True, tuple(old.processes))
                await asyncio.sleep(1.0)
                world.fleet.terminate_and_remove(old)
                await asyncio.sleep(8.5)
                return
            world.fleet.remove(old)
            await asyncio.sleep(1.0)
            world.fleet.add_machine("front", old.spec.zone, True, tuple(old.processes))

        return story

    def test_the_owner_of_the_configuration_is_replaced_as_planned(self):
        self.tell(self.replace(planned=True))

    def test_the_owner_of_the_configuration_is_gone_for_good(self):
        self.tell(self.replace(planned=False))

    def test_a_store_is_replaced(self):
        async def story(world):
            old = world.fleet.stores()[0]
            world.fleet.remove(old)
            await asyncio.sleep(1.0)
            world.fleet.add_machine("storage", old.spec.zone, True, ("store",))

        self.tell(story)

    def test_a_store_is_added(self):
        self.tell_kind("add_store", seeds=(1,))

    def test_a_store_is_emptied_and_another_one_loses_its_disk_right_after(self):
        self.tell_kind("retire", seeds=(1, 2, 3))

    def test_a_machine_that_counts_is_restarted(self):
        self.tell_kind("core_term")

    def test_seeds_change_to_some_that_begin_with_one_that_is_cut_off(self):
        self.tell_kind("seed_turnover")

    def test_gateways_are_restarted_in_turn(self):
        self.tell_kind("gateway_term", seeds=(1,))


class TestDisksAndClocks(FleetStory):
    def harm(self, how):
        async def story(world):
            machine = pick_quorum_machine(world, random.Random(world.fleet.seed))
            world.fleet.degrade_disk(machine, how)
            await world.operator.change()
            await asyncio.sleep(3.0)
            world.fleet.restore_disk(machine)

        return story

    def test_a_disk_answers_nothing_for_a_while(self):
        self.tell(self.harm("stall"), seeds=(1, 2))

    def test_a_disk_is_slow(self):
        self.tell(self.harm("slow"))

    def test_a_disk_takes_no_more_bytes(self):
        self.tell(self.harm("full"))

    def test_a_machine_that_restarted_by_a_clock_ahead_restarts_by_the_true_one(self):
        async def story(world):
            machine = world.fleet.stores()[0]
            for step in (3.0, -3.0):
                world.fleet.step_clock(machine, step)
                world.fleet.kill(machine)
                await asyncio.sleep(0.3)
                world.fleet.start(machine)
                await asyncio.sleep(0.8)
            await asyncio.sleep(5.0)

        self.tell(story)

    def test_the_time_of_day_jumps_and_a_machine_restarts_meanwhile(self):
        self.tell_kind("clock_step", seeds=(1, 2, 3))


class TestOperatorAndBackends(FleetStory):
    def test_acknowledgements_are_lost_on_their_way(self):
        self.tell_kind("ack_lost")

    def test_pairs_of_changes_race(self):
        self.tell_kind("config_race")

    def test_invalid_configurations_are_refused(self):
        self.tell_kind("bad_config")

    def test_backends_are_replaced_while_the_owner_is_killed(self):
        async def story(world):
            replacing = asyncio.create_task(KINDS["release"].play(world, random.Random(3)))
            await asyncio.sleep(0.2)
            await KINDS["kill"].play(world, random.Random(world.fleet.seed))
            await replacing

        self.tell(story, seeds=(1, 2))


class TestWorstDays(FleetStory):
    """The five points of docs/design/control-safety.md, each brought about at least once."""

    def test_a_control_machine_is_cut_off_for_twenty_seconds(self):
        self.tell_kind("long_cut", seeds=(2,))

    def test_two_operators_race_under_one_number_and_get_no_answers(self):
        self.tell_kind("lost_answers", seeds=(1, 2, 3))

    def test_two_matters_of_machines_follow_one_another(self):
        self.tell_kind("pair")

    def test_a_machine_is_lost_while_another_one_is_emptied(self):
        self.tell_kind("retire_beside_loss")

    def test_a_control_machine_is_away_for_many_changes(self):
        self.tell_kind("absent", seeds=(1,))
