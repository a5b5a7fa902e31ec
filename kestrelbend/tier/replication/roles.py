"""The roles of one replica (follower, candidate, leader), the transitions between them, and their messages.

A replica that has a `leader_state` leads; one that has a `follower_state` follows the leader named there;
one that has neither knows no leader, and campaigns once its `election` is due.

Invariant: never both states at once, and each belongs to the present term: `enter_term` ends both.
Hazard: a message of a former leader or term that is taken for one of the present; every handler compares
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
from .read_index import LOCAL_REQUESTER, FollowerReads, PendingRead
from .state import ReplicaState


class ReplicaRoles:
    """Changed by messages, completed writes and ticks; times are seconds of the host's monotonic clock."""

    def __init__(
        self, state: ReplicaState, reads: FollowerReads, announces_commits: bool, now: float
    ) -> None:
        self._state = state
        self._announces_commits = announces_commits  # as the leader: at once instead of with the next round
        self.leader_state: LeaderState | None = None
        self.follower_state: FollowerState | None = None
        self.election = Election(state, now)
        self.placement = Placement(state)
        self.reads = reads
        self.polls_read_index = False

    # Role transitions

    def enter_term(self, term: int, now: float) -> None:
        """Enters a newer term and leaves any role in the present one."""
        if self.leader_state is not None:
            self.step_down(now)
        self.forget_leader()
        self.election.end_campaigns()
        self._state.raise_term(term)

    def step_down(self, now: float) -> None:
        """Gives up the leadership: pending local reads fail, and any leadership transfer ends."""
        if self.leader_state is None:
            return
        self._state.effects.failed_reads.extend(self.leader_state.pending_local_reads())
        self._state.effects.leadership_changed = True
        self.leader_state = None
        self.placement.reset()
        self.election.restart_timeout(now)

    def forget_leader(self) -> None:
        """Follows no leader any more, and discards the read index replies of the last one."""
        self.reads.reset()
        if self.follower_state is not None:
            self.follower_state = None
            self._state.effects.leadership_changed = True

    def restart_after_pause(self, now: float) -> None:
        """After a pause of the process: ends a campaign, and steps down as the leader."""
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

    # Ticks and completed writes

    def tick(self, now: float) -> None:
        """Does what is due at this time in the present role."""
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
        """Continues in the present role with what waited for completed writes."""
        elected = self.election.handle_completed_writes(now)
        if self.leader_state is not None:
            self._advance_commit(self.leader_state, now)
        elif elected:
            self._become_leader(now)
        elif self.follower_state is not None:
            self.follower_state.handle_completed_writes()

    # Elections

    def receive_vote_request(self, request: RequestVote, now: float) -> None:
        """Answers a candidate; the request's newer term is entered unless it is a pre-vote."""
        if request.term > self._state.term and not request.pre_vote:
            self.enter_term(request.term, now)
        self.election.answer_vote_request(request, now, is_leader=self.leader_state is not None)

    def receive_vote(self, reply: VoteReply, now: float) -> None:
        """Counts a vote; a rejection with a newer term ends the candidacy."""
        if reply.granted:
            if self.election.count_vote(reply):
                self._become_leader(now)
        elif reply.term > self._state.term:
            self.enter_term(reply.term, now)

    def receive_transfer_request(self, message: TransferLeadership) -> None:
        """Campaigns at once, as requested by the leader of the present term."""
        if message.term == self._state.term and self.leader_state is None and self._state.is_voter:
            self.forget_leader()
            self.election.become_candidate()

    # Messages from a leader

    def receive_append_entries(self, message: AppendEntries, now: float) -> None:
        """Handles entries or a heartbeat from a leader."""
        follower_state = self._accept_leader(message, now)
        if follower_state is not None:
            follower_state.append(message)

    def receive_snapshot_chunk(self, message: SnapshotChunk, now: float) -> None:
        """Handles a chunk of a leader's snapshot."""
        follower_state = self._accept_leader(message, now)
        if follower_state is not None:
            follower_state.receive_chunk(message)

    def _accept_leader(self, message: AppendEntries | SnapshotChunk, now: float) -> FollowerState | None:
        """The state for following the sender; None for a former leader, which is sent the newer term."""
        state = self._state
        if self._is_of_former_leader(message):
            rejection = AppendReply(state.shard, state.identity, state.term, False, 0, message.round)
            state.send(message.sender, rejection)
            return None
        assert self.leader_state is None or message.term > state.term, "two leaders in one term"
        if message.term > state.term:
            self.enter_term(message.term, now)
        if self.follower_state is None:
            self.follower_state = FollowerState(state, message.sender)
            state.effects.leadership_changed = True
        self.election.record_leader_contact(now)
        return self.follower_state

    def _is_of_former_leader(self, message: AppendEntries | SnapshotChunk) -> bool:
        """Whether the message is of an older term, so that its sender no longer leads."""
        return message.term < self._state.term

    # Reads

    def _request_read_index_when_due(self, follower_state: FollowerState, now: float) -> None:
        """Requests the leader's read index, if this replica polls it."""
        if not self.polls_read_index or not self.reads.is_due(now):
            return
        state = self._state
        request = ReadIndexRequest(state.shard, state.identity, state.term, self.reads.begin_request(now))
        state.send(follower_state.leader, request)

    def receive_read_request(self, request: ReadIndexRequest) -> None:
        """Records a follower's request; only the leader of the request's term answers it."""
        if self.leader_state is not None and request.term == self._state.term:
            self.leader_state.confirm_for_follower(request.sender, request.ticket)

    def receive_read_reply(self, reply: ReadIndexReply) -> None:
        """Records the reply of the leader that this replica follows in the present term."""
        follower_state = self.follower_state
        if follower_state is None or reply.term != self._state.term or reply.sender != follower_state.leader:
            return
        self.reads.record_answer(reply.ticket, reply.index)

    def answer_read(self, read: PendingRead) -> None:
        """Answers a confirmed read: to this process, or to the follower that requested it."""
        state = self._state
        if read.requester == LOCAL_REQUESTER:
            state.effects.confirmed_reads.append(read.ticket)
            return
        reply = ReadIndexReply(state.shard, state.identity, state.term, read.ticket, read.index)
        state.send(read.requester, reply)

    # Replies to the leader

    def receive_append_reply(self, reply: AppendReply, now: float) -> None:
        """Handles a follower's reply; a newer term in it ends the leadership."""
        if reply.term > self._state.term:
            self.enter_term(reply.term, now)
        elif reply.term == self._state.term and self.leader_state is not None:
            self.leader_state.receive_append_reply(reply, now)
            self._advance_commit(self.leader_state, now)

    def receive_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Handles a follower's reply about a snapshot; a newer term in it ends the leadership."""
        if reply.term > self._state.term:
            self.enter_term(reply.term, now)
        elif reply.term == self._state.term and self.leader_state is not None:
            self.leader_state.receive_snapshot_reply(reply, now)

    def _advance_commit(self, leader_state: LeaderState, now: float) -> None:
        if leader_state.advance_commit():
            self.placement.update_followers(leader_state, now)
            self.placement.propose_next_group(leader_state, now)
