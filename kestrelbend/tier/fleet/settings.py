"""Settings files as the platform writes them."""

from __future__ import annotations

import attrs

from ..membership.fault_tolerance import Tolerance
from ..roles.settings import Bounds, Settings

FRONT_PORT = 8149
READY_PORT = 8141
CONTROL_PORT = 8144
PORT_RANGE = (7380, 7395)
ROLES_SERVE = {"gateway": ("front",), "control": ("control",), "store": ("storage",)}


@attrs.frozen
class MachineSpec:
    """Where a machine is and what it has, by the platform."""

    node: str
    machine_class: str  # "front" or "storage"
    zone: str
    ip: str
    has_disk: bool

    @property
    def control_address(self) -> str:
        """Where its control process would serve."""
        return f"{self.ip}:{CONTROL_PORT}"


def make_settings(
    spec: MachineSpec,
    role: str,
    seeds: tuple[str, ...],
    bootstrap: bool,
    tolerance: Tolerance,
) -> Settings:
    """The settings file of a role's process on a machine."""
    serves = ROLES_SERVE[role]
    return Settings(
        node=spec.node,
        role=role,
        machine_class=spec.machine_class,
        serves=serves,
        ip=spec.ip,
        zone=spec.zone,
        region=tolerance.region_of_zone[spec.zone],
        zones=dict(tolerance.region_of_zone),
        listen_clients=f"{spec.ip}:{FRONT_PORT}" if "front" in serves else "",
        listen_ready=f"{spec.ip}:{READY_PORT}" if "front" in serves else "",
        listen_control=f"{spec.ip}:{CONTROL_PORT}" if "control" in serves else "",
        port_range=PORT_RANGE,
        seeds=seeds,
        bootstrap=bootstrap,
        counts_for_quorum=spec.has_disk,
        cpu_share=1.0,
        cores=2,
        ram_mb=300,
        max_fds=4100,
        link_mbps=1000.0,
        disk_mb=(64 if spec.machine_class == "front" else 260) if spec.has_disk else 0,
        data_dir=f"/data/{role}" if spec.has_disk else "",
        heartbeat_ms=1200,
        contracts=(),
        tolerate_nodes=tolerance.losses.nodes,
        tolerate_zones=tolerance.losses.zones,
        tolerate_regions=tolerance.losses.regions,
        bounds=Bounds(),
    )
