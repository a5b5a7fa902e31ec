"""Clients: takes their requests in on aiohttp's low-level server and writes the answers."""
from __future__ import annotations

import asyncio

from aiohttp import web

from .tally import counters, must

READY = "/_health"
COUNTERS = "/_counters"


class Request:
    """One request as it came; `answer` is settled once by the owner."""
    __slots__ = ("method", "target", "headers", "body", "operation", "plan", "customer", "wait", "units",
                 "spread", "retry", "answer", "inv")

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path = target.partition("?")[0].strip("/").split("/")
        if len(path) < 2:
            raise ValueError("the path names no operation and customer")
        self.operation = headers.get("X-Priority-Class") or path[0]
        self.plan, self.customer = headers.get("Api-Plan", ""), path[-1]
        self.wait = round(float(headers["X-Timeout"]) * 1_000_000) if "X-Timeout" in headers else None
        if self.wait is not None and not 0 <= self.wait < 1 << 40:
            raise ValueError("X-Timeout is out of range")
        terms = headers.get("Api-Terms", "").replace(" ", "").split(",")
        terms = dict(part.partition("=")[::2] for part in terms if part)
        self.units, self.spread = float(terms.get("units", 1)), int(terms.get("spread", 0))
        if not 0 <= self.units < 1e9 or not 0 <= self.spread < 1 << 32:
            raise ValueError("Api-Terms is out of range")
        self.retry = headers.get("X-Retried") == "1"
        self.answer, self.inv = None, None


class Clients:
    def __init__(self, queue):
        self.queue, self.ready, self.leaving, self.out = queue, False, False, 0
        self.server = self.listener = None

    async def start(self, listen):
        loop = asyncio.get_running_loop()
        self.server = web.Server(self.handle, handler_cancellation=True, access_log=None,
                                 auto_decompress=False)
        self.listener = await loop.create_server(self.server, *listen, backlog=1024)

    async def handle(self, message):
        if message.method == "GET" and message.path in (READY, COUNTERS):
            if message.path == COUNTERS:
                return self.plain(200, "".join(f"{k} {v}\n" for k, v in sorted(counters.items())))
            return self.plain(200 if self.ready and not self.leaving else 503, "")
        try:
            body = await message.read() if message.body_exists else b""
            request = Request(message.method, message.raw_path, message.headers, body)
        except ValueError as trouble:
            counters["malformed"] += 1
            return self.plain(400, f"{trouble}\n")
        counters["taken"] += 1
        request.answer = asyncio.get_running_loop().create_future()
        self.out += 1
        self.queue.put_nowait(("taken", request))
        try:
            response = await request.answer
        except asyncio.CancelledError:
            counters["clients_left"] += 1
            self.queue.put_nowait(("left", request))
            raise
        finally:
            self.out -= 1
        if self.leaving:
            response.force_close()
        return response

    def plain(self, status, text):
        response = web.Response(status=status, text=text)
        if self.leaving:
            response.force_close()
        return response

    @staticmethod
    def settle(request, response, what):
        """The one place where a request gets its answer."""
        if request.answer.cancelled():
            return
        if must(not request.answer.done(), "one_answer"):
            counters[what] += 1
            request.answer.set_result(response)

    def succeeded(self, request, body, content_type):
        headers = {"Content-Type": content_type} if content_type else None
        self.settle(request, web.Response(body=body, headers=headers), "succeeded")

    def throttled(self, request, retry_after):
        headers = {"Retry-After": f"{retry_after / 1_000_000:.3f}"} if retry_after > 0 else None
        self.settle(request, web.Response(status=429, headers=headers), "throttled")

    def errored(self, request, status=502):
        self.settle(request, web.Response(status=status), "errored")

    async def drain(self, linger):
        """After SIGTERM: what comes is served, each connection ends with its next answer; new ones go on
        coming for `linger` seconds.  Then those that stand idle are closed, which clients must bear."""
        self.leaving = True
        await asyncio.sleep(linger)
        self.listener.close()
        while self.out:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        self.server.pre_shutdown()
        await self.server.shutdown(1.0)
