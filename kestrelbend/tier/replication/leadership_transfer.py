"""An owner's handing over to another voter (Ongaro 2014, section 3.10).

Invariant: the receiver is asked to campaign only once its disk holds the owner's whole log, and the
owner takes no proposals in the meantime.
"""

from __future__ import annotations

import attrs

from .messages import ReplicaId, TransferLeadership
from .leader import LeaderState
from .progress import NEVER
from .state import ReplicaState


@attrs.define
class LeadershipTransfer:
    """A handover under way, to one of `candidates`; it ends with the ownership, or by its time."""

    began_at: float
    candidates: tuple[ReplicaId, ...]
    _requested_at: float = NEVER

    def has_failed(self, now: float, state: ReplicaState) -> bool:
        """Whether the ownership should have gone over by now."""
        return now - self.began_at > state.timing.transfer_timeout

    def proceed(self, state: ReplicaState, owner: LeaderState, now: float) -> None:
        """Asks the most caught-up live candidate to campaign, as soon as it holds the whole log."""
        receiver = self._receiver(owner, now)
        if receiver is None or now - self._requested_at < state.timing.reply_timeout:
            return
        if owner.followers[receiver].match_index == state.log.last_index:
            self._requested_at = now
            state.send(receiver, TransferLeadership(state.shard, state.identity, state.epoch))

    def _receiver(self, owner: LeaderState, now: float) -> ReplicaId | None:
        live = [identity for identity in self.candidates if owner.is_live(identity, now)]
        return max(live, key=lambda identity: owner.followers[identity].match_index, default=None)
