"""Whether a replica is in contact with the owner of its shard, and whether its applied state is current.

All code that depends on one of these properties calls the function here:

- contact (`in_contact`): a majority has recently confirmed the owner that this replica knows;
- freshness (`is_current`): in addition, all that was committed at such a confirmation is applied here.

Invariant: no result depends on what this process knew before it lost contact.  Both properties are timed from
the moment at which this process sent its request, by its own monotonic clock, never from the arrival of the
reply: a reply may have waited in a socket while this process was suspended.

Source: the read index of Raft (Ongaro 2014, section 6.4).
"""

from __future__ import annotations

from typing import Protocol

CONTACT_S = 0.6  # how long a confirmation is valid, in seconds from the sending of its request


class ConfirmedReplica(Protocol):
    """The part of a replica used here; times are seconds of the local clock, or minus infinity."""

    @property
    def confirmed_at(self) -> float:
        """When the latest request that confirmed the owner was sent."""

    @property
    def current_at(self) -> float:
        """When the latest such request was sent whose committed state is completely applied here."""


def in_contact(replica: ConfirmedReplica, now: float) -> bool:
    """Whether a majority has recently confirmed the owner that this replica knows (possibly itself)."""
    return now - replica.confirmed_at <= CONTACT_S


def is_current(replica: ConfirmedReplica, now: float) -> bool:
    """Whether all that was committed at a request of the last `CONTACT_S` is applied here."""
    return in_contact(replica, now) and now - replica.current_at <= CONTACT_S
