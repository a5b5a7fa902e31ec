"""Reservation names: the gateway generates one for each attempt; a client never chooses it.

A name consists of the incarnation of the gateway process and a number that increases with each attempt.  A
table can therefore drop single names and still recognise them: within an incarnation, every number up to the
highest dropped one counts as used.  Invariant: a reservation whose name was dropped is never admitted again.
A new reservation with a lower number than a dropped one, which arrives after 64 later ones have closed, is
rejected too; the cost is one retry.
"""

from __future__ import annotations

import itertools

MAX_INCARNATIONS = 4096
_SEPARATOR = "."


class ReservationNameGenerator:
    """Generates names for one gateway process; `incarnation` differs between runs at the same `address`."""

    def __init__(self, address: str, incarnation: int) -> None:
        self._incarnation = f"{address}@{incarnation:x}"
        self._numbers = itertools.count(1)

    def next(self) -> str:
        """Returns a name that was never returned before."""
        return f"{self._incarnation}{_SEPARATOR}{next(self._numbers)}"


class ForgottenNames:
    """For each incarnation, the highest number among the names that a table has dropped.

    Holds at most `MAX_INCARNATIONS`; the least recently updated incarnation is dropped first.
    """

    def __init__(self, highest: dict[str, int] | None = None) -> None:
        self.highest = dict(highest or {})

    def add(self, name: str) -> None:
        """Records that the table has dropped this name."""
        parsed = _parse(name)
        if parsed is None:
            return
        incarnation, number = parsed
        self.highest[incarnation] = max(number, self.highest.pop(incarnation, 0))
        if len(self.highest) > MAX_INCARNATIONS:
            del self.highest[next(iter(self.highest))]

    def __contains__(self, name: str) -> bool:
        """Whether the name may have been used before."""
        parsed = _parse(name)
        if parsed is None:
            return False
        incarnation, number = parsed
        return number <= self.highest.get(incarnation, 0)


def _parse(name: str) -> tuple[str, int] | None:
    """Returns the incarnation and the number, None for a name that no gateway generated.

    Returns a plain tuple for speed: a name is parsed for each command.
    """
    incarnation, separator, number = name.rpartition(_SEPARATOR)
    if not separator or "@" not in incarnation or not (number.isascii() and number.isdigit()):
        return None
    return incarnation, int(number)
