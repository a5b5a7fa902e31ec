"""Connections to backends: a small pool for each incarnation of a backend.

A connection carries one request at a time and belongs to one incarnation.  It goes back to the pool only
after a complete answer to the request it carried, with no byte behind it; in any other case it is closed.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Collection

import anyio  # noqa: F401  httpcore needs it under asyncio, and says so only at its first request
import attrs
import httpcore

from ..discovery.messages import Backend
from . import ports

CONNECT_TIMEOUT_S = 0.5
DEFAULT_IDLE_S = 4.0  # for a backend that declares no time in Keep-Alive
IDLE_MARGIN_S = 0.5  # a connection is given up this long before the backend would close it
MAX_CONNS_SHARE = 0.9  # of MaxConns that all gateways together take
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class Connection(httpcore.AsyncHTTP11Connection):
    """An HTTP/1.1 connection to one incarnation of a backend."""

    def __init__(self, origin: httpcore.Origin, stream: ports.BackendStream) -> None:
        super().__init__(origin=origin, stream=stream)
        self.backend_stream = stream
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None  # as the backend tells it in Keep-Alive
        self.closing = False  # the backend said so

    @property
    def has_trailing_data(self) -> bool:
        """Bytes came behind the answer."""
        return bool(self._h11_state.trailing_data[0]) or not self.backend_stream.usable

    def is_reusable(self, now: float) -> bool:
        """May carry the next request: its last answer was complete, and it was not idle for too long."""
        limit = DEFAULT_IDLE_S if self.idle_limit_s is None else self.idle_limit_s
        idle_s = now - self.idle_since
        return (
            self.is_idle()
            and not self.closing
            and not self.has_trailing_data
            and idle_s < limit - IDLE_MARGIN_S
        )

    def is_within_idle_limit(self, now: float, max_idle_without_keep_alive_s: float | None) -> bool:
        """Has not been idle longer than `max_undeclared_idle_s` where its backend declares no Keep-Alive."""
        if self.idle_limit_s is not None or max_idle_without_keep_alive_s is None:
            return True
        return now - self.idle_since <= max_idle_without_keep_alive_s

    def resume_after_stale_response(self) -> Connection:
        """The same connection after an answer to another request: it reads the answer to the request that has
        left already, once that request is handed to it again, and is closed after it."""
        if not self.is_idle():
            raise httpcore.RemoteProtocolError("the surplus answer ended the connection")
        self.backend_stream.push_back(bytes(self._h11_state.trailing_data[0]))
        following = Connection(self._origin, self.backend_stream)
        following.closing = True
        return following

    def apply_headers(self, headers: list[tuple[bytes, bytes]]) -> None:
        """Applies what an answer's header says of the connection."""
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
    """Which idle connections a request may take."""

    max_idle_without_keep_alive_s: float | None = (
        None  # for how long idle, where its backend declares no Keep-Alive
    )
    avoid: Collection[Connection] = ()


@attrs.define
class _Pool:
    """The connections to one incarnation of a backend."""

    address: str
    open: int = 0  # connections that exist or are being made
    idle: list[Connection] = attrs.field(factory=list)  # the last used at the end


class Connections:
    """All pools.  `gateways` estimates how many gateways share each backend's MaxConns."""

    def __init__(self, network: ports.Network, gateways: Callable[[], int] = lambda: 10) -> None:
        self._network = network
        self._gateways = gateways
        self._pools: dict[str, _Pool] = {}

    def has_capacity(self, backend: Backend, service: ports.Service) -> bool:
        """Whether a request could be given a connection now."""
        pool = self._pools.get(backend.identity)
        return pool is None or bool(pool.idle) or pool.open < self._limit(service)

    def has_idle(self, identity: str) -> bool:
        """A connection to the backend is there and carries no request."""
        pool = self._pools.get(identity)
        return pool is not None and bool(pool.idle)

    @property
    def open(self) -> int:
        """All connections, those that are being made among them."""
        return sum(pool.open for pool in self._pools.values())

    @property
    def idle_count(self) -> int:
        """Connections that carry no request."""
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
        """An idle connection that `reuse` allows, or a new one; None if the limit of connections is reached.

        Waits for a new one at most `timeout_s`.  Raises OSError where none came up (ConnectionRefusedError:
        nothing listens there).  The caller must `release` what it got.
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
        """The connection used last: it is the least likely to be closed meanwhile."""
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
        """Takes a connection back; it is closed unless its answer was complete and nothing follows it."""
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
        """Closes what is idle for too long, and every idle connection of backends that are not in `live`."""
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
