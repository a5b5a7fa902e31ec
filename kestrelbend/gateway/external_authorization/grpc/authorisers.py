"""Asking external authorisers before the first delivery, by gRPC; what to make of it is `asking`'s."""

from __future__ import annotations

import asyncio
import logging

import grpc
from envoy.service.auth.v3 import external_auth_pb2, external_auth_pb2_grpc

from ...interface import Result
from ...net.metrics import counters
from ..asking import Asking, Verdict

log = logging.getLogger(__name__)
REMADE_AFTER = 8  # failed calls in a row after which a connection is made anew
# Of the call itself; whatever else the service says is its own word and no failure of it.
NO_ANSWER = {
    grpc.StatusCode.UNAVAILABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED,
    grpc.StatusCode.CANCELLED,
    grpc.StatusCode.INTERNAL,
    grpc.StatusCode.UNKNOWN,
    grpc.StatusCode.RESOURCE_EXHAUSTED,
    grpc.StatusCode.UNIMPLEMENTED,
    grpc.StatusCode.DATA_LOSS,
}


class Link:
    """The connection to one authoriser, kept and made anew."""

    def __init__(self, stated):
        self.asking, self.stated, self.failed = Asking(stated), stated, 0
        self.channel = self.made = None

    def stub(self):
        if self.channel is None:
            self.channel = grpc.aio.insecure_channel(
                self.stated.target,
                options=[
                    ("grpc.max_receive_message_length", self.stated.longest),
                    ("grpc.max_metadata_size", self.stated.longest),
                    ("grpc.enable_retries", 0),
                    ("grpc.initial_reconnect_backoff_ms", 100),
                    ("grpc.max_reconnect_backoff_ms", 2000),
                    ("grpc.keepalive_time_ms", 20_000),
                    ("grpc.keepalive_timeout_ms", 2_000),
                    ("grpc.use_local_subchannel_pool", 1),
                ],
            )
            self.made = external_auth_pb2_grpc.AuthorizationStub(self.channel)
        return self.made

    def heard(self, answered):
        self.failed = 0 if answered else self.failed + 1
        if self.failed >= REMADE_AFTER and self.channel is not None:
            old, self.channel, self.failed = self.channel, None, 0
            counters["authoriser_links_remade"] += 1
            return old
        return None


class Authorisers:
    """The chain; `deliver` stands before the backends' for first deliveries."""

    def __init__(self, stated, queue, clock):
        self.links, self.queue, self.clock = [Link(s) for s in stated], queue, clock
        self.running, self.closing = {}, set()

    def concerns(self, request):
        return [link for link in self.links if link.stated.concerns(request.operation, request.plan)]

    def deliver(self, d, request):
        """True: this delivery waits for its authorisers."""
        chain = self.concerns(request) if d.number == 0 else []
        if chain:
            self.running[d] = task = asyncio.create_task(self.delivery(d, request, chain))
            task.add_done_callback(lambda _: self.never_began(d))
        return bool(chain)

    def never_began(self, d):
        """One cancelled before its task had its first turn runs nothing of it, not even its end."""
        if self.running.pop(d, None) is not None:
            self.queue.put_nowait(("refused", d, Result.VOID, None))

    def cancel(self, d):
        """True: it waited here, and ends."""
        task = self.running.get(d)
        if task is not None:
            task.cancel()
        return task is not None

    async def delivery(self, d, request, chain):
        """Ends by handing the delivery on, or with exactly one event."""
        verdict, result = None, Result.CANCELLED
        try:
            for link in chain:
                verdict = await self.ask(link, d, request)
                if not verdict.allowed:
                    break
            result = None if verdict.allowed else Result.VOID
        except asyncio.CancelledError:
            pass
        except Exception:
            counters["faults"] += 1
            log.exception("fault", extra={"on": "authoriser"})
            result = Result.VOID
        finally:
            self.running.pop(d, None)
            if result is None:
                self.queue.put_nowait(("authorised", d))
            else:
                denial = verdict if result is Result.VOID and verdict is not None else None
                self.queue.put_nowait(("refused", d, result, denial))

    async def ask(self, link, d, request):
        """The verdict of one, within its part of the client's time."""
        asking, tries = link.asking, 0
        key = request.customer, request.plan, request.operation
        if (known := asking.known(self.clock(), key, request.retry)) is not None:
            counters["authoriser_remembered"] += 1
            return known
        end = self.clock() + asking.time(d.until - self.clock())
        while True:
            if why := asking.may_ask(self.clock()):
                counters["authoriser_" + why] += 1
                return asking.silent(why)
            tries += 1
            asking.begins()
            answered = False
            try:
                # Each try leaves some time for the next.
                left = (end - self.clock()) / 1e6
                part = left if tries > asking.stated.repeats else left / 2
                got = await link.stub().Check(check(request, d), timeout=max(0.001, part))
                answered = True
                verdict = self.read(asking, got)
                asking.remember(self.clock(), key, verdict)
                counters["authoriser_allowed" if verdict.allowed else "authoriser_denied"] += 1
                return verdict
            except grpc.aio.AioRpcError as trouble:
                answered = trouble.code() not in NO_ANSWER
                counters["authoriser_failed"] += 1
                if answered:  # the service's own word, but no verdict
                    return asking.denied(403, (), b"")
            finally:
                asking.ends(self.clock(), answered)
                if (old := link.heard(answered)) is not None:
                    self.close(old)
            if self.clock() >= end or not asking.may_repeat(tries):
                return asking.silent("no answer")

    @staticmethod
    def read(asking, got):
        if got.status.code == 0 and got.WhichOneof("http_response") != "denied_response":
            return Verdict(True)
        response = got.denied_response
        headers = [
            (option.header.key, option.header.value or option.header.raw_value.decode("latin-1"))
            for option in response.headers
        ]
        return asking.denied(int(response.status.code) or 403, headers, response.body.encode())

    def close(self, channel):
        task = asyncio.create_task(channel.close())
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def end(self):
        for link in self.links:
            if link.channel is not None:
                await link.channel.close()


def check(request, d):
    """The request as an authoriser is told it."""
    message = external_auth_pb2.CheckRequest()
    http = message.attributes.request.http
    http.id, http.method, http.path, http.protocol = request.id, request.method, request.target, "HTTP/1.1"
    http.size = len(request.body)
    for name, value in request.headers.items():
        low = name.lower()
        http.headers[low] = f"{http.headers[low]},{value}" if low in http.headers else value
    message.attributes.context_extensions.update(
        {
            "operation": request.operation,
            "plan": request.plan,
            "customer": request.customer,
            "units": f"{request.units:g}",
            "retry": "1" if request.retry else "0",
        }
    )
    return message
