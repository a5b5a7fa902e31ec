"""Backends: carries deliveries and probes on aiohttp's client, and says what came of each."""

from __future__ import annotations

import asyncio
import json
import math
from collections import defaultdict, deque
from contextvars import ContextVar
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from ..interface import Result, State
from ..config.platform import LOADS
from .accept_queue import age
from .clients import LONGEST_BODY, bounded
from .closing import readable
from .counter import TURN
from .tally import counters, must

NOT_PASSED = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "x-timeout",
}
AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
PASSED_BACK = ("Content-Type", "Content-Encoding")


class NotWanted(Exception):
    """Nothing is written: no time or socket is left, its client has gone, or the backend began to drain or
    went meanwhile."""


class Stale(Exception):
    """Nothing is written: the kept connection has ended or said something of its own."""


class Settling(Exception):
    """Nothing is written: no connection can be made, and one rests for a moment after its answer."""


class Doubtful(Exception):
    """An early answer was not the last one on its connection: it may be another request's."""


SENDING = ContextVar("sending")  # of the running task
TURNS = 4  # of the loop, in which what lies unread at either end is read
REST_S = 0.03  # after an answer, in which a second one may come
FIRST_RESTS = 3  # in which a backend has to be silent before its connections need none
RESTS_AFTER_NOISE = 100  # the same, once it spoke out of its turn
TIMES_KEPT = 32  # of a backend's answers, by which one is told that came sooner than it ever answers


class Sending:
    """What is known of one sending: to whom, on which connection, whether it makes one, whether a byte of it
    may have been written, and when its answer was whole; `d` and `request` are none for a probe."""

    __slots__ = ("backend", "peer", "d", "request", "link", "answers", "connects", "begun", "whole")

    def __init__(self, backend, peer, d=None, request=None):
        self.backend, self.peer, self.d, self.request = backend, peer, d, request
        self.link, self.answers, self.whole = None, None, None
        self.connects = self.begun = False

    def over(self):
        """It makes no connection any more."""
        self.peer.connecting -= self.connects
        self.connects = False

    def unread(self):
        """Whether its client, or what it would be written to, has said or ended something not yet read."""
        return self.answers.unread() or self.request is not None and self.request.unread()

    def wanted(self):
        """Whether its first byte may be written now: rule 3 counts from then, a client may have gone or got
        its answer, its time or the window for repeats be over since the delivery was decided."""
        peer, d = self.peer, self.d
        if (
            self.backend.state is not State.READY
            or self.backend in peer.barred
            or self.link.endpoint != peer.endpoints.get(self.backend)
        ):
            return False
        return d is None or not (d.inv.done or self.request.left() or peer.clock() >= d.begin_by)


async def _begins(_session, context, _params):
    """There is a connection, and nothing is written yet: the one place that decides whether a first byte may
    still be.  After a stall of this gateway the end of a client, or that of the connection, lies unread."""
    sending = context.trace_request_ctx
    for _ in range(TURNS):
        if not sending.unread():
            break
        await asyncio.sleep(0)
    if not sending.wanted():
        counters["first_bytes_not_wanted"] += 1
        raise NotWanted
    if not sending.answers.ask():
        counters["kept_connections_stale"] += 1
        raise Stale
    sending.begun = True


async def _connects(_session, context, _params):
    """The process may hold only so many descriptors, and none is left for this connection; one that
    rests is waited for then."""
    sending = context.trace_request_ctx
    peer = sending.peer
    if not peer.sockets.room_beside_clients(peer.connecting):
        if sending.link.connector.resting:
            raise Settling
        counters["no_descriptor_left"] += 1
        peer.renew()
        raise NotWanted
    sending.connects, peer.connecting = True, peer.connecting + 1


async def _connected(_session, context, _params):
    context.trace_request_ctx.over()


def trace():
    config = aiohttp.TraceConfig()
    config.on_connection_create_start.append(_connects)
    config.on_connection_create_end.append(_connected)
    config.on_request_headers_sent.append(_begins)
    return config


class Trust:
    """How often a backend has yet to be silent after an answer before its connections are used again at once.
    Time alone tells a second answer that comes late from the next request's, and resting every connection
    after every answer costs handshakes: so a backend earns that its connections need no rest, and loses it by
    bytes out of its turn.  It keeps how long the backend's latest answers took, too."""

    __slots__ = ("rests", "times")

    def __init__(self):
        self.rests, self.times = FIRST_RESTS, deque(maxlen=TIMES_KEPT)

    def silent(self):
        """It said nothing while a connection rested."""
        self.rests = max(0, self.rests - 1)

    def spoke(self):
        """It sent bytes behind an answer, or on a connection with no request."""
        self.rests = RESTS_AFTER_NOISE

    def took(self, seconds):
        """An answer began so long after its request was written, on a connection that had settled."""
        self.times.append(seconds)

    def longest_doubt(self, took):
        """Seconds for which an early answer may turn out to be another request's: a moment, and where it came
        sooner than any of those kept, as long as this request's own answer may take by them."""
        if self.times and took < min(self.times):
            return max(REST_S, max(self.times) - took)
        return REST_S


