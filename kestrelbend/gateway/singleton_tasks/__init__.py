"""Singleton tasks: work that one gateway does for all, distributed over the live gateways.

`rendezvous` assigns tasks to members, `probing` distributes the probes of backends that warm up, `leases`
protects tasks that must never have two owners at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


def probes_shared(settings: Mapping[str, Any], allowed: bool) -> bool:
    """Whether probes of warming-up backends are singleton tasks, which a gateway runs only as their owner."""
    return bool(allowed and settings["may_probe"] and settings["load_reports"] == "probe")
