"""Backends' reports of themselves: into the registry, and on to the other control nodes and the gateways.

Invariant: a backend's word that it leaves is acknowledged only by a node in contact, once the processes of a
majority of the configuration's voters hold it.  Any other majority has one of them, and whoever connects to
it is told; a gateway in touch is connected to all of them.  A plain heartbeat is taken by any node: it
promises nothing, and after a loss of the whole core the gateways' readiness waits for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from ..configuration.ports import ReportOutcome
from ..discovery.exchange import BackendExchange
from ..discovery.messages import Backend, BackendState
from ..discovery.registry import FULL, MOST_TOMBSTONES, BackendRegistry, HeartbeatRejected

ANSWER_S = 0.85  # backends go on to another node after a second
PAUSE_S = 0.1  # between two looks at whether the word may be acknowledged

MayAcknowledge = Callable[[set[str]], bool]
"""Whether this node is in contact and, with these other control nodes, is a majority."""


class BackendReports:
    """Takes what backends and other control nodes tell of backends."""

    def __init__(
        self,
        registry: BackendRegistry,
        exchange: BackendExchange,
        now: Callable[[], float],
        may_acknowledge: MayAcknowledge,
    ) -> None:
        self._registry = registry
        self._exchange = exchange
        self._now = now
        self._may_acknowledge = may_acknowledge
        self._streamed = 0  # the registry's number that subscribers were brought to
        self._reported: set[str] = set()  # who reported here since the other control nodes were told
        self._vouched: dict[str, int] = {}  # the states of backends that leave, as a majority holds them

    async def heartbeat(self, identity: str, report: dict[str, Any]) -> ReportOutcome:
        """A heartbeat: known here and, where it matters, everywhere before it is acknowledged."""
        return await self._taken(self._registry.heartbeat(identity, report, self._now()))

    async def leave(self, identity: str) -> ReportOutcome:
        """A backend has ended."""
        return await self._taken(self._registry.leave(identity, self._now()))

    def merge(self, backends: Iterable[Backend]) -> None:
        """Takes what another control node tells."""
        now = self._now()
        for backend in backends:
            self._registry.merge(backend, now)
        if self._registry.urgent_number > self._streamed:
            self._spread(self._changes())

    def publish_pending_changes(self) -> None:
        """Tells, all together, of the backends of which nothing is new but that they are there."""
        self._spread(self._changes())

    def expire_unresponsive(self, in_contact_s: float, heartbeat_interval_s: float) -> None:
        """Takes silent backends for gone, where this node has been in contact for long enough to say so."""
        now = self._now()
        self._registry.expired(now, heartbeat_interval_s, now - in_contact_s)
        self._exchange.stream(self._changes())

    async def _taken(self, outcome: Backend | HeartbeatRejected) -> ReportOutcome:
        if isinstance(outcome, HeartbeatRejected):
            return ReportOutcome.UNAVAILABLE if outcome.code == FULL else ReportOutcome.MALFORMED
        self._reported.add(outcome.identity)
        if self._registry.urgent_number <= self._streamed and outcome.state == BackendState.READY:
            return ReportOutcome.ACCEPTED
        changes = self._changes()
        if outcome.state != BackendState.READY and self._vouched.get(outcome.identity, 0) < outcome.state:
            return await self._vouch_for(outcome, changes)
        if any(backend.state != BackendState.READY for backend in changes):
            await self._exchange.tell_all(changes)
        else:
            self._spread(changes)
        return ReportOutcome.ACCEPTED

    def _spread(self, changes: list[Backend]) -> None:
        """To the gateways all of it, to the other control nodes what backends themselves told here."""
        self._exchange.stream(changes)
        self._exchange.tell_peers([backend for backend in changes if backend.identity in self._reported])
        self._reported.clear()

    async def _vouch_for(self, leaving: Backend, changes: list[Backend]) -> ReportOutcome:
        """Tells everybody that a backend leaves, also where it is no news here: it may be news to others."""
        ends = self._now() + ANSWER_S
        others = [backend for backend in changes if backend.identity != leaving.identity]
        holders = await self._exchange.tell_all([*others, leaving])
        while not self._may_acknowledge(holders):
            left = ends - self._now()
            if left <= PAUSE_S:
                return ReportOutcome.UNAVAILABLE
            await asyncio.sleep(PAUSE_S)
            holders = await self._exchange.tell_peers_again([leaving], holders, left - PAUSE_S)
        self._note_vouched(leaving)
        return ReportOutcome.ACCEPTED

    def _note_vouched(self, leaving: Backend) -> None:
        self._vouched.pop(leaving.identity, None)
        self._vouched[leaving.identity] = leaving.state
        while len(self._vouched) > MOST_TOMBSTONES:
            del self._vouched[next(iter(self._vouched))]

    def _changes(self) -> list[Backend]:
        """What has changed in the registry since this was last asked."""
        changes = self._registry.changes_since(self._streamed)
        self._streamed = changes.number
        return list(changes.backends)
