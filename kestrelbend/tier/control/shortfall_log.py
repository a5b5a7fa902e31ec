"""Logs which shards survive fewer losses than the settings tolerate, at the owner of the configuration.

The same is told of the control nodes: they alone hold the reports of backends that leave.  A line is written
when something has fallen short for `GRACE_S`, the time in which a group forms, grows or spreads, at each
further change, and once it falls short no more.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Protocol

import attrs

from ..membership.fault_tolerance import Losses, Tolerance, find_shortfalls, survived_losses
from ..membership.messages import ShardReport
from ..membership.placement import CONFIGURATION_SHARD, Spread, budget_shards

GRACE_S = 6.0
CONTROL_NODES = "control nodes"


class Log(Protocol):
    """The part of a logger used here."""

    def warning(self, message: str, /, *values: Any) -> None:
        """Writes a line that a person may have to act on."""

    def info(self, message: str, /, *values: Any) -> None:
        """Writes a line that nobody has to act on."""


def voters_by_shard(
    configuration_voters: Sequence[str], reports: Mapping[str, ShardReport]
) -> dict[str, Sequence[str]]:
    """Returns the voters of each shard that there should be; none for one that is not placed."""
    budgets = {shard: reports[shard].voters if shard in reports else () for shard in budget_shards()}
    return {CONFIGURATION_SHARD: configuration_voters, **budgets}


def group_shortfalls(voters: Mapping[str, Sequence[str]], size: int, spread: Spread) -> dict[str, str]:
    """Returns what falls short of each shard whose group survives too few losses."""
    found = {}
    for shard, replicas in voters.items():
        zones = spread.zones(replicas)
        shortfalls = find_shortfalls(survived_losses(zones, spread.tolerance), spread.tolerance.losses)
        if shortfalls:
            held = f"{len(zones)} voters, {size} needed"
            stand = f"voters in {', '.join(sorted(zones))}"
            told = "; ".join(map(str, shortfalls))
            found[shard] = f"{held if len(zones) < size else stand}: {told}"
    return found


def control_shortfall(control_zones: Iterable[str], tolerance: Tolerance) -> dict[str, str]:
    """Returns what falls short where no control node would be left after the loss of zones or regions.

    What is lost with the last of them are the reports of backends that leave.
    """
    zones = set(control_zones)
    regions = set(tolerance.regions(zones))
    survived = Losses(tolerance.losses.nodes, max(0, len(zones) - 1), max(0, len(regions) - 1))
    shortfalls = find_shortfalls(survived, tolerance.losses)
    if not shortfalls:
        return {}
    return {CONTROL_NODES: f"only in {', '.join(sorted(zones))}: {'; '.join(map(str, shortfalls))}"}


@attrs.define
class _Observed:
    since: float  # in seconds
    logged: str | None = None


class ShortfallLog:
    """What falls short, as this owner last saw it, by shard; times are in seconds."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self._observed: dict[str, _Observed] = {}

    def forget(self) -> None:
        """Another node owns the configuration's shard now, and logs in place of this one."""
        self._observed.clear()

    def observe(self, shortfalls: Mapping[str, str], now: float) -> None:
        """Logs what has changed."""
        for subject, text in shortfalls.items():
            self._observe(subject, text, now)
        for subject in [subject for subject in self._observed if subject not in shortfalls]:
            if self._observed.pop(subject).logged is not None:
                self._log.info("{}: survives the tolerated losses", subject)

    def _observe(self, subject: str, text: str, now: float) -> None:
        observed = self._observed.setdefault(subject, _Observed(now))
        if now - observed.since < GRACE_S or observed.logged == text:
            return
        observed.logged = text
        self._log.warning("{}: {}", subject, text)
