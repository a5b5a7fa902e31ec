"""Where machines are, and whom the platform lists as control nodes."""

from __future__ import annotations

import attrs

ZONES = ("zone-1", "zone-2", "zone-3")  # where backends are
ALL_ZONES = (*ZONES, "zone-4", "zone-5", "zone-6")
ONE_REGION = dict.fromkeys(ZONES, "region")
IN_ZONE_S = 0.0001  # one way
IN_MACHINE_S = IN_ZONE_S / 5
BETWEEN_ZONES_S = 0.0005
SEED_LAG_S = 3.0  # SeedLagS: until callers know a change of the control addresses


class Topology:
    """The zone of each IP address, and the delay from one to another."""

    def __init__(self) -> None:
        self._zone_of: dict[str, str] = {}

    def add(self, ip: str, zone: str) -> None:
        """A machine's address is in a zone from now on."""
        self._zone_of[ip] = zone

    def distance(self, source: str, target: str) -> float:
        """Seconds of one way for a packet; callers outside are in a zone of their own."""
        if source == target:
            return IN_MACHINE_S
        same = self._zone_of.get(source) == self._zone_of.get(target)
        return IN_ZONE_S if same else BETWEEN_ZONES_S


@attrs.frozen
class _Listed:
    """The control addresses as the platform lists them from `at` on, in seconds of the loop."""

    at: float
    addresses: tuple[str, ...]


class PublishedAddresses:
    """The platform's list of control addresses, which its callers know `SeedLagS` late."""

    def __init__(self) -> None:
        self._listed: list[_Listed] = []

    def publish(self, now: float, addresses: tuple[str, ...]) -> None:
        """The list changes."""
        self._listed.append(_Listed(now, addresses))

    def known(self, now: float) -> tuple[str, ...]:
        """The list as callers know it now; the first one is known at once."""
        known = self._listed[0]
        for listed in self._listed:
            if listed.at <= now - SEED_LAG_S:
                known = listed
        return known.addresses
