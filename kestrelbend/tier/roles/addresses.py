"""Where the processes of a machine are found: one internal port for each role, from `PortRange` on."""

from __future__ import annotations

from .settings import Settings

CONTROL_PORT = 0  # offsets into the free ports of a machine
GATEWAY_PORT = 1
STORE_PORT = 2


def internal_address(settings: Settings, port_offset: int) -> str:
    """The address at which a process of the settings' machine takes connections of the tier."""
    return f"{settings.ip}:{settings.port_range[0] + port_offset}"


def seed_addresses(settings: Settings) -> list[str]:
    """The internal addresses of the control processes that the settings name; all use one port range."""
    port = settings.port_range[0] + CONTROL_PORT
    return [f"{seed.rsplit(':', 1)[0]}:{port}" for seed in settings.seeds]
