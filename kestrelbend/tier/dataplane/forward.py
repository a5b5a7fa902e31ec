"""Forwards one exchange: chooses backends, attempts, repeats where that is allowed, passes the answer on.

Invariants: a request that is not repeatable is sent again only after a send that certainly did not run; a
repeatable one runs at no more than the route's `retries` backends that live on; an answer that was begun is
continued only where the route may be resumed, at the event after the last one passed on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs

from ..discovery.messages import Backend
from . import ports
from .admission_control import AdmissionControl
from .attempt import Attempter, Opened, Progress
from .choice import Chooser
from .client import Client, OwnAnswer
from .errors import DataPlaneError
from .exchange import LAST_EVENT_ID, PROGRAM, Exchange, Failure
from .hedge import Hedger
from .send import MISDIRECTED, Sending
from .waiting_queue import Rank, WaitingQueues

SENDS_AT_MOST = 64
RUNS_AT_MOST = 3  # attempts of one repeatable request that may have run
BREAKS_AT_MOST = 2
REPEAT_PAUSES_S = (0.0, 0.03, 0.1)
HOLD_SHARE = 0.2  # of its objective that a request waits for room before it is refused
PROGRAM_HOLD_SHARE = 1.0  # a program's call costs the whole program when it fails
MISDIRECTED_RETRY_S = 0.2  # a backend's weights may be changing
SILENCE_S = 1.0  # of a stream that was begun; clients give up at twice this, or at twice the next two
SILENCE_AIMS = 2.0  # in relation to the objective
SILENCE_GAPS = 4.0  # in relation to the longest pause in time


@attrs.define
class _Course:
    """What is known of one exchange's attempts."""

    rank: Rank
    hold_until: float
    position: int | None  # the id of the last event that the client has
    sends: int = 0
    runs: int = 0
    breaks: int = 0  # connections that broke before the request left
    ran_at: set[str] = attrs.field(factory=set)  # may have run there, and it was not seen to crash
    full: set[str] = attrs.field(factory=set)  # turned it away in this round
    lost: set[str] = attrs.field(factory=set)  # gone or out of reach
    other_version: set[str] = attrs.field(factory=set)  # their weights are not those that the client expects


