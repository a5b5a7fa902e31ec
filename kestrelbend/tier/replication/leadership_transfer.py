"""Leadership transfer to another voter (Ongaro 2014, section 3.10).

Invariant: the receiver is asked to campaign only once its disk holds the leader's complete log, and the
leader accepts no proposals in the meantime.
Hazard: a transfer that no voter completes would block the shard; it ends after `Timing.transfer_timeout`.
"""

from __future__ import annotations

import attrs

from .leader import LeaderState
from .messages import ReplicaId, TransferLeadership
from .progress import NEVER
from .state import ReplicaState


@attrs.define
class LeadershipTransfer:
    """A pending transfer to one of `candidates`; it ends with the leadership or by its timeout."""

    began_at: float
    candidates: tuple[ReplicaId, ...]
    _requested_at: float = NEVER

    def has_timed_out(self, now: float, state: ReplicaState) -> bool:
        """Whether the transfer has taken longer than its timeout."""
        return now - self.began_at > state.timing.transfer_timeout

    def advance(self, state: ReplicaState, leader: LeaderState, now: float) -> None:
        """Asks the most caught-up live candidate to campaign, as soon as it holds the complete log."""
        receiver = self._best_candidate(leader, now)
        if receiver is None or now - self._requested_at < state.timing.reply_timeout:
            return
        if leader.followers[receiver].match_index == state.log.last_index:
            self._requested_at = now
            state.send(receiver, TransferLeadership(state.shard, state.identity, state.term))

    def _best_candidate(self, leader: LeaderState, now: float) -> ReplicaId | None:
        live = [identity for identity in self.candidates if leader.is_live(identity, now)]
        return max(live, key=lambda identity: leader.followers[identity].match_index, default=None)
