"""Which replica of a shard a gateway asks: it looks for the owner, and stays with it.

Each replica is asked once in a round, the one after the last first; between rounds there is a backoff that
grows. A replica that did not reply is excluded for a while, also where another still names it as the owner:
those that were beside it learn of its loss later than the gateway that waited for it.  Invariant: after a
reply from an epoch, nobody is asked because an earlier epoch named it, or had it as the owner.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

_MAX_DOUBLINGS = 6


@attrs.frozen
class ClientSettings:
    """Of a gateway's calls to budget shards; times in seconds."""

    reserve_timeout_s: float = 1.8  # until a reservation without an answer is given up
    attempt_timeout_s: float = 0.3  # until a request without a reply goes to the next replica
    exclusion_s: float = 0.5  # for which a replica that did not reply is left out
    initial_backoff_s: float = 0.02  # before the replicas are asked anew; doubles up to the maximum
    max_early_backoff_s: float = 0.08  # while the search is young: an election takes half a second
    early_rounds: int = 20
    max_backoff_s: float = 0.3
    settlement_linger_s: float = 0.02  # settlements wait this long for others, unless a reservation goes
    max_pending_settlements: int = 4_000  # of a shard; beyond it the oldest go: their tokens stay reserved


class OwnerRoute:
    """The search for one shard's owner."""

    def __init__(self, settings: ClientSettings) -> None:
        self._settings = settings
        self._likely_owner = ""  # the last that replied as owner, or that another named
        self._last_requested = ""
        self._requested: set[str] = set()  # in this round
        self._rounds = 0  # without an owner
        self._epoch = 0  # the highest that a reply came from
        self._excluded_until: dict[str, float] = {}

    def target(self, replicas: Sequence[str], now: float) -> str | None:
        """Whom to ask next; None after a round without success, which begins another: back off before it."""
        likely = self._likely_owner
        if likely and not self._is_excluded(likely, now):
            return likely
        for replica in _from_next(replicas, self._last_requested):
            if replica not in self._requested and not self._is_excluded(replica, now):
                return replica
        self._requested.clear()
        self._rounds += 1
        return None

    def backoff_s(self) -> float:
        """Seconds to wait between rounds."""
        settings = self._settings
        if self._rounds > settings.early_rounds:
            return settings.max_backoff_s
        doublings = min(self._rounds - 1, _MAX_DOUBLINGS)
        return min(settings.max_early_backoff_s, settings.initial_backoff_s * 2.0**doublings)

    def record_owner(self, replica: str, epoch: int = 0) -> None:
        """The replica has replied as the owner: that is committed, also where a later epoch is known."""
        if epoch < self._epoch:
            self._record_requested(replica)
            return
        self._epoch = epoch
        self._likely_owner = replica
        self._last_requested = replica
        self._requested.clear()
        self._excluded_until.clear()
        self._rounds = 0

    def record_not_owner(self, replica: str, hint: str, epoch: int = 0) -> None:
        """The replica does not own the shard; a hint is followed once in a round, an outdated one never."""
        self._record_requested(replica)
        outdated = epoch < self._epoch
        self._epoch = max(self._epoch, epoch)
        self._likely_owner = "" if outdated or hint in self._requested else hint

    def record_no_reply(self, replica: str, requested_at: float, now: float) -> None:
        """The replica took too long; or it can't be reached, which is known at once and costs no time."""
        self._record_requested(replica)
        self._likely_owner = ""
        if now - requested_at >= self._settings.attempt_timeout_s / 2:
            self._excluded_until[replica] = now + self._settings.exclusion_s

    def _is_excluded(self, replica: str, now: float) -> bool:
        return self._excluded_until.get(replica, now) > now

    def _record_requested(self, replica: str) -> None:
        self._last_requested = replica
        self._requested.add(replica)


def _from_next(replicas: Sequence[str], last: str) -> list[str]:
    """The replicas in their order, from the one after the last that was asked."""
    names = list(replicas)
    if last not in names:
        return names
    start = names.index(last) + 1
    return names[start:] + names[:start]
