"""One state of the model: replicas, clocks, disks, links, and the messages and writes in progress.

Messages and write completions are handled in the order of one queue; a script's next line runs once the queue
is empty.  Each deviation from this is a fault and uses up one of the run's `faults_left`.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from ..replication import Effects, Timing
from ..replication.group import decode_group
from ..replication.messages import DurableRecord, Entry, EntryKind, ReplicaMessage
from .node import SHARD, Node
from .rules import Invariants, log_by_index, require, voters_before

EVENT_DURATION_S = 0.001  # how far a node's clock advances for each event that it handles
# Two such spans without contact exceed any replica's election timeout, one span exceeds none.
ELECTION_WAIT_S = 0.4
# Time that passes for the other replicas: voters give up on their leader, but a leader does not step down.
FOLLOWER_WAIT_S = 0.31
TICK_INTERVAL_S = 0.02
CONVERGENCE_S = 4.0

Step = tuple[str, ...]


def model_timing() -> Timing:
    """Returns small limits: one entry per message, and no entries retained behind a snapshot."""
    return Timing(tail_entries=0, retention=0.0, snapshot_retry=0.2, append_bytes=1)


@attrs.frozen
class Script:
    """A run without faults: the founders of the group, the spare nodes, and the lines to execute."""

    name: str
    founders: str
    spares: str
    lines: tuple[Step, ...]
    watches_freshness: bool = False  # replicas keep checking with their leader whether their state is current


@attrs.frozen
class Message:
    """A message in transit; `sent_at` is the receiver's clock when it was sent."""

    sender: str
    receiver: str
    sent_at: float
    content: ReplicaMessage
    arrived: bool = False  # in the receiver's socket buffer, where a blocked link no longer drops it


@attrs.frozen
class WriteCompletion:
    """The completion of a disk write."""

    name: str
    incarnation: int


