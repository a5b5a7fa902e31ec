"""All verbs in one application, and how what they raise becomes an exit code."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from importlib.metadata import PackageNotFoundError, version

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from .checking import CheckVerb
from .lab_fleet import FleetVerb
from .lab_model import ModelVerb
from .lab_results import CompareVerb, ReportVerb
from .lab_runs import EmulateVerb, ExperimentVerb, GossipVerb, LoadVerb
from .members import MembersVerb
from .outcome import DONE, FAILED, WRONG, CommandFailed
from .serving import ROLE_VERBS, ServeVerb
from .status import StatusVerb
from .verb import Verb

PROGRAM = "kestrelbend"
HELP_WORDS = ("--help", "-h")
LAB_VERBS = (EmulateVerb, GossipVerb, LoadVerb, ExperimentVerb, CompareVerb, ReportVerb, FleetVerb, ModelVerb)


def version_line() -> str:
    """The program and its version."""
    try:
        return f"{PROGRAM} {version(PROGRAM)}"
    except PackageNotFoundError:
        return f"{PROGRAM}, not installed"


class VersionVerb(Verb):
    """Says which program this is."""

    name = "version"
    description = "The version of this program."

    def handle(self) -> int:
        """Print the program and its version."""
        self.say(version_line())
        return DONE


class LabVerb(Verb):
    """The laboratory without one of its verbs: says which there are."""

    name = "lab"
    description = "The laboratory: emulate fleets and their failures, and compare."
    help = "Verbs:\n" + "\n".join(f"  {verb.name:16} {verb.description}" for verb in LAB_VERBS)

    def handle(self) -> int:
        """Print which verbs the laboratory has."""
        self.say(f"Usage: {PROGRAM} lab VERB\n\n{self.help}")
        return WRONG


class KestrelbendApplication(Application):
    """The application's name and, asked for it, its version."""

    def __init__(self) -> None:
        super().__init__(PROGRAM)
        self.set_display_name(PROGRAM)
        self.auto_exits(False)
        self.catch_exceptions(False)

    @property
    def help(self) -> str:
        """What the list of verbs begins with."""
        return "A quota gateway that keeps each customer of a shared back end to its plan."

    @property
    def long_version(self) -> str:
        """What `--version` prints."""
        return version_line()


def application(serve: Callable[[str | None], None]) -> Application:
    """All verbs; `serve` starts the gateway in service."""
    made = KestrelbendApplication()
    made.add(ServeVerb(serve))
    for verb in (CheckVerb, MembersVerb, StatusVerb, VersionVerb, *ROLE_VERBS, LabVerb, *LAB_VERBS):
        made.add(verb())
    return made


def run(arguments: Sequence[str], serve: Callable[[str | None], None]) -> int:
    """Carries one command line out; returns its exit code."""
    if len(arguments) == 1 and arguments[0] in HELP_WORDS:
        arguments = ["list"]
    try:
        return application(serve).run(ArgvInput([PROGRAM, *arguments]))
    except CommandFailed as failure:
        print(failure, file=sys.stderr)
        return failure.code
    except CleoError as fault:
        print(f"{PROGRAM}: {fault}", file=sys.stderr)
        return WRONG
    except ModuleNotFoundError as missing:
        if (missing.name or PROGRAM).split(".")[0] == PROGRAM:
            raise
        print(missing_library(missing), file=sys.stderr)
        return FAILED


def missing_library(missing: ImportError) -> str:
    """What to install for a verb that lacks a library."""
    return f"{PROGRAM}: this verb needs more libraries: pip install '{PROGRAM}[lab,tier]' ({missing})"
