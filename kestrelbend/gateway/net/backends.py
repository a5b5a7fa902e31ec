"""Backends: carries deliveries and probes on aiohttp's client, and says what came of each."""

from __future__ import annotations

import asyncio
from collections import defaultdict

import aiohttp
from yarl import URL

from ..interface import Result
from .answers import SENDING
from .connections import LONGEST_BODY
from .events import BackendProbed, DeliveryEnded
from .headers import PASSED_BACK, load_report, passed_on, reported_number
from .connection_pool import ConnectionPool
from .sending import NotWanted, Sending, Settling, Stale
from .metrics import counters
from .trust import REST_S, Trust


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
            link = self.links[backend] = ConnectionPool(
                self.endpoints[backend], self.settings, self.trust[backend]
            )
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
        """The one event of a delivery, with the time that it took: until `at`, or until now."""
        self.running.pop(d)
        counters["deliveries_" + result.name.lower()] += 1
        took = (self.clock() if at is None else at) - d.sent
        self.queue.put_nowait(DeliveryEnded(d, result, took, answer, load, actual, used))

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
            actual = reported_number(got.get("Api-Charge"), self.settings["most_units"] or 1e9) or 0
            if self.settings["meter_period"]:
                used = reported_number(got.get("Api-Used"), 1e6)
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
            at = None if answer is None else sending.ended_at()
            self.ended(d, result, answer, load, actual, used, at)

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
            at = sending.ended_at() if result is Result.SUCCEEDED else self.clock()
            self.queue.put_nowait(BackendProbed(backend, result, at - sent, load))
