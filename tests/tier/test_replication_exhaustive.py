"""All runs of three replicas and two commands with a fault at any step, over the real class.

A run's script is: the first replica campaigns, then two commands are proposed.  Messages and finished
writes wait in one queue.  At every step a fault may come instead: the head message is lost, doubled or
put last, a replica loses power (its unsynced writes lost, or kept), or its election timeout
ends.  States reached twice are searched once.  At the end of each run, calm must bring a further
command through.

`python -m tests.tier.test_replication_exhaustive FAULTS` searches with more faults in a run.
"""

import hashlib
import pickle
import sys

import testtools

from kestrelbend.tier.replication import Replica, Timing, replay
from tests.tier.replication_harness import SHARD, TICK, Promises

NAMES = ("a", "b", "c")
COMMANDS = (b"first", b"second")
FAULTS = 1
CALM_TICKS = 100  # 2 s
TIME_OUT_S = 0.4  # two such spans without contact end any replica's patience, one ends nobody's
OTHERS_TIME_OUT_S = 0.31  # that passes for the others: voters let go of the leader, the leader itself doesn't


class World:
    """Replicas, their clocks and disks, and the queue of messages and writes under way."""

    def __init__(self, faults):
        self.faults = faults
        self.stage = 0
        self.queue = []
        self.promises = Promises(NAMES)
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
        self.work(name)

    # Steps

    def steps(self):
        """The steps that may come next; the first one is no fault."""
        if self.queue or self.stage <= len(COMMANDS):
            yield "proceed", ""
        if not self.faults:
            return
        if self.queue and self.queue[0][0] == "message":
            yield from (("lose", ""), ("double", ""), ("put_last", ""))
        for name in NAMES:
            yield "lose_power", name
            if self.unsynced[name]:
                yield "restart", name
            yield "lose_patience", name

    def take(self, step, name):
        if step != "proceed":
            self.faults -= 1
        getattr(self, step)(*name)

    def proceed(self):
        if self.queue:
            self.handle(self.queue.pop(0))
        else:
            self.go_on()
            self.stage += 1

    def go_on(self):
        """The script's next line, once nothing is under way."""
        if self.stage == 0:
            self.lose_patience("a")
        else:
            for name in NAMES:
                self.propose(name, COMMANDS[self.stage - 1])

    def propose(self, name, command):
        if self.replicas[name].propose(command, self.clocks[name]) is not None:
            self.work(name)

    def lose(self):
        self.queue.pop(0)

    def double(self):
        self.queue.append(self.queue[0])

    def put_last(self):
        self.queue.append(self.queue.pop(0))

    def lose_power(self, name):
        self.start(name)

    def restart(self, name):
        self.disks[name] += [record for _, record in self.unsynced[name]]
        self.start(name)

    def lose_patience(self, name):
        for other in NAMES:
            spans = (TIME_OUT_S, TIME_OUT_S) if other == name else (OTHERS_TIME_OUT_S,)
            for span in spans:
                self.clocks[other] += span
                self.replicas[other].tick(self.clocks[other])
                self.work(other)

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
        self.work(name)

    def work(self, name):
        replica = self.replicas[name]
        effects = replica.drain_effects()
        if effects.leadership_changed and replica.is_leader:
            self.promises.becomes_leader(replica)
        for write in effects.writes:
            self.unsynced[name].append(write)
            self.queue.append(("written", name, self.incarnations[name], None))
        for receiver, message in effects.sends:
            self.queue.append(("message", receiver, 0, message))
        for entry in effects.applied:
            assert entry.index == self.applied[name] + 1, "applied out of order"
            self.applied[name] = entry.index
            self.promises.applied(entry, replica.term)

    def calm(self):
        """No fault comes any more: a further command must be committed, after all those before it."""
        acknowledged = self.promises.commands()
        for _ in range(CALM_TICKS):
            if b"calm" in self.promises.commands():
                break
            self.settle()
            for name in NAMES:
                self.clocks[name] += TICK
                self.replicas[name].tick(self.clocks[name])
                self.work(name)
                self.propose(name, b"calm")
        commands = self.promises.commands()
        assert b"calm" in commands, "no progress in calm"
        assert commands[: len(acknowledged)] == acknowledged

    def settle(self):
        while self.queue:
            self.handle(self.queue.pop(0))


def search(faults):
    """Visits all runs with up to `faults` faults; the number of states, and the first run that fails."""
    first = pickle.dumps(World(faults))
    seen = {digest(first)}
    stack = [(first, ())]
    while stack:
        state, path = stack.pop()
        steps = list(pickle.loads(state).steps())
        try:
            if not steps or steps[0][0] != "proceed":
                pickle.loads(state).calm()
            for step, name in steps:
                world = pickle.loads(state)
                world.take(step, name)
                reached = pickle.dumps(world)
                if digest(reached) not in seen:
                    seen.add(digest(reached))
                    stack.append((reached, (*path, (step, name))))
        except AssertionError as broken:
            return len(seen), (str(broken), path, (step, name))
    return len(seen), None


def digest(state):
    return hashlib.blake2b(state, digest_size=16).digest()


class ExhaustiveSearch(testtools.TestCase):
    def test_no_run_with_a_fault_at_any_step_breaks_a_promise(self):
        states, broken = search(FAULTS)
        self.assertIsNone(broken)
        self.assertGreater(states, 1000)


if __name__ == "__main__":
    print(search(int(sys.argv[1])))
