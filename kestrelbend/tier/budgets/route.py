"""Selects the replica of a shard that a gateway sends its next request to.

The gateway searches for the owner and then keeps using it.  A search tries each replica once per round,
starting after the last one tried, with a growing backoff between rounds.  A replica that did not reply is
excluded for a while, even if others still name it as the owner: they detect its failure later than the
gateway that timed out on it.  Invariant: after a reply from an epoch, a replica is never selected because it
owned the shard, or was named as the owner, in an earlier epoch.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

_MAX_DOUBLINGS = 6


@attrs.frozen
class ClientSettings:
    """Settings of a gateway's calls to budget shards; times in seconds."""

    reserve_timeout_s: float = 1.8  # after this, a reservation without a reply fails
    attempt_timeout_s: float = 0.3  # after this, a request without a reply goes to the next replica
    exclusion_s: float = 0.5  # how long a replica that did not reply is skipped
    initial_backoff_s: float = 0.02  # before the second round; doubles up to the maximum
    max_early_backoff_s: float = 0.08  # in the first rounds; low, as an election takes only half a second
    early_rounds: int = 20  # rounds with the lower maximum
    max_backoff_s: float = 0.3  # in all later rounds
    settlement_linger_s: float = 0.02  # a settlement waits this long for others, unless a reservation is sent
    max_pending_settlements: int = 4_000  # per shard; the oldest is dropped and its tokens stay reserved


class OwnerRoute:
    """The search for the owner of one shard."""

    def __init__(self, settings: ClientSettings) -> None:
        self._settings = settings
        self._likely_owner = ""  # the replica that last replied as the owner or was named as it
        self._last_requested = ""
        self._requested: set[str] = set()  # in this round
        self._rounds = 0  # since the last reply of an owner
        self._epoch = 0  # the highest in a reply
        self._excluded_until: dict[str, float] = {}

    def target(self, replicas: Sequence[str], now: float) -> str | None:
        """Returns the replica to send to; None if a round has failed and the caller has to back off."""
        likely = self._likely_owner
        if likely and not self._is_excluded(likely, now):
            return likely
        for replica in _rotated_after(replicas, self._last_requested):
            if replica not in self._requested and not self._is_excluded(replica, now):
                return replica
        self._requested.clear()
        self._rounds += 1
        return None

    def backoff_s(self) -> float:
        """Returns the seconds to wait before the next round."""
        settings = self._settings
        if self._rounds > settings.early_rounds:
            return settings.max_backoff_s
        doublings = min(self._rounds - 1, _MAX_DOUBLINGS)
        return min(settings.max_early_backoff_s, settings.initial_backoff_s * 2.0**doublings)

    def record_owner(self, replica: str, epoch: int = 0) -> None:
        """Records an owner's reply; one of an earlier epoch is valid but does not affect the selection."""
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
        """Records that the replica is not the owner.

        The owner that it names is tried next, unless the hint is of an earlier epoch or that replica was
        already tried in this round.
        """
        self._record_requested(replica)
        outdated = epoch < self._epoch
        self._epoch = max(self._epoch, epoch)
        self._likely_owner = "" if outdated or hint in self._requested else hint

    def record_no_reply(self, replica: str, requested_at: float, now: float) -> None:
        """Records that a request got no reply.

        The replica is excluded only after a timeout: one that is unreachable fails at once, so trying it
        again costs no time.
        """
        self._record_requested(replica)
        self._likely_owner = ""
        if now - requested_at >= self._settings.attempt_timeout_s / 2:
            self._excluded_until[replica] = now + self._settings.exclusion_s

    def _is_excluded(self, replica: str, now: float) -> bool:
        return self._excluded_until.get(replica, now) > now

    def _record_requested(self, replica: str) -> None:
        self._last_requested = replica
        self._requested.add(replica)


def _rotated_after(replicas: Sequence[str], last: str) -> list[str]:
    """Returns the replicas in order, starting with the one after the last one tried."""
    names = list(replicas)
    if last not in names:
        return names
    start = names.index(last) + 1
    return names[start:] + names[:start]
