"""An owner's handing over to another voter (Ongaro 2014, section 3.10).

Invariant: the receiver is asked to campaign only once its disk holds the owner's whole log, and the
owner takes no proposals in the meantime.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from .messages import ReplicaId
from .owner import Ownership
from .progress import NEVER


@attrs.define
class Handover:
    """A handover under way, to one of `candidates`."""

    began_at: float
    candidates: tuple[ReplicaId, ...]
    asked_at: float = NEVER

    def receiver(self, owner: Ownership, now: float) -> ReplicaId | None:
        """The most caught-up live candidate, the first of equals; None where none lives."""
        live = [identity for identity in self.candidates if owner.is_live(identity, now)]
        if not live:
            return None
        return max(live, key=lambda identity: owner.followers[identity].match_index)


def others(voters: Iterable[ReplicaId], identity: ReplicaId) -> tuple[ReplicaId, ...]:
    """The voters but for `identity`."""
    return tuple(voter for voter in voters if voter != identity)
