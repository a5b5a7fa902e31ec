"""Logs which shards have fewer voters than the tolerated losses ask for, at the owner of the configuration.

A line is written when a shard's group has been too small for `GRACE_S`, the time in which it forms or grows,
at each further change of its size, and once it is complete.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Protocol

import attrs

from ..membership.fault_tolerance import tolerated_losses
from ..membership.messages import ShardReport
from ..membership.placement import CONFIGURATION_SHARD, budget_shards

GRACE_S = 6.0


class Log(Protocol):
    """The part of a logger used here."""

    def warning(self, message: str, /, *values: Any) -> None:
        """Writes a line that a person may have to act on."""

    def info(self, message: str, /, *values: Any) -> None:
        """Writes a line that nobody has to act on."""


@attrs.define
class _SmallGroup:
    since: float  # in seconds
    logged_size: int | None = None


def voter_counts(configuration_voters: int, reports: Mapping[str, ShardReport]) -> dict[str, int]:
    """Returns the number of voters of each shard that there should be; 0 for one that is not placed."""
    budgets = {shard: len(reports[shard].voters) if shard in reports else 0 for shard in budget_shards()}
    return {CONFIGURATION_SHARD: configuration_voters, **budgets}


class GroupSizes:
    """The shards whose groups are too small, as this owner last saw them; times are in seconds."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self._small: dict[str, _SmallGroup] = {}

    def forget(self) -> None:
        """Another node owns the configuration's shard now, and logs in place of this one."""
        self._small.clear()

    def observe(self, voters: Mapping[str, int], needed: int, now: float) -> None:
        """Logs what has changed, given the number of voters of each shard."""
        for shard, count in voters.items():
            if count < needed:
                self._observe_small(shard, count, needed, now)
        self._observe_complete([shard for shard in self._small if voters.get(shard, needed) >= needed])

    def _observe_small(self, shard: str, count: int, needed: int, now: float) -> None:
        small = self._small.setdefault(shard, _SmallGroup(now))
        if now - small.since < GRACE_S or small.logged_size == count:
            return
        small.logged_size = count
        self._log.warning(
            "{}: {} voters, {} needed: {} of its nodes may be lost, not {}",
            shard,
            count,
            needed,
            tolerated_losses(count),
            tolerated_losses(needed),
        )

    def _observe_complete(self, shards: Iterable[str]) -> None:
        for shard in shards:
            if self._small.pop(shard).logged_size is not None:
                self._log.info("{}: as many voters as needed", shard)
