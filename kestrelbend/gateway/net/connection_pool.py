"""The pool of connections to one endpoint of a backend, and the delay before a connection is reused.

Three behaviours of aiohttp's client are overridden: it reuses a connection immediately after a response,
its reader takes any further bytes for the next response, and it resends a GET when a kept-alive connection
breaks. The overrides use private names of aiohttp, which are checked when a pool is created, so that a
release without them is noticed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from functools import partial
from typing import Any, Final, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey

from .answers import ResponseReader
from .connection_reuse import REUSE_DELAY_S, ReuseHistory
from .counter import LOOP_ITERATION_S, MICROSECONDS_PER_SECOND
from .metrics import check_invariant
from .sending import MAX_LOOP_ITERATIONS, trace_config

AUTO_HEADERS: Final = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class DelayedReuseConnector(aiohttp.TCPConnector):
    """Delays the reuse of a connection after a response.

    A delay is applied while the backend's reuse history requires one, and after an early response until it
    is certain which request that response belongs to. `delayed_count`: connections in their reuse delay now.
    """

    def __init__(self, reuse_history: ReuseHistory, **options: Any) -> None:
        super().__init__(**options)
        self.reuse_history = reuse_history
        self.delayed_count = 0

    def _release(self, key: ConnectionKey, protocol: Any, *, should_close: bool = False) -> None:
        """Return a connection to the pool; overrides aiohttp's method. `protocol` is a `ResponseReader`."""
        needs_delay = self.reuse_history.remaining_delays or protocol.confirmed is not None
        if should_close or protocol.should_close or not needs_delay:
            protocol.on_released()
            super()._release(key, protocol, should_close=should_close)
        else:
            self.delayed_count += 1
            self._loop.call_later(REUSE_DELAY_S, self._end_reuse_delay, key, protocol)

    def _end_reuse_delay(
        self, key: ConnectionKey, protocol: Any, iterations: int = MAX_LOOP_ITERATIONS
    ) -> None:
        """Release a connection after its reuse delay; it may have been closed meanwhile.

        After a stall of this process the timer fires before pending input is read. That input is read first,
        within up to `iterations` iterations of the loop.
        """
        if iterations and protocol.is_connected() and protocol.has_unread_data():
            self._loop.call_later(LOOP_ITERATION_S, self._end_reuse_delay, key, protocol, iterations - 1)
            return
        self.delayed_count -= 1
        was_quiet = protocol.is_connected() and not protocol.should_close and not protocol.has_unread_data()
        if was_quiet:
            self.reuse_history.record_quiet_delay()
        super()._release(key, protocol)
        protocol.confirm(was_quiet)


class ConnectionPool:
    """The connections to one endpoint (host:port) of a backend.

    `users`: requests that use the pool now. `last_response_at`: when the last response was complete, in
    microseconds of the gateway's clock. `retired`: the pool is no longer used for new requests and is closed
    after its last one. `settings`: the gateway's; `idle_close` and `connect_timeout` are read, in
    microseconds.
    """

    def __init__(self, endpoint: str, settings: Mapping[str, Any], reuse_history: ReuseHistory) -> None:
        connect_timeout = settings["connect_timeout"] / MICROSECONDS_PER_SECOND
        # Idle connections are closed before the backend's host closes them: a later write would be lost.
        idle_timeout = (settings["idle_close"] - 2 * settings["connect_timeout"]) / MICROSECONDS_PER_SECOND
        check_invariant(hasattr(aiohttp.TCPConnector, "_release"), "client_keeps_connections_back")
        self.connector = DelayedReuseConnector(
            reuse_history, limit=0, keepalive_timeout=max(0.0, idle_timeout), happy_eyeballs_delay=None
        )
        check_invariant(hasattr(self.connector, "_factory"), "client_reads_one_answer_a_request")
        factory = partial(ResponseReader, asyncio.get_running_loop(), connect_timeout, reuse_history)
        self.connector._factory = cast("partial[ResponseHandler]", factory)
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
            skip_auto_headers=AUTO_HEADERS,
            trace_configs=[trace_config()],
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout),
        )
        # aiohttp would resend a GET when a kept-alive connection breaks; each resend must be a delivery.
        check_invariant(hasattr(self.session, "_retry_connection"), "client_resends_can_be_stopped")
        self.session._retry_connection = False
        self.endpoint = endpoint
        self.users = 0
        self.last_response_at = 0
        self.retired = False
