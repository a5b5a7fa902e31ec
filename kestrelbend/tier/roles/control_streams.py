"""What a control node streams to the processes that subscribe to it.

A gateway that wants the complete streams gets the configuration with its bodies, the backends and the
directory; one that wants notices gets version numbers and departures alone.  Other processes get the
directory.

Invariant: a version is called current only while a majority has lately confirmed this replica's state.
"""

from __future__ import annotations

from collections.abc import Callable

from ..configuration.shard_service import ConfigurationService
from ..configuration.stream import ConfigStream
from ..control.directory_stream import DirectoryStream
from ..discovery.exchange import BackendExchange
from ..membership.messages import ConfigUpdate, Subscribe
from ..membership.owner_contact import is_current
from ..protocol.peer_connection import PeerConnection


class ControlStreams:
    """The streams of one control node; each connection's end ends its own."""

    def __init__(
        self,
        configuration: ConfigurationService,
        config_stream: ConfigStream,
        exchange: BackendExchange,
        directory_stream: DirectoryStream,
        now: Callable[[], float],
    ) -> None:
        self._configuration = configuration
        self._config_stream = config_stream
        self._exchange = exchange
        self._directory_stream = directory_stream
        self._now = now

    def subscribe(self, connection: PeerConnection, message: Subscribe) -> None:
        """Begins, or changes, the streams of a connection."""
        if message.member.serves_front:
            self._config_stream.subscribe(connection, message.config_version, message.complete)
            self._exchange.subscribe(connection, message.complete)
            self.stream_configuration()
        if message.complete:
            self._directory_stream.subscribe(connection)
        else:
            self._directory_stream.connection_lost(connection)

    def lost(self, connection: PeerConnection) -> None:
        """The connection ended; whoever waits for its acknowledgements waits no longer."""
        self._exchange.connection_lost(connection)
        self._config_stream.connection_lost(connection)
        self._directory_stream.connection_lost(connection)

    def stream_configuration(self) -> None:
        """Sends the version applied here to those that don't have it, or not as the current one."""
        state = self._configuration.state
        if state.version:
            self._config_stream.publish(state.version, state.body, self._is_current())

    def send_newer_configuration(self, connection: PeerConnection, known_version: int) -> None:
        """Answers a gateway that heard of a newer version than it has."""
        state = self._configuration.state
        if state.version > known_version:
            connection.send(ConfigUpdate(state.version, self._is_current(), state.body))

    def _is_current(self) -> bool:
        return is_current(self._configuration.replica, self._now())
