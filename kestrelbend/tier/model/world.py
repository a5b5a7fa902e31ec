"""One state of the model: replicas, clocks, disks, links, and what is under way between them.

Messages and finished writes wait in one queue and come in its order; a script's next line is done once
nothing is under way.  Each deviation from that (a fault) costs one of the run's `faults`.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from ..replication import Effects, Timing
from ..replication.group import decode_group
from ..replication.messages import DurableRecord, Entry, EntryKind, ReplicaMessage
from .node import SHARD, Node
from .rules import Rules, entries_of, group_before, require

STEP_S = 0.001  # by a node's own clock, for each event that it handles
TIME_OUT_S = 0.4  # two such spans without contact end any replica's patience, one ends nobody's
OTHERS_TIME_OUT_S = 0.31  # that passes for the others: voters let go of the leader, the leader itself doesn't
TICK_S = 0.02
CALM_S = 4.0

Step = tuple[str, ...]


def quick_timing() -> Timing:
    """Small bounds: one entry a message, and none kept behind a snapshot."""
    return Timing(tail_entries=0, retention=0.0, snapshot_retry=0.2, append_bytes=1)


@attrs.frozen
class Script:
    """A run without faults: who founds the group, who stands by, and what is done, line by line."""

    name: str
    founders: str
    others: str
    lines: tuple[Step, ...]
    watches_freshness: bool = False  # all replicas ask their leader how new they are, all the time


@attrs.frozen
class Message:
    """A message under way; `sent_at` is its receiver's clock when it was sent."""

    sender: str
    receiver: str
    sent_at: float
    content: ReplicaMessage
    arrived: bool = False  # it lay in the receiver's socket; no cut holds it up any more


@attrs.frozen
class Written:
    """A write that the disk finishes."""

    name: str
    incarnation: int


