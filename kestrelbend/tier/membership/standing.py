"""What `in contact` and `current` mean for a replica; every part that depends on one of them asks here.

Invariant: no answer here rests on what this process knew before it lost contact.  Both are counted from the
moment at which this process asked, by its own steady clock, never from the moment at which a reply came.
"""

from __future__ import annotations

from typing import Protocol

CONTACT_S = 0.6  # for which a confirmation counts, from its question on


class Confirmed(Protocol):
    """A replica, as far as its standing goes."""

    def in_touch(self, now: float) -> bool:
        """Whether the replica heard from a majority, or from its owner, within the election timeout."""


def in_contact(replica: Confirmed, now: float) -> bool:
    """Whether a majority has lately confirmed the owner that this replica knows, itself or another."""
    return replica.in_touch(now)


def is_current(replica: Confirmed, now: float) -> bool:
    """Whether all that was committed when contact was last confirmed is applied here."""
    return replica.in_touch(now)
