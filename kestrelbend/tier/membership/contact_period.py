"""For how long a process has been in contact with the owner of the configuration's shard, without a break.

Invariant: a process presumes another one departed only if its own contact has lasted longer than that one
has been unresponsive.  A process that is cut off hears from nobody, so without this rule it would presume
everybody departed, and say so once it is back.
"""

from __future__ import annotations


class ContactPeriod:
    """The current period of unbroken contact, as far as `observe` was called; times are local, in seconds."""

    def __init__(self, now: float) -> None:
        self._began_at = now

    def observe(self, is_in_contact: bool, now: float) -> None:
        """Records whether the process is in contact now; without contact the period begins anew."""
        if not is_in_contact:
            self._began_at = now

    def duration_s(self, now: float) -> float:
        """How long the process has been in contact."""
        return now - self._began_at
