"""What this gateway saw of each backend, and which backends it passes over for a while.

Failures raise a backend's suspicion, answers and time lower it.  Invariant: at most half of a service's
backends are passed over on suspicion; the others stay in use however badly they did, since refusing while a
backend has room is the dearest mistake.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from ..discovery.messages import Backend

FULL_S = 0.04  # a backend that turned a request away is passed over for this long, doubling in a row
FULL_AT_MOST_S = 0.64
HALF_LIFE_S = 4.0  # of suspicion
ANSWER_FACTOR = 0.7  # what an answer leaves of suspicion
SUSPECT_AT = 0.9  # one failure for about half a second, two for about five
SILENCE_WEIGHT = 1.0  # besides a failure's: a lost answer costs more than one that fails
WEIGHT_AT_MOST = 4.0
SUSPICION_AT_MOST = 8.0


@attrs.define
class _Seen:
    suspicion: float = 0.0
    as_of: float = 0.0
    failures: int = 0  # in a row
    refusals: int = 0  # in a row
    full_until: float = 0.0

    def at(self, now: float) -> float:
        return self.suspicion * 0.5 ** ((now - self.as_of) / HALF_LIFE_S)


class Health:
    """One record a backend.  Times are seconds on a steady clock."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def _of(self, identity: str) -> _Seen:
        seen = self._seen.get(identity)
        if seen is None:
            seen = self._seen[identity] = _Seen()
        return seen

    def answered(self, identity: str, now: float) -> None:
        """It gave a proper answer."""
        seen = self._seen.get(identity)
        if seen is not None:
            seen.suspicion = seen.at(now) * ANSWER_FACTOR
            seen.as_of = now
            seen.failures = seen.refusals = 0

    def turned_away(self, identity: str, now: float) -> None:
        """It said that it did not run a request; it is full, or seems so."""
        seen = self._of(identity)
        seen.full_until = now + min(FULL_S * 2**seen.refusals, FULL_AT_MOST_S)
        seen.refusals = min(seen.refusals + 1, 8)

    def failed(self, identity: str, now: float) -> None:
        """It broke off, spoilt or failed an answer, or could not be reached."""
        seen = self._of(identity)
        seen.failures += 1
        self._add(seen, min(2.0 ** (seen.failures - 1), WEIGHT_AT_MOST), now)

    def _add(self, seen: _Seen, weight: float, now: float) -> None:
        seen.suspicion = min(max(seen.at(now) + weight, 0.0), SUSPICION_AT_MOST)
        seen.as_of = now

    def silent(self, identity: str, now: float) -> None:
        """A request has waited far longer than usual; where its answer comes yet, `spoke` takes this back."""
        self.failed(identity, now)
        self._add(self._of(identity), SILENCE_WEIGHT, now)

    def spoke(self, identity: str, now: float) -> None:
        """The answer came after all."""
        self._add(self._of(identity), -SILENCE_WEIGHT - 1, now)

    def refused(self, identity: str, now: float) -> None:
        """Nothing listens at its address, or nothing answers there."""
        self._of(identity).failures += 1
        self.failed(identity, now)

    def suspicion(self, identity: str, now: float) -> float:
        """Failures that count still."""
        seen = self._seen.get(identity)
        return 0.0 if seen is None else seen.at(now)

    def full(self, identity: str, now: float) -> bool:
        """It turned a request away just now."""
        seen = self._seen.get(identity)
        return seen is not None and now < seen.full_until

    def sound(self, backends: Sequence[Backend], now: float) -> list[Backend]:
        """`backends` without the suspect; at least half of them, the least suspect first."""
        if not self._seen:
            return list(backends)
        sound, suspect = [], []
        for backend in backends:
            suspicion = self.suspicion(backend.identity, now)
            if suspicion >= SUSPECT_AT:
                suspect.append((suspicion, backend.identity, backend))
            else:
                sound.append(backend)
        lacking = (len(backends) + 1) // 2 - len(sound)
        if lacking > 0:
            sound += [backend for _, _, backend in sorted(suspect)[:lacking]]
        return sound

    def keep_only(self, live: set[str]) -> None:
        """Drops the records of backends that are not in `live`."""
        self._seen = {identity: seen for identity, seen in self._seen.items() if identity in live}
