"""Names of reservations: one for each try, given by its gateway, never by a client.

A name holds the life of its gateway's process and a number that rises with each try.  So a table may forget
names one by one and still know them: of one life, every number up to the highest that was forgotten counts
as used.  Invariant: a name that a table has forgotten is not admitted again.  A reservation that is younger
than a forgotten one, but arrives after 64 later ones have ended, is refused with it; that costs a repeat.
"""

from __future__ import annotations

import itertools

MAX_INCARNATIONS = 4096
_SEPARATOR = "."


class ReservationNames:
    """Gives names in one life of a gateway; `incarnation` differs between lives at one `address`."""

    def __init__(self, address: str, incarnation: int) -> None:
        self._life = f"{address}@{incarnation:x}"
        self._numbers = itertools.count(1)

    def next(self) -> str:
        """A name that was never given before."""
        return f"{self._life}{_SEPARATOR}{next(self._numbers)}"


class ForgottenNames:
    """For each life the highest number among the names that a table no longer holds."""

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        self.highest = dict(highest or {})

    def add(self, name: str) -> None:
        """The table drops this name."""
        parsed = _parse(name)
        if parsed is None:
            return
        life, number = parsed
        number = max(number, self.highest.pop(life, 0))
        self.highest[life] = number
        if len(self.highest) > MAX_INCARNATIONS:
            del self.highest[next(iter(self.highest))]

    def __contains__(self, name: str) -> bool:
        """Whether the name may have been used."""
        parsed = _parse(name)
        return parsed is not None and parsed[1] <= self.highest.get(parsed[0], 0)


def _parse(name: str) -> tuple[str, int] | None:
    life, separator, number = name.rpartition(_SEPARATOR)
    if not separator or "@" not in life or not (number.isascii() and number.isdigit()):
        return None
    return life, int(number)
