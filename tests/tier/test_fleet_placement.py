"""Stories of placement and retirement in the in-memory fleet: what is told of them, what is left between."""

import asyncio
import functools
import json
import random


from kestrelbend.tier.control.retirement import SHORT_FAULT_S
from kestrelbend.tier.fleet.fleet import GRACE_S, Size
from kestrelbend.tier.fleet.http import Reply
from kestrelbend.tier.fleet.loop import run
from kestrelbend.tier.fleet.faults import owner_machine
from kestrelbend.tier.fleet.world import World
from kestrelbend.tier.membership.placement import CONFIGURATION_SHARD, budget_shards
from tests.tier.fleet_story import FleetStory

CATCHUP_S = 4.0
POLL_S = 0.03
SHARDS = (CONFIGURATION_SHARD, *budget_shards())


def owners(world, shard):
    """The replicas that own a shard, by their own word."""
    hosts = [
        process.instance.host for role in ("control", "store") for process in world.fleet.processes(role)
    ]
    replicas = [host.replica(shard) for host in hosts]
    return [replica for replica in replicas if replica is not None and replica.is_leader]


def holders(world, shard):
    """The voters as the newest owner has them."""
    return max(owners(world, shard), key=lambda replica: replica.term).voters


def bears_a_loss(world):
    """Whether each group is whole: all its voters run and hold what is committed."""
    here = {
        process.instance.replica_id
        for role in ("control", "store")
        for process in world.fleet.processes(role)
    }
    now = world.fleet.now()
    for shard in SHARDS:
        settled = [replica for replica in owners(world, shard) if replica.is_stable(now)]
        if not settled or not here.issuperset(settled[0].voters) or len(settled[0].voters) < 3:
            return False
    return True


