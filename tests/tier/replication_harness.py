"""Runs replicas in virtual time with faults of links and disks, and checks the replication invariants.

`Cluster` connects real replicas; `Invariants` checks their effects and fails on a violation.
"""

from __future__ import annotations

import heapq
import random

import attrs

from kestrelbend.tier.replication import Replica, Timing, replay
from kestrelbend.tier.replication.group import decode_group
from kestrelbend.tier.replication.messages import EntryKind

SHARD = "budget-0"
TICK = 0.02
TICKETS_PER_INCARNATION = 1_000_000


class Invariants:
    """Safety under any fault: one leader per term, one sequence of commits, no acknowledged entry lost."""

    def __init__(self, founders):
        self.committed_entries = []
        self.commit_terms = []
        self.group = founders
        self._leaders = {}

    def check_new_leader(self, replica):
        leader = self._leaders.setdefault(replica.term, replica.identity)
        assert leader == replica.identity, f"two leaders of term {replica.term}"
        durable = replica.durable_record()
        entries = {entry.index: entry for entry in durable.entries}
        for entry, term in zip(self.committed_entries, self.commit_terms, strict=True):
            if durable.snapshot.index < entry.index and term < replica.term:
                assert entries.get(entry.index) == entry, f"the leader lacks committed {entry}"

    def check_applied(self, entry, term):
        if entry.index <= len(self.committed_entries):
            assert self.committed_entries[entry.index - 1] == entry, f"two committed entries at {entry.index}"
            return
        assert entry.index == len(self.committed_entries) + 1, f"{entry} leaves a gap"
        self.committed_entries.append(entry)
        self.commit_terms.append(term)
        if entry.kind == EntryKind.GROUP:
            group = decode_group(entry.data)
            assert len(set(group) ^ set(self.group)) <= 1, f"{self.group} to {group} in one step"
            self.group = group

    def commands(self):
        return [entry.data for entry in self.committed_entries if entry.kind == EntryKind.COMMAND]


class Node:
    """A machine: a replica or none, its disk's records, and a state machine that lists the commands."""

    def __init__(self, name):
        self.name = name
        self.generation = 1
        self.incarnation = 0
        self.replica = None
        self.records = []
        self.unsynced = []
        self.applied_index = 0
        self.commands = []
        self.reads = {}
        self.confirmed = []
        self.disk_delay = 0.002
        self.stalled = False
        self.frozen = False
        self.deferred_events = []

    @property
    def identity(self):
        return f"{self.name}#{self.generation}"

    @property
    def is_running(self):
        return self.replica is not None and not self.frozen


@attrs.define
class Links:
    """Delays and faults of messages between any two machines; `cut` holds (sender, receiver) pairs."""

    delay: float = 0.002
    delay_jitter: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    cut: set = attrs.field(factory=set)
    bandwidth: float = 0.0  # bytes per second between two machines, in order; 0: unlimited
    priority_size: int = 0  # messages up to this size don't queue behind larger ones
    free_at: dict = attrs.field(factory=dict)  # when the link of a pair has sent all queued messages

    def arrival(self, pair, message, now, delay):
        """The time from now until a message arrives."""
        if not self.bandwidth:
            return delay
        if message_size(message) <= self.priority_size:
            return message_size(message) / self.bandwidth + delay
        start = max(now, self.free_at.get(pair, 0.0))
        self.free_at[pair] = start + message_size(message) / self.bandwidth
        return self.free_at[pair] - now + delay


def message_size(message):
    """The approximate size of a message on a link, in bytes."""
    entries = getattr(message, "entries", ())
    snapshot = getattr(message, "snapshot", None)
    data = len(getattr(message, "data", b"")) + sum(len(entry.data) + 64 for entry in entries)
    return 100 + data + (len(snapshot.state) if snapshot else 0)


