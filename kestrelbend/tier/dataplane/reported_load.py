"""The load that backends report in their responses: requests running, requests waiting, slots.

A report is as old as its response, and gateways that all act on the latest report would shift their traffic
in the same direction.  Reports are therefore smoothed and lose weight with age (stale load information:
Mitzenmacher 2000).

Invariant: this gateway's own requests at a backend are not counted here; the load balancer adds them.
"""

from __future__ import annotations

import attrs

SMOOTHING = 0.4  # weight of the newest report in the moving average
EXPIRY_S = 4.0  # an average of this age is ignored
MAX_DIGITS = 6
REPORT_FIELDS = 3  # requests running, requests waiting, slots


@attrs.define
class _Mean:
    """A moving average of the requests of other gateways."""

    others: float
    updated_at: float


class ReportedLoad:
    """The requests of other gateways at each backend.  Times are seconds on a monotonic clock."""

    def __init__(self) -> None:
        self._means: dict[str, _Mean] = {}
        self._services: set[str] = set()

    def record(self, service: str, identity: str, report: bytes | None, own: int, now: float) -> None:
        """Records a response's report, `own` of whose requests are this gateway's; ignores malformed ones."""
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
        """The estimated number of other gateways' requests at the backend."""
        mean = self._means.get(identity)
        if mean is None:
            return 0.0
        return mean.others * max(0.0, 1 - (now - mean.updated_at) / EXPIRY_S)

    def is_reported(self, service: str) -> bool:
        """Whether backends of the service have reported their load."""
        return service in self._services

    def keep_only(self, live: set[str]) -> None:
        """Drops the averages of backends that are not in `live`."""
        self._means = {identity: mean for identity, mean in self._means.items() if identity in live}


def _requests_in(report: bytes | None) -> int | None:
    """Running plus waiting requests of a report "running,waiting,slots"; None if it is malformed."""
    if report is None:
        return None
    parts = [part.strip() for part in report.split(b",")]
    if len(parts) != REPORT_FIELDS or not all(part.isdigit() and len(part) <= MAX_DIGITS for part in parts):
        return None
    return int(parts[0]) + int(parts[1])
