"""A store that was away comes back to the largest state there is, over the narrowest link, under load."""

import asyncio

from kestrelbend.tier.budgets.commands import encode_commands
from kestrelbend.tier.budgets.messages import Reserve, Settlement
from kestrelbend.tier.budgets.table import MAX_IDLE_PROGRAMS, MAX_ACTIVE_PROGRAMS, BudgetTable
from kestrelbend.tier.fleet.fleet import Size
from tests.tier.fleet_story import FleetStory

NARROW = 15_000_000 / 8  # bytes a second
CATCH_UP_S = 4.0
MOST_SILENCE_S = 0.3  # an election follows after 0.45
SHARD = "budget-0"
FILLED = MAX_ACTIVE_PROGRAMS - 300  # the rest are those of the day
TURNS = 64
TAIL = 520  # entries, more than are kept before a snapshot
FORGOTTEN_S = 11.0  # longer than entries are kept for who is away


def full_table():
    """The saved form of a table whose programs in use have all that a program may have."""
    table = BudgetTable()
    for number in range(MAX_IDLE_PROGRAMS + FILLED):
        name = f"program-{number:012d}-of-earlier-days"
        turns = TURNS if number >= MAX_IDLE_PROGRAMS else 1
        for turn in range(turns):
            session, reservation = f"session-{turn:08d}", f"reservation-{number}-{turn:08d}"
            table.reserve(Reserve(name, session, reservation, turn, 100, 10**9, True))
            table.settle(Settlement(name, reservation, 50, 0))
    return table.snapshot()


def hosts_of(world, shard):
    processes = world.fleet.processes("store")
    return [p.instance.host for p in processes if p.instance.host.replica(shard) is not None]


def owner_of(world, shard):
    return next((host for host in hosts_of(world, shard) if host.replica(shard).is_leader), None)


async def propose_many(world, count, pause):
    for number in range(count):
        host = owner_of(world, SHARD)
        reserve = Reserve("load", f"s{number % 8}", f"load {world.fleet.now()}", number, 1, 0, True)
        if host is not None:
            host.propose(SHARD, encode_commands((), (reserve,)), lambda outcome: None, world.fleet.now())
            host.flush(SHARD)
        await asyncio.sleep(pause)


async def fill(world, state):
    """Puts the programs of earlier days in front of those of today, on all replicas after the same entry."""
    hosts = hosts_of(world, SHARD)
    while len({host.replica(SHARD).applied_index for host in hosts}) > 1:
        await asyncio.sleep(0.005)
    for host in hosts:
        table = host.state_machine(SHARD).table
        earlier = BudgetTable()
        earlier.restore(state)
        earlier.snapshot()
        table._active = {**earlier._active, **table._active}
        table._idle._programs = {**earlier._idle._programs, **table._idle._programs}
        host.replica(SHARD).compact(host.replica(SHARD).applied_index, table.snapshot())


class TestLargestState(FleetStory):
    def test_a_store_catches_up_within_its_time_and_nobody_is_voted_out(self):
        async def story(world):
            fleet = world.fleet
            store = next(m for m in fleet.stores() if not owns(m, SHARD))
            fleet.kill(store)
            await asyncio.sleep(FORGOTTEN_S)
            await propose_many(world, TAIL, 0.002)
            await fill(world, state)
            owner = owner_of(world, SHARD)
            epoch, size = owner.replica(SHARD).term, len(owner.state_machine(SHARD).snapshot())
            fleet.network.limit_bandwidth(store.spec.ip, NARROW)
            fleet.start(store)
            began = fleet.now()
            load = asyncio.create_task(propose_many(world, 1_000, 0.01))
            target = owner.replica(SHARD).commit_index
            silence = 0.0
            while applied(store, SHARD) < target and fleet.now() < began + 30:
                await asyncio.sleep(0.02)
                silence = max(silence, longest_silence(store, fleet.now()))
            took, wire = fleet.now() - began, size / NARROW
            fleet.log(f"{size} bytes, {wire:.2f} s on the wire, caught up after {took:.2f} s")
            figures.append((size, round(wire, 2), round(took, 2)))
            fleet.log(f"the longest time that a replica heard no owner: {silence:.2f} s on the wire")
            if silence > MOST_SILENCE_S:
                fleet.report_violation("heartbeats waited behind the snapshot")
            if took > wire + CATCH_UP_S:
                fleet.report_violation("the store has not caught up in time")
            if owner_of(world, SHARD) is not owner or owner.replica(SHARD).term != epoch:
                fleet.report_violation("the leader was voted out meanwhile")
            await load
            fleet.network.remove_bandwidth_limit(store.spec.ip)
            await asyncio.sleep(1.0)

        figures = []
        state = full_table()
        self.tell(story, size=Size(control=3, stores=3, gateways=1))
        self.assertGreater(figures[0][0], 11_000_000)


def longest_silence(machine, now):
    """Of all replicas there that have heard a leader in this life."""
    process = machine.processes["store"]
    if process.instance is None:
        return 0.0
    host = process.instance.host
    replicas = [host.replica(shard) for shard in host.shards()]
    return max([now - one.last_contact for one in replicas if one.last_contact > 0], default=0.0)


def owns(machine, shard):
    return machine.processes["store"].instance.host.replica(shard).is_leader


def applied(machine, shard):
    process = machine.processes["store"]
    replica = process.instance.host.replica(shard) if process.instance is not None else None
    return 0 if replica is None else replica.applied_index
