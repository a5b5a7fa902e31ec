"""Names of reservations: one for each attempt, given by its gateway, never by a client.

A name holds the incarnation of its gateway's process and a number that rises with each attempt.  So a table
may forget names one by one and still know them: of one incarnation, every number up to the highest that was
forgotten counts as used.  Invariant: a name that a table has forgotten is not admitted again.  A reservation
that is younger than a forgotten one, but arrives after 64 later ones have ended, is refused with it; that
costs a repeat.
"""

from __future__ import annotations

import itertools

MAX_INCARNATIONS = 4096
_SEPARATOR = "."


class ReservationNameGenerator:
    """Gives names in one incarnation of a gateway; `incarnation` differs between runs at one `address`."""

    def __init__(self, address: str, incarnation: int) -> None:
        self._incarnation = f"{address}@{incarnation:x}"
        self._numbers = itertools.count(1)

    def next(self) -> str:
        """A name that was never given before."""
        return f"{self._incarnation}{_SEPARATOR}{next(self._numbers)}"


class ForgottenNames:
    """For each incarnation the highest number among the names that a table no longer holds.

    Bounded: beyond `MAX_INCARNATIONS` the one that was added to least recently is dropped.
    """

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        self.highest = dict(highest or {})

    def add(self, name: str) -> None:
        """The table drops this name."""
        parsed = _parse(name)
        if parsed is None:
            return
        incarnation, number = parsed
        self.highest[incarnation] = max(number, self.highest.pop(incarnation, 0))
        if len(self.highest) > MAX_INCARNATIONS:
            del self.highest[next(iter(self.highest))]

    def __contains__(self, name: str) -> bool:
        """Whether the name may have been used."""
        parsed = _parse(name)
        if parsed is None:
            return False
        incarnation, number = parsed
        return number <= self.highest.get(incarnation, 0)


def _parse(name: str) -> tuple[str, int] | None:
    """Incarnation and number; None for a name that no gateway gave.

    A plain tuple, since a name is parsed for each command.
    """
    incarnation, separator, number = name.rpartition(_SEPARATOR)
    if not separator or "@" not in incarnation or not (number.isascii() and number.isdigit()):
        return None
    return incarnation, int(number)
