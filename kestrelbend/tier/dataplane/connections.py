"""Connection pools for backends, one per incarnation of a backend.

A connection carries one request at a time and belongs to one incarnation.  It returns to the pool only after
a complete response to its request with no bytes following it; otherwise it is closed.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Collection

import anyio  # noqa: F401  httpcore needs it under asyncio, but reports that only at its first request
import attrs
import httpcore

from ..discovery.messages import Backend
from . import ports

CONNECT_TIMEOUT_S = 0.5
DEFAULT_IDLE_S = 4.0  # idle limit for a backend that declares no Keep-Alive timeout
IDLE_MARGIN_S = 0.5  # a connection is dropped this long before the backend would close it
MAX_CONNS_SHARE = 0.9  # of MaxConns, for all gateways together
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class Connection(httpcore.AsyncHTTP11Connection):
    """An HTTP/1.1 connection to one incarnation of a backend."""

    def __init__(self, origin: httpcore.Origin, stream: ports.BackendStream) -> None:
        super().__init__(origin=origin, stream=stream)
        self.backend_stream = stream
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None  # the timeout in the backend's Keep-Alive header
        self.closing = False  # the backend sent `Connection: close`

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes followed the response, or the stream is unusable."""
        return bool(self._h11_state.trailing_data[0]) or not self.backend_stream.usable

    def is_reusable(self, now: float) -> bool:
        """Whether the last response was complete and the connection was not idle too long."""
        limit = DEFAULT_IDLE_S if self.idle_limit_s is None else self.idle_limit_s
        idle_s = now - self.idle_since
        return (
            self.is_idle()
            and not self.closing
            and not self.has_trailing_data
            and idle_s < limit - IDLE_MARGIN_S
        )

    def is_within_idle_limit(self, now: float, max_idle_without_keep_alive_s: float | None) -> bool:
        """Whether the connection was idle for at most `max_idle_without_keep_alive_s`.

        The bound does not apply if the backend declares a Keep-Alive timeout.
        """
        if self.idle_limit_s is not None or max_idle_without_keep_alive_s is None:
            return True
        return now - self.idle_since <= max_idle_without_keep_alive_s

    def resume_after_stale_response(self) -> Connection:
        """Replaces this connection after a response to another request.

        The current request has already been sent.  Handing it to the returned connection again sends nothing
        and reads its response; that connection is closed afterwards.
        """
        if not self.is_idle():
            raise httpcore.RemoteProtocolError("the response to another request ended the connection")
        self.backend_stream.push_back(bytes(self._h11_state.trailing_data[0]))
        following = Connection(self._origin, self.backend_stream)
        following.closing = True
        return following

    def apply_headers(self, headers: list[tuple[bytes, bytes]]) -> None:
        """Applies a response's Connection and Keep-Alive headers."""
        for name, value in headers:
            lowered = name.lower()
            if lowered == b"connection" and b"close" in value.lower():
                self.closing = True
            elif lowered == b"keep-alive":
                found = _KEEP_ALIVE_TIMEOUT.search(value)
                if found:
                    self.idle_limit_s = float(found.group(1))


@attrs.define
class ReusePolicy:
    """Which idle connections a request may reuse."""

    max_idle_without_keep_alive_s: float | None = None  # if the backend declares no Keep-Alive timeout
    avoid: Collection[Connection] = ()  # connections that may not be reused


@attrs.define
class _Pool:
    """The connections to one incarnation of a backend."""

    address: str
    open: int = 0  # established connections and those being opened
    idle: list[Connection] = attrs.field(factory=list)  # most recently used last


class Connections:
    """The pools of all backends.  `gateways` estimates how many gateways share each backend's MaxConns."""

    def __init__(self, network: ports.Network, gateways: Callable[[], int] = lambda: 10) -> None:
        self._network = network
        self._gateways = gateways
        self._pools: dict[str, _Pool] = {}

    def has_capacity(self, backend: Backend, service: ports.Service) -> bool:
        """Whether an idle connection exists or a new one may be opened now."""
        pool = self._pools.get(backend.identity)
        return pool is None or bool(pool.idle) or pool.open < self._limit(service)

    def has_idle(self, identity: str) -> bool:
        """Whether the pool of the backend holds an idle connection."""
        pool = self._pools.get(identity)
        return pool is not None and bool(pool.idle)

    @property
    def open(self) -> int:
        """Number of all connections, including those being opened."""
        return sum(pool.open for pool in self._pools.values())

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return sum(len(pool.idle) for pool in self._pools.values())

    def _limit(self, service: ports.Service) -> int:
        return max(2, int(service.max_conns * MAX_CONNS_SHARE / max(1, self._gateways())))

    async def acquire(
        self,
        backend: Backend,
        service: ports.Service,
        timeout_s: float,
        reuse: ReusePolicy | None,
    ) -> Connection | None:
        """Returns an idle connection that `reuse` allows or opens a new one; None at the connection limit.

        `reuse=None` always opens a new one.  Waits at most `timeout_s` for it and raises OSError if it is not
        established (ConnectionRefusedError if nothing listens there).  The caller must `release` the result.
        """
        pool = self._pools.get(backend.identity)
        if pool is None:
            pool = self._pools[backend.identity] = _Pool(backend.address)
        if reuse is not None:
            idle = self._take_idle(pool, reuse)
            if idle is not None:
                return idle
        if pool.open >= self._limit(service):
            self._drop_oldest_idle(pool)
        if pool.open >= self._limit(service):
            return None
        pool.open += 1
        try:
            stream = await self._network.connect(pool.address, min(timeout_s, CONNECT_TIMEOUT_S))
        except BaseException:
            pool.open -= 1
            raise
        host, _, port = pool.address.rpartition(":")
        return Connection(httpcore.Origin(b"http", host.encode(), int(port)), stream)

    def _take_idle(self, pool: _Pool, reuse: ReusePolicy) -> Connection | None:
        """Takes the most recently used connection, which the backend is least likely to have closed."""
        now = asyncio.get_running_loop().time()
        for connection in reversed(pool.idle[:]):
            if not connection.is_reusable(now):
                pool.idle.remove(connection)
                self._discard(pool, connection)
            elif connection not in reuse.avoid:
                if not connection.is_within_idle_limit(now, reuse.max_idle_without_keep_alive_s):
                    return None
                pool.idle.remove(connection)
                return connection
        return None

    def _drop_oldest_idle(self, pool: _Pool) -> None:
        if pool.idle:
            self._discard(pool, pool.idle.pop(0))

    def release(self, backend: Backend, connection: Connection) -> None:
        """Returns a connection to its pool, or closes it if it is not reusable."""
        pool = self._pools[backend.identity]
        connection.idle_since = now = asyncio.get_running_loop().time()
        if connection.is_reusable(now):
            pool.idle.append(connection)
        else:
            self._discard(pool, connection)

    def _discard(self, pool: _Pool, connection: Connection) -> None:
        pool.open -= 1
        connection.backend_stream.abort()

    def prune(self, live: set[str]) -> None:
        """Closes connections that were idle too long and all idle ones of backends that are not in `live`."""
        now = asyncio.get_running_loop().time()
        for identity, pool in list(self._pools.items()):
            kept = []
            for connection in pool.idle:
                if identity in live and connection.is_reusable(now):
                    kept.append(connection)
                else:
                    self._discard(pool, connection)
            pool.idle = kept
            if identity not in live and not pool.open:
                del self._pools[identity]

    def close(self) -> None:
        """Closes every idle connection."""
        self.prune(set())
