"""Links: the kept connections to one backend at one address, and for how long each is kept out of use."""

from __future__ import annotations

import asyncio
from functools import partial

import aiohttp

from .answers import Answers
from .counter import LOOP_TURN_S
from .sending import TURNS, trace
from .tally import must
from .trust import REST_S

AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class RestingConnector(aiohttp.TCPConnector):
    """Keeps a connection out of use for a moment after an answer, as long as its backend is not trusted, and
    after an early answer as long as that is in doubt."""

    def __init__(self, trust, **options):
        super().__init__(**options)
        self.trust, self.resting = trust, 0

    def _release(self, key, protocol, *, should_close=False):
        rests = self.trust.rests or protocol.proof is not None
        if should_close or protocol.should_close or not rests:
            protocol.released()
            super()._release(key, protocol, should_close=should_close)
        else:
            self.resting += 1
            self._loop.call_later(REST_S, self.rested, key, protocol)

    def rested(self, key, protocol, turns=TURNS):
        """Its moment is over: it is free, or was ended meanwhile.  After a stall of this gateway the timer
        comes before what lies unread: that is read first."""
        if turns and protocol.is_connected() and protocol.unread():
            self._loop.call_later(LOOP_TURN_S, self.rested, key, protocol, turns - 1)
            return
        self.resting -= 1
        silent = protocol.is_connected() and not protocol.should_close and not protocol.unread()
        if silent:
            self.trust.silent()
        super()._release(key, protocol)
        protocol.prove(silent)


class Link:
    """The connections to one backend at one address."""

    def __init__(self, endpoint, settings, trust):
        idle = (settings["idle_close"] - 2 * settings["connect_timeout"]) / 1e6
        # Closed here before the far side's machine does: what is written after that would be lost.
        must(hasattr(aiohttp.TCPConnector, "_release"), "client_keeps_connections_back")
        self.connector = connector = RestingConnector(
            trust, limit=0, keepalive_timeout=max(0.0, idle), happy_eyeballs_delay=None
        )
        must(hasattr(connector, "_factory"), "client_reads_one_answer_a_request")
        connector._factory = partial(
            Answers, asyncio.get_running_loop(), settings["connect_timeout"] / 1e6, trust
        )
        self.session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
            skip_auto_headers=AUTO_HEADERS,
            trace_configs=[trace()],
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=settings["connect_timeout"] / 1e6),
        )
        # It would send a GET again by itself when a kept connection breaks; each sending is a delivery.
        must(hasattr(self.session, "_retry_connection"), "client_resends_can_be_stopped")
        self.session._retry_connection = False
        self.endpoint, self.users, self.heard, self.retired = endpoint, 0, 0, False