class Answers(ResponseHandler):
    """aiohttp's reader of one connection's answers, kept to one answer for each request.  By itself it would
    take what comes behind an answer, or before the request, for the next request's, throw a good answer away
    for noise behind it, and wait until the delivery's time is up for one that began and never ends.

    A connection has settled once it was silent for a moment after an answer.  What begins to come before
    that, on a request written meanwhile, is an early answer: it may be a second one to the request before.
    It counts only if the connection says nothing more for as long as this request's own answer may still
    come."""

    def __init__(self, loop, patience, trust):
        super().__init__(loop)
        self.trust = trust
        self.patience, self.asked, self.final, self.left, self.timer = patience, False, None, None, None
        self.sending = None
        self.settled, self.settles_at = True, -math.inf  # when this request was written; loop time
        self.written_at = self.took = None  # loop time; seconds to the answer's first byte
        self.doubt, self.proof = 0.0, None  # seconds; a future while an early answer is in doubt

    def set_response_params(self, **more):
        """This connection is chosen for a request."""
        self.sending = SENDING.get()
        self.sending.answers = self
        super().set_response_params(**more)

    def unread(self):
        return readable(self.transport)

    def ask(self):
        """A request is about to be written.  False: it must not be, this connection has ended or said
        something of its own; by the time that this was read, it is closing."""
        if self.transport is None or self.transport.is_closing() or self.unread():
            return False
        self.asked, self.final, self.left = True, None, None
        self.written_at, self.took = self._loop.time(), None
        self.settled = self.written_at >= self.settles_at
        self.doubt, self.proof = 0.0, None
        return True

    def begins(self):
        """The first bytes of an answer came.  How long ago is asked of the machine: the gateway may have
        stood still meanwhile."""
        came_at, delivers = self._loop.time(), self.sending.d is not None
        if not self.settled:
            came_at -= age(self.transport.get_extra_info("socket")) / 1e6
        self.took = max(0.0, came_at - self.written_at)
        if self.settled and delivers:
            self.trust.took(self.took)
        elif not self.settled and came_at < self.settles_at:
            counters["answers_early"] += 1
            self.doubt = self.trust.longest_doubt(self.took) if delivers else REST_S
            self.proof = self._loop.create_future()

    def prove(self, held):
        """Whether an early answer was this request's; the first word counts."""
        if self.proof is not None and not self.proof.done():
            self.proof.set_result(held)

    def more_behind(self):
        """Bytes came that belong to no request."""
        counters["answers_with_more_behind"] += 1
        self.trust.spoke()
        if not self.settled and self.proof is None:
            self.proof = self._loop.create_future()
        self.prove(False)

    async def proven(self):
        """Returns once the present answer is known to be this request's.  Raises Doubtful: it may not be."""
        if self.proof is not None and not await self.proof:
            counters["answers_doubtful"] += 1
            raise Doubtful

    def feed_data(self, data, size=0):
        """A head was read."""
        message, payload = data
        if not 100 <= message.code < 200 or message.code == 101:
            self.final, length = payload, message.headers.get("Content-Length")
            self.left = None if length is None or message.chunked else int(length)
            if message.should_close:
                self.prove(True)  # it says itself that no other answer follows
        super().feed_data(data, size)

    def data_received(self, data):
        if self.asked and self.timer is None:
            self.timer = self._loop.call_later(self.patience, self.due)
        if self.asked and self.took is None:
            self.begins()
        while data and self.asked:
            if self.final is not None:
                cut = len(data) if self.left is None else self.left
            else:
                head = data.find(b"\r\n\r\n")
                cut = len(data) if head < 0 else head + 4
            part, data = data[:cut], data[cut:]
            if self.final is not None and self.left is not None:
                self.left -= len(part)
            super().data_received(part)
            spoilt = self._exception is not None or self.transport is None
            if spoilt and self.final is not None and not self.final.is_eof():
                self.final.set_exception(aiohttp.ClientPayloadError("cannot be read"))
            if spoilt or self.final is not None and self.final.is_eof():
                self.asked = False
                self.settles_at = self._loop.time() + REST_S
                self.quiet()
        if data:
            self.more_behind()
            self.force_close()
            if self.transport is not None:
                self.transport.close()

    def due(self):
        """After a stall of this gateway the timer comes before what lies unread: that is read first."""
        self.timer = self._loop.call_later(TURN, self.stalled)

    def stalled(self):
        if self.transport is not None:
            counters["answers_never_whole"] += 1
            self.transport.abort()

    def quiet(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc):
        self.quiet()
        self.prove(False)
        super().connection_lost(exc)


