"""The tier's status as a control process knows it, for the operator API (`GET /api/Status`).

Invariant: the status is built from heartbeats and applied commands that this process already holds; a request
changes nothing and waits for no other process.  The figures of another process are as old as its last
heartbeat (`SilentS`, seconds).  The keys of the objects are part of the API.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from ..discovery.messages import Backend, BackendState
from .fault_tolerance import Losses, survived_losses
from .messages import Member, ShardPlacement, ShardReport
from .placement import ANY_SPREAD, Spread
from .table import LIVENESS_TIMEOUT_S, HeartbeatAge, MemberTable

AGE_DIGITS = 2  # decimals of `SilentS`

STATE_NAMES = {BackendState.READY: "Ready", BackendState.DRAINING: "Draining", BackendState.DEPARTED: "Gone"}


@attrs.frozen
class DesiredShards:
    """Placements and retiring nodes, as recorded in the configuration shard, and what groups must be like.

    Size and spread are by the settings of the responding process and the disks that it knows.
    """

    placements: tuple[ShardPlacement, ...]
    retiring: tuple[str, ...]  # nodes whose replicas are to be moved away
    group_size: int  # voters that each group needs
    spread: Spread = ANY_SPREAD


def status(
    responder: Member,
    in_contact: bool,
    config_version: int,
    table: MemberTable,
    desired: DesiredShards,
    backends: Iterable[Backend],
    now: float,
) -> dict[str, Any]:
    """Returns the response of the process `responder`; `in_contact`: with the configuration shard's owner."""
    ages = [attrs.evolve(age, seconds=round(age.seconds, AGE_DIGITS)) for age in table.heartbeat_ages(now)]
    return {
        "Node": responder.node,
        "Address": responder.address,
        "InTouch": in_contact,
        "ConfigVersion": config_version,
        "Processes": [_process(age) for age in ages],
        "VotersNeeded": desired.group_size,
        "Tolerate": _losses(desired.spread.tolerance.losses),
        "Shards": _shards(ages, table.reports(), desired),
        "Retiring": list(desired.retiring),
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
        "Live": age.seconds <= LIVENESS_TIMEOUT_S,
        "Leaving": heartbeat.leaving,
        "ConfigVersion": heartbeat.config_version,
    }


def _losses(losses: Losses) -> dict[str, int]:
    return {"Nodes": losses.nodes, "Zones": losses.zones, "Regions": losses.regions}


def _shards(
    ages: list[HeartbeatAge], latest: dict[str, ShardReport], desired: DesiredShards
) -> list[dict[str, Any]]:
    wanted = {placement.shard: list(placement.voters) for placement in desired.placements}
    names = sorted(latest.keys() | wanted.keys())
    return [_shard(name, latest.get(name), wanted.get(name), ages, desired.spread) for name in names]


def _shard(
    name: str,
    latest: ShardReport | None,
    wanted: list[str] | None,
    ages: list[HeartbeatAge],
    spread: Spread,
) -> dict[str, Any]:
    """Returns one shard's status; `Wanted` is None for the configuration shard, which has no placement."""
    commit_index = latest.commit_index if latest else 0
    voters = list(latest.voters) if latest else []
    return {
        "Shard": name,
        "Epoch": latest.epoch if latest else 0,
        "Owner": latest.owner if latest else "",
        "Voters": voters,
        "Survives": _losses(survived_losses(spread.zones(voters), spread.tolerance)),
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
    """Returns one replica's status; `Lag` counts committed commands not applied at its last heartbeat."""
    return {
        "Replica": report.replica,
        "Epoch": report.epoch,
        "AppliedIndex": report.applied_index,
        "Lag": max(0, commit_index - report.applied_index),
        "SilentS": age_s,
        "Live": age_s <= LIVENESS_TIMEOUT_S,
    }


def _backends(backends: Iterable[Backend]) -> dict[str, dict[str, int]]:
    """Returns how many backends of each service are in each state."""
    services: dict[str, dict[str, int]] = {}
    for backend in backends:
        if backend.service:
            counts = services.setdefault(backend.service, dict.fromkeys(STATE_NAMES.values(), 0))
            counts[STATE_NAMES[BackendState(backend.state)]] += 1
    return dict(sorted(services.items()))
