"""Passive health checks: tracks the outcomes at each backend and ejects suspect ones temporarily.

Failures raise a backend's suspicion score; successes and time lower it.  Invariant: at most half of a
service's backends are ejected on suspicion.  The others stay in use however often they failed, since the most
costly mistake is to reject a request while a backend has capacity.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from ..discovery.messages import Backend

INITIAL_EXCLUSION_S = 0.04  # after a rejection by a backend; doubles with each consecutive one
MAX_EXCLUSION_S = 0.64
MAX_DOUBLINGS = 8
SUSPICION_HALF_LIFE_S = 4.0
SUCCESS_FACTOR = 0.7  # factor on the suspicion score at each success
SUSPICION_THRESHOLD = 0.9  # one failure ejects for about half a second, two for about five
NO_RESPONSE_WEIGHT = 1.0  # added to a failure's weight: a missing response costs more than a failed one
MAX_FAILURE_WEIGHT = 4.0
MAX_SUSPICION = 8.0


@attrs.define
class _BackendRecord:
    """The recorded outcomes at one backend; `suspicion` is the score at the time `updated_at`."""

    suspicion: float = 0.0
    updated_at: float = 0.0
    failures: int = 0  # consecutive
    rejections: int = 0  # consecutive
    saturated_until: float = 0.0

    def suspicion_at(self, now: float) -> float:
        """The suspicion score at `now`, after decay."""
        remaining: float = 0.5 ** ((now - self.updated_at) / SUSPICION_HALF_LIFE_S)
        return self.suspicion * remaining


class Health:
    """One record per backend.  Times are seconds on a monotonic clock."""

    def __init__(self) -> None:
        self._records: dict[str, _BackendRecord] = {}

    def _record_of(self, identity: str) -> _BackendRecord:
        record = self._records.get(identity)
        if record is None:
            record = self._records[identity] = _BackendRecord()
        return record

    def record_success(self, identity: str, now: float) -> None:
        """Records a successful response."""
        record = self._records.get(identity)
        if record is not None:
            record.suspicion = record.suspicion_at(now) * SUCCESS_FACTOR
            record.updated_at = now
            record.failures = 0
            record.rejections = 0

    def record_rejection(self, identity: str, now: float) -> None:
        """Records a rejection: the backend did not run a request and is treated as saturated for a while."""
        record = self._record_of(identity)
        record.saturated_until = now + min(INITIAL_EXCLUSION_S * 2**record.rejections, MAX_EXCLUSION_S)
        record.rejections = min(record.rejections + 1, MAX_DOUBLINGS)

    def record_failure(self, identity: str, now: float) -> None:
        """Records a broken, invalid or failed response, or a failed connection."""
        record = self._record_of(identity)
        record.failures += 1
        self._add(record, min(2.0 ** (record.failures - 1), MAX_FAILURE_WEIGHT), now)

    def _add(self, record: _BackendRecord, weight: float, now: float) -> None:
        record.suspicion = min(max(record.suspicion_at(now) + weight, 0.0), MAX_SUSPICION)
        record.updated_at = now

    def record_overdue(self, identity: str, now: float) -> None:
        """Records that a response is long overdue; `record_late_response` reverts this if it arrives."""
        self.record_failure(identity, now)
        self._add(self._record_of(identity), NO_RESPONSE_WEIGHT, now)

    def record_late_response(self, identity: str, now: float) -> None:
        """Records that an overdue response arrived after all."""
        self._add(self._record_of(identity), -NO_RESPONSE_WEIGHT - 1, now)

    def record_connection_failure(self, identity: str, now: float) -> None:
        """Records that no connection to the backend could be established."""
        self._record_of(identity).failures += 1
        self.record_failure(identity, now)

    def suspicion(self, identity: str, now: float) -> float:
        """The backend's suspicion score at `now`."""
        record = self._records.get(identity)
        return 0.0 if record is None else record.suspicion_at(now)

    def is_saturated(self, identity: str, now: float) -> bool:
        """Whether the backend rejected a request recently."""
        record = self._records.get(identity)
        return record is not None and now < record.saturated_until

    def healthy(self, backends: Sequence[Backend], now: float) -> list[Backend]:
        """`backends` without the suspect ones, but at least half of them: the least suspect stay."""
        if not self._records:
            return list(backends)
        healthy: list[Backend] = []
        suspect: list[tuple[float, str, Backend]] = []
        for backend in backends:
            suspicion = self.suspicion(backend.identity, now)
            if suspicion >= SUSPICION_THRESHOLD:
                suspect.append((suspicion, backend.identity, backend))
            else:
                healthy.append(backend)
        missing = (len(backends) + 1) // 2 - len(healthy)
        if missing > 0:
            healthy += [backend for _, _, backend in sorted(suspect)[:missing]]
        return healthy

    def keep_only(self, live: set[str]) -> None:
        """Drops the records of backends that are not in `live`."""
        self._records = {identity: record for identity, record in self._records.items() if identity in live}