async def until(holds, within):
    """Seconds until a condition holds, None where it doesn't in time."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    while not holds():
        if loop.time() - begun > within:
            return None
        await asyncio.sleep(POLL_S)
    return loop.time() - begun


async def call(world, machine, method, path, body=b""):
    """One call of the operator at one control node; its status and body, or None."""
    address = machine.spec.control_address
    reply = await world.fleet.http.call(address, method, path, (), body, 1.0)
    return reply if isinstance(reply, Reply) else None


async def ask_all_the_time(world, node, told):
    """Asks every control node for the state of an emptying; notes each answer and who held shards then."""

    async def ask(machine):
        while True:
            reply = await call(world, machine, "GET", f"/api/Retire.Get/{node}")
            if reply is not None and reply.status == 200:
                held = {voter for shard in budget_shards() for voter in holders_or_none(world, shard)}
                told.append((json.loads(reply.body)["State"], held))
            await asyncio.sleep(POLL_S)

    await asyncio.gather(*(ask(machine) for machine in world.fleet.control_machines()))


def holders_or_none(world, shard):
    """The voters, none where no replica owns at the moment."""
    return holders(world, shard) if owners(world, shard) else ()


START = json.dumps({"DeadlineS": 20}).encode()


class TestRetirementIsToldTruly(FleetStory):
    def test_given_control_nodes_that_have_just_started_then_nothing_is_complete_too_soon(self):
        async def story(world):
            world.fleet.add_machine("storage", "zone-1", True, ("store",))
            await asyncio.sleep(CATCHUP_S)
            leaving = world.fleet.stores()[0]
            replica = leaving.processes["store"].instance.replica_id
            self.assertIn(replica, {voter for shard in budget_shards() for voter in holders(world, shard)})
            begun = [
                call(world, machine, "POST", f"/api/Retire.Start/{leaving.name}", START)
                for machine in world.fleet.control_machines()
            ]
            replies = await asyncio.gather(*begun)
            self.assertIn(200, [reply.status for reply in replies if reply is not None])
            for machine in world.fleet.control_machines():
                world.fleet.kill(machine, "control")
            for machine in world.fleet.control_machines():
                world.fleet.start(machine)
            told = []
            asking = asyncio.create_task(ask_all_the_time(world, leaving.name, told))
            await until(lambda: any(state == "complete" for state, _ in told), within=15.0)
            asking.cancel()
            self.assertEqual("complete", told[-1][0])
            self.assertEqual([], [state for state, held in told if state == "complete" and replica in held])
            world.fleet.remove(leaving)
            other = world.fleet.stores()[0]
            world.fleet.wipe(other)
            await asyncio.sleep(1.0)
            world.fleet.start(other)

        self.tell(story, seeds=(1, 2, 3))

    def test_given_a_store_that_is_down_and_control_that_has_just_started_then_it_is_known(self):
        async def story(world):
            world.fleet.add_machine("storage", "zone-1", True, ("store",))
            await asyncio.sleep(CATCHUP_S)
            down = world.fleet.stores()[0]
            world.fleet.kill(down)
            for machine in world.fleet.control_machines():
                world.fleet.kill(machine, "control")
            for machine in world.fleet.control_machines():
                world.fleet.start(machine)
            statuses = []
            ends = world.fleet.now() + 4.0
            while 200 not in statuses and world.fleet.now() < ends:
                for machine in world.fleet.control_machines():
                    reply = await call(world, machine, "POST", f"/api/Retire.Start/{down.name}", START)
                    statuses.append(reply.status if reply is not None else 503)
                await asyncio.sleep(POLL_S)
            self.assertEqual({200, 503}, {503, *statuses})
            world.fleet.start(down)
            self.assertIsNotNone(await until(lambda: bears_a_loss(world), within=10.0))

        self.tell(story, seeds=(1, 2))

    def test_given_a_name_that_no_store_ever_had_then_it_is_unknown_only_by_an_owner_of_some_time(self):
        async def story(world):
            for machine in world.fleet.control_machines():
                reply = await call(world, machine, "POST", "/api/Retire.Start/nobody", START)
                self.assertEqual(404, reply.status)
            for machine in world.fleet.control_machines():
                world.fleet.kill(machine, "control")
                world.fleet.start(machine)
            begun = world.fleet.now()
            while world.fleet.now() < begun + 1.8:
                reply = await call(
                    world, world.fleet.control_machines()[0], "POST", "/api/Retire.Start/nobody", START
                )
                self.assertTrue(reply is None or reply.status == 503, reply)

        self.tell(story)

    def test_given_as_many_stores_as_a_group_needs_then_a_control_disk_takes_the_place_of_one(self):
        async def story(world):
            leaving = world.fleet.stores()[0]
            self.assertTrue(await world.operator.retire(leaving.name, 20.0))
            world.fleet.remove(leaving)

        self.tell(story)

    def test_given_a_core_node_silent_for_long_then_the_order_that_would_leave_too_few_is_refused(self):
        async def story(world):
            store = world.fleet.stores()[0]
            silent = world.fleet.control_machines()[-1]
            world.fleet.kill(silent)
            begun = world.fleet.now()
            told = {}
            while world.fleet.now() < begun + SHORT_FAULT_S + 3.0 and 409 not in told:
                asked = f"/api/Retire.Start/{store.name}"
                if world.fleet.now() > begun + SHORT_FAULT_S + 1.0:
                    reply = await call(world, world.fleet.control_machines()[0], "POST", asked, START)
                    told.setdefault(reply.status, world.fleet.now() - begun)
                await asyncio.sleep(1.0)
            world.fleet.start(silent)
            self.assertEqual([409], list(told))

        self.tell(story, size=Size(control=3, stores=1))


class TestRetirementBesideOtherTroubles(FleetStory):
    """Whatever goes on beside it, `complete` is told of no store that a shard's owner still counts."""

    def beside(self, trouble, seeds=(1, 2)):
        async def story(world):
            rng = random.Random(f"beside {world.fleet.seed}")
            world.fleet.add_machine("storage", "zone-1", True, ("store",))
            await asyncio.sleep(CATCHUP_S)
            leaving, other = rng.sample(world.fleet.stores()[:3], 2)
            replica = leaving.processes["store"].instance.replica_id
            told = []
            asking = asyncio.create_task(ask_all_the_time(world, leaving.name, told))
            beside = asyncio.create_task(self.after(rng.uniform(0.0, 0.5), trouble(world, other, rng)))
            self.assertTrue(await world.operator.retire(leaving.name, 20.0))
            asking.cancel()
            self.assertEqual([], [state for state, held in told if state == "complete" and replica in held])
            world.fleet.remove(leaving)
            await beside

        self.tell(story, seeds)

    @staticmethod
    async def after(seconds, trouble):
        await asyncio.sleep(seconds)
        await trouble

    def test_given_a_store_that_is_killed_for_a_moment(self):
        async def killed(world, other, rng):
            world.fleet.kill(other)
            await asyncio.sleep(rng.uniform(0.3, 1.0))
            world.fleet.start(other)

        self.beside(killed)

    def test_given_a_store_that_stays_away_for_long(self):
        async def away(world, other, rng):
            world.fleet.lose_power(other)
            await asyncio.sleep(9.0)
            world.fleet.start(other)

        self.beside(away)

    def test_given_the_owner_of_the_configuration_cut_off(self):
        async def cut(world, other, rng):
            owner = owner_machine(world)
            others = [machine for machine in world.fleet.quorum_machines() if machine is not owner]
            world.fleet.partition(owner, others)
            await asyncio.sleep(4.0)
            world.fleet.heal(owner, others)

        self.beside(cut)

    def test_given_a_retired_store_when_a_machine_of_its_name_comes_again_then_it_gets_no_shard(self):
        async def story(world):
            world.fleet.add_machine("storage", "zone-1", True, ("store",))
            await asyncio.sleep(CATCHUP_S)
            leaving = world.fleet.stores()[0]
            self.assertTrue(await world.operator.retire(leaving.name, 20.0))
            world.fleet.wipe(leaving)
            await asyncio.sleep(1.0)
            world.fleet.start(leaving)
            await asyncio.sleep(CATCHUP_S)
            again = leaving.processes["store"].instance.replica_id
            self.assertNotIn(again, {voter for shard in SHARDS for voter in holders(world, shard)})
            reply = await call(
                world, world.fleet.control_machines()[0], "GET", f"/api/Retire.Get/{leaving.name}"
            )
            self.assertEqual("complete", json.loads(reply.body)["State"])

        self.tell(story)


