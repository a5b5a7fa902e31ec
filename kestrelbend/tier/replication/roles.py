"""The roles of one replica (follower, candidate, leader), the changes between them, and their messages.

A replica that has a `leader_state` leads; one that has a `follower_state` follows the leader named there;
one that has neither knows no leader, and campaigns once its `election` says so.

Invariant: never both states at once, and each belongs to the present term: `enter_term` ends both.
Hazard: a message of a former leader or term that is taken for one of the present; every receiver compares
the message's term with the replica's before it does anything else.
"""

from __future__ import annotations

from .election import Election
from .follower import FollowerState
from .leader import LeaderState
from .messages import (
    AppendEntries,
    AppendReply,
    EntryKind,
    ReadIndexReply,
    ReadIndexRequest,
    RequestVote,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
)
from .placement import Placement
from .read_index import LOCAL, FollowerReads, PendingRead
from .state import ReplicaState


class ReplicaRoles:
    """Changed by messages, finished writes and ticks; times are seconds of the carrier's steady clock."""

    def __init__(
        self, state: ReplicaState, reads: FollowerReads, announces_commits: bool, now: float
    ) -> None:
        self._state = state
        self._announces_commits = announces_commits  # as the leader: at once, not with the next round
        self.leader_state: LeaderState | None = None
        self.follower_state: FollowerState | None = None
        self.election = Election(state, now)
        self.placement = Placement(state)
        self.reads = reads
        self.polls_read_index = False

    # Changes of role

    def enter_term(self, term: int, now: float) -> None:
        """Leaves the present term, and any role in it, for a newer one."""
        if self.leader_state is not None:
            self.step_down(now)
        self.forget_leader()
        self.election.end_campaigns()
        self._state.raise_term(term)

    def step_down(self, now: float) -> None:
        """Leads no longer: reads that wait here fail, and any transfer ends."""
        if self.leader_state is None:
            return
        self._state.effects.failed_reads.extend(self.leader_state.pending_local_reads())
        self._state.effects.leadership_changed = True
        self.leader_state = None
        self.placement.reset()
        self.election.restart_timeout(now)

    def forget_leader(self) -> None:
        """Follows nobody, and believes no answer that the leader so far has given."""
        self.reads.reset()
        if self.follower_state is not None:
            self.follower_state = None
            self._state.effects.leadership_changed = True

    def restart_after_standstill(self, now: float) -> None:
        """The process stood still: a campaign ends, and a leader steps down."""
        self.election.restart_timeout(now)
        self.step_down(now)

    def _become_leader(self, now: float) -> None:
        self.forget_leader()
        self.election.end_campaigns()
        leader_state = LeaderState(self._state, now, self._announces_commits)
        self.leader_state = leader_state
        self._state.effects.leadership_changed = True
        self.placement.update_followers(leader_state, now)
        leader_state.begin_round(now)
        leader_state.append(EntryKind.EMPTY, b"")

    # Time and writes

    def tick(self, now: float) -> None:
        """Does what is due by the clock in the present role."""
        if self.leader_state is not None:
            self._tick_leader(self.leader_state, now)
        elif self.election.is_due(now):
            self.forget_leader()
            self.election.begin_pre_vote(now)
        elif self.follower_state is not None:
            self._request_read_index_when_due(self.follower_state, now)

    def _tick_leader(self, leader_state: LeaderState, now: float) -> None:
        if leader_state.has_quorum_contact(now) and self.placement.tick(leader_state, now):
            leader_state.begin_due_round(now)
        else:
            self.step_down(now)

    def handle_completed_writes(self, now: float) -> None:
        """Writes were done: what waited for them goes on in the present role."""
        elected = self.election.handle_completed_writes(now)
        if self.leader_state is not None:
            self._advance_commit(self.leader_state, now)
        elif elected:
            self._become_leader(now)
        elif self.follower_state is not None:
            self.follower_state.handle_completed_writes()

    # Elections

    def receive_vote_request(self, request: RequestVote, now: float) -> None:
        """Answers a candidate; only a request that is no pre-vote begins its term here."""
        if request.term > self._state.term and not request.pre_vote:
            self.enter_term(request.term, now)
        self.election.answer(request, now, is_leader=self.leader_state is not None)

    def receive_vote(self, reply: VoteReply, now: float) -> None:
        """Counts a vote; a refusal of a newer term ends the candidacy."""
        if reply.granted:
            if self.election.count(reply):
                self._become_leader(now)
        elif reply.term > self._state.term:
            self.enter_term(reply.term, now)

    def receive_transfer_request(self, message: TransferLeadership) -> None:
        """Campaigns at once, as the leader of the present term has asked."""
        if message.term == self._state.term and self.leader_state is None and self._state.is_voter:
            self.forget_leader()
            self.election.become_candidate()

    # Following

    def receive_append_entries(self, message: AppendEntries, now: float) -> None:
        """Entries or a heartbeat from a leader."""
        follower_state = self._accept_leader(message, now)
        if follower_state is not None:
            follower_state.append(message)

    def receive_snapshot_chunk(self, message: SnapshotChunk, now: float) -> None:
        """A chunk of a leader's snapshot."""
        follower_state = self._accept_leader(message, now)
        if follower_state is not None:
            follower_state.receive_chunk(message)

    def _accept_leader(self, message: AppendEntries | SnapshotChunk, now: float) -> FollowerState | None:
        """The state to follow the sender with; None for a former leader, which is sent the newer term."""
        state = self._state
        if self._is_of_former_leader(message):
            rejection = AppendReply(state.shard, state.identity, state.term, False, 0, message.round)
            state.send(message.sender, rejection)
            return None
        assert self.leader_state is None or message.term > state.term, "two leaders of one term"
        if message.term > state.term:
            self.enter_term(message.term, now)
        if self.follower_state is None:
            self.follower_state = FollowerState(state, message.sender)
            state.effects.leadership_changed = True
        self.election.leader_contacted(now)
        return self.follower_state

    def _is_of_former_leader(self, message: AppendEntries | SnapshotChunk) -> bool:
        """Whether a newer term has begun here: nothing of an older one counts any more."""
        return message.term < self._state.term

    # Reads

    def _request_read_index_when_due(self, follower_state: FollowerState, now: float) -> None:
        """Asks the leader for its read index, where this replica watches its freshness."""
        if not self.polls_read_index or not self.reads.is_due(now):
            return
        state = self._state
        request = ReadIndexRequest(state.shard, state.identity, state.term, self.reads.begin_request(now))
        state.send(follower_state.leader, request)

    def receive_read_request(self, request: ReadIndexRequest) -> None:
        """Notes a follower's request; who doesn't lead in its term proves nothing and says nothing."""
        if self.leader_state is not None and request.term == self._state.term:
            self.leader_state.confirm_for_follower(request.sender, request.ticket)

    def receive_read_reply(self, reply: ReadIndexReply) -> None:
        """Takes the answer of the leader that this replica follows in the present term."""
        follower_state = self.follower_state
        if follower_state is None or reply.term != self._state.term or reply.sender != follower_state.leader:
            return
        self.reads.record_answer(reply.ticket, reply.index)

    def answer_read(self, read: PendingRead) -> None:
        """Hands out a confirmed read: to this process, or to the follower that asked."""
        state = self._state
        if read.requester == LOCAL:
            state.effects.confirmed_reads.append(read.ticket)
            return
        reply = ReadIndexReply(state.shard, state.identity, state.term, read.ticket, read.index)
        state.send(read.requester, reply)

    # Leading

    def receive_append_reply(self, reply: AppendReply, now: float) -> None:
        """A follower's reply; one of a newer term ends the leadership."""
        if reply.term > self._state.term:
            self.enter_term(reply.term, now)
        elif reply.term == self._state.term and self.leader_state is not None:
            self.leader_state.receive_append_reply(reply, now)
            self._advance_commit(self.leader_state, now)

    def receive_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """How much a follower has of a snapshot; one of a newer term ends the leadership."""
        if reply.term > self._state.term:
            self.enter_term(reply.term, now)
        elif reply.term == self._state.term and self.leader_state is not None:
            self.leader_state.receive_snapshot_reply(reply, now)

    def _advance_commit(self, leader_state: LeaderState, now: float) -> None:
        if leader_state.advance_commit():
            self.placement.update_followers(leader_state, now)
            self.placement.propose_next_group(leader_state, now)
