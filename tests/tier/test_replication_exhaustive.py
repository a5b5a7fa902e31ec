"""Explores all runs of three replicas and two commands with a fault at any step, using the real class.

Script of a run: the first replica campaigns, then two commands are proposed.  Messages and completed
writes wait in one queue.  At every step a fault may occur instead: the first message is dropped, duplicated
or moved to the end, a replica loses power (its unsynced writes lost or kept), or its election timeout
expires.  States reached more than once are explored once.  At the end of each run, without further faults,
one more command must be committed.

`python -m tests.tier.test_replication_exhaustive FAULTS` explores runs with more faults.
"""

import hashlib
import pickle
import sys

import testtools

from kestrelbend.tier.replication import Replica, Timing, replay
from tests.tier.replication_harness import SHARD, TICK, Invariants

NAMES = ("a", "b", "c")
COMMANDS = (b"first", b"second")
MAX_FAULTS = 1
RECOVERY_TICKS = 100  # 2 s
CAMPAIGN_STEP_S = 0.4  # two such steps without contact exceed any replica's campaign delay, one exceeds none
OTHERS_STEP_S = 0.31  # exceeds the leader stickiness of the other voters, but not the leader's timeout


class ReplicaSimulation:
    """Replicas, their clocks and disks, and the queue of pending messages and writes."""

    def __init__(self, faults):
        self.faults = faults
        self.script_position = 0
        self.queue = []
        self.invariants = Invariants(NAMES)
        self.clocks = dict.fromkeys(NAMES, 0.0)
        self.incarnations = dict.fromkeys(NAMES, 0)
        self.disks = {name: [] for name in NAMES}
        self.unsynced = {name: [] for name in NAMES}
        self.applied = dict.fromkeys(NAMES, 0)
        self.replicas = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.incarnations[name] += 1
        self.unsynced[name] = []
        self.applied[name] = 0
        self.replicas[name] = Replica(
            shard=SHARD,
            identity=name,
            founders=NAMES,
            durable=replay(self.disks[name]),
            timing=Timing(),
            now=self.clocks[name],
        )
        self.process_effects(name)

    # Steps of a run

    def possible_steps(self):
        """The possible next steps; the first one is not a fault."""
        if self.queue or self.script_position <= len(COMMANDS):
            yield "proceed", ""
        if not self.faults:
            return
        if self.queue and self.queue[0][0] == "message":
            yield from (("drop_message", ""), ("duplicate_message", ""), ("move_message_to_end", ""))
        for name in NAMES:
            yield "restart_without_unsynced_writes", name
            if self.unsynced[name]:
                yield "restart_with_unsynced_writes", name
            yield "expire_election_timeout", name

    def apply_step(self, step, name):
        if step != "proceed":
            self.faults -= 1
        getattr(self, step)(*name)

    def proceed(self):
        if self.queue:
            self.handle(self.queue.pop(0))
        else:
            self.advance_script()
            self.script_position += 1

    def advance_script(self):
        """Runs the next line of the script, once the queue is empty."""
        if self.script_position == 0:
            self.expire_election_timeout("a")
        else:
            for name in NAMES:
                self.propose(name, COMMANDS[self.script_position - 1])

    def propose(self, name, command):
        if self.replicas[name].propose(command, self.clocks[name]) is not None:
            self.process_effects(name)

    def drop_message(self):
        self.queue.pop(0)

    def duplicate_message(self):
        self.queue.append(self.queue[0])

    def move_message_to_end(self):
        self.queue.append(self.queue.pop(0))

    def restart_without_unsynced_writes(self, name):
        self.start(name)

    def restart_with_unsynced_writes(self, name):
        self.disks[name] += [record for _, record in self.unsynced[name]]
        self.start(name)

    def expire_election_timeout(self, name):
        for other in NAMES:
            clock_steps = (CAMPAIGN_STEP_S, CAMPAIGN_STEP_S) if other == name else (OTHERS_STEP_S,)
            for clock_step in clock_steps:
                self.clocks[other] += clock_step
                self.replicas[other].tick(self.clocks[other])
                self.process_effects(other)

    # Effects

    def handle(self, event):
        kind, name, incarnation, content = event
        replica = self.replicas[name]
        if kind == "message":
            replica.receive(content, self.clocks[name])
        elif incarnation == self.incarnations[name]:
            ticket, record = self.unsynced[name].pop(0)
            self.disks[name].append(record)
            replica.complete_write(ticket, self.clocks[name])
        self.process_effects(name)

    def process_effects(self, name):
        replica = self.replicas[name]
        effects = replica.drain_effects()
        if effects.leadership_changed and replica.is_leader:
            self.invariants.check_new_leader(replica)
        for write in effects.writes:
            self.unsynced[name].append(write)
            self.queue.append(("written", name, self.incarnations[name], None))
        for receiver, message in effects.sends:
            self.queue.append(("message", receiver, 0, message))
        for entry in effects.applied:
            assert entry.index == self.applied[name] + 1, "applied out of order"
            self.applied[name] = entry.index
            self.invariants.check_applied(entry, replica.term)

    def check_recovery(self):
        """Without further faults, one more command must be committed after all those before it."""
        acknowledged = self.invariants.commands()
        for _ in range(RECOVERY_TICKS):
            if b"final" in self.invariants.commands():
                break
            self.drain_queue()
            for name in NAMES:
                self.clocks[name] += TICK
                self.replicas[name].tick(self.clocks[name])
                self.process_effects(name)
                self.propose(name, b"final")
        commands = self.invariants.commands()
        assert b"final" in commands, "no progress after the last fault"
        assert commands[: len(acknowledged)] == acknowledged

    def drain_queue(self):
        while self.queue:
            self.handle(self.queue.pop(0))


def search(faults):
    """Explores all runs with up to `faults` faults; returns the number of states and the first violation."""
    first = pickle.dumps(ReplicaSimulation(faults))
    seen = {digest(first)}
    stack = [(first, ())]
    while stack:
        state, path = stack.pop()
        possible_steps = list(pickle.loads(state).possible_steps())
        try:
            if not possible_steps or possible_steps[0][0] != "proceed":
                pickle.loads(state).check_recovery()
            for step, name in possible_steps:
                simulation = pickle.loads(state)
                simulation.apply_step(step, name)
                next_state = pickle.dumps(simulation)
                if digest(next_state) not in seen:
                    seen.add(digest(next_state))
                    stack.append((next_state, (*path, (step, name))))
        except AssertionError as violation:
            return len(seen), (str(violation), path, (step, name))
    return len(seen), None


def digest(state):
    return hashlib.blake2b(state, digest_size=16).digest()


class ExhaustiveSearchTest(testtools.TestCase):
    def test_one_fault_at_any_step_preserves_the_invariants(self):
        states, violation = search(MAX_FAULTS)
        self.assertIsNone(violation)
        self.assertGreater(states, 1000)


if __name__ == "__main__":
    print(search(int(sys.argv[1])))
