"""The pool of connections to one backend at one address, and how long each rests after an answer.

aiohttp's client is kept from three things: it hands a connection out again at once after an answer, its
reader takes whatever comes next for the next answer, and it sends a GET again when a kept connection breaks.
The names of its inside that this rests on are checked when a pool is made, so that a release without them is
noticed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from functools import partial
from typing import Any, Final, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey

from .answers import Answers
from .connection_reuse import REUSE_DELAY_S, ReuseHistory
from .counter import LOOP_ITERATION_S, MICROSECONDS_PER_SECOND
from .metrics import check_invariant
from .sending import MAX_LOOP_ITERATIONS, trace_config

AUTO_HEADERS: Final = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class DelayedReuseConnector(aiohttp.TCPConnector):
    """Keeps a connection out of use for a moment after an answer, as long as its backend is not trusted, and
    after an early answer as long as that is in doubt.

    `resting`: how many connections are kept out of use now.
    """

    def __init__(self, reuse_history: ReuseHistory, **options: Any) -> None:
        super().__init__(**options)
        self.reuse_history = reuse_history
        self.delayed_count = 0

    def _release(self, key: ConnectionKey, protocol: Any, *, should_close: bool = False) -> None:
        """Take a connection back; overrides aiohttp's. `protocol` is an `Answers`."""
        needs_delay = self.reuse_history.remaining_delays or protocol.proof is not None
        if should_close or protocol.should_close or not needs_delay:
            protocol.released()
            super()._release(key, protocol, should_close=should_close)
        else:
            self.delayed_count += 1
            self._loop.call_later(REUSE_DELAY_S, self._end_reuse_delay, key, protocol)

    def _end_reuse_delay(self, key: ConnectionKey, protocol: Any, turns: int = MAX_LOOP_ITERATIONS) -> None:
        """Its moment is over: it is free, or was ended meanwhile.

        After a stall of this gateway the timer comes before what lies unread: that is read first, in as many
        as `turns` turns of the loop.
        """
        if turns and protocol.is_connected() and protocol.unread():
            self._loop.call_later(LOOP_ITERATION_S, self._end_reuse_delay, key, protocol, turns - 1)
            return
        self.delayed_count -= 1
        was_quiet = protocol.is_connected() and not protocol.should_close and not protocol.unread()
        if was_quiet:
            self.reuse_history.record_quiet_delay()
        super()._release(key, protocol)
        protocol.prove(was_quiet)


class ConnectionPool:
    """The connections to one backend at one address (`endpoint`, host:port).

    `users`: requests that use it now. `heard`: when the last answer was complete, in microseconds of the
    gateway's clock. `retired`: the backend is elsewhere or gone; the pool is closed with its last user.
    `settings`: the gateway's; `idle_close` and `connect_timeout` are read, in microseconds.
    """

    def __init__(self, endpoint: str, settings: Mapping[str, Any], reuse_history: ReuseHistory) -> None:
        connect_timeout = settings["connect_timeout"] / MICROSECONDS_PER_SECOND
        # Closed here before the far side's machine does: what is written after that would be lost.
        idle = (settings["idle_close"] - 2 * settings["connect_timeout"]) / MICROSECONDS_PER_SECOND
        check_invariant(hasattr(aiohttp.TCPConnector, "_release"), "client_keeps_connections_back")
        self.connector = DelayedReuseConnector(
            reuse_history, limit=0, keepalive_timeout=max(0.0, idle), happy_eyeballs_delay=None
        )
        check_invariant(hasattr(self.connector, "_factory"), "client_reads_one_answer_a_request")
        factory = partial(Answers, asyncio.get_running_loop(), connect_timeout, reuse_history)
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
        # It would send a GET again by itself when a kept connection breaks; each sending is a delivery.
        check_invariant(hasattr(self.session, "_retry_connection"), "client_resends_can_be_stopped")
        self.session._retry_connection = False
        self.endpoint = endpoint
        self.users = 0
        self.last_response_at = 0
        self.retired = False
