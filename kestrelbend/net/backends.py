"""Backends: carries deliveries and probes on aiohttp's client, and says what came of each."""
from __future__ import annotations

import asyncio
import json

import aiohttp

from ..interface import Result
from ..terms import LOADS
from .tally import counters, must

NOT_PASSED = {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
              "content-length", "x-timeout"}
AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def load_report(text):
    """The module's names for a report's fields; what cannot be read is none."""
    try:
        report = json.loads(text) if text else None
        return {LOADS.get(k, k): float(v) for k, v in report.items()} if report else None
    except (ValueError, TypeError, AttributeError):
        counters["unreadable_reports"] += 1
        return None


class Backends:
    def __init__(self, queue, clock, settings, sockets):
        self.queue, self.clock, self.settings = queue, clock, settings
        self.endpoints, self.running = {}, {}       # by backend: host:port; by delivery: its task
        self.sockets, self.session = sockets, None

    async def start(self):
        idle = (self.settings["idle_close"] - 2 * self.settings["connect_timeout"]) / 1e6
        connector = aiohttp.TCPConnector(limit=self.sockets // 2, keepalive_timeout=max(0.0, idle),
                                         force_close=False, happy_eyeballs_delay=None, use_dns_cache=False)
        self.session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False, trust_env=False,
            skip_auto_headers=AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=self.settings["connect_timeout"] / 1e6))
        # It would send a GET again by itself when a kept connection breaks; each sending is a delivery.
        must(hasattr(self.session, "_retry_connection"), "client_resends_can_be_stopped")
        self.session._retry_connection = False

    def deliver(self, d, request):
        task = asyncio.create_task(self.delivery(d, request))
        self.running[d] = task
        counters["deliveries"] += 1

    def cancel(self, d):
        if d in self.running:
            self.running[d].cancel()

    async def delivery(self, d, request):
        result, body, content_type, load, actual = Result.CANCELLED, b"", None, None, 0
        try:
            left = (d.until - self.clock()) / 1e6
            if left <= 0:
                result = Result.VOID
                return
            result = Result.TIMED_OUT
            headers = {k: v for k, v in request.headers.items() if k.lower() not in NOT_PASSED}
            headers["X-Timeout"] = f"{left:.3f}"
            async with asyncio.timeout(left):
                async with self.session.request(
                        request.method, self.url(d.backend, request.target), headers=headers,
                        data=request.body or None, allow_redirects=False) as response:
                    body = await response.read()
                result, load = self.outcome(response), load_report(response.headers.get("X-Server-Load"))
                content_type = response.headers.get("Content-Type")
                actual = int(response.headers.get("Api-Charge") or 0)
        except TimeoutError as trouble:
            if isinstance(trouble, aiohttp.ConnectionTimeoutError):
                result = Result.UNREACHABLE
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL):
            result = Result.UNREACHABLE
        except (aiohttp.ClientError, OSError, ValueError):
            result = Result.BROKEN
        except asyncio.CancelledError:
            result = Result.CANCELLED
        finally:
            del self.running[d]
            counters["deliveries_" + result.name.lower()] += 1
            took = self.clock() - d.sent
            self.queue.put_nowait(("ended", d, result, took, body, content_type, load, actual))

    def url(self, backend, target):
        return aiohttp.client.URL(f"http://{self.endpoints[backend]}{target}", encoded=True)

    @staticmethod
    def outcome(response):
        if response.status == 200:
            return Result.SUCCEEDED
        if response.status in (503, 504) and response.headers.get("X-Not-Processed") == "1":
            return Result.REJECTED
        return Result.ERRORED

    def probe(self, backend):
        asyncio.create_task(self.probing(backend))

    async def probing(self, backend):
        counters["probes"] += 1
        reports = self.settings["load_reports"] != "none"
        result, load, sent = Result.ERRORED, None, self.clock()
        try:
            async with asyncio.timeout(self.settings["connect_timeout"] / 1e6):
                async with self.session.get(self.url(backend, "/_load" if reports else "/ping")) as response:
                    text = await response.read()
                if response.status == 200:
                    result, load = Result.SUCCEEDED, load_report(text) if reports else None
        except TimeoutError:
            result = Result.TIMED_OUT
        except aiohttp.ClientConnectorError:
            result = Result.UNREACHABLE
        except (aiohttp.ClientError, OSError):
            result = Result.BROKEN
        self.queue.put_nowait(("probed", backend, result, self.clock() - sent, load))