class TestFounding(FleetStory):
    def test_given_too_few_disks_when_they_come_late_then_budgets_are_founded_on_a_whole_group(self):
        async def story(loop):
            world = World(loop, 1, Size(control=3, stores=0, gateways=0))
            *early, late = world.fleet.control_machines()
            for machine in early:
                machine.start(True)
            await asyncio.sleep(8.0)
            placements = early[0].processes["control"].instance.configuration.state.placements
            self.assertEqual((), placements)
            late.start(True)
            await asyncio.sleep(4.0)
            placements = early[0].processes["control"].instance.configuration.state.placements
            self.assertEqual({3}, {len(placed.voters) for placed in placements})
            self.assertEqual(len(budget_shards()), len(placements))
            world.watch.stop()

        run(story)


class TestLatePlacements(FleetStory):
    def test_given_an_owner_that_restarted_when_only_an_old_directory_reaches_it_then_the_group_stays(self):
        async def story(world):
            old = world.fleet.stores()[0].processes["store"].instance.directory
            old = next(iter(old._by_sender.values()))
            leaving = world.fleet.stores()[0]
            replica = leaving.processes["store"].instance.replica_id
            world.fleet.add_machine("storage", leaving.spec.zone, True, ("store",))
            await asyncio.sleep(CATCHUP_S)
            self.assertTrue(await world.operator.retire(leaving.name, 20.0))
            stores = world.fleet.stores()
            for machine in stores:
                world.fleet.partition(machine, world.fleet.control_machines())
                world.fleet.kill(machine)
                world.fleet.start(machine)
            await asyncio.sleep(2.0)
            for machine in stores:
                instance = machine.processes["store"].instance
                self.assertEqual(-1, instance.directory.version)
                instance.directory.merge("10.9.9.9:1", old)
                instance.follow_placements()
            await asyncio.sleep(1.0)
            for shard in budget_shards():
                self.assertNotIn(replica, holders(world, shard))
            for machine in stores:
                world.fleet.heal(machine, world.fleet.control_machines())

        self.tell(story)


def placement_numbers(world):
    """The numbers of the placements in force, as a control node has them."""
    state = world.fleet.processes("control")[0].instance.configuration.state
    return [placed.number for placed in state.placements]


