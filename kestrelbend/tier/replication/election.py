"""Leader election: when a replica campaigns, for whom it votes, and how it counts its votes.

Raft's elections with pre-vote (Ongaro 2014, sections 3.4 and 9.6).  Instead of a random timeout, the order of
the voters decides: the earlier a voter stands in the group, the sooner it campaigns.

A replica votes for any candidate that asks, even if its own log doesn't name the replica as a voter yet
(4.2.2): the entry that adds it may be waiting for its vote.  A candidate counts only votes of its own group.

Invariant: a vote is sent, and a replica's vote for itself counts, only once it is durable.
Hazard: a replica that was partitioned and comes back with a higher term would depose a healthy leader; its
pre-vote is rejected by voters that still have contact with the leader.
"""

from __future__ import annotations

import zlib

import attrs

from .group import Voters, has_quorum
from .messages import ReplicaId, RequestVote, VoteReply
from .progress import NEVER
from .state import ReplicaState
from .timing import Timing


def campaign_delay(identity: ReplicaId, term: int, voters: Voters, timing: Timing) -> float:
    """Seconds without a leader until this voter campaigns: the earlier in the group, the sooner."""
    rank = voters.index(identity) if identity in voters else len(voters)
    share = zlib.crc32(f"{identity} {term}".encode()) / 2**32
    return timing.election_timeout + rank * timing.rank_step + share * timing.jitter


@attrs.define
class Campaign:
    """The votes granted to this replica for one term."""

    term: int
    granted: set[ReplicaId] = attrs.field(factory=set)

    def won(self, voters: Voters) -> bool:
        """Whether a majority of the voters has granted its vote."""
        return has_quorum(voters, self.granted.__contains__)


class Election:
    """A replica's part in elections while it is not the leader.

    `last_contact_at` is when a leader's message last arrived.  A candidacy stays open while a new pre-vote
    runs, so that votes delayed by slow disks still count.
    """

    def __init__(self, state: ReplicaState, now: float) -> None:
        self._state = state
        self._timing = state.timing
        self._pre_vote: Campaign | None = None
        self._candidacy: Campaign | None = None
        self._no_leader_since = now - self._timing.election_timeout + self._timing.first_pre_vote
        self.last_contact_at = NEVER
        self._pre_vote_at = NEVER
        self._pre_vote_backoff_until = NEVER
        self._vote_pending = False

    def record_leader_contact(self, now: float) -> None:
        """Records a message of a leader, which ends any campaign of this replica."""
        self.last_contact_at = now
        self._pre_vote_backoff_until = NEVER
        self.restart_timeout(now)

    def restart_timeout(self, now: float) -> None:
        """Ends any campaign and restarts the time without a leader."""
        self._no_leader_since = now
        self.end_campaigns()

    def end_campaigns(self) -> None:
        """Ends any campaign of this replica; called when its term is over."""
        self._pre_vote = None
        self._candidacy = None

    def is_due(self, now: float) -> bool:
        """Whether this replica should start a pre-vote now."""
        state = self._state
        if not state.is_voter or self._vote_pending or state.disk_stalls(now):
            return False
        if now < self._pre_vote_backoff_until or now - self._pre_vote_at < self._timing.pre_vote_interval:
            return False
        return now - self._no_leader_since >= campaign_delay(
            state.identity, state.term, state.voters, self._timing
        )

    def begin_pre_vote(self, now: float) -> None:
        """Asks the voters whether they would vote for this replica."""
        state = self._state
        self._pre_vote_at = now
        self._pre_vote = Campaign(state.term + 1, {state.identity})
        request = self._request(self._pre_vote.term, pre_vote=True)
        for voter in state.other_voters():
            state.send(voter, request)
        if self._pre_vote.won(state.voters):
            self.become_candidate()

    def become_candidate(self) -> None:
        """Enters the next term, votes for this replica and requests the votes of the others."""
        state = self._state
        state.raise_term(state.term + 1)
        state.vote_for(state.identity)
        self._pre_vote = None
        self._candidacy = Campaign(state.term)
        self._vote_pending = True
        request = self._request(state.term, pre_vote=False)
        for voter in state.other_voters():
            state.send_after_write(voter, request)

    def answer_vote_request(self, request: RequestVote, now: float, is_leader: bool) -> None:
        """Answers a candidate; the newer term of a request that is no pre-vote has already been entered."""
        state = self._state
        if request.pre_vote:
            granted = not is_leader and self._grants_pre_vote(request, now)
        else:
            granted = self._grants_vote(request)
        term = request.term if granted else state.term
        reply = VoteReply(state.shard, state.identity, term, granted, request.pre_vote)
        if granted and not request.pre_vote:
            state.vote_for(request.sender)
            self._vote_pending = not state.hard_state_durable
            state.send_after_write(request.sender, reply)
        else:
            state.send(request.sender, reply)

    def count_vote(self, reply: VoteReply) -> bool:
        """Counts a granted vote; returns True if it makes this replica the leader."""
        campaign = self._pre_vote if reply.pre_vote else self._candidacy
        if campaign is None or reply.term != campaign.term:
            return False
        campaign.granted.add(reply.sender)
        if not campaign.won(self._state.voters):
            return False
        if reply.pre_vote:
            self.become_candidate()
            return False
        return True

    def handle_completed_writes(self, now: float) -> bool:
        """Returns True if this replica's vote for itself has become durable and makes it the leader."""
        if not self._vote_pending or not self._state.hard_state_durable:
            return False
        self._vote_pending = False
        self._no_leader_since = now
        if self._candidacy is None:
            return False
        self._candidacy.granted.add(self._state.identity)
        return self._candidacy.won(self._state.voters)

    def _request(self, term: int, pre_vote: bool) -> RequestVote:
        log = self._state.log
        return RequestVote(
            self._state.shard, self._state.identity, term, log.last_index, log.last_term, pre_vote
        )

    def _grants_pre_vote(self, request: RequestVote, now: float) -> bool:
        if now - self.last_contact_at < self._timing.leader_stickiness or self._vote_pending:
            return False
        if request.term <= self._state.term or not self._may_vote_for(request):
            return False
        if self._pre_vote_backoff_until == NEVER:
            self._pre_vote_backoff_until = now + self._timing.pre_vote_backoff
        return True

    def _grants_vote(self, request: RequestVote) -> bool:
        state = self._state
        if request.term != state.term or state.voted_for not in ("", request.sender):
            return False
        return self._may_vote_for(request)

    def _may_vote_for(self, request: RequestVote) -> bool:
        """Whether the candidate's log holds all that this replica may have helped to commit."""
        log = self._state.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)