class Cluster:
    """Machines, links and one clock; `seed` determines all random choices.

    `names` are the machines of the initial group, `others` further machines.
    """

    def __init__(self, names="abc", others="", seed=0, timing=None, polls_read_index=False):
        self.polls_read_index = polls_read_index
        self.random = random.Random(seed)
        self.timing = timing or Timing()
        self.now = 0.0
        self.links = Links()
        self.nodes = {name: Node(name) for name in (*names, *others)}
        self.founders = tuple(self.nodes[name].identity for name in names)
        self.invariants = Invariants(self.founders)
        self.sent = []
        self._events = []
        self._sequence = 0
        for node in self.nodes.values():
            self.start(node.name)

    # Machines, disks and links

    def start(self, name):
        node = self.nodes[name]
        node.incarnation += 1
        node.applied_index, node.commands, node.reads = 0, [], {}
        node.frozen = node.stalled = False
        node.replica = Replica(
            shard=SHARD,
            identity=node.identity,
            founders=self.founders,
            durable=replay(node.records),
            timing=self.timing,
            now=self.now,
            first_ticket=node.incarnation * TICKETS_PER_INCARNATION,
        )
        if self.polls_read_index:
            node.replica.enable_read_index_polling()
        self._process_effects(node)

    def lose_power(self, *names):
        """Stops the machines; a random prefix of the unsynced records is kept on each disk."""
        for name in names:
            node = self.nodes[name]
            kept = self.random.randint(0, len(node.unsynced))
            node.records += [record for _, record in node.unsynced[:kept]]
            node.unsynced, node.deferred_events, node.replica = [], [], None

    def erase_disk(self, name):
        self.lose_power(name)
        node = self.nodes[name]
        node.records = []
        node.generation += 1

    def freeze(self, name):
        self.nodes[name].frozen = True

    def thaw(self, name):
        node = self.nodes[name]
        node.frozen = False
        kept, node.deferred_events = node.deferred_events, []
        for event in kept:
            self._schedule(0.0, *event)

    def stall_disk(self, name):
        self.nodes[name].stalled = True

    def resume_disk(self, name):
        node = self.nodes[name]
        node.stalled = False
        for ticket, _ in node.unsynced:
            self._schedule(node.disk_delay, node, node.incarnation, "written", ticket)

    def cut(self, sender, receiver):
        self.links.cut.add((sender, receiver))

    def isolate(self, name):
        for other in self.nodes:
            self.links.cut |= {(name, other), (other, name)}

    def heal(self):
        self.links.cut.clear()

    # Requests to replicas

    def leader(self):
        """The leader that is in contact with a majority, if there is one."""
        leaders = [node for node in self.nodes.values() if node.is_running and node.replica.is_leader]
        leaders = [node for node in leaders if node.replica.is_in_contact(self.now)]
        return max(leaders, key=lambda node: node.replica.term, default=None)

    def propose(self, command, node=None):
        node = node or self.leader()
        index = node.replica.propose(command, self.now) if node else None
        if node:
            self._process_effects(node)
        return index

    def confirm_read(self, node=None):
        node = node or self.leader()
        ticket = node.replica.confirm_read(self.now) if node else None
        if ticket is not None:
            node.reads[ticket] = len(self.invariants.committed_entries)
            self._process_effects(node)
        return ticket

    def transfer(self):
        node = self.leader()
        node.replica.transfer_leadership(self.now)
        self._process_effects(node)

    def set_target(self, names, number=0):
        """Sets the target group of the placement `number` at every replica."""
        target = tuple(self.nodes[name].identity for name in names)
        for node in self.nodes.values():
            if node.is_running:
                node.replica.set_target(target, number)
                self._process_effects(node)

    def set_target_at(self, node, names, **rest):
        """Sets the target group at one replica."""
        node.replica.set_target(tuple(self.nodes[name].identity for name in names), **rest)
        self._process_effects(node)

    def has_group(self, names):
        """Whether a leader is in contact, and its voters, all committed, are exactly these machines."""
        leader = self.leader()
        wanted = {self.nodes[name].identity for name in names}
        return leader is not None and set(leader.replica.committed_voters) == wanted == set(
            leader.replica.voters
        )

    def compact(self, name):
        node = self.nodes[name]
        node.replica.compact(node.applied_index, b"\n".join(node.commands))
        self._process_effects(node)

    def checkpoint(self, name):
        """Replaces a disk's records with a single one if no write is pending."""
        node = self.nodes[name]
        if not node.unsynced:
            node.records = [node.replica.durable_record()]

    # Time

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end - TICK / 2:
            self._run_events(self.now + TICK)
            self.now = round(self.now + TICK, 6)
            for node in self.nodes.values():
                if node.is_running:
                    node.replica.tick(self.now)
                    self._process_effects(node)

    def run_until(self, condition, within):
        """Runs until the condition is true; returns whether that happened in time."""
        end = self.now + within
        while self.now < end and not condition():
            self.run(TICK)
        return condition()

    def committed(self, command):
        return any(entry.data == command for entry in self.invariants.committed_entries)

    # Messages, disks and effects

    def _schedule(self, delay, *event):
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, event))

    def _run_events(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            self._dispatch(*event)

    def _dispatch(self, node, incarnation, kind, content):
        if incarnation not in (0, node.incarnation) or node.replica is None:
            return
        if node.frozen:
            node.deferred_events.append((node, incarnation, kind, content))
        elif kind == "message":
            node.replica.receive(content, self.now)
            self._process_effects(node)
        elif not node.stalled:
            self._complete_write(node, content)

    def _complete_write(self, node, ticket):
        done = [record for number, record in node.unsynced if number <= ticket]
        node.records += done
        del node.unsynced[: len(done)]
        node.replica.complete_write(ticket, self.now)
        self._process_effects(node)

    def _process_effects(self, node):
        effects = node.replica.drain_effects()
        if effects.leadership_changed and node.replica.is_leader:
            self.invariants.check_new_leader(node.replica)
        for ticket, record in effects.writes:
            node.unsynced.append((ticket, record))
            self._schedule(node.disk_delay, node, node.incarnation, "written", ticket)
        for receiver, message in effects.sends:
            self._send(node, receiver, message)
        self._apply(node, effects)
        for ticket in effects.confirmed_reads:
            assert node.applied_index >= node.reads.pop(ticket), (
                "a confirmed read misses entries committed before its request"
            )
            node.confirmed.append(ticket)

    def _apply(self, node, effects):
        if effects.restore is not None:
            node.applied_index = effects.restore.index
            node.commands = effects.restore.state.split(b"\n") if effects.restore.state else []
        for entry in effects.applied:
            assert entry.index == node.applied_index + 1, f"{node.name} applies {entry} out of order"
            node.applied_index = entry.index
            self.invariants.check_applied(entry, node.replica.term)
            if entry.kind == EntryKind.COMMAND:
                node.commands.append(entry.data)
        if effects.applied or effects.restore is not None:
            before = self.invariants.committed_entries[: node.applied_index]
            assert node.commands == [entry.data for entry in before if entry.kind == EntryKind.COMMAND]

    def _send(self, node, receiver, message):
        name, _, generation = receiver.partition("#")
        target = self.nodes[name]
        self.sent.append((node.name, name, message))
        if str(target.generation) != generation or (node.name, name) in self.links.cut:
            return
        if self.links.loss and self.random.random() < self.links.loss:
            return
        copies = 2 if self.links.duplication and self.random.random() < self.links.duplication else 1
        for _ in range(copies):
            delay = self.links.delay + self.random.random() * self.links.delay_jitter
            delay = self.links.arrival((node.name, name), message, self.now, delay)
            self._schedule(delay, target, 0, "message", message)
