"""The routing table that a gateway handles requests by."""

from __future__ import annotations

from ..configuration.document import read_accepted
from ..configuration.routing import RoutingTable


class RoutingState:
    """The table in force.  Invariant: its version never goes back, whatever order updates come in."""

    def __init__(self) -> None:
        self._table: RoutingTable | None = None

    def current(self) -> RoutingTable | None:
        """The newest table, None before the first configuration."""
        return self._table

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return 0 if self._table is None else self._table.version

    def take(self, version: int, body: bytes) -> None:
        """Puts a newer version in force."""
        if version > self.version:
            self._table = RoutingTable.from_document(version, read_accepted(body).values)
