"""What a control process knows of the tier, as the operator's API returns it (`GET /api/Status`).

Invariant: everything here comes from heartbeats and applied commands that this process already holds; a
request changes nothing and waits for nobody.  Figures of other processes are as old as their last heartbeat
(`SilentS`, seconds).  The keys of the objects are part of the API.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from ..discovery.messages import Backend, BackendState
from .messages import Member, ShardPlacement, ShardReport
from .table import LIVE_S, HeartbeatAge, MemberTable

AGE_DIGITS = 2  # decimals of `SilentS`

STATE_NAMES = {BackendState.READY: "Ready", BackendState.DRAINING: "Draining", BackendState.DEPARTED: "Gone"}


@attrs.frozen
class DesiredShards:
    """What the configuration's shard says of the others."""

    placements: tuple[ShardPlacement, ...]
    retiring: tuple[str, ...]  # nodes to be emptied


def status(
    answering: Member,
    in_contact: bool,
    config_version: int,
    table: MemberTable,
    wanted: DesiredShards,
    backends: Iterable[Backend],
    now: float,
) -> dict[str, Any]:
    """The complete answer of the process `answering`; `in_contact`: with the configuration's owner."""
    ages = [attrs.evolve(age, seconds=round(age.seconds, AGE_DIGITS)) for age in table.heartbeat_ages(now)]
    return {
        "Node": answering.node,
        "Address": answering.address,
        "InTouch": in_contact,
        "ConfigVersion": config_version,
        "Processes": [_process(age) for age in ages],
        "Shards": _shards(ages, table.reports(), wanted.placements),
        "Retiring": list(wanted.retiring),
        "Backends": _backends(backends),
    }


def _process(age: HeartbeatAge) -> dict[str, Any]:
    heartbeat = age.heartbeat
    member = heartbeat.member
    return {
        "Node": member.node,
        "Role": member.role,
        "Zone": member.zone,
        "Address": member.address,
        "Replica": member.replica,
        "Incarnation": member.incarnation,
        "SilentS": age.seconds,
        "Live": age.seconds <= LIVE_S,
        "Leaving": heartbeat.leaving,
        "ConfigVersion": heartbeat.config_version,
    }


def _shards(
    ages: list[HeartbeatAge],
    best: dict[str, ShardReport],
    placements: tuple[ShardPlacement, ...],
) -> list[dict[str, Any]]:
    wanted = {placed.shard: list(placed.voters) for placed in placements}
    names = sorted(best.keys() | wanted.keys())
    return [_shard(name, best.get(name), wanted.get(name), ages) for name in names]


def _shard(
    name: str, best: ShardReport | None, wanted: list[str] | None, ages: list[HeartbeatAge]
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
            _replica(report, age.seconds, commit_index)
            for age in ages
            for report in age.heartbeat.shards
            if report.shard == name
        ],
    }


def _replica(report: ShardReport, age_s: float, commit_index: int) -> dict[str, Any]:
    """`Lag`: committed commands that the replica had not applied at its last heartbeat."""
    return {
        "Replica": report.replica,
        "Epoch": report.epoch,
        "AppliedIndex": report.applied_index,
        "Lag": max(0, commit_index - report.applied_index),
        "SilentS": age_s,
        "Live": age_s <= LIVE_S,
    }


def _backends(backends: Iterable[Backend]) -> dict[str, dict[str, int]]:
    """How many backends of each service are in each state."""
    services: dict[str, dict[str, int]] = {}
    for backend in backends:
        if backend.service:
            counts = services.setdefault(backend.service, dict.fromkeys(STATE_NAMES.values(), 0))
            counts[STATE_NAMES[BackendState(backend.state)]] += 1
    return dict(sorted(services.items()))
