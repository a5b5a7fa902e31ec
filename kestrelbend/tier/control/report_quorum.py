"""How many control nodes must hold a backend's report that it is draining or has ended.

Control nodes keep these reports in memory and bring each other up to date when they connect.  Stores that
vote in the configuration's shard hold no reports, so they do not count.

Invariant: one of the holders remains after the tolerated losses, be they nodes, zones or regions.  Control
nodes that are not live count among these losses; once they are back, the remaining holders have told them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

import attrs

from ..membership.fault_tolerance import Tolerance
from ..replication.group import has_quorum
from ..replication.messages import ReplicaId


@attrs.frozen
class ControlReplicas:
    """Replicas of control nodes: those that vote in the configuration's shard, and those that are live."""

    voting: tuple[ReplicaId, ...]
    live: Collection[ReplicaId]
    zone_of: Mapping[ReplicaId, str]  # of those that are live


def is_held_by_enough(
    controls: ControlReplicas, is_holder: Callable[[ReplicaId], bool], tolerance: Tolerance
) -> bool:
    """Whether a majority of the voting control nodes holds a report, and more nodes than may be lost.

    These must stand in more zones and more regions than may be lost, too.  Where fewer control nodes, or
    zones or regions with control nodes, are live, all of these must hold it.
    """
    holders = [replica for replica in controls.live if is_holder(replica)]
    live_zones = [controls.zone_of[replica] for replica in controls.live]
    holder_zones = [controls.zone_of[replica] for replica in holders]
    losses = tolerance.losses
    return (
        _are_enough(holders, controls.live, losses.nodes)
        and _are_enough(holder_zones, live_zones, losses.zones)
        and _are_enough(tolerance.regions(holder_zones), tolerance.regions(live_zones), losses.regions)
        and has_quorum(controls.voting, is_holder)
    )


def _are_enough(holding: Collection[str], live: Collection[str], tolerated: int) -> bool:
    """Whether more different ones hold it than may be lost, or all that are live."""
    return len(set(holding)) >= min(tolerated + 1, len(set(live)))
