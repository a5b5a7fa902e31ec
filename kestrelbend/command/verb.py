"""What all verbs share: plain output, and the values of arguments and options, checked.

Invariant: a value that a verb gets from here is of its type and within its bounds; all else ends the command
with exit code 2 and a line that names the word concerned.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from .outcome import wrong


def file_argument(description: str = "A TOML file.", name: str = "path") -> Argument:
    """A file that must exist."""
    return argument(name, description)


def seed_option() -> Option:
    """`--seed N`."""
    return option("seed", None, "In place of the file's.", flag=False)


def results_option() -> Option:
    """`--out FILE`."""
    return option("out", "o", "Where the result goes, as JSON lines.", flag=False)


def switch_options(name: str, description: str) -> list[Option]:
    """`--name` and `--no-name`."""
    return [option(name, None, description), option(f"no-{name}", None, f"Not --{name}.")]


class Verb(Command):
    """One verb of the command line."""

    def say(self, text: object) -> None:
        """A line on standard output, as it is."""
        self.io.write_line(str(text), type=Type.RAW)

    def say_error(self, text: object) -> None:
        """A line on standard error, as it is."""
        self.io.write_error_line(str(text), type=Type.RAW)

    def existing_path(self, name: str = "path", folders: bool = False) -> Path:
        """The file that an argument names; it exists."""
        path = Path(self.argument(name))
        if not path.exists():
            raise wrong(f"{name}: file '{path}' does not exist")
        if path.is_dir() and not folders:
            raise wrong(f"{name}: '{path}' is a folder")
        return path

    def path_option(self, name: str) -> Path | None:
        """The path that an option names, or None."""
        value = self.option(name)
        return None if value is None else Path(value)

    def guard_taken_out(self) -> AbstractContextManager[None]:
        """Without the guard that `--without` names, for as long as the context lasts; else as it is."""
        from kestrelbend.tier.fleet import mutations  # noqa: F401  (fills the registry)
        from kestrelbend.tier.fleet.guards import UnknownGuard, find, without

        name = self.option("without")
        if name is None:
            return nullcontext()
        try:
            find(name)
        except UnknownGuard as error:
            raise wrong(f"--without: {error}") from None
        return without(name)

    def whole_option(self, name: str, least: int | None = None) -> int | None:
        """The whole number that an option gives, or None."""
        value = self.option(name)
        return None if value is None else _number(int, f"--{name}", value, least, None)

    def number_option(self, name: str, least: float, most: float) -> float:
        """The number that an option gives, within its bounds."""
        return _number(float, f"--{name}", self.option(name), least, most)

    def whole_argument(self, name: str, least: int, most: int) -> int:
        """The whole number that an argument gives, within its bounds."""
        return _number(int, name, self.argument(name), least, most)

    def switched(self, name: str, otherwise: bool) -> bool:
        """What `--name` or `--no-name` says; `otherwise` without either."""
        if self.option(f"no-{name}"):
            return False
        return bool(self.option(name)) or otherwise


def _number(kind: Callable[[Any], Any], name: str, text: Any, least: Any, most: Any) -> Any:
    words = "a whole number" if kind is int else "a number"
    try:
        value = kind(text)
    except ValueError:
        raise wrong(f"{name}: '{text}' is not {words}") from None
    too_small = least is not None and not value >= least
    if too_small or (most is not None and not value <= most):
        bounds = f"{least} or more" if most is None else f"from {least} to {most}"
        raise wrong(f"{name}: {value} is not {words} {bounds}")
    return value
