"""How a gateway follows the configuration that control nodes stream and announce.

One control node streams versions with their bodies, others announce their numbers alone.  A version that was
announced and does not come is fetched, so that a node which lags holds nothing up.
"""

from __future__ import annotations

from collections.abc import Callable

from ..configuration.announced_versions import AnnouncedVersions
from ..membership.messages import ConfigAck, ConfigFetch, ConfigUpdate
from ..protocol.peer_connection import PeerConnection
from ..protocol.peer_connections import PeerConnections
from .routing_state import RoutingState


class GatewayConfiguration:
    """The gateway's version of the configuration; it tells control nodes once it serves by another.

    `is_current`: a version in force was once confirmed as the newest, so the gateway may begin to serve.
    """

    def __init__(
        self,
        routing: RoutingState,
        connections: PeerConnections,
        control_addresses: Callable[[], list[str]],
        now: Callable[[], float],
    ) -> None:
        self._routing = routing
        self._connections = connections
        self._control_addresses = control_addresses
        self._now = now
        self._announced = AnnouncedVersions()
        self.is_current = False

    def take(self, connection: PeerConnection, update: ConfigUpdate) -> None:
        """Puts a newer version in force, or notes that there is one."""
        before = self._routing.version
        if update.body:
            self._routing.take(update.version, update.body)
        if self._routing.version < update.version:
            self._announced.record(connection.address, update.version, self._now())
            return
        if update.current:
            self.is_current = True
        if self._routing.version > before:
            self._acknowledge_to_all()
        else:
            connection.send(ConfigAck(self._routing.version))

    def fetch_due(self, now: float) -> None:
        """Asks for a version that was announced and has not come."""
        address = self._announced.next_fetch_address(self._routing.version, now)
        connection = None if address is None else self._connections.to(address)
        if connection is not None:
            connection.send(ConfigFetch(self._routing.version))

    def _acknowledge_to_all(self) -> None:
        """Each control node that streams or announces here may have an order that waits for this."""
        for address in self._control_addresses():
            connection = self._connections.to(address)
            if connection is not None:
                connection.send(ConfigAck(self._routing.version))
