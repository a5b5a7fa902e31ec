"""The command line of the tier's processes."""

from __future__ import annotations

import asyncio
import gc
import os
import sys

import logbook
from cleo.application import Application
from cleo.commands.command import Command
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from .settings import Settings, SettingsError

SETTINGS_VARIABLE = "KESTRELBEND_SETTINGS"
WRONG_SETTINGS = 2
COLLECT_AFTER = 50_000  # allocations between collections of garbage: few cycles are made here


def settings_path() -> str:
    """Where the platform says that the settings file is."""
    return os.environ.get(SETTINGS_VARIABLE, "/etc/kestrelbend/boot.yaml")


def serve(process_class_name: str) -> int:
    """Runs one role until SIGTERM."""
    handler = logbook.StreamHandler(sys.stderr, level=os.environ.get("KESTRELBEND_LOG", "INFO"))
    handler.format_string = "{record.level_name} {record.channel}: {record.message}"
    handler.push_application()
    path = settings_path()
    try:
        settings = Settings.read(path)
    except SettingsError as fault:
        print(fault, file=sys.stderr)
        return WRONG_SETTINGS
    asyncio.run(_run(process_class_name, settings, path))
    return 0


async def _run(role: str, settings: Settings, path: str) -> None:
    process_class = load_role(role)
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER)
    await process_class(settings, path).run()


def load_role(role: str):
    """The class of a role; only what the role needs is imported."""
    if role == "gateway":
        from .gateway import GatewayProcess

        return GatewayProcess
    if role == "control":
        from .control import ControlProcess

        return ControlProcess
    from .store import StoreProcess

    return StoreProcess


class _RoleCommand(Command):
    """Serves one role of the tier until SIGTERM."""

    def handle(self) -> int:
        return serve(self.name)


class GatewayCommand(_RoleCommand):
    name = "gateway"
    description = "Serve clients: the data plane of the tier."


class ControlCommand(_RoleCommand):
    name = "control"
    description = "Keep the configuration and the list of backends; serve the operator."


class StoreCommand(_RoleCommand):
    name = "store"
    description = "Keep programs' budgets."


def _fleet_command() -> Command:
    """The search on the fleet in memory; serving processes don't load it."""
    from ..fleet.command import FleetCommand

    return FleetCommand()


def main() -> int:
    """The entry point of `python -m kestrelbend.tier`."""
    application = Application("kestrelbend")
    for command in (GatewayCommand, ControlCommand, StoreCommand):
        application.add(command())
    application.set_command_loader(FactoryCommandLoader({"fleet": _fleet_command}))
    return application.run()
