"""What `in contact` and `current` mean for a replica; every part that depends on one of them asks here.

Invariant: no answer here rests on what this process knew before it lost contact.  Both are counted from the
moment at which this process asked, by its own steady clock, never from the moment at which a reply came.
"""

from __future__ import annotations

from typing import Protocol

CONTACT_S = 0.6  # for which a confirmation counts, from its question on


class Confirmed(Protocol):
    """A replica, as far as its standing goes; both are local times, NEVER where there is none."""

    @property
    def confirmed_at(self) -> float:
        """When the last question was asked by which the owner was confirmed."""

    @property
    def current_at(self) -> float:
        """When the last such question was asked of which all that was committed then is applied here."""


def in_contact(replica: Confirmed, now: float) -> bool:
    """Whether a majority has lately confirmed the owner that this replica knows, itself or another."""
    return now - replica.confirmed_at <= CONTACT_S


def is_current(replica: Confirmed, now: float) -> bool:
    """Whether all that was committed at a question asked lately enough is applied here."""
    return in_contact(replica, now) and now - replica.current_at <= CONTACT_S


class ContactSpan:
    """For how long a process has been in contact without a pause, as far as it looked.

    Who falls silent may be presumed gone only by a process that was in contact for longer than the silence.
    """

    def __init__(self, now: float) -> None:
        self._began_at = now

    def look(self, is_in_contact: bool, now: float) -> None:
        """Notes whether the process is in contact now."""
        if not is_in_contact:
            self._began_at = now

    def seconds(self, now: float) -> float:
        """Since when it has been in contact."""
        return now - self._began_at
