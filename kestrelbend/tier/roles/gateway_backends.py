"""A gateway's view of the backends, as control nodes stream them, for the data plane (`ports.Backends`)."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..discovery.messages import Backend, BackendAck, BackendUpdate
from ..discovery.view import BackendView
from ..protocol.peer_connection import PeerConnection

STABLE_AFTER_S = 3.0  # from then on a gateway serves though some service has no backend yet
REFRESH_INTERVAL_S = 1.0


class GatewayBackends:
    """The view, and whether it is complete enough to serve by."""

    def __init__(self, view: BackendView, now: Callable[[], float]) -> None:
        self._view = view
        self._now = now
        self._notified_at: float | None = None  # of a complete update for the first time
        self._refreshed_at = 0.0

    def take(self, connection: PeerConnection, update: BackendUpdate) -> None:
        """Takes an update, and acknowledges it: a backend that leaves waits for that."""
        now = self._now()
        self._view.merge(update, now)
        if update.complete and self._notified_at is None:
            self._notified_at = now
        connection.send(BackendAck(update.sender, update.number))

    def refresh_due(self, now: float, heartbeat_interval_s: float) -> None:
        """Forgets backends that have been unresponsive for too long."""
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._view.refresh(now, heartbeat_interval_s)

    @property
    def is_notified(self) -> bool:
        """Whether a complete update has come."""
        return self._notified_at is not None

    def suffice(self, services: Iterable[str], now: float) -> bool:
        """Whether each service has a ready backend, or has had the time to get one."""
        if self._notified_at is None:
            return False
        if now - self._notified_at > STABLE_AFTER_S:
            return True
        return all(self._view.ready(service) for service in services)

    # The data plane's port, see `dataplane.ports.Backends`

    def of(self, service: str) -> tuple[Backend, ...]:
        """The ready backends of a service."""
        return self._view.ready(service)

    def mark_departed(self, identity: str) -> None:
        """Another backend answered in this one's place."""
        self._view.mark_departed(identity, self._now())
