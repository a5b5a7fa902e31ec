"""One replica of a shard: messages, ticks and finished writes in; messages, writes and commands out.

The package's documentation names the sources and each departure from them.

Invariants: one leader in a term; a committed entry is in the log of every later leader; `applied`
entries come once each and in their order, on top of the last `restore`.
Hazard: effects that are left undrained; the carrier calls `drain_effects` after each call that may have
changed anything, and carries them out in their order.
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
    """What a carrier sees of one replica; it joins it to the network, the disk and the state machine.

    Times are seconds of the carrier's steady clock.  `first_ticket` rises with each incarnation of the
    process, see `read_index`.  `announces_commits`: as the leader, it sends a new commit index at once.
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

    # What it is

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads the shard's group in its present term."""
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
        """The group as of the newest entry here, committed or not, in the order of leadership."""
        return self._state.voters

    @property
    def committed_voters(self) -> Voters:
        """The group as of the newest entry that is known to be committed here."""
        return self._state.log.voters_at(self._state.commit_index)

    @property
    def committed_placement_number(self) -> int:
        """The number of the placement that the committed group is a step towards."""
        return self._state.log.group_at(self._state.commit_index).placement_number

    @property
    def placement_number(self) -> int:
        """The same for the newest group here, committed or not."""
        return self._state.log.placement_number

    def is_stable(self, now: float) -> bool:
        """As the leader: no change is under way, and every live voter's disk holds what is committed."""
        leader_state = self._roles.leader_state
        return leader_state is not None and self._placement.is_stable(leader_state, now)

    @property
    def commit_index(self) -> int:
        """The highest index that is known to be committed here."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Committed entries are handed out at once, so this is the commit index."""
        return self._state.commit_index

    @property
    def last_contact(self) -> float:
        """When the replica last heard from a leader."""
        return self._roles.election.last_contact_at

    @property
    def confirmed_at(self) -> float:
        """When this replica asked last whether its leader, itself or another, is confirmed, and it was.

        By this process's own clock; NEVER where the present leader was not confirmed yet.
        """
        if self._roles.leader_state is not None:
            return self._roles.leader_state.confirmed_at
        return self._reads.confirmed_at

    @property
    def current_at(self) -> float:
        """As `confirmed_at`, of the last request of which all that was committed then is applied here."""
        leader_state = self._roles.leader_state
        if leader_state is None:
            return self._reads.current_at(self.applied_index)
        return leader_state.confirmed_at if leader_state.has_committed else NEVER

    def is_in_contact(self, now: float) -> bool:
        """Whether the replica heard from a majority, or from its leader, within the election timeout."""
        roles = self._roles
        if roles.leader_state is not None:
            return roles.leader_state.has_quorum_contact(now)
        return roles.follower_state is not None and now - self.last_contact <= self._timing.election_timeout

    # What happens to it

    def receive(self, message: ReplicaMessage, now: float) -> None:
        """Takes in a message of another replica; one for another shard is dropped."""
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
        """Does what is due by the clock; called about every 20 ms."""
        self._advance_clock(now)
        self._roles.tick(now)

    def complete_write(self, ticket: int, now: float) -> None:
        """The write `ticket` is on the disk, and so are all before it."""
        self._advance_clock(now)
        self._state.complete_write(ticket)
        self._roles.handle_completed_writes(now)

    def handle_reconnection(self, identity: ReplicaId) -> None:
        """A new connection to a replica's process stands: what was sent over older ones may be lost."""
        if self._roles.leader_state is not None:
            self._roles.leader_state.resend(identity)

    # What is asked of it

    def propose(self, command: bytes, now: float) -> int | None:
        """Appends a command; its index, or None where this replica can't take it as the leader."""
        self._advance_clock(now)
        leader_state = self._roles.leader_state
        if leader_state is None or self._placement.is_transferring:
            return None
        if not leader_state.has_quorum_contact(now):
            return None
        return leader_state.append(EntryKind.COMMAND, command)

    def confirm_read(self, now: float) -> int | None:
        """Begins a read by index (Ongaro 2014, section 6.4): its ticket, or None where this is no leader.

        The ticket is among `confirmed_reads` once it is certain that no later leader had committed
        anything before this call, and among `failed_reads` where that can't be known any more.
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
        """Asks the leader again and again from now on; without it a follower is never confirmed."""
        self._roles.polls_read_index = True

    def set_learners(self, identities: tuple[ReplicaId, ...]) -> None:
        """The replicas that get all entries without a vote, while this one leads."""
        self._placement.learners = tuple(identities)
        self._update_followers()

    def set_target(self, voters: tuple[ReplicaId, ...], number: int = 0, term: int | None = None) -> None:
        """The voters wished for, in the order of leadership; moved towards while this one leads.

        A target with a lower number than the last one, or than the group's, is not followed.  One with a
        term was decided by this replica itself, as that term's leader, and counts in no other.
        """
        self._placement.set_target(Target(tuple(voters), number, term))
        self._update_followers()

    def transfer_leadership(self, now: float) -> None:
        """Hands the leadership over, where this replica has it; leads on where nobody can take it."""
        self._advance_clock(now)
        if self._roles.leader_state is not None:
            self._placement.begin_transfer(self._roles.leader_state, self._state.other_voters(), now)

    def compact(self, index: int, state: bytes) -> None:
        """Takes the state machine's state after the applied entry `index` in place of the entries."""
        log = self._state.log
        if log.snapshot.index < index <= self.applied_index:
            leader_state = self._roles.leader_state
            needed = index if leader_state is None else leader_state.needed_after(self._now)
            log.compact(index, state, self._timing, needed)

    def durable_record(self) -> DurableRecord:
        """All that a disk must hold of this replica, in one record."""
        log = self._state.log
        entries = log.between(log.snapshot.index + 1, log.last_index)
        return self._state.record(tuple(entries), log.snapshot)

    def drain_effects(self) -> Effects:
        """What is to be done outside since the last call; it is handed out once."""
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
        """Notes the time; a process that stood still believes nothing of what it knew before."""
        stood_still = now - self._now > self._timing.election_timeout
        self._now = now
        if stood_still:
            self._state.disk.restart_stall_clock(now)
            self._roles.restart_after_standstill(now)
