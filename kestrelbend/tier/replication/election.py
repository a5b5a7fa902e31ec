"""When a replica campaigns, and how it counts its votes.

Invariant: a replica's own vote counts only once it is on its disk.
"""

from __future__ import annotations

import zlib

import attrs

from .group import Voters, has_quorum
from .messages import ReplicaId
from .timing import Timing


def campaign_delay(identity: ReplicaId, epoch: int, voters: Voters, timing: Timing) -> float:
    """Seconds without an owner until this voter campaigns: the earlier in the group, the sooner."""
    rank = voters.index(identity) if identity in voters else len(voters)
    share = zlib.crc32(f"{identity} {epoch}".encode()) / 2**32
    return timing.election_timeout + rank * timing.rank_step + share * timing.jitter


def is_up_to_date(last_epoch: int, last_index: int, own_epoch: int, own_index: int) -> bool:
    """Whether a candidate's log holds all that a voter's own may have helped to commit."""
    return (last_epoch, last_index) >= (own_epoch, own_index)


@attrs.define
class Campaign:
    """One candidacy: for the epoch asked about, a trial first (pre-vote) or in earnest."""

    epoch: int
    trial: bool
    granted: set[ReplicaId] = attrs.field(factory=set)
    own_ticket: int = 0

    def won(self, voters: Voters) -> bool:
        """Whether a majority of the voters has granted."""
        return has_quorum(voters, self.granted.__contains__)