class World:
    """A state that can be pickled: a search copies it at every step."""

    def __init__(self, script: Script, faults: int) -> None:
        self.script = script
        self.faults = faults
        self.line = 0
        self.queue: list[Message | Written] = []
        self.cuts: set[tuple[str, str]] = set()
        self.when_leader: dict[str, Step] = {}
        self.when_committed: dict[int, Step] = {}
        self.nodes = {name: Node(name) for name in script.founders + script.others}
        self.founders = tuple(self.nodes[name].identity for name in script.founders)
        self.rules = Rules(self.founders)
        self.timing = quick_timing()
        for name in self.nodes:
            self._start(name)

    # Steps

    def steps(self) -> Iterator[Step]:
        """The steps that may come next; the first one is no fault, unless the script has come to its end."""
        if self.queue or self.line < len(self.script.lines):
            yield ("proceed",)
        if not self.faults:
            return
        if self.queue and isinstance(self.queue[0], Message):
            yield from (("lose",), ("double",), ("put_last",))
        for name, node in self.nodes.items():
            yield "lose_power", name
            if node.unsynced:
                yield "restart", name
            yield "time_out", name
            yield "compact", name
            if node.replica.is_leader:
                yield "transfer", name
            if self._may_lose_a_disk():
                yield "wipe", name

    def take(self, step: Step) -> None:
        """Does a step, a fault where it is not the next of the script's run."""
        if step != ("proceed",):
            self.faults -= 1
        getattr(self, step[0])(*step[1:])

    def proceed(self) -> None:
        """What comes next without a fault."""
        if self.queue:
            self._handle(self.queue.pop(0))
            return
        self.line += 1
        self._do(self.script.lines[self.line - 1])

    # Lines of scripts, and faults

    def lose(self) -> None:
        """The next message is lost."""
        self.queue.pop(0)

    def double(self) -> None:
        """The next message comes again after all others."""
        self.queue.append(self.queue[0])

    def put_last(self) -> None:
        """The next message comes after all others."""
        self.queue.append(self.queue.pop(0))

    def lose_power(self, name: str) -> None:
        """Back at once, without what was not synced."""
        self._start(name)

    def restart(self, name: str) -> None:
        """Back at once, with all that was being written."""
        node = self.nodes[name]
        node.records += [record for _, record in node.unsynced]
        self._start(name)

    def wipe(self, name: str) -> None:
        """Back with an empty disk, as another replica, unless the group has not made up for the last one."""
        if not self._may_lose_a_disk():
            return
        node = self.nodes[name]
        self.rules.emptied.add(node.identity)
        node.records = []
        node.generation += 1
        self._start(name)

    def time_out(self, name: str) -> None:
        """A replica hears nobody for long enough to campaign; the others let go of the leader meanwhile."""
        for other in self.nodes:
            for span in (TIME_OUT_S, TIME_OUT_S) if other == name else (OTHERS_TIME_OUT_S,):
                self.advance(other, span)

    def advance(self, name: str, seconds: float | str) -> None:
        """A clock goes on, without anything else."""
        node = self.nodes[name]
        node.clock = round(node.clock + float(seconds), 6)
        node.replica.tick(node.clock)
        self._work(node)
        self.rules.keeps_leading(node, self.timing.election_timeout)

    def propose(self, name: str, command: str) -> None:
        """A command comes to a replica, which may not lead."""
        node = self.nodes[name]
        if node.replica.propose(command.encode(), node.clock) is not None:
            self._work(node)

    def read(self, name: str) -> None:
        """A read comes to a replica, which may not lead."""
        node = self.nodes[name]
        ticket = node.replica.confirm_read(node.clock)
        if ticket is not None:
            node.reads[ticket] = len(self.rules.history)
            self._work(node)

    def transfer(self, name: str) -> None:
        """A replica is asked to transfer its leadership."""
        node = self.nodes[name]
        node.replica.transfer_leadership(node.clock)
        self._work(node)

    def set_target(self, names: str) -> None:
        """The target group, set at every replica."""
        target = tuple(self.nodes[name].identity for name in names)
        for node in self.nodes.values():
            node.replica.set_target(target)
            self._work(node)

    def set_target_at(self, name: str, names: str) -> None:
        """The target group, set at one replica."""
        node = self.nodes[name]
        node.replica.set_target(tuple(self.nodes[other].identity for other in names))
        self._work(node)

    def compact(self, name: str) -> None:
        """A snapshot takes the place of the applied entries."""
        node = self.nodes[name]
        node.replica.compact(node.applied_index, b"\n".join(node.commands))
        self._work(node)

    def learn(self, name: str, learners: str) -> None:
        """The replicas that one replica, where it leads, brings up to date without a vote."""
        node = self.nodes[name]
        node.replica.set_learners(tuple(self.nodes[other].identity for other in learners))
        self._work(node)

    def when_leads(self, name: str, *step: str) -> None:
        """What is done at the moment at which a replica next begins to lead, before its messages come."""
        self.when_leader[name] = step

    def when_commits(self, length: str, *step: str) -> None:
        """What is done at the moment at which the history has this length, before the others hear of it."""
        self.when_committed[int(length)] = step

    def split(self, names: str) -> None:
        """These replicas and the others hear nothing of each other."""
        for name in names:
            for other in self.nodes.keys() - set(names):
                self.cuts |= {(name, other), (other, name)}

    def heal(self) -> None:
        """All links work."""
        self.cuts = set()

    def stall_disk(self, name: str) -> None:
        """A disk finishes no write."""
        self.nodes[name].stalled = True

    def resume_disk(self, name: str) -> None:
        """A disk finishes its writes."""
        node = self.nodes[name]
        node.stalled = False
        self.queue += [Written(name, node.incarnation) for _ in node.unsynced]

    def pause_process(self, name: str, seconds: str) -> None:
        """A process stands still; its next call comes with what waits."""
        node = self.nodes[name]
        node.clock = round(node.clock + float(seconds), 6)
        node.resumed_at = node.clock

    def delay_messages(self, name: str) -> None:
        """Messages to a replica wait in its socket."""
        self.nodes[name].delayed = []

    def deliver_delayed(self, name: str) -> None:
        """They come."""
        node = self.nodes[name]
        delayed = node.delayed or []
        node.delayed = None
        self.queue = [*delayed, *self.queue]

    def _may_lose_a_disk(self) -> bool:
        return not self.rules.emptied.intersection(self.rules.group)

    # What comes of them

    def _start(self, name: str) -> None:
        node = self.nodes[name]
        node.start(self.founders, self.timing, self.script.watches_freshness)
        self._work(node)

    def _handle(self, event: Message | Written) -> None:
        if isinstance(event, Written):
            self._written(event)
            return
        name, _, generation = event.receiver.partition("#")
        node = self.nodes[name]
        lost = (event.sender, name) in self.cuts and not event.arrived
        if str(node.generation) != generation or lost:
            return
        if node.delayed is not None:
            node.delayed.append(attrs.evolve(event, arrived=True))
            return
        self._pass_time(node)
        node.record_contact(event.content.sender, event.sent_at)
        node.replica.receive(event.content, node.clock)
        self._work(node)

    def _written(self, event: Written) -> None:
        node = self.nodes[event.name]
        if event.incarnation != node.incarnation or node.stalled or not node.unsynced:
            return
        ticket = node.sync()
        self._pass_time(node)
        node.replica.complete_write(ticket, node.clock)
        self._work(node)

    def _pass_time(self, node: Node) -> None:
        node.clock = round(node.clock + STEP_S, 6)

    def _work(self, node: Node) -> None:
        replica = node.replica
        effects = replica.drain_effects()
        if effects.leadership_changed and replica.is_leader:
            node.leader_since = node.clock
            self.rules.becomes_leader(replica)
            self.rules.votes_are_fresh(node)
        for write in effects.writes:
            node.unsynced.append(write)
            self._check_joining(node, write[1])
            if not node.stalled:
                self.queue.append(Written(node.name, node.incarnation))
        for receiver, message in effects.sends:
            sent_at = self.nodes[receiver.partition("#")[0]].clock
            self.queue.append(Message(node.name, receiver, sent_at, message))
        self._apply(node, effects)
        self._confirmed(node, effects)
        if effects.writes:
            self.rules.logs_match(other.replica for other in self.nodes.values() if other.is_started)
        if self.script.watches_freshness:
            self.rules.standing(node)
        if effects.leadership_changed and replica.is_leader:
            self._do(self.when_leader.pop(node.name, None))
        self._do(self.when_committed.pop(len(self.rules.history), None))

    def _confirmed(self, node: Node, effects: Effects) -> None:
        for ticket in effects.confirmed_reads:
            self.rules.read(node.applied_index, node.reads.pop(ticket), f"confirmed at {node.name}")

    def _do(self, line: Step | None) -> None:
        if line is not None:
            getattr(self, line[0])(*line[1:])

    def _check_joining(self, node: Node, record: DurableRecord) -> None:
        """A voter that this leader has just taken in must hold the log."""
        if not node.replica.is_leader:
            return
        for entry in record.entries:
            if entry.kind == EntryKind.GROUP and entry.term == node.replica.term:
                before = group_before(node.replica, entry.index)
                due = node.committed_by(node.clock - self.timing.election_timeout)
                for joined in set(decode_group(entry.data)) - set(before):
                    other = self.nodes[joined.partition("#")[0]]
                    if other.identity == joined:
                        self.rules.joins(other, due)

    def _apply(self, node: Node, effects: Effects) -> None:
        if effects.restore is not None:
            node.restore(effects.restore)
        for entry in effects.applied:
            require(entry.index == node.applied_index + 1, f"{node.name} applies {entry} out of order")
            node.applied_index = entry.index
            self._record_applied(node, entry)
            if entry.kind == EntryKind.COMMAND:
                node.commands.append(entry.data)
        if effects.applied or effects.restore is not None:
            before = self.rules.history[: node.applied_index]
            known = [entry.data for entry in before if entry.kind == EntryKind.COMMAND]
            require(node.commands == known, f"{node.name} holds {node.commands}, committed are {known}")

    def _record_applied(self, node: Node, entry: Entry) -> None:
        self.rules.applied(entry, node.replica.term, self.nodes.values())
        for other in self.nodes.values():
            other.record_committed(len(self.rules.history))

    # The end

    def calm(self) -> None:
        """No fault comes any more: a further command is committed after all before it, and reaches all."""
        self.heal()
        self.when_leader, self.when_committed = {}, {}
        for name in self.nodes:
            self.resume_disk(name)
            self.deliver_delayed(name)
        acknowledged = self.rules.commands()
        for _ in range(round(CALM_S / TICK_S)):
            if self._is_calm():
                break
            self._drain_queue()
            for name, node in self.nodes.items():
                self.advance(name, TICK_S)
                if b"calm" not in [entry.data for entry in entries_of(node.replica).values()]:
                    self.propose(name, "calm")
        require(self._is_calm(), "no progress in calm")
        require(self.rules.commands()[: len(acknowledged)] == acknowledged, "commands are lost")

    def _is_calm(self) -> bool:
        """All voters hold the complete history, with the last command."""
        held = [node for node in self.nodes.values() if node.identity in self.rules.group]
        alive = [voter for voter in self.rules.group if voter not in self.rules.emptied]
        newest = len(self.rules.history)
        return (
            b"calm" in self.rules.commands()
            and len(held) == len(alive)
            and all(node.applied_index == newest for node in held)
        )

    def _drain_queue(self) -> None:
        while self.queue:
            self._handle(self.queue.pop(0))


__all__ = ["SHARD", "Message", "Script", "Step", "World", "Written"]
