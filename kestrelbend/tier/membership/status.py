"""What a control process knows of the whole tier, as the operator's API tells it (`GET /api/Status`).

Invariant: everything here is told from heartbeats and applied commands that this process already holds;
asking changes nothing and waits for nobody.  Figures of other processes are as old as their last heartbeat
(`SilentS`).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from ..discovery.messages import Backend, BackendState
from .messages import Heartbeat, Member, ShardPlacement, ShardReport
from .table import LIVE_S, MemberTable

STATE_NAMES = {BackendState.READY: "Ready", BackendState.DRAINING: "Draining", BackendState.DEPARTED: "Gone"}


@attrs.frozen
class ShardsWanted:
    """What the configuration's shard says of the others."""

    placements: tuple[ShardPlacement, ...]
    retiring: tuple[str, ...]


def status(
    asked: Member,
    in_touch: bool,
    config_version: int,
    table: MemberTable,
    wanted: ShardsWanted,
    backends: Iterable[Backend],
    now: float,
) -> dict[str, Any]:
    """The whole answer; `in_touch`: whether `asked` hears from the configuration's owner or a majority."""
    heard = [(heartbeat, round(silence, 2)) for heartbeat, silence in table.silences(now)]
    return {
        "Node": asked.node,
        "Address": asked.address,
        "InTouch": in_touch,
        "ConfigVersion": config_version,
        "Processes": [_process(heartbeat, silence) for heartbeat, silence in heard],
        "Shards": _shards(heard, table.reports(), wanted.placements),
        "Retiring": list(wanted.retiring),
        "Backends": _backends(backends),
    }


def _process(heartbeat: Heartbeat, silence: float) -> dict[str, Any]:
    member = heartbeat.member
    return {
        "Node": member.node,
        "Role": member.role,
        "Zone": member.zone,
        "Address": member.address,
        "Replica": member.replica,
        "Incarnation": member.incarnation,
        "SilentS": silence,
        "Live": silence <= LIVE_S,
        "Leaving": heartbeat.leaving,
        "ConfigVersion": heartbeat.config_version,
    }


def _shards(
    heard: list[tuple[Heartbeat, float]],
    best: dict[str, ShardReport],
    placements: tuple[ShardPlacement, ...],
) -> list[dict[str, Any]]:
    wanted = {placed.shard: list(placed.voters) for placed in placements}
    return [
        _shard(name, best.get(name), wanted.get(name), heard) for name in sorted(best.keys() | wanted.keys())
    ]


def _shard(
    name: str, best: ShardReport | None, wanted: list[str] | None, heard: list[tuple[Heartbeat, float]]
) -> dict[str, Any]:
    """One shard by its best report; `Wanted` is None for the configuration's own, which nobody places."""
    commit_index = best.commit_index if best else 0
    return {
        "Shard": name,
        "Epoch": best.epoch if best else 0,
        "Owner": best.owner if best else "",
        "Voters": list(best.voters) if best else [],
        "Wanted": wanted,
        "CommitIndex": commit_index,
        "Replicas": [
            _replica(report, silence, commit_index)
            for heartbeat, silence in heard
            for report in heartbeat.shards
            if report.shard == name
        ],
    }


def _replica(report: ShardReport, silence: float, commit_index: int) -> dict[str, Any]:
    """`Lag`: committed commands that the replica had not applied at its last heartbeat."""
    return {
        "Replica": report.replica,
        "Epoch": report.epoch,
        "AppliedIndex": report.applied_index,
        "Lag": max(0, commit_index - report.applied_index),
        "SilentS": silence,
        "Live": silence <= LIVE_S,
    }


def _backends(backends: Iterable[Backend]) -> dict[str, dict[str, int]]:
    """How many backends of each service are in each state."""
    services: dict[str, dict[str, int]] = {}
    for backend in backends:
        if backend.service:
            counts = services.setdefault(backend.service, dict.fromkeys(STATE_NAMES.values(), 0))
            counts[STATE_NAMES[BackendState(backend.state)]] += 1
    return dict(sorted(services.items()))