class Forwarder:
    """Carries exchanges to an end."""

    def __init__(
        self,
        backends: ports.Backends,
        attempter: Attempter,
        chooser: Chooser,
        hedger: Hedger,
        waiting: WaitingQueues,
        admission: AdmissionControl,
    ) -> None:
        self._backends = backends
        self._attempter = attempter
        self._chooser = chooser
        self._hedger = hedger
        self._waiting = waiting
        self._admission = admission

    async def forward(self, exchange: Exchange, client: Client, progress: Progress) -> OwnAnswer | None:
        """The own answer to give; None when the client has its answer, or must see its connection break."""
        course = _course(exchange, self._admission.rank(exchange))
        while not client.gone:
            backend = self._pick(exchange, course)
            if backend is None:
                if await self._wait_for_room(exchange, course, client):
                    continue
                return self._refusal(exchange, course, progress, client)
            self._chooser.begin(backend.identity)
            try:
                failure = await self._try(exchange, course, backend, client, progress)
            finally:
                self._chooser.end(backend.identity)
            if failure is None:
                return None
            self._take_in(course, backend, failure)
            if not failure.certainly_not_run:
                if not _may_repeat(exchange, course, client):
                    return self._refusal(exchange, course, progress, client)
                await asyncio.sleep(REPEAT_PAUSES_S[min(course.runs, len(REPEAT_PAUSES_S)) - 1])
        return None

    def _pick(self, exchange: Exchange, course: _Course) -> Backend | None:
        if course.sends >= SENDS_AT_MOST:
            return None
        live = self._backends.of(exchange.service.name)
        left_out = course.full | course.lost | course.other_version
        candidates = [backend for backend in live if backend.identity not in left_out]
        if exchange.named_instance is not None:
            candidates = _named(exchange, candidates)
        if len(course.ran_at) >= max(1, exchange.route.retries):
            candidates = [backend for backend in candidates if backend.identity in course.ran_at]
        return self._chooser.choose(exchange, candidates, asyncio.get_running_loop().time())

    async def _wait_for_room(self, exchange: Exchange, course: _Course, client: Client) -> bool:
        """Whether the backends that were full may be tried again."""
        if not course.full or course.sends >= SENDS_AT_MOST:
            return False
        self._admission.record_saturation(exchange)
        until = exchange.deadline if client.started else course.hold_until
        if not await self._waiting.wait(exchange.service.name, course.rank, until):
            return False
        course.full.clear()
        return True

    async def _try(
        self,
        exchange: Exchange,
        course: _Course,
        backend: Backend,
        client: Client,
        progress: Progress,
    ) -> Failure | None:
        """One attempt, hedged, and the passing on of its answer; None when the client has it whole."""
        last = exchange.fields.get(LAST_EVENT_ID)
        if client.events:
            last = b"%d" % course.position

        async def attempt(second: bool) -> Opened | Failure:
            course.sends += 1
            sending = Sending(backend, last, fresh=second or course.runs > 0)
            return await self._attempter.attempt(exchange, sending, course.position, progress)

        opened = await self._hedger.run(exchange, attempt)
        if isinstance(opened, Failure):
            return opened
        try:
            if self._to_be_repeated(exchange, course, opened, client):
                return Failure.BROKEN
            failure = await self._pass_on(exchange, course, opened, client)
        finally:
            opened.close()
        if failure is not None:
            self._attempter.broke_midway(backend.identity)
        return failure

    def _to_be_repeated(self, exchange: Exchange, course: _Course, opened: Opened, client: Client) -> bool:
        """A failure of the backend's own that a repeat may mend, or no continuation of what was begun."""
        if client.started:
            return not opened.answer.events
        return opened.failed and exchange.repeatable and course.runs + 1 < RUNS_AT_MOST

    async def _pass_on(
        self, exchange: Exchange, course: _Course, opened: Opened, client: Client
    ) -> Failure | None:
        answer = opened.answer
        if not client.started:
            await client.start(answer.status, answer.headers)
        if opened.whole:
            await client.body(opened.data, more=False)
            return None
        silence_s = _silence(exchange)
        loop = asyncio.get_running_loop()
        data, events = opened.data, opened.events
        try:
            async with asyncio.timeout(None) as silence:  # set while the backend is waited for, alone
                while data is not None:
                    if opened.splitter is not None:
                        course.position = opened.splitter.position
                        client.events += events
                    if data:
                        await client.body(data, more=True)
                    if silence_s is not None:
                        silence.reschedule(loop.time() + silence_s)
                    data, events = await _next_part(opened)
                    silence.reschedule(None)
        except (DataPlaneError, TimeoutError):
            return Failure.BROKEN
        await client.body(b"", more=False)
        return None

    def _take_in(self, course: _Course, backend: Backend, failure: Failure) -> None:
        identity = backend.identity
        if not failure.certainly_not_run:
            course.runs += 1
            course.ran_at.add(identity)
        elif failure is Failure.BROKEN_BEFORE_SEND:
            course.breaks += 1
            if course.breaks >= BREAKS_AT_MOST:
                course.full.add(identity)  # it resets connections beyond its limit
        elif failure in (Failure.NOT_EXECUTED, Failure.NO_CONNECTION):
            course.full.add(identity)
        elif failure is Failure.REFUSED:
            course.lost.add(identity)
            course.ran_at.discard(identity)  # it crashed: it does not count against `retries`
        elif failure in (Failure.UNREACHABLE, Failure.WITHDRAWN):
            course.lost.add(identity)
        elif failure is Failure.OTHER_VERSION:
            course.other_version.add(identity)
        elif failure is Failure.OTHER_INSTANCE:
            self._backends.mark_departed(identity)
            course.lost.add(identity)
            course.ran_at.discard(identity)

    def _refusal(
        self, exchange: Exchange, course: _Course, progress: Progress, client: Client
    ) -> OwnAnswer | None:
        if client.started:
            return None
        if progress.may_have_run:
            return OwnAnswer(502, "the backend's answer was lost")
        if course.other_version and not course.full:
            return OwnAnswer(MISDIRECTED, "no backend has the expected version", MISDIRECTED_RETRY_S)
        live = self._backends.of(exchange.service.name)
        if exchange.named_instance is not None and not _named(exchange, live):
            return OwnAnswer(MISDIRECTED, "the expected instance is not there", MISDIRECTED_RETRY_S)
        return self._admission.rejection()


async def _next_part(opened: Opened) -> tuple[bytes | None, int]:
    data = await opened.answer.next()
    if opened.splitter is None:
        return data, 0
    if data is None:
        return opened.splitter.end() or None, 0
    events = opened.splitter.feed(data)
    return events.data, events.count


def _named(exchange: Exchange, backends: Sequence[Backend]) -> list[Backend]:
    """Those of `backends` that the client allows by naming an instance."""
    return [backend for backend in backends if backend.identity.encode() == exchange.named_instance]


def _silence(exchange: Exchange) -> float | None:
    """Seconds after which a stream that fell silent is resumed: well before its client gives it up."""
    if not (exchange.streaming and exchange.route.resumable):
        return None
    route = exchange.route
    return max(
        SILENCE_S, route.slo_ms / 1000 * SILENCE_AIMS, route.inter_token_target_ms / 1000 * SILENCE_GAPS
    )


def _course(exchange: Exchange, rank: Rank) -> _Course:
    fields = exchange.fields
    share = PROGRAM_HOLD_SHARE if PROGRAM in fields else HOLD_SHARE
    hold_until = min(exchange.deadline, exchange.begun + exchange.route.slo_ms / 1000 * share)
    return _Course(rank, hold_until, _number(fields.get(LAST_EVENT_ID)))


def _may_repeat(exchange: Exchange, course: _Course, client: Client) -> bool:
    if not exchange.repeatable or course.runs >= RUNS_AT_MOST:
        return False
    if not client.started:
        return True
    return exchange.streaming and client.events > 0 and course.position is not None


def _number(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None
