"""The verb `members`: which gateways one gateway in service sees."""

from __future__ import annotations

from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from .asking import ask
from .outcome import DONE
from .reading import read
from .verb import Verb


class MembersVerb(Verb):
    """Asks one gateway."""

    name = "members"
    description = "Which gateways one gateway sees: state, incarnation, since when, how many duties."
    arguments: ClassVar[list[Argument]] = [
        argument("where", "host:port where a gateway on this machine serves clients, or its TOML file.")
    ]

    def handle(self) -> int:
        """Print the members as one gateway sees them."""
        where = self.argument("where")
        if where.endswith(".toml"):
            from kestrelbend.gateway.settings.installation import Installation

            where = str(read(Path(where), Installation).listen)
        rows = ask(where, "/_members", "is it a gateway on this machine, with [members] set?")
        self.say(f"{'name':28} {'state':8} {'incarnation':>11} {'since':>8} {'duties':>6}  address")
        for row in rows:
            self.say(line(row))
        return DONE


def line(row: dict[str, Any]) -> str:
    """One gateway in the table."""
    since = "" if row["since_s"] is None else f"{row['since_s']:.1f}s"
    mark = " (asked)" if row.get("self") else ""
    return (
        f"{row['name']:28} {row['state']:8} {row['incarnation']:11} {since:>8} "
        f"{len(row['duties']):6}  {row['address']}{mark}"
    )
