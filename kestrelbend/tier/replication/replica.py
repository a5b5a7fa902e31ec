"""One replica of a shard: messages, ticks and finished writes in; messages, writes and commands out.

The package's documentation names the sources and each departure from them.

Invariants: one leader in a term; a committed entry is in the log of every later leader; `applied`
entries come once each and in their order, on top of the last `restore`.
"""

from __future__ import annotations

from .effects import Effects
from .election import Election
from .follower import FollowerState
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
from .leader import LeaderState
from .placement import Placement, Target
from .progress import NEVER
from .read_index import OWN, FollowerReads, PendingRead
from .state import ReplicaState
from .timing import Timing


class Replica:
    """Joins the roles of one replica; the carrier joins it to the network, the disk and the machine."""

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
        self._announces_commits = announces_commits
        self._state = ReplicaState(shard, identity, durable, timing)
        self._election = Election(self._state, now)
        self._leader_state: LeaderState | None = None
        self._follower_state: FollowerState | None = None
        self._placement = Placement(self._state)
        self._next_confirmation = 1
        self._reads = FollowerReads(first_ticket, timing.read_index_interval)
        self._watches_currency = False
        self._now = now
        if durable.snapshot.index > 0:
            self._state.effects.restore = durable.snapshot
        if identity in founders and durable == DurableState():
            self._state.log.found(founders)

    @property
    def is_leader(self) -> bool:
        return self._leader_state is not None

    @property
    def leader(self) -> ReplicaId:
        """The leader as far as known, or ""."""
        if self._leader_state is not None:
            return self.identity
        return self._follower_state.leader if self._follower_state else ""

    @property
    def term(self) -> int:
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
        return self._leader_state is not None and self._placement.is_stable(self._leader_state, now)

    @property
    def commit_index(self) -> int:
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Committed entries are handed out at once, so this is the commit index."""
        return self._state.commit_index

    @property
    def last_contact(self) -> float:
        """When the replica last heard from a leader."""
        return self._election.last_contact_at

    @property
    def confirmed_at(self) -> float:
        """When this replica asked last whether its leader, itself or another, is confirmed, and it was.

        By this process's own clock; NEVER where the present leader was not confirmed yet.
        """
        if self._leader_state is not None:
            return self._leader_state.confirmed_at
        return self._reads.confirmed_at

    @property
    def current_at(self) -> float:
        """As `confirmed_at`, of the last question of which all that was committed then is applied here."""
        if self._leader_state is None:
            return self._reads.current_at(self.applied_index)
        return self._leader_state.confirmed_at if self._leader_state.has_committed else NEVER

    def watch_currency(self) -> None:
        """Asks the leader again and again from now on; without it a follower is never confirmed."""
        self._watches_currency = True

    def in_touch(self, now: float) -> bool:
        """Whether the replica heard from a majority, or from its leader, within the election timeout."""
        if self._leader_state is not None:
            return self._leader_state.in_touch(now)
        return self._follower_state is not None and now - self.last_contact <= self._timing.election_timeout

    def receive(self, message: ReplicaMessage, now: float) -> None:
        """Takes in a message of another replica."""
        if message.shard != self.shard or message.sender == self.identity:
            return
        self._advance_clock(now)
        if isinstance(message, AppendEntries):
            if self._accept_leader(message, now):
                self._follower_state.append(message)
        elif isinstance(message, AppendReply):
            self._receive_append_reply(message, now)
        elif isinstance(message, RequestVote):
            self._receive_vote_request(message, now)
        elif isinstance(message, VoteReply):
            self._receive_vote(message, now)
        elif isinstance(message, SnapshotChunk):
            if self._accept_leader(message, now):
                self._follower_state.receive_chunk(message)
        elif isinstance(message, SnapshotReply):
            self._receive_snapshot_reply(message, now)
        elif isinstance(message, TransferLeadership):
            self._receive_transfer_request(message, now)
        elif isinstance(message, ReadIndexRequest):
            self._receive_read_request(message)
        elif isinstance(message, ReadIndexReply):
            self._receive_read_reply(message)

    def tick(self, now: float) -> None:
        """Does what is due by the clock; called about every 20 ms."""
        self._advance_clock(now)
        if self._leader_state is not None:
            self._tick_leader(now)
        elif self._election.is_due(now):
            self._follow_nobody()
            self._election.begin_pre_vote(now)
        elif self._follower_state is not None:
            self._request_read_index_when_due(now)

    def written(self, ticket: int, now: float) -> None:
        """The write `ticket` is on the disk, and so are all before it."""
        self._advance_clock(now)
        self._state.written(ticket)
        elected = self._election.written(now)
        if self._leader_state is not None:
            self._advance_commit(now)
        elif elected:
            self._become_leader(now)
        elif self._follower_state is not None:
            self._follower_state.written()

    def propose(self, command: bytes, now: float) -> int | None:
        """Appends a command; its index, or None where this replica can't take it as the leader."""
        self._advance_clock(now)
        if (
            self._leader_state is None
            or self._placement.is_transferring
            or not self._leader_state.in_touch(now)
        ):
            return None
        return self._leader_state.append(EntryKind.COMMAND, command)

    def confirm(self, now: float) -> int | None:
        """A ticket, reported once it is certain that no later leader had committed before this call."""
        self._advance_clock(now)
        if self._leader_state is None or not self._leader_state.in_touch(now):
            return None
        ticket = self._next_confirmation
        self._next_confirmation += 1
        self._leader_state.confirm(ticket)
        return ticket

    def set_learners(self, identities: tuple[ReplicaId, ...]) -> None:
        """The replicas that get all entries without a vote, while this one leads."""
        self._placement.learners = tuple(identities)
        if self._leader_state is not None:
            self._placement.follow_group(self._leader_state, self._now)

    def set_target(self, voters: tuple[ReplicaId, ...], number: int = 0, term: int | None = None) -> None:
        """The voters wished for, in the order of leadership; moved towards while this one leads.

        A target with a lower number than the last one, or than the group's, is not followed.  One with an
        term was decided by this replica itself, as that term's leader, and counts in no other.
        """
        self._placement.set_target(Target(tuple(voters), number, term))
        if self._leader_state is not None:
            self._placement.follow_group(self._leader_state, self._now)

    def transfer(self, now: float) -> None:
        """Hands the leadership over, where this replica has it; goes on leading where nobody can take it."""
        self._advance_clock(now)
        if self._leader_state is not None:
            self._placement.begin_transfer(self._leader_state, self._state.other_voters(), now)

    def compact(self, index: int, state: bytes) -> None:
        """Takes the state machine's state after the applied entry `index` in place of the entries."""
        log = self._state.log
        if log.snapshot.index < index <= self.applied_index:
            needed = self._leader_state.needed_after(self._now) if self._leader_state is not None else index
            log.compact(index, state, self._timing, needed)

    def reconnected(self, identity: ReplicaId) -> None:
        """A new connection to a replica's process stands: what was sent over older ones may be lost."""
        if self._leader_state is not None:
            self._leader_state.send_again(identity)

    def durable_record(self) -> DurableRecord:
        """All that a disk must hold of this replica, in one record."""
        log = self._state.log
        entries = log.between(log.snapshot.index + 1, log.last_index)
        return self._state.record(tuple(entries), log.snapshot)

    def take(self) -> Effects:
        """Drains what is to be done; to be called after each call that may have changed anything."""
        leader_state = self._leader_state
        if leader_state is not None:
            leader_state.send_due(self._now)
        self._state.begin_write(self._now)
        if leader_state is not None:
            for read in leader_state.confirmed_reads():
                self._answer_read(read)
        return self._state.drain_effects()

    def _advance_clock(self, now: float) -> None:
        """Notes the time; a process that stood still believes nothing of what it knew before."""
        stood_still = now - self._now > self._timing.election_timeout
        self._now = now
        if not stood_still:
            return
        self._state.disk.restart_stall_clock(now)
        self._election.rest(now)
        if self._leader_state is not None:
            self._step_down(now)

    # Changes of role

    def _enter_term(self, term: int, now: float) -> None:
        """Leaves the present term for a newer one."""
        if self._leader_state is not None:
            self._step_down(now)
        self._follow_nobody()
        self._election.end_campaigns()
        self._state.raise_term(term)

    def _step_down(self, now: float) -> None:
        self._state.effects.lost.extend(self._leader_state.waiting_reads())
        self._state.effects.leadership_changed = True
        self._leader_state = None
        self._placement.reset()
        self._election.rest(now)

    def _follow_nobody(self) -> None:
        self._reads.forget()
        if self._follower_state is not None:
            self._follower_state = None
            self._state.effects.leadership_changed = True

    def _become_leader(self, now: float) -> None:
        self._follow_nobody()
        self._election.end_campaigns()
        self._leader_state = LeaderState(self._state, now, self._announces_commits)
        self._state.effects.leadership_changed = True
        self._placement.follow_group(self._leader_state, self._now)
        self._leader_state.begin_round(now)
        self._leader_state.append(EntryKind.EMPTY, b"")

    # Elections

    def _receive_vote_request(self, request: RequestVote, now: float) -> None:
        if request.term > self.term and not request.pre_vote:
            self._enter_term(request.term, now)
        self._election.answer(request, now, is_leader=self.is_leader)

    def _receive_vote(self, reply: VoteReply, now: float) -> None:
        if reply.granted:
            if self._election.count(reply):
                self._become_leader(now)
        elif reply.term > self.term:
            self._enter_term(reply.term, now)

    def _receive_transfer_request(self, message: TransferLeadership, now: float) -> None:
        if message.term == self.term and self._leader_state is None and self._state.is_voter:
            self._follow_nobody()
            self._election.become_candidate()

    # Following

    def _accept_leader(self, message: AppendEntries | SnapshotChunk, now: float) -> bool:
        """Whether the sender leads the present term; an older leader is told of the newer one."""
        if self._is_of_former_leader(message):
            refusal = AppendReply(self.shard, self.identity, self.term, False, 0, message.round)
            self._state.send(message.sender, refusal)
            return False
        assert self._leader_state is None or message.term > self.term, "two leaders of one term"
        if message.term > self.term:
            self._enter_term(message.term, now)
        if self._follower_state is None:
            self._follower_state = FollowerState(self._state, message.sender)
            self._state.effects.leadership_changed = True
        self._election.leader_contacted(now)
        return True

    def _is_of_former_leader(self, message: AppendEntries | SnapshotChunk) -> bool:
        """Whether a newer term has begun here: nothing of an older one counts any more."""
        return message.term < self.term

    # Reads

    def _request_read_index_when_due(self, now: float) -> None:
        """Asks the leader up to where the shard is committed, where this replica watches its currency."""
        if not self._watches_currency or not self._reads.is_due(now):
            return
        request = ReadIndexRequest(self.shard, self.identity, self.term, self._reads.ask(now))
        self._state.send(self._follower_state.leader, request)

    def _receive_read_request(self, request: ReadIndexRequest) -> None:
        """Notes a follower's question; who doesn't lead in its term proves nothing and says nothing."""
        if self._leader_state is not None and request.term == self.term:
            self._leader_state.confirm_for(request.sender, request.ticket)

    def _receive_read_reply(self, reply: ReadIndexReply) -> None:
        if (
            self._follower_state is None
            or reply.term != self.term
            or reply.sender != self._follower_state.leader
        ):
            return
        self._reads.answered(reply.ticket, reply.index)

    def _answer_read(self, read: PendingRead) -> None:
        if read.requester == OWN:
            self._state.effects.confirmed.append(read.ticket)
            return
        reply = ReadIndexReply(self.shard, self.identity, self.term, read.ticket, read.index)
        self._state.send(read.requester, reply)

    # Leading

    def _receive_append_reply(self, reply: AppendReply, now: float) -> None:
        if reply.term > self.term:
            self._enter_term(reply.term, now)
        elif reply.term == self.term and self._leader_state is not None:
            self._leader_state.replied(reply, now)
            self._advance_commit(now)

    def _receive_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        if reply.term > self.term:
            self._enter_term(reply.term, now)
        elif reply.term == self.term and self._leader_state is not None:
            self._leader_state.snapshot_replied(reply, now)

    def _advance_commit(self, now: float) -> None:
        if self._leader_state.advance_commit():
            self._placement.follow_group(self._leader_state, self._now)
            self._placement.step(self._leader_state, now)

    def _tick_leader(self, now: float) -> None:
        if self._leader_state.in_touch(now) and self._placement.tick(self._leader_state, now):
            self._leader_state.begin_due_round(now)
        else:
            self._step_down(now)
