"""Starting one role of the tier; imports nothing that the role does not need.

serve_role: log -> settings (exit status 2 where they are wrong) -> the role's class -> `TierProcess.run`
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from typing import TYPE_CHECKING

import logbook

from .settings import Settings, SettingsError

if TYPE_CHECKING:
    from .process import TierProcess

SETTINGS_VARIABLE = "KESTRELBEND_SETTINGS"
WRONG_SETTINGS = 2  # the exit status
COLLECT_AFTER = 50_000  # allocations between collections of garbage: few cycles are made here


def settings_path() -> str:
    """Where the platform says that the settings file is."""
    return os.environ.get(SETTINGS_VARIABLE, "/etc/kestrelbend/boot.yaml")


def serve_role(role: str) -> int:
    """Runs one role until SIGTERM; returns the exit code."""
    handler = logbook.StreamHandler(sys.stderr, level=os.environ.get("KESTRELBEND_LOG", "INFO"))
    handler.format_string = "{record.level_name} {record.channel}: {record.message}"
    handler.push_application()
    path = settings_path()
    try:
        settings = Settings.read(path)
    except SettingsError as fault:
        print(fault, file=sys.stderr)
        return WRONG_SETTINGS
    process_class = load_role(role)
    if process_class.holds_replicas and not settings.data_dir:
        print(f"{path}: DataDir: is missing: a {role} process keeps replicas on a disk", file=sys.stderr)
        return WRONG_SETTINGS
    asyncio.run(_run(process_class, settings, path))
    return 0


async def _run(process_class: type[TierProcess], settings: Settings, path: str) -> None:
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER)
    await process_class(settings, path).run()


def load_role(role: str) -> type[TierProcess]:
    """The class of a role; only what the role needs is imported."""
    if role == "gateway":
        from .gateway import GatewayProcess

        return GatewayProcess
    if role == "control":
        from .control import ControlProcess

        return ControlProcess
    from .store import StoreProcess

    return StoreProcess
