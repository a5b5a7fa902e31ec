"""Figures of `Tolerate` that no placement of replicas can keep, judged by the zones of the settings."""

from __future__ import annotations

from .settings import Settings


def find_impossible_figures(settings: Settings) -> list[str]:
    """Returns a line for each figure that the named zones and regions are too few for.

    Nothing is told of a figure for nodes: the settings don't say how many there are.
    """
    zones = settings.zones.keys() | {settings.zone}
    regions = set(settings.tolerance.regions(zones))
    figures = (
        ("Zones", settings.tolerate_zones, len(zones)),
        ("Regions", settings.tolerate_regions, len(regions)),
    )
    return [
        f"Tolerate.{name}: {figure} cannot be kept: {2 * figure + 1} {name.lower()} are needed, "
        f"the settings name {count}"
        for name, figure, count in figures
        if figure and count < 2 * figure + 1
    ]
