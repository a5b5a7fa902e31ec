"""Backends' reports of themselves: into the registry, and on to the other control nodes and the gateways.

Invariant: a backend's word that it leaves is acknowledged only after `BackendExchange.tell_all`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..configuration.ports import ReportOutcome
from ..discovery.exchange import BackendExchange
from ..discovery.messages import Backend, BackendState
from ..discovery.registry import BackendRegistry, BeatRejected


class BackendReports:
    """Takes what backends and other control nodes tell of backends."""

    def __init__(
        self, registry: BackendRegistry, exchange: BackendExchange, now: Callable[[], float]
    ) -> None:
        self._registry = registry
        self._exchange = exchange
        self._now = now
        self._streamed = 0  # the registry's number that subscribers were brought to
        self._in_contact_since = now()

    async def beat(self, identity: str, report: dict[str, Any]) -> ReportOutcome:
        """A heartbeat: known here and, where it matters, everywhere before it is acknowledged."""
        return await self._taken(self._registry.beat(identity, report, self._now()))

    async def leave(self, identity: str) -> ReportOutcome:
        """A backend has ended."""
        return await self._taken(self._registry.leave(identity, self._now()))

    def merge(self, backends: Iterable[Backend]) -> None:
        """Takes what another control node tells."""
        now = self._now()
        for backend in backends:
            self._registry.merge(backend, now)
        self._exchange.stream(self._changes())

    def presume_silent_gone(self, in_contact: bool, beat_interval_s: float) -> None:
        """Takes silent backends for gone, where this node has been in contact for long enough to say so."""
        now = self._now()
        if not in_contact:
            self._in_contact_since = now
        self._registry.expired(now, beat_interval_s, self._in_contact_since)
        self._exchange.stream(self._changes())

    async def _taken(self, outcome: Backend | BeatRejected) -> ReportOutcome:
        if isinstance(outcome, BeatRejected):
            return ReportOutcome.MALFORMED
        changes = self._changes()
        if any(backend.state != BackendState.READY for backend in changes):
            await self._exchange.tell_all(changes)
        else:
            self._exchange.stream(changes)
            self._exchange.tell_peers(changes)
        return ReportOutcome.TAKEN

    def _changes(self) -> list[Backend]:
        """What has changed in the registry since this was last asked."""
        changes = self._registry.changes_since(self._streamed)
        self._streamed = changes.number
        return list(changes.backends)
