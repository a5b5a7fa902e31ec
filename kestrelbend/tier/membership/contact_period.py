"""Measures how long a process has been in contact with the owner of the configuration shard without a break.

Invariant: a process presumes another process or a backend departed only if its own contact has lasted longer
than the other has been unresponsive.  A process that is cut off receives nothing; without this rule it would
presume all others departed, and publish that once it is connected again.
"""

from __future__ import annotations


class ContactPeriod:
    """The current period of unbroken contact, sampled by `observe`; times are seconds of the local clock."""

    def __init__(self, now: float) -> None:
        self._contact_since = now

    def observe(self, is_in_contact: bool, now: float) -> None:
        """Records whether the process is in contact now; the period restarts while it is not."""
        if not is_in_contact:
            self._contact_since = now

    def duration_s(self, now: float) -> float:
        """Returns how long the process has been in contact, in seconds."""
        return now - self._contact_since
