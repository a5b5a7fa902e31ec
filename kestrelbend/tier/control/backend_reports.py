"""Processes backends' own reports: records them in the registry and publishes them to nodes and gateways.

Invariant: a backend's report that it is draining or has ended is acknowledged only by a node in contact, once
enough control nodes hold it (`report_quorum`).  After the tolerated losses one of them is left, and whoever
connects to that one receives the report; a gateway in contact is connected to all of them.  A plain heartbeat
is accepted by any node: its acknowledgement guarantees nothing, and after a loss of all control nodes the
gateways become ready only once backends have reported.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from ..configuration.ports import ReportOutcome
from ..discovery.exchange import BackendExchange
from ..discovery.messages import Backend, BackendState
from ..discovery.registry import BackendRegistry
from ..discovery.report import HeartbeatRejected, RejectionCode
from ..discovery.tombstones import MAX_TOMBSTONES

REPLY_TIMEOUT_S = 0.85  # below the second after which backends try another node
RETRY_INTERVAL_S = 0.1  # between checks whether a report may be acknowledged

MayAcknowledge = Callable[[set[str]], bool]
"""Whether this node is in contact, and it and these other control nodes are enough to hold a report."""


class BackendReports:
    """Handles reports of backends and updates from other control nodes; `now` returns seconds."""

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
        self._published_change = 0  # the registry's change number up to which changes were published
        self._reported_here: set[str] = set()  # backends that reported here since the last update to peers
        self._held_states: dict[str, int] = {}  # states that enough nodes hold, of non-ready backends

    async def heartbeat(self, identity: str, report: dict[str, Any]) -> ReportOutcome:
        """Handles a heartbeat; that of a draining backend is acknowledged once enough nodes hold it."""
        return await self._publish_outcome(self._registry.heartbeat(identity, report, self._now()))

    async def leave(self, identity: str) -> ReportOutcome:
        """Handles a backend's report that it has ended."""
        return await self._publish_outcome(self._registry.leave(identity, self._now()))

    def merge(self, backends: Iterable[Backend]) -> None:
        """Merges an update from another control node."""
        now = self._now()
        for backend in backends:
            self._registry.merge(backend, now)
        if self._registry.urgent_change_number > self._published_change:
            self._publish(self._take_changes())

    def publish_pending_changes(self) -> None:
        """Publishes all pending changes at once, also those of nothing but counters."""
        self._publish(self._take_changes())

    def expire_unresponsive(self, in_contact_s: float, heartbeat_interval_s: float) -> None:
        """Presumes unresponsive backends departed, if this node has been in contact for long enough."""
        now = self._now()
        self._registry.expire(now, heartbeat_interval_s, now - in_contact_s)
        self._exchange.notify_gateways(self._take_changes())

    async def _publish_outcome(self, outcome: Backend | HeartbeatRejected) -> ReportOutcome:
        """Publishes the result of a report, and returns whether the report may be acknowledged."""
        if isinstance(outcome, HeartbeatRejected):
            is_full = outcome.code is RejectionCode.REGISTRY_FULL
            return ReportOutcome.UNAVAILABLE if is_full else ReportOutcome.MALFORMED
        self._reported_here.add(outcome.identity)
        nothing_urgent = self._registry.urgent_change_number <= self._published_change
        if nothing_urgent and outcome.state == BackendState.READY:
            return ReportOutcome.ACCEPTED
        changes = self._take_changes()
        if outcome.state != BackendState.READY and not self._is_held(outcome):
            return await self._publish_leaving(outcome, changes)
        if any(backend.state != BackendState.READY for backend in changes):
            await self._exchange.notify_all(changes)
        else:
            self._publish(changes)
        return ReportOutcome.ACCEPTED

    def _publish(self, changes: list[Backend]) -> None:
        """Sends all changes to the gateways, and to the other control nodes those reported here directly."""
        self._exchange.notify_gateways(changes)
        reported_here = [backend for backend in changes if backend.identity in self._reported_here]
        self._exchange.notify_peers(reported_here)
        self._reported_here.clear()

    async def _publish_leaving(self, leaving: Backend, changes: list[Backend]) -> ReportOutcome:
        """Publishes a draining or departed backend, even if known here already: others may not know it."""
        deadline = self._now() + REPLY_TIMEOUT_S
        others = [backend for backend in changes if backend.identity != leaving.identity]
        holders = await self._exchange.notify_all([*others, leaving])
        while not self._may_acknowledge(holders):
            remaining = deadline - self._now()
            if remaining <= RETRY_INTERVAL_S:
                return ReportOutcome.UNAVAILABLE
            await asyncio.sleep(RETRY_INTERVAL_S)
            holders = await self._exchange.notify_remaining_peers(
                [leaving], holders, remaining - RETRY_INTERVAL_S
            )
        self._record_held(leaving)
        return ReportOutcome.ACCEPTED

    def _is_held(self, leaving: Backend) -> bool:
        return self._held_states.get(leaving.identity, 0) >= leaving.state

    def _record_held(self, leaving: Backend) -> None:
        """Records the state that enough nodes hold, for at most the `MAX_TOMBSTONES` latest backends."""
        self._held_states.pop(leaving.identity, None)
        self._held_states[leaving.identity] = leaving.state
        while len(self._held_states) > MAX_TOMBSTONES:
            del self._held_states[next(iter(self._held_states))]

    def _take_changes(self) -> list[Backend]:
        """Returns the registry's changes since the last call and marks them as published."""
        changes = self._registry.changes_since(self._published_change)
        self._published_change = changes.change_number
        return list(changes.backends)
