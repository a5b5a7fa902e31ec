"""Broken rules, each reported once."""

from __future__ import annotations

from ..fleet import Fleet


class Violations:
    """Rules are looked at many times a second; one that stays broken is one line of the day's account."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._reported: set[str] = set()

    def report(self, key: str, rule: str) -> None:
        """Reports a broken rule in words; `key` says which one, and of whom."""
        if key not in self._reported:
            self._reported.add(key)
            self._fleet.report_violation(rule)
