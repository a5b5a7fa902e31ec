"""Forwards one exchange: chooses backends, sends, repeats where that is allowed, passes the answer on.

Invariants: a request that is not repeatable is sent again only after a send that certainly did not run; a
repeatable one runs at no more than the route's `retries` backends that live on; an answer that was begun is
continued only where the route may be resumed, at the event after the last one passed on.
"""

from __future__ import annotations

import asyncio

import attrs

from ..discovery.messages import Backend
from . import ports
from .choice import Chooser
from .client import Client, OwnAnswer
from .errors import DataPlaneError
from .events import EventSplitter
from .exchange import LAST_EVENT_ID, Exchange, Failure
from .health import Health
from .send import Answer, Progress, Sender

WHOLE_ANSWER_BYTES = 256 * 1024  # an answer up to this size is held until it is whole
SENDS_AT_MOST = 12
RUNS_AT_MOST = 4  # sends of one repeatable request that may have run
REPEAT_PAUSE_S = 0.02
RETRY_AFTER_S = 0.25


@attrs.define
class _Attempts:
    """What is known of the backends for this exchange."""

    sends: int = 0
    runs: int = 0
    ran_at: set[str] = attrs.field(factory=set)  # may have run there, and it lives as far as is known
    left_out: set[str] = attrs.field(factory=set)  # turned it away, gone or out of reach
    pause: bool = False


class Forwarder:
    """Carries exchanges to an end.  Returns the own answer to give, or None when the client has its answer
    (or must see its connection break)."""

    def __init__(
        self,
        backends: ports.Backends,
        sender: Sender,
        chooser: Chooser,
        health: Health,
    ) -> None:
        self._backends = backends
        self._sender = sender
        self._chooser = chooser
        self._health = health

    async def forward(self, exchange: Exchange, client: Client, progress: Progress) -> OwnAnswer | None:
        attempts = _Attempts()
        splitter = EventSplitter(_number(exchange.fields.get(LAST_EVENT_ID)))
        while True:
            backend = self._pick(exchange, attempts)
            if backend is None:
                return self._give_up(progress, client)
            self._chooser.begin(backend.identity)
            try:
                outcome = await self._send(exchange, backend, attempts, splitter, progress, client)
                if isinstance(outcome, Answer):
                    outcome = await self._pass_on(exchange, outcome, splitter, client)
            finally:
                self._chooser.end(backend.identity)
            if outcome is None:
                self._health.answered(backend.identity, asyncio.get_running_loop().time())
                return None
            self._learn(backend, outcome, attempts)
            if not outcome.certainly_not_run and not _may_repeat(exchange, client, splitter):
                return self._give_up(progress, client)
            if attempts.pause:
                attempts.pause = False
                await asyncio.sleep(REPEAT_PAUSE_S)

    def _pick(self, exchange: Exchange, attempts: _Attempts) -> Backend | None:
        if attempts.sends >= SENDS_AT_MOST or attempts.runs >= RUNS_AT_MOST:
            return None
        live = self._backends.of(exchange.service.name)
        candidates = [backend for backend in live if backend.identity not in attempts.left_out]
        if len(attempts.ran_at) >= max(1, exchange.route.retries):
            candidates = [backend for backend in candidates if backend.identity in attempts.ran_at]
        now = asyncio.get_running_loop().time()
        return self._chooser.choose(exchange, candidates, now)

    async def _send(
        self,
        exchange: Exchange,
        backend: Backend,
        attempts: _Attempts,
        splitter: EventSplitter,
        progress: Progress,
        client: Client,
    ) -> Answer | Failure:
        attempts.sends += 1
        last = exchange.fields.get(LAST_EVENT_ID)
        if client.events:
            last = b"%d" % splitter.last_id
        outcome = None
        try:
            outcome = await self._sender.send(exchange, backend, last, progress)
        finally:
            progress.settle_send(outcome)
        return outcome

    def _learn(self, backend: Backend, failure: Failure, attempts: _Attempts) -> None:
        """Takes in a failed send."""
        identity, now = backend.identity, asyncio.get_running_loop().time()
        if not failure.certainly_not_run:
            self._health.failed(identity, now)
            attempts.ran_at.add(identity)
            attempts.runs += 1
            attempts.pause = True
            return
        if failure is Failure.BROKEN_BEFORE_SEND:
            return
        if failure is Failure.NOT_EXECUTED:
            self._health.turned_away(identity, now)
        elif failure is Failure.OTHER_INSTANCE:
            self._backends.mark_gone(identity)
        elif failure in (Failure.REFUSED, Failure.UNREACHABLE):
            self._health.refused(identity, now)
        attempts.left_out.add(identity)
        attempts.ran_at.discard(identity)

    def _give_up(self, progress: Progress, client: Client) -> OwnAnswer | None:
        if client.started:
            return None
        if progress.may_have_run:
            return OwnAnswer(502, "the backend's answer was lost")
        return OwnAnswer(503, "no backend could take the request", RETRY_AFTER_S)

    async def _pass_on(
        self, exchange: Exchange, answer: Answer, splitter: EventSplitter, client: Client
    ) -> Failure | None:
        """None when the client has the whole answer."""
        try:
            if answer.events:
                await self._pass_events(answer, splitter, client)
            elif client.started:
                return Failure.GARBLED  # a resumed stream that is none
            else:
                await self._pass_whole(answer, client)
            await answer.finish()
            return None
        except DataPlaneError:
            return Failure.BROKEN
        finally:
            answer.close()

    async def _pass_events(self, answer: Answer, splitter: EventSplitter, client: Client) -> None:
        splitter.restart()
        while (data := await answer.next()) is not None:
            events = splitter.feed(data)
            if events.count:
                if not client.started:
                    await client.start(answer.status, answer.headers)
                client.events += events.count
                await client.body(events.data, more=True)
        splitter.end()
        if not client.started:
            await client.start(answer.status, answer.headers)
        await client.body(b"", more=False)

    async def _pass_whole(self, answer: Answer, client: Client) -> None:
        held = []
        size = 0
        while (data := await answer.next()) is not None:
            held.append(data)
            size += len(data)
            if size > WHOLE_ANSWER_BYTES:
                if not client.started:
                    await client.start(answer.status, answer.headers)
                await client.body(b"".join(held), more=True)
                held.clear()
        if not client.started:
            await client.start(answer.status, answer.headers)
        await client.body(b"".join(held), more=False)


def _may_repeat(exchange: Exchange, client: Client, splitter: EventSplitter) -> bool:
    if not exchange.repeatable:
        return False
    if not client.started:
        return True
    return exchange.streaming and client.events > 0 and splitter.last_id is not None


def _number(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None