class RestingConnector(aiohttp.TCPConnector):
    """Keeps a connection out of use for a moment after an answer, as long as its backend is not trusted, and
    after an early answer as long as that is in doubt."""

    def __init__(self, trust, **options):
        super().__init__(**options)
        self.trust, self.resting = trust, 0

    def _release(self, key, protocol, *, should_close=False):
        rest = protocol.doubt or (REST_S if self.trust.rests else 0)
        if should_close or protocol.should_close or not rest:
            protocol.prove(False)
            super()._release(key, protocol, should_close=should_close)
        else:
            self.resting += 1
            self._loop.call_later(rest, self.rested, key, protocol)

    def rested(self, key, protocol, turns=TURNS):
        """Its moment is over: it is free, or was ended meanwhile.  After a stall of this gateway the timer
        comes before what lies unread: that is read first."""
        if turns and protocol.is_connected() and protocol.unread():
            self._loop.call_later(TURN, self.rested, key, protocol, turns - 1)
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


class Backends:
    def __init__(self, queue, clock, settings, sockets):
        self.queue, self.clock, self.settings = queue, clock, settings
        self.sockets, self.connecting = sockets, 0
        # Where each backend is; the links to those that were ever sent to; by delivery: its task; probes.
        self.endpoints, self.links, self.running, self.tasks = {}, {}, {}, set()
        self.trust = defaultdict(Trust)  # by backend, as long as it stays at its address
        self.barred = {}  # backends that a list not yet taken in takes off or moves, by that list

    # Addresses.

    def listed(self, backend, endpoint):
        if self.endpoints.get(backend) != endpoint:
            self.unlisted(backend)
            self.endpoints[backend] = endpoint

    def link(self, backend):
        """Made when it is first needed: one for each of hundreds costs time at the start, and memory."""
        link = self.links.get(backend)
        if link is None and backend in self.endpoints:
            link = self.links[backend] = Link(self.endpoints[backend], self.settings, self.trust[backend])
        return link

    def unlisted(self, backend):
        self.endpoints.pop(backend, None)
        self.trust.pop(backend, None)
        self.retire(backend)

    def retire(self, backend):
        """Its idle connections go now, those in use with their last user."""
        link = self.links.pop(backend, None)
        if link is not None:
            link.retired = True
            self.release(link)

    def release(self, link):
        if link.retired and not link.users:
            self.keep(asyncio.create_task(link.session.close()))

    def renew(self, *backends):
        """Give up the connections kept to these backends, or to all."""
        for backend in backends or list(self.links):
            self.retire(backend)

    def keep(self, task):
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Deliveries.

    def deliver(self, d, request):
        counters["deliveries"] += 1
        self.running[d] = task = asyncio.create_task(self.delivery(d, request))
        task.add_done_callback(lambda _: self.never_began(d))

    def never_began(self, d):
        """One cancelled before its task had its first turn runs nothing of it, not even its end.  (Seen in a
        test: its client left in the turn in which a further delivery was decided, and that delivery's credit
        was never earned back.)"""
        if d in self.running:
            self.ended(d, Result.VOID)

    def ended(self, d, result, answer=None, load=None, actual=0, used=None, at=None):
        """The one event of a delivery, with the time it took: to `at`, or to now."""
        self.running.pop(d)
        counters["deliveries_" + result.name.lower()] += 1
        took = (self.clock() if at is None else at) - d.sent
        self.queue.put_nowait(("ended", d, result, took, answer, load, actual, used))

    def cancel(self, d):
        if d in self.running:
            self.running[d].cancel()

    async def delivery(self, d, request):
        """Ends with exactly one event, whatever comes; an outcome is never said safer than it was seen."""
        sending, answer, load, actual, used = Sending(d.backend, self, d, request), None, None, 0, None
        result = Result.CANCELLED
        try:
            left = (d.until - self.clock()) / 1e6
            headers = [*passed_on(request.headers), ("X-Timeout", f"{max(0.0, left):.3f}")]
            status, answer, got = await self.exchange(
                sending, request.method, request.target, left, headers=headers, data=request.body or None
            )
            result, load = self.outcome(status, got), load_report(got.get("X-Server-Load"))
            answer = answer, {name: got[name] for name in PASSED_BACK if name in got}
            actual = told(got.get("Api-Charge"), self.settings["most_units"] or 1e9) or 0
            if self.settings["meter_period"]:
                used = told(got.get("Api-Used"), 1e6)
                used = None if used is None else used / 100
        except asyncio.CancelledError:
            pass
        except Exception as trouble:
            result = self.failure(trouble, sending)
        finally:
            link = self.links.get(d.backend)
            if answer is None and d.overdue and link is not None and link.heard < d.sent:
                # Silent for all that time: other connections kept from before would each cost a delivery.
                self.renew(d.backend)
            self.ended(d, result, answer, load, actual, used, sending.whole)

    async def exchange(self, sending, method, target, left, **more):
        """One request on one connection: (status, body, headers)."""
        link = self.link(sending.backend)
        if link is None or left <= 0:
            raise NotWanted
        link.users += 1
        sending.link = link
        SENDING.set(sending)
        try:
            async with asyncio.timeout(left):
                while True:
                    try:
                        answer = await self.ask(link, sending, method, target, **more)
                        break
                    except Stale:  # another connection, perhaps a new one
                        sending.over()
                    except Settling:
                        await asyncio.sleep(REST_S)
            return answer
        finally:
            sending.over()
            link.users -= 1
            self.release(link)

    @staticmethod
    async def ask(link, sending, method, target, **more):
        async with link.session.request(
            method,
            URL(f"http://{link.endpoint}{target}", encoded=True),
            allow_redirects=False,
            trace_request_ctx=sending,
            **more,
        ) as response:
            length = response.content_length
            if length is None and response.headers.get("Transfer-Encoding") != "chunked":
                raise aiohttp.ClientPayloadError("nothing tells where it ends")
            if (length or 0) > LONGEST_BODY:
                raise aiohttp.ClientPayloadError("longer than the protocol allows")
            body = bytearray()
            async for part in response.content.iter_any():
                body += part
                if len(body) > LONGEST_BODY:  # one that never ends would fill the memory
                    raise aiohttp.ClientPayloadError("longer than the protocol allows")
        sending.whole = link.heard = sending.peer.clock()
        await sending.answers.proven()
        return response.status, bytes(body), response.headers

    @staticmethod
    def outcome(status, headers):
        if status == 200:
            return Result.SUCCEEDED
        if status in (503, 504) and headers.get("X-Not-Processed") == "1":
            return Result.REJECTED
        return Result.ERRORED

    @staticmethod
    def failure(trouble, sending):
        if isinstance(trouble, NotWanted):
            return Result.VOID
        if not sending.begun:
            return Result.UNREACHABLE
        return Result.TIMED_OUT if isinstance(trouble, TimeoutError) else Result.BROKEN

    # Probes.

    def probe(self, backend):
        counters["probes"] += 1
        self.keep(asyncio.create_task(self.probing(backend)))

    async def probing(self, backend):
        reports, sending = self.settings["load_reports"] != "none", Sending(backend, self)
        result, load, sent = Result.CANCELLED, None, self.clock()
        try:
            status, body, _ = await self.exchange(
                sending, "GET", "/_load" if reports else "/ping", self.settings["connect_timeout"] / 1e6
            )
            result = Result.SUCCEEDED if status == 200 else Result.ERRORED
            load = load_report(body) if reports and status == 200 else None
        except Exception as trouble:
            result = self.failure(trouble, sending)
        finally:
            self.queue.put_nowait(("probed", backend, result, self.clock() - sent, load))


def passed_on(headers):
    """All but what belongs to the client's connection, in order, each as often as it came."""
    named = headers.get("Connection")
    left_out = NOT_PASSED.union(part.strip().lower() for part in named.split(",")) if named else NOT_PASSED
    return [(k, v) for k, v in headers.items() if k.lower() not in left_out]


def load_report(text):
    """The module's names for a report's fields; what cannot be read is none."""
    try:
        report = json.loads(text) if text else {}
        return {LOADS.get(k, k): bounded(float, v, 0, math.inf) for k, v in report.items()} or None
    except (ValueError, TypeError, AttributeError, OverflowError):
        counters["unreadable_reports"] += 1
        return None


def told(text, most):
    """A number from an answer's header: the units that take the place of the guess, or the customer's use by
    all gateways in percent of its rate; None: none told, or what cannot be."""
    try:
        return None if text is None else bounded(float, text, 0, most)
    except ValueError:
        counters["unreadable_charges"] += 1
        return None
