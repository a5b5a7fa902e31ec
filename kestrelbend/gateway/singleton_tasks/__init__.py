"""Singleton tasks: work that one gateway does for all, assigned over those that live.

`rendezvous` assigns tasks to members, `probing` is the task of probing backends that warm up, `leases`
are for tasks that two owners at once would spoil.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


def probes_shared(settings: Mapping[str, Any], allowed: bool) -> bool:
    """Whether probes of backends that warm up are singleton tasks: then a gateway probes none by itself."""
    return bool(allowed and settings["may_probe"] and settings["load_reports"] == "probe")
