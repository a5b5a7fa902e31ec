"""A restarted store catches up with the largest possible state, over the slowest link, under load."""

import asyncio

from kestrelbend.tier.budgets.commands import encode_commands
from kestrelbend.tier.budgets.messages import Reserve, Settlement
from kestrelbend.tier.budgets.table import MAX_IDLE_PROGRAMS, MAX_ACTIVE_PROGRAMS, BudgetTable
from kestrelbend.tier.fleet.fleet import Size
from tests.tier.fleet_story import FleetStory

NARROW_LINK_RATE = 15_000_000 / 8  # bytes per second
CATCH_UP_S = 4.0
MAX_SILENCE_S = 0.3  # an election follows after 0.45 s
SHARD = "budget-0"
FILLED_PROGRAMS = MAX_ACTIVE_PROGRAMS - 300  # leaves room for the programs of the running fleet
TURNS_PER_PROGRAM = 64
TAIL_COMMANDS = 520  # more entries than are kept before a snapshot
STOPPED_S = 11.0  # longer than entries are kept for a stopped follower


def full_table():
    """The snapshot of a table whose active programs hold as much state as a program may hold."""
    table = BudgetTable()
    for number in range(MAX_IDLE_PROGRAMS + FILLED_PROGRAMS):
        name = f"program-{number:012d}-of-earlier-days"
        turns = TURNS_PER_PROGRAM if number >= MAX_IDLE_PROGRAMS else 1
        for turn in range(turns):
            session, reservation = f"session-{turn:08d}", f"reservation-{number}-{turn:08d}"
            table.reserve(Reserve(name, session, reservation, turn, 100, 10**9, True))
            table.settle(Settlement(name, reservation, 50, 0))
    return table.snapshot()


def store_hosts(world, shard):
    processes = world.fleet.processes("store")
    return [p.instance.host for p in processes if p.instance.host.replica(shard) is not None]


def leading_host(world, shard):
    return next((host for host in store_hosts(world, shard) if host.replica(shard).is_leader), None)


async def propose_commands(world, count, pause):
    for number in range(count):
        host = leading_host(world, SHARD)
        reserve = Reserve("load", f"s{number % 8}", f"load {world.fleet.now()}", number, 1, 0, True)
        if host is not None:
            host.propose(SHARD, encode_commands((), (reserve,)), lambda outcome: None, world.fleet.now())
            host.flush(SHARD)
        await asyncio.sleep(pause)


async def fill_tables(world, state):
    """Puts the filled table's programs before the present ones, on all replicas after the same entry."""
    hosts = store_hosts(world, SHARD)
    while len({host.replica(SHARD).applied_index for host in hosts}) > 1:
        await asyncio.sleep(0.005)
    for host in hosts:
        table = host.state_machine(SHARD).table
        filled_table = BudgetTable()
        filled_table.restore(state)
        filled_table.snapshot()
        table._active = {**filled_table._active, **table._active}
        table._idle._programs = {**filled_table._idle._programs, **table._idle._programs}
        host.replica(SHARD).compact(host.replica(SHARD).applied_index, table.snapshot())


class TestLargestSnapshot(FleetStory):
    def test_a_store_catches_up_in_time_and_the_leader_is_not_replaced(self):
        async def scenario(world):
            fleet = world.fleet
            store = next(m for m in fleet.stores() if not leads(m, SHARD))
            fleet.kill(store)
            await asyncio.sleep(STOPPED_S)
            await propose_commands(world, TAIL_COMMANDS, 0.002)
            await fill_tables(world, state)
            leader_host = leading_host(world, SHARD)
            initial_term, size = (
                leader_host.replica(SHARD).term,
                len(leader_host.state_machine(SHARD).snapshot()),
            )
            fleet.network.limit_bandwidth(store.spec.ip, NARROW_LINK_RATE)
            fleet.start(store)
            started_at = fleet.now()
            load = asyncio.create_task(propose_commands(world, 1_000, 0.01))
            target = leader_host.replica(SHARD).commit_index
            observed_silence = 0.0
            while applied_index_at(store, SHARD) < target and fleet.now() < started_at + 30:
                await asyncio.sleep(0.02)
                observed_silence = max(observed_silence, max_silence(store, fleet.now()))
            elapsed, transfer_time = fleet.now() - started_at, size / NARROW_LINK_RATE
            fleet.log(
                f"{size} bytes, {transfer_time:.2f} s at the link's rate, caught up after {elapsed:.2f} s"
            )
            measurements.append((size, round(transfer_time, 2), round(elapsed, 2)))
            fleet.log(f"longest time without a leader's message: {observed_silence:.2f} s")
            if observed_silence > MAX_SILENCE_S:
                fleet.report_violation("heartbeats were delayed by the snapshot")
            if elapsed > transfer_time + CATCH_UP_S:
                fleet.report_violation("the store did not catch up in time")
            if (
                leading_host(world, SHARD) is not leader_host
                or leader_host.replica(SHARD).term != initial_term
            ):
                fleet.report_violation("the leader was replaced during the transfer")
            await load
            fleet.network.remove_bandwidth_limit(store.spec.ip)
            await asyncio.sleep(1.0)

        measurements = []
        state = full_table()
        self.tell(scenario, size=Size(control=3, stores=3, gateways=1))
        self.assertGreater(measurements[0][0], 11_000_000)


def max_silence(machine, now):
    """The longest time without a leader's message, of the replicas that had one in this incarnation."""
    process = machine.processes["store"]
    if process.instance is None:
        return 0.0
    host = process.instance.host
    replicas = [host.replica(shard) for shard in host.shards()]
    return max([now - each.last_contact for each in replicas if each.last_contact > 0], default=0.0)


def leads(machine, shard):
    return machine.processes["store"].instance.host.replica(shard).is_leader


def applied_index_at(machine, shard):
    process = machine.processes["store"]
    replica = process.instance.host.replica(shard) if process.instance is not None else None
    return 0 if replica is None else replica.applied_index