class TestReplacedOnlyWhereItHelps(FleetStory):
    def test_given_a_store_that_the_configurations_owner_alone_does_not_hear_then_it_keeps_its_place(self):
        async def story(world):
            world.fleet.add_machine("storage", "zone-1", True, ("store",))
            await asyncio.sleep(CATCHUP_S)
            before = placement_numbers(world)
            store, owner = world.fleet.stores()[0], owner_machine(world)
            world.fleet.partition(store, [owner])
            await asyncio.sleep(6.0)
            self.assertEqual(before, placement_numbers(world))
            world.fleet.heal(store, [owner])

        self.tell(story, seeds=(1, 2))

    def test_given_a_store_that_starts_slowly_again_and_again_then_its_shards_move_once(self):
        async def story(world):
            world.fleet.add_machine("storage", "zone-1", True, ("store",))
            await asyncio.sleep(CATCHUP_S)
            before = placement_numbers(world)
            store = world.fleet.stores()[0]
            for _ in range(3):
                world.fleet.kill(store)
                await asyncio.sleep(2.5)
                world.fleet.start(store)
                await asyncio.sleep(CATCHUP_S)
            self.assertEqual([number + 1 for number in before], placement_numbers(world))

        self.tell(story)


async def lost_for_good(world, machine, rng):
    """A store is gone, and a new one comes."""
    world.fleet.remove(machine)
    await asyncio.sleep(rng.uniform(0.3, 2.5))
    world.fleet.add_machine("storage", machine.spec.zone, True, ("store",))


async def repaired(world, machine, rng):
    """A store loses its disk and comes back."""
    world.fleet.wipe(machine)
    await asyncio.sleep(rng.uniform(0.3, 2.5))
    world.fleet.start(machine)


async def replaced(world, machine, rng):
    """A store is replaced as planned."""
    world.fleet.add_machine("storage", machine.spec.zone, True, ("store",))
    await asyncio.sleep(rng.uniform(1.0, 2.0))
    world.fleet.terminate_and_remove(machine)
    await until(lambda: machine.removed, within=10.0)


async def retired(world, machine, rng):
    """A store is emptied, and gone the moment that this is told."""
    world.fleet.add_machine("storage", machine.spec.zone, True, ("store",))
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    if await world.operator.retire(machine.name, 20.0):
        world.fleet.remove(machine)


async def restarted(world, machine, rng):
    """A store is told to end and starts again, after the grace at the latest."""
    world.fleet.begin_restart(machine)
    await until(lambda: not any(process.running for process in machine.processes.values()), within=GRACE_S)
    machine.kill()
    await asyncio.sleep(0.2)
    world.fleet.start(machine)


CHANGES = {
    "loss": lost_for_good,
    "repair": repaired,
    "replacement": replaced,
    "retirement": retired,
    "restart": restarted,
}


class TestPairsOfChanges(FleetStory):
    """Two changes to the same shards, the second as soon as the first has ceased to count."""

    def play_pairs(self, first):
        spans = []

        async def story(world, second):
            rng = random.Random(f"{first} {second} {world.fleet.seed}")
            for change in (first, second):
                owner = next(
                    machine
                    for machine in world.fleet.stores()
                    if machine.processes["store"].instance.replica_id in holders(world, "budget-0")
                )
                await CHANGES[change](world, rng.choice((owner, rng.choice(world.fleet.stores()))), rng)
                span = await until(lambda: bears_a_loss(world), within=CATCHUP_S)
                spans.append((first, second, change, span))
                await asyncio.sleep(max(0.0, CATCHUP_S - (span or 0.0)))

        for second in CHANGES:
            self.tell(functools.partial(story, second=second))
        late = [span for span in spans if span[-1] is None]
        self.assertEqual([], late, spans)
        return spans

    def test_given_a_loss_then_the_groups_bear_another_within_their_time(self):
        self.play_pairs("loss")

    def test_given_a_repair_then_the_groups_bear_a_loss_within_their_time(self):
        self.play_pairs("repair")

    def test_given_a_replacement_then_the_groups_bear_a_loss_within_their_time(self):
        self.play_pairs("replacement")

    def test_given_a_retirement_then_the_groups_bear_a_loss_within_their_time(self):
        self.play_pairs("retirement")

    def test_given_a_restart_then_the_groups_bear_a_loss_within_their_time(self):
        self.play_pairs("restart")
