"""Contact of a replica with the owner of its shard, and freshness of what the replica has applied.

Two concerns, and every part that depends on one of them calls the function here:

- contact (`in_contact`): a majority has lately confirmed the owner that this replica knows;
- freshness (`is_current`): besides, all that was committed at such a confirmation is applied here.

Invariant: no result here rests on what this process knew before it lost contact.  Both are counted from the
moment at which this process sent its request, by its own steady clock, never from the moment at which a reply
came: a reply may have waited in a socket while this process stood still.

Source: the read index of Raft (Ongaro 2014, section 6.4).
"""

from __future__ import annotations

from typing import Protocol

CONTACT_S = 0.6  # seconds for which a confirmation counts, from its request on


class ConfirmedReplica(Protocol):
    """What is read of a replica; both are local times in seconds, minus infinity where there is none."""

    @property
    def confirmed_at(self) -> float:
        """When the latest request was sent by which the owner was confirmed."""

    @property
    def current_at(self) -> float:
        """When the latest such request was sent of which all that was committed then is applied here."""


def in_contact(replica: ConfirmedReplica, now: float) -> bool:
    """Whether a majority has lately confirmed the owner that this replica knows, itself or another."""
    return now - replica.confirmed_at <= CONTACT_S


def is_current(replica: ConfirmedReplica, now: float) -> bool:
    """Whether all that was committed at a request sent lately enough is applied here."""
    return in_contact(replica, now) and now - replica.current_at <= CONTACT_S
