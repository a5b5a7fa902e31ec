"""The verb `check`: everything that is wrong with a file, each fault with its place."""

from __future__ import annotations

import enum
from collections.abc import Callable
from pathlib import Path
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from .outcome import DONE, wrong
from .reading import read
from .verb import Verb, file_argument


class Kind(enum.Enum):
    """What a file to check states."""

    INSTALLATION = "installation"
    PLATFORM = "platform"
    SCENARIO = "scenario"
    LOAD = "load"
    EXPERIMENT = "experiment"
    BOOT = "boot"
    DOCUMENT = "document"
    DAY = "day"


KINDS = ", ".join(kind.value for kind in Kind)


class CheckVerb(Verb):
    """Checks one file."""

    name = "check"
    description = "Say everything that is wrong with a file, each fault with its place."
    arguments: ClassVar[list[Argument]] = [file_argument("The file to check.")]
    options: ClassVar[list[Option]] = [option("kind", None, f"What the file states: {KINDS}.", flag=False)]

    def handle(self) -> int:
        """Print every fault of the file with its place; exit code 2 where there is one."""
        path = self.existing_path()
        kind = self._kind() or guess(path)
        notes = CHECKS[kind](path) or []
        self.say(f"{path}: a usable {kind.value} file")
        for note in notes:
            self.say(f"{path}: {note}")
        return DONE

    def _kind(self) -> Kind | None:
        named = self.option("kind")
        if named is None:
            return None
        try:
            return Kind(named)
        except ValueError:
            raise wrong(f"--kind: '{named}' is not one of {KINDS}") from None


def guess(path: Path) -> Kind:
    """By what only one kind of file has."""
    if path.suffix in (".yaml", ".yml"):
        return Kind.BOOT
    text = path.read_text(encoding="utf-8", errors="replace")
    if path.suffix == ".json":
        return Kind.DOCUMENT if '"Routes"' in text or '"Services"' in text else Kind.PLATFORM
    if "[[variants]]" in text or "\nscenarios" in f"\n{text}":
        return Kind.EXPERIMENT
    if "\nfaults =" in f"\n{text}" or "[[faults]]" in text:
        return Kind.DAY
    if "[[phases]]" in text:
        return Kind.LOAD
    return Kind.INSTALLATION if "\nlisten" in f"\n{text}" else Kind.SCENARIO


def check_installation(path: Path) -> None:
    """What a gateway outside the platform is told."""
    from kestrelbend.gateway.settings.installation import Installation

    read(path, Installation)


def check_platform(path: Path) -> None:
    """What the platform tells a gateway."""
    from kestrelbend.gateway.net.configuration import read as read_platform
    from kestrelbend.gateway.settings.platform import Malformed

    try:
        read_platform({"ROUTER_CONFIG": str(path)})
    except Malformed as trouble:
        raise wrong(f"{path}: {trouble}") from None


def check_scenario(path: Path) -> None:
    """A world of the laboratory."""
    from kestrelbend.lab.scenario import Scenario

    read(path, Scenario)


def check_load(path: Path) -> None:
    """What the load tool sends."""
    from kestrelbend.lab.load import Load

    read(path, Load)


def check_experiment(path: Path) -> None:
    """Scenarios, seeds and variants."""
    from kestrelbend.gateway.settings.toml_files import InvalidFile
    from kestrelbend.lab import experiment

    try:
        experiment.load(path)
    except InvalidFile as faults:
        raise wrong(faults) from None


def check_boot(path: Path) -> list[str]:
    """The settings file of a process of the tier; returns what a usable file asks for in vain."""
    from kestrelbend.tier.roles.layout_check import find_impossible_figures
    from kestrelbend.tier.roles.settings import Settings, SettingsError

    try:
        settings = Settings.read(path)
    except SettingsError as faults:
        raise wrong(faults) from None
    return find_impossible_figures(settings)


def check_document(path: Path) -> None:
    """A whole configuration, as an operator puts it to the tier."""
    from kestrelbend.tier.configuration.checks import find_document_errors

    faults = find_document_errors(path.read_bytes())
    if faults:
        raise wrong("\n".join(f"{path}: {fault.reason}" for fault in faults))


def check_day(path: Path) -> None:
    """Troubles at set times."""
    from .day_file import DayFault, read_day

    try:
        read_day(path)
    except DayFault as fault:
        raise wrong(f"{path}: {fault}") from None


CHECKS: dict[Kind, Callable[[Path], list[str] | None]] = {
    Kind.INSTALLATION: check_installation,
    Kind.PLATFORM: check_platform,
    Kind.SCENARIO: check_scenario,
    Kind.LOAD: check_load,
    Kind.EXPERIMENT: check_experiment,
    Kind.BOOT: check_boot,
    Kind.DOCUMENT: check_document,
    Kind.DAY: check_day,
}
