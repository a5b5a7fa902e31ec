"""Deployments that days are played on: how many machines there are, where, and which losses are tolerated."""

from __future__ import annotations

from ..membership.fault_tolerance import Losses
from .fleet import Size
from .topology import ALL_ZONES

DEFAULT_SHAPE = "one-loss"
TWO_NODES = Losses(nodes=2)
ONE_ZONE = Losses(zones=1)
TWO_ZONES = Losses(zones=2)
FIVE_ZONES = ALL_ZONES[:5]
THREE_REGIONS = {zone: f"region-{number // 2 + 1}" for number, zone in enumerate(ALL_ZONES)}

SHAPES = {
    DEFAULT_SHAPE: Size(),
    "two-losses-three-control": Size(control=3, stores=5, tolerated=TWO_NODES),
    "two-losses-four-control": Size(control=4, stores=5, tolerated=TWO_NODES),
    "two-losses-five-control": Size(control=5, stores=5, tolerated=TWO_NODES),
    "one-zone": Size(tolerated=ONE_ZONE),
    "one-zone-founders-together": Size(
        control=5,
        tolerated=Losses(nodes=1, zones=1),
        control_zones=("zone-1", "zone-1", "zone-1", "zone-2", "zone-3"),
    ),
    "one-zone-of-unequal-ones": Size(
        control=5,
        stores=6,
        tolerated=ONE_ZONE,
        control_zones=("zone-1", "zone-2", "zone-1", "zone-1", "zone-2"),
        store_zones=("zone-1", "zone-1", "zone-1", "zone-1", "zone-2", "zone-3"),
    ),
    "two-zones": Size(
        control=5, stores=5, tolerated=TWO_ZONES, control_zones=FIVE_ZONES, store_zones=FIVE_ZONES,
        region_of_zone=dict.fromkeys(FIVE_ZONES, "region"),
    ),
    "nodes-zone-and-region": Size(
        control=6, stores=6, tolerated=Losses(nodes=2, zones=1, regions=1), control_zones=ALL_ZONES,
        store_zones=ALL_ZONES, region_of_zone=THREE_REGIONS,
    ),
}  # fmt: skip
