"""Passive health checks: what this gateway saw of each backend, and which ones it ejects for a while.

Failures raise a backend's suspicion, answers and time lower it.  Invariant: at most half of a service's
backends are ejected on suspicion; the others stay in use however badly they did, since rejecting a request
while a backend has capacity is the dearest mistake.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from ..discovery.messages import Backend

INITIAL_EXCLUSION_S = 0.04  # of a backend that rejected a request; doubles with each in a row
MAX_EXCLUSION_S = 0.64
MAX_DOUBLINGS = 8
SUSPICION_HALF_LIFE_S = 4.0
ANSWER_FACTOR = 0.7  # what an answer leaves of suspicion
SUSPICION_THRESHOLD = 0.9  # one failure for about half a second, two for about five
NO_RESPONSE_WEIGHT = 1.0  # besides a failure's: a lost answer costs more than one that fails
MAX_FAILURE_WEIGHT = 4.0
MAX_SUSPICION = 8.0


@attrs.define
class _BackendRecord:
    """What was seen of one backend; `suspicion` is that of the time `as_of`."""

    suspicion: float = 0.0
    updated_at: float = 0.0
    failures: int = 0  # in a row
    rejections: int = 0  # in a row
    saturated_until: float = 0.0

    def suspicion_at(self, now: float) -> float:
        """The suspicion that remains."""
        remaining: float = 0.5 ** ((now - self.updated_at) / SUSPICION_HALF_LIFE_S)
        return self.suspicion * remaining


class Health:
    """One record a backend.  Times are seconds on a steady clock."""

    def __init__(self) -> None:
        self._records: dict[str, _BackendRecord] = {}

    def _record_of(self, identity: str) -> _BackendRecord:
        record = self._records.get(identity)
        if record is None:
            record = self._records[identity] = _BackendRecord()
        return record

    def record_success(self, identity: str, now: float) -> None:
        """It gave a proper answer."""
        record = self._records.get(identity)
        if record is not None:
            record.suspicion = record.suspicion_at(now) * ANSWER_FACTOR
            record.updated_at = now
            record.failures = 0
            record.rejections = 0

    def record_rejection(self, identity: str, now: float) -> None:
        """It said that it did not run a request; it is saturated, or seems so."""
        record = self._record_of(identity)
        record.saturated_until = now + min(INITIAL_EXCLUSION_S * 2**record.rejections, MAX_EXCLUSION_S)
        record.rejections = min(record.rejections + 1, MAX_DOUBLINGS)

    def record_failure(self, identity: str, now: float) -> None:
        """It broke off, spoilt or failed an answer, or could not be reached."""
        record = self._record_of(identity)
        record.failures += 1
        self._add(record, min(2.0 ** (record.failures - 1), MAX_FAILURE_WEIGHT), now)

    def _add(self, record: _BackendRecord, weight: float, now: float) -> None:
        record.suspicion = min(max(record.suspicion_at(now) + weight, 0.0), MAX_SUSPICION)
        record.updated_at = now

    def record_overdue(self, identity: str, now: float) -> None:
        """A request's answer is long overdue; where it comes yet, `responded` takes this back."""
        self.record_failure(identity, now)
        self._add(self._record_of(identity), NO_RESPONSE_WEIGHT, now)

    def record_late_response(self, identity: str, now: float) -> None:
        """The answer came after all."""
        self._add(self._record_of(identity), -NO_RESPONSE_WEIGHT - 1, now)

    def record_connection_failure(self, identity: str, now: float) -> None:
        """Nothing listens at its address, or nothing answers there."""
        self._record_of(identity).failures += 1
        self.record_failure(identity, now)

    def suspicion(self, identity: str, now: float) -> float:
        """Failures that count still."""
        record = self._records.get(identity)
        return 0.0 if record is None else record.suspicion_at(now)

    def is_saturated(self, identity: str, now: float) -> bool:
        """It rejected a request just now."""
        record = self._records.get(identity)
        return record is not None and now < record.saturated_until

    def healthy(self, backends: Sequence[Backend], now: float) -> list[Backend]:
        """`backends` without the suspect; at least half of them, the least suspect first."""
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
