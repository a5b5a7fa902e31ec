"""One replica of a shard: takes in messages, ticks and completed writes; returns effects.

The package's doc comment names the sources and the deviations from them.

Invariants: one leader per term; a committed entry is in the log of every later leader; `applied`
entries are handed out once each and in order, on top of the last `restore`.
Hazard: effects that are not drained; the host calls `drain_effects` after each call that may have
changed the replica, and carries the effects out in order.
"""

from __future__ import annotations

from .effects import Effects
from .group import Voters
from .messages import (
    AppendEntries,
    AppendReply,
    DurableRecord,
    DurableState,
    EntryKind,
    ReadIndexReply,
    ReadIndexRequest,
    ReplicaId,
    ReplicaMessage,
    RequestVote,
    ShardId,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
)
from .placement import Target
from .progress import NEVER
from .read_index import FollowerReads
from .roles import ReplicaRoles
from .state import ReplicaState
from .timing import Timing


class Replica:
    """The interface of one replica to its host, which connects it to the network, disk and state machine.

    Times are seconds of the host's monotonic clock.  `founders` are the initial voters of the shard.
    `first_ticket` increases with each incarnation of the process, see `read_index`.  `announces_commits`:
    as the leader, the replica sends a new commit index at once.
    """

    def __init__(
        self,
        *,
        shard: ShardId,
        identity: ReplicaId,
        founders: tuple[ReplicaId, ...],
        durable: DurableState,
        timing: Timing,
        now: float,
        first_ticket: int = 1,
        announces_commits: bool = True,
    ) -> None:
        self.shard = shard
        self.identity = identity
        self._timing = timing
        self._state = ReplicaState(shard, identity, durable, timing)
        self._reads = FollowerReads(first_ticket, timing.read_index_interval)
        self._roles = ReplicaRoles(self._state, self._reads, announces_commits, now)
        self._placement = self._roles.placement
        self._next_confirmation = 1
        self._now = now
        if durable.snapshot.index > 0:
            self._state.effects.restore = durable.snapshot
        if identity in founders and durable == DurableState():
            self._state.log.bootstrap(founders)

    # State

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the shard's leader in its present term."""
        return self._roles.leader_state is not None

    @property
    def leader(self) -> ReplicaId:
        """The leader as far as known, or ""."""
        roles = self._roles
        if roles.leader_state is not None:
            return self.identity
        return roles.follower_state.leader if roles.follower_state else ""

    @property
    def term(self) -> int:
        """The newest term that this replica has entered; 0 before the first."""
        return self._state.term

    @property
    def voters(self) -> Voters:
        """The group as of the newest entry in the log, committed or not, in the order of the voters."""
        return self._state.voters

    @property
    def committed_voters(self) -> Voters:
        """The group as of the newest entry that is known here to be committed."""
        return self._state.log.voters_at(self._state.commit_index)

    @property
    def committed_placement_number(self) -> int:
        """The number of the placement towards which the committed group is a step."""
        return self._state.log.group_at(self._state.commit_index).placement_number

    @property
    def placement_number(self) -> int:
        """The number of the placement towards which the newest group is a step, committed or not."""
        return self._state.log.placement_number

    @property
    def target(self) -> Voters:
        """The target group as far as known here and valid; the leader changes the group towards it."""
        return self._placement.target

    @property
    def has_committed_in_term(self) -> bool:
        """As the leader: whether an entry of this term, and so each earlier one, is committed and applied."""
        leader_state = self._roles.leader_state
        return leader_state is not None and leader_state.has_committed

    def is_live(self, identity: ReplicaId, now: float) -> bool:
        """As the leader: whether a voter or learner has replied within the election timeout."""
        leader_state = self._roles.leader_state
        return leader_state is not None and leader_state.is_live(identity, now)

    def is_stable(self, now: float) -> bool:
        """As the leader: whether no group change is pending and live voters hold all that is committed."""
        leader_state = self._roles.leader_state
        return leader_state is not None and self._placement.is_stable(leader_state, now)

    @property
    def commit_index(self) -> int:
        """The highest index that is known here to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Equals the commit index, as committed entries are handed out at once."""
        return self._state.commit_index

    @property
    def last_contact(self) -> float:
        """When the replica last received a message of a leader."""
        return self._roles.election.last_contact_at

    @property
    def confirmed_at(self) -> float:
        """The time of this replica's latest request that confirmed the leadership of its leader, or its own.

        By this process's own clock; NEVER if the present leader has not been confirmed yet.
        """
        if self._roles.leader_state is not None:
            return self._roles.leader_state.confirmed_at
        return self._reads.confirmed_at

    @property
    def current_at(self) -> float:
        """As `confirmed_at`, for the latest request for which all that was committed then is applied here."""
        leader_state = self._roles.leader_state
        if leader_state is None:
            return self._reads.current_at(self.applied_index)
        return leader_state.confirmed_at if leader_state.has_committed else NEVER

    def is_in_contact(self, now: float) -> bool:
        """Whether there was contact with a majority, or with the leader, within the election timeout."""
        roles = self._roles
        if roles.leader_state is not None:
            return roles.leader_state.has_quorum_contact(now)
        return roles.follower_state is not None and now - self.last_contact <= self._timing.election_timeout

    # Events

    def receive(self, message: ReplicaMessage, now: float) -> None:
        """Handles a message of another replica; drops it if it is for another shard."""
        if message.shard != self.shard or message.sender == self.identity:
            return
        self._advance_clock(now)
        roles = self._roles
        match message:
            case AppendEntries():
                roles.receive_append_entries(message, now)
            case AppendReply():
                roles.receive_append_reply(message, now)
            case RequestVote():
                roles.receive_vote_request(message, now)
            case VoteReply():
                roles.receive_vote(message, now)
            case SnapshotChunk():
                roles.receive_snapshot_chunk(message, now)
            case SnapshotReply():
                roles.receive_snapshot_reply(message, now)
            case TransferLeadership():
                roles.receive_transfer_request(message)
            case ReadIndexRequest():
                roles.receive_read_request(message)
            case ReadIndexReply():
                roles.receive_read_reply(message)

    def tick(self, now: float) -> None:
        """Does what is due at this time; called about every 20 ms."""
        self._advance_clock(now)
        self._roles.tick(now)

    def complete_write(self, ticket: int, now: float) -> None:
        """Handles that the write `ticket`, and all before it, are durable."""
        self._advance_clock(now)
        self._state.complete_write(ticket)
        self._roles.handle_completed_writes(now)

    def handle_reconnection(self, identity: ReplicaId) -> None:
        """A new connection to a replica's process is open: messages on earlier connections may be lost."""
        if self._roles.leader_state is not None:
            self._roles.leader_state.resend(identity)

    # Requests

    def propose(self, command: bytes, now: float) -> int | None:
        """Appends a command; returns its index, or None if this replica can't accept it as the leader."""
        self._advance_clock(now)
        leader_state = self._roles.leader_state
        if leader_state is None or self._placement.is_transferring:
            return None
        if not leader_state.has_quorum_contact(now):
            return None
        return leader_state.append(EntryKind.COMMAND, command)

    def confirm_read(self, now: float) -> int | None:
        """Begins a read index operation (Ongaro 2014, section 6.4); returns its ticket, or None if not
        leader.

        The ticket is among `confirmed_reads` once it is certain that no later leader had committed
        anything before this call, and among `failed_reads` if that can no longer be established.
        """
        self._advance_clock(now)
        leader_state = self._roles.leader_state
        if leader_state is None or not leader_state.has_quorum_contact(now):
            return None
        ticket = self._next_confirmation
        self._next_confirmation += 1
        leader_state.confirm_read(ticket)
        return ticket

    def enable_read_index_polling(self) -> None:
        """Polls the leader's read index from now on; a follower that doesn't is never confirmed."""
        self._roles.polls_read_index = True

    def set_learners(self, identities: tuple[ReplicaId, ...]) -> None:
        """Sets the replicas that receive all entries without a vote while this one is the leader."""
        self._placement.learners = tuple(identities)
        self._update_followers()

    def set_target(self, voters: tuple[ReplicaId, ...], number: int = 0, term: int | None = None) -> None:
        """Sets the target group, in the order of its voters; the leader changes the group towards it.

        A target with a lower number than the previous target or the group is ignored.  A target with a term
        was decided by this replica itself as the leader of that term, and is valid in that term only.
        """
        self._placement.set_target(Target(tuple(voters), number, term))
        self._update_followers()

    def transfer_leadership(self, now: float, receivers: Voters | None = None) -> None:
        """Transfers the leadership, if this replica has it; it remains leader if no voter can take over.

        `receivers` are the voters of which one is to take over; by default any other voter.
        """
        self._advance_clock(now)
        if self._roles.leader_state is not None:
            candidates = self._state.other_voters() if receivers is None else receivers
            self._placement.begin_transfer(self._roles.leader_state, candidates, now)

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the log up to the applied entry `index` with the state machine's state after it."""
        log = self._state.log
        if log.snapshot.index < index <= self.applied_index:
            leader_state = self._roles.leader_state
            needed = index if leader_state is None else leader_state.needed_after(self._now)
            log.compact(index, state, self._timing, needed)

    def durable_record(self) -> DurableRecord:
        """Returns one record with everything that the disk must hold of this replica."""
        log = self._state.log
        entries = log.entries_between(log.snapshot.index + 1, log.last_index)
        return self._state.record(tuple(entries), log.snapshot)

    def drain_effects(self) -> Effects:
        """Returns the effects since the last call, each once."""
        leader_state = self._roles.leader_state
        if leader_state is not None:
            leader_state.send_due(self._now)
        self._state.begin_write(self._now)
        if leader_state is not None:
            for read in leader_state.confirmed_reads():
                self._roles.answer_read(read)
        return self._state.drain_effects()

    def _update_followers(self) -> None:
        if self._roles.leader_state is not None:
            self._placement.update_followers(self._roles.leader_state, self._now)

    def _advance_clock(self, now: float) -> None:
        """Advances the clock; after a pause, the replica discards what it knew of other replicas."""
        was_paused = now - self._now > self._timing.election_timeout
        self._now = now
        if was_paused:
            self._state.disk.restart_stall_clock(now)
            self._roles.restart_after_pause(now)