class World:
    """A state of the model; it can be pickled, so that a search can copy it at every step."""

    def __init__(self, script: Script, faults: int) -> None:
        self.script = script
        self.faults_left = faults
        self.next_line = 0
        self.queue: list[Message | WriteCompletion] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.leader_hooks: dict[str, Step] = {}
        self.commit_hooks: dict[int, Step] = {}
        self.nodes = {name: Node(name) for name in script.founders + script.spares}
        self.founders = tuple(self.nodes[name].identity for name in script.founders)
        self.invariants = Invariants(self.founders)
        self.timing = model_timing()
        for name in self.nodes:
            self._start_node(name)

    # Steps

    def steps(self) -> Iterator[Step]:
        """Yields the possible next steps: `proceed` first, unless the run has ended, and then the faults."""
        if self.queue or self.next_line < len(self.script.lines):
            yield ("proceed",)
        if not self.faults_left:
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
            if self._can_wipe_disk():
                yield "wipe", name

    def apply_step(self, step: Step) -> None:
        """Executes a step; any step but `proceed` uses up a fault."""
        if step != ("proceed",):
            self.faults_left -= 1
        getattr(self, step[0])(*step[1:])

    def proceed(self) -> None:
        """Handles the next event, or the next line of the script if the queue is empty."""
        if self.queue:
            self._handle_event(self.queue.pop(0))
            return
        self.next_line += 1
        self._run_line(self.script.lines[self.next_line - 1])

    # Script lines and faults, called by name

    def lose(self) -> None:
        """Drops the next message."""
        self.queue.pop(0)

    def double(self) -> None:
        """Duplicates the next message at the end of the queue."""
        self.queue.append(self.queue[0])

    def put_last(self) -> None:
        """Moves the next message to the end of the queue."""
        self.queue.append(self.queue.pop(0))

    def lose_power(self, name: str) -> None:
        """Power failure: restarts the node at once and loses its unsynced writes."""
        self._start_node(name)

    def restart(self, name: str) -> None:
        """Process restart: restarts the node at once and keeps its writes in progress."""
        node = self.nodes[name]
        node.records += [record for _, record in node.unsynced]
        self._start_node(name)

    def wipe(self, name: str) -> None:
        """Restarts a node with an empty disk as a new replica, unless the group still has a wiped voter."""
        if not self._can_wipe_disk():
            return
        node = self.nodes[name]
        self.invariants.wiped.add(node.identity)
        node.records = []
        node.generation += 1
        self._start_node(name)

    def time_out(self, name: str) -> None:
        """Advances the clocks: a replica campaigns, and the other voters no longer follow the leader."""
        for other in self.nodes:
            for span in (ELECTION_WAIT_S, ELECTION_WAIT_S) if other == name else (FOLLOWER_WAIT_S,):
                self.advance(other, span)

    def advance(self, name: str, seconds: float | str) -> None:
        """Advances a node's clock without any other event."""
        node = self.nodes[name]
        node.clock = round(node.clock + float(seconds), 6)
        node.replica.tick(node.clock)
        self._process_effects(node)
        self.invariants.check_leader_contact(node, self.timing.election_timeout)

    def propose(self, name: str, command: str) -> None:
        """Proposes a command to a replica, which need not be the leader."""
        node = self.nodes[name]
        if node.replica.propose(command.encode(), node.clock) is not None:
            self._process_effects(node)

    def read(self, name: str) -> None:
        """Requests a confirmed read from a replica, which need not be the leader."""
        node = self.nodes[name]
        ticket = node.replica.confirm_read(node.clock)
        if ticket is not None:
            node.committed_at_read[ticket] = len(self.invariants.history)
            self._process_effects(node)

    def transfer(self, name: str) -> None:
        """Asks a replica to transfer its leadership."""
        node = self.nodes[name]
        node.replica.transfer_leadership(node.clock)
        self._process_effects(node)

    def set_target(self, names: str) -> None:
        """Sets the target group at every replica."""
        target = tuple(self.nodes[name].identity for name in names)
        for node in self.nodes.values():
            node.replica.set_target(target)
            self._process_effects(node)

    def set_target_at(self, name: str, names: str) -> None:
        """Sets the target group at one replica."""
        node = self.nodes[name]
        node.replica.set_target(tuple(self.nodes[other].identity for other in names))
        self._process_effects(node)

    def compact(self, name: str) -> None:
        """Replaces the applied entries by a snapshot."""
        node = self.nodes[name]
        node.replica.compact(node.applied_index, b"\n".join(node.commands))
        self._process_effects(node)

    def learn(self, name: str, learners: str) -> None:
        """Sets the learners at one replica: non-voting replicas that it updates while it is the leader."""
        node = self.nodes[name]
        node.replica.set_learners(tuple(self.nodes[other].identity for other in learners))
        self._process_effects(node)

    def when_leads(self, name: str, *step: str) -> None:
        """Registers a step to run when a replica next becomes leader, before its messages are handled."""
        self.leader_hooks[name] = step

    def when_commits(self, length: str, *step: str) -> None:
        """Registers a step to run once the history has this length, before other replicas are notified."""
        self.commit_hooks[int(length)] = step

    def split(self, names: str) -> None:
        """Blocks the links between these replicas and all others."""
        for name in names:
            for other in self.nodes.keys() - set(names):
                self.blocked_links |= {(name, other), (other, name)}

    def heal(self) -> None:
        """Unblocks all links."""
        self.blocked_links = set()

    def stall_disk(self, name: str) -> None:
        """Stops a disk from completing writes."""
        self.nodes[name].disk_stalled = True

    def resume_disk(self, name: str) -> None:
        """Lets a disk complete its writes."""
        node = self.nodes[name]
        node.disk_stalled = False
        self.queue += [WriteCompletion(name, node.incarnation) for _ in node.unsynced]

    def pause_process(self, name: str, seconds: str) -> None:
        """Pauses a process for some time; the next event that it handles runs after the pause."""
        node = self.nodes[name]
        node.clock = round(node.clock + float(seconds), 6)
        node.resumed_at = node.clock

    def delay_messages(self, name: str) -> None:
        """Holds messages to a replica in its socket buffer."""
        self.nodes[name].delayed_messages = []

    def deliver_delayed(self, name: str) -> None:
        """Delivers the messages held for a replica, ahead of the queue."""
        node = self.nodes[name]
        delayed = node.delayed_messages or []
        node.delayed_messages = None
        self.queue = [*delayed, *self.queue]

    def _can_wipe_disk(self) -> bool:
        return not self.invariants.wiped.intersection(self.invariants.group)

    # Events and effects

    def _start_node(self, name: str) -> None:
        node = self.nodes[name]
        node.start(self.founders, self.timing, self.script.watches_freshness)
        self._process_effects(node)

    def _handle_event(self, event: Message | WriteCompletion) -> None:
        if isinstance(event, WriteCompletion):
            self._complete_write(event)
            return
        name, _, generation = event.receiver.partition("#")
        node = self.nodes[name]
        lost = (event.sender, name) in self.blocked_links and not event.arrived
        if str(node.generation) != generation or lost:
            return
        if node.delayed_messages is not None:
            node.delayed_messages.append(attrs.evolve(event, arrived=True))
            return
        self._advance_clock(node)
        node.record_contact(event.content.sender, event.sent_at)
        node.replica.receive(event.content, node.clock)
        self._process_effects(node)

    def _complete_write(self, event: WriteCompletion) -> None:
        node = self.nodes[event.name]
        if event.incarnation != node.incarnation or node.disk_stalled or not node.unsynced:
            return
        ticket = node.sync_oldest()
        self._advance_clock(node)
        node.replica.complete_write(ticket, node.clock)
        self._process_effects(node)

    def _advance_clock(self, node: Node) -> None:
        node.clock = round(node.clock + EVENT_DURATION_S, 6)

    def _process_effects(self, node: Node) -> None:
        replica = node.replica
        effects = replica.drain_effects()
        if effects.leadership_changed and replica.is_leader:
            node.leader_since = node.clock
            self.invariants.check_new_leader(replica)
            self.invariants.check_votes_fresh(node)
        for write in effects.writes:
            node.unsynced.append(write)
            self._check_new_voters(node, write[1])
            if not node.disk_stalled:
                self.queue.append(WriteCompletion(node.name, node.incarnation))
        for receiver, message in effects.sends:
            sent_at = self.nodes[receiver.partition("#")[0]].clock
            self.queue.append(Message(node.name, receiver, sent_at, message))
        self._apply_entries(node, effects)
        self._finish_reads(node, effects)
        if effects.writes:
            self.invariants.check_logs_match(
                other.replica for other in self.nodes.values() if other.is_started
            )
        if self.script.watches_freshness:
            self.invariants.check_contact_claims(node)
        if effects.leadership_changed and replica.is_leader:
            self._run_line(self.leader_hooks.pop(node.name, None))
        self._run_line(self.commit_hooks.pop(len(self.invariants.history), None))

    def _finish_reads(self, node: Node, effects: Effects) -> None:
        for ticket in effects.confirmed_reads:
            self.invariants.check_read(
                node.applied_index, node.committed_at_read.pop(ticket), f"confirmed at {node.name}"
            )

    def _run_line(self, line: Step | None) -> None:
        if line is not None:
            getattr(self, line[0])(*line[1:])

    def _check_new_voters(self, node: Node, record: DurableRecord) -> None:
        """Checks that voters which this leader is adding hold the committed log."""
        if not node.replica.is_leader:
            return
        for entry in record.entries:
            if entry.kind == EntryKind.GROUP and entry.term == node.replica.term:
                before = voters_before(node.replica, entry.index)
                required = node.committed_before(node.clock - self.timing.election_timeout)
                for new_voter in set(decode_group(entry.data)) - set(before):
                    other = self.nodes[new_voter.partition("#")[0]]
                    if other.identity == new_voter:
                        self.invariants.check_new_voter(other, required)

    def _apply_entries(self, node: Node, effects: Effects) -> None:
        if effects.restore is not None:
            node.restore(effects.restore)
        for entry in effects.applied:
            require(entry.index == node.applied_index + 1, f"{node.name} applies {entry} out of order")
            node.applied_index = entry.index
            self._record_applied(node, entry)
            if entry.kind == EntryKind.COMMAND:
                node.commands.append(entry.data)
        if effects.applied or effects.restore is not None:
            before = self.invariants.history[: node.applied_index]
            expected = [entry.data for entry in before if entry.kind == EntryKind.COMMAND]
            require(
                node.commands == expected,
                f"{node.name} applied {node.commands}, but the history has {expected}",
            )

    def _record_applied(self, node: Node, entry: Entry) -> None:
        self.invariants.record_applied(entry, node.replica.term, self.nodes.values())
        for other in self.nodes.values():
            other.record_committed(len(self.invariants.history))

    # End of a run

    def converge(self) -> None:
        """Removes all faults, and checks that one more command is committed and that all voters apply it."""
        self.heal()
        self.leader_hooks, self.commit_hooks = {}, {}
        for name in self.nodes:
            self.resume_disk(name)
            self.deliver_delayed(name)
        acknowledged = self.invariants.committed_commands()
        for _ in range(round(CONVERGENCE_S / TICK_INTERVAL_S)):
            if self._is_converged():
                break
            self._drain_queue()
            for name, node in self.nodes.items():
                self.advance(name, TICK_INTERVAL_S)
                if b"calm" not in [entry.data for entry in log_by_index(node.replica).values()]:
                    self.propose(name, "calm")
        require(self._is_converged(), "no progress although all faults are removed")
        require(
            self.invariants.committed_commands()[: len(acknowledged)] == acknowledged,
            "committed commands are lost",
        )

    def _is_converged(self) -> bool:
        """Returns whether all voters have applied the complete history, including the final command."""
        voter_nodes = [node for node in self.nodes.values() if node.identity in self.invariants.group]
        live_voters = [voter for voter in self.invariants.group if voter not in self.invariants.wiped]
        history_length = len(self.invariants.history)
        return (
            b"calm" in self.invariants.committed_commands()
            and len(voter_nodes) == len(live_voters)
            and all(node.applied_index == history_length for node in voter_nodes)
        )

    def _drain_queue(self) -> None:
        while self.queue:
            self._handle_event(self.queue.pop(0))


__all__ = ["SHARD", "Message", "Script", "Step", "World", "WriteCompletion"]
