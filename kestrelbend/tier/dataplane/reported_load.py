"""What backends report of their load in their answers: requests running, requests waiting, slots.

A report is as old as its answer, and all gateways that heard it would move together if each acted on the
last one.  So reports are smoothed, and what they say fades with their age (stale reports: Mitzenmacher 2000).

Invariant: what this gateway itself has at a backend is not counted here; the chooser adds it.
"""

from __future__ import annotations

import attrs

SMOOTHING = 0.4  # of the newest report in the mean
EXPIRY_S = 4.0  # a mean of this age says nothing any more
MAX_DIGITS = 6
REPORT_FIELDS = 3  # requests running, requests waiting, slots


@attrs.define
class _Mean:
    """A moving mean of the requests of other gateways."""

    others: float
    updated_at: float


class ReportedLoad:
    """The requests of other gateways at each backend.  Times are seconds on a steady clock."""

    def __init__(self) -> None:
        self._means: dict[str, _Mean] = {}
        self._services: set[str] = set()

    def record(self, service: str, identity: str, report: bytes | None, own: int, now: float) -> None:
        """Takes an answer's report; `own` requests were this gateway's.  A malformed one says nothing."""
        reported = _requests_in(report)
        if reported is None:
            return
        self._services.add(service)
        others = max(0.0, reported - own)
        mean = self._means.get(identity)
        if mean is None or now - mean.updated_at > EXPIRY_S:
            self._means[identity] = _Mean(others, now)
            return
        mean.others += (others - mean.others) * SMOOTHING
        mean.updated_at = now

    def others(self, identity: str, now: float) -> float:
        """How many requests of others the backend is believed to have."""
        mean = self._means.get(identity)
        if mean is None:
            return 0.0
        return mean.others * max(0.0, 1 - (now - mean.updated_at) / EXPIRY_S)

    def is_reported(self, service: str) -> bool:
        """Whether the service's backends report their load."""
        return service in self._services

    def keep_only(self, live: set[str]) -> None:
        """Drops what is known of backends that are no more."""
        self._means = {identity: mean for identity, mean in self._means.items() if identity in live}


def _requests_in(report: bytes | None) -> int | None:
    """Requests that run and wait, by a report "running,waiting,slots"."""
    if report is None:
        return None
    parts = [part.strip() for part in report.split(b",")]
    if len(parts) != REPORT_FIELDS or not all(part.isdigit() and len(part) <= MAX_DIGITS for part in parts):
        return None
    return int(parts[0]) + int(parts[1])
