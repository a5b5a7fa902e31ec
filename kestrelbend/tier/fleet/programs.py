"""Agent programs: turns through any gateway, with the gateway's own budget client, and what was handed out.

Invariant checked here: a program's clients never get more tokens than its budget, whatever fails.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import attrs

from ..budgets.messages import Reserve, Settlement, TurnEnd, Verdict
from .fleet import Fleet
from .loop import Execution, VirtualLoop
from .machines import Process

if TYPE_CHECKING:
    from ..roles.gateway_budgets import GatewayBudgets

STRIDE = 8  # tokens of an event
EVENT_S = 0.03  # between two events
DEADLINE_S = 4.0  # of an attempt
RESERVE_BOUND_S = 1.0  # in contact, a reservation is answered within this
RETRY_BACKOFF_S = (0.1, 0.4)  # drawn between these, times the number of the attempt
MAX_ATTEMPTS = 5  # of a turn
MAX_TURNS = 8  # of a session
SETTLE_S = 1.0  # SettleMs: until a turn's end counts at the owner
POLL_S = 0.25  # between two looks at a turn that waits


@attrs.define(eq=False)
class Turn:
    """One attempt of a turn at one gateway; times are in seconds of the loop."""

    reservation: str
    max_tokens: int
    gateway: str
    execution: Execution  # of the gateway's process
    verdict: Verdict | None = None
    requested_at: float = 0.0
    answered_at: float | None = None
    delivered_tokens: int = 0
    completed_at: float | None = None
    abandoned: bool = False
    finished: asyncio.Event = attrs.field(factory=asyncio.Event)  # its client has a complete answer

    @property
    def rejected(self) -> bool:
        """Nothing ran, and the client was told so."""
        return self.verdict is not None and self.verdict != Verdict.ADMITTED

    def counts(self, now: float) -> int:
        """The tokens that may count against the program when it is refused."""
        if self.rejected:
            settled = self.answered_at is not None and now - self.answered_at >= SETTLE_S
            return 0 if settled else self.max_tokens
        ended_at = self.completed_at
        if ended_at is None or now - ended_at < SETTLE_S or self._settlement_lost(ended_at):
            return self.max_tokens
        return self.delivered_tokens

    def _settlement_lost(self, turn_ended_at: float) -> bool:
        """The gateway ended so soon after the turn that its settlement may be lost with it."""
        ended_at = self.execution.ended_at
        return ended_at is not None and ended_at - turn_ended_at < SETTLE_S


class Program:
    """One program: turns one after the other, until its work or its budget is over."""

    def __init__(self, programs: Programs, name: str, budget: int, turns: int) -> None:
        self._programs = programs
        self._fleet = programs.fleet
        self.name = name
        self.budget = budget
        self.turns = turns
        self.attempts: list[Turn] = []
        self.failed = False
        self._random = random.Random(f"program {name} {self._fleet.seed}")

    @property
    def delivered_tokens(self) -> int:
        """Tokens that its clients have received."""
        return sum(turn.delivered_tokens for turn in self.attempts)

    async def run(self, session: str = "main") -> None:
        """All turns of a session; each is attempted a few times."""
        for number in range(self.turns):
            max_tokens = STRIDE * self._random.randint(2, 9)
            if not await self._take_turn(session, number, max_tokens):
                return
            await asyncio.sleep(self._random.uniform(0.02, 0.2))

    async def _take_turn(self, session: str, number: int, max_tokens: int) -> bool:
        for attempt in range(MAX_ATTEMPTS):
            turn = await self._attempt(session, number, f"{session}-{number}-{attempt}", max_tokens)
            if turn is not None and turn.completed_at is not None:
                return True
            if turn is not None and turn.verdict == Verdict.BUDGET_EXCEEDED:
                return False
            await asyncio.sleep(self._random.uniform(*RETRY_BACKOFF_S) * (1 + attempt))
        self.failed = True
        return False

    async def _attempt(self, session: str, number: int, name: str, max_tokens: int) -> Turn | None:
        gateways = self._programs.gateways()
        if not gateways:
            return None
        gateway = self._random.choice(gateways)
        turn = Turn(f"{self.name}-{name}", max_tokens, gateway.machine.name, gateway.current())
        turn.requested_at = self._fleet.now()
        self.attempts.append(turn)
        reserve = Reserve(self.name, session, turn.reservation, number, max_tokens, self.budget, True)
        execution = gateway.current()
        serve = functools.partial(self._serve, gateway.gateway.budgets, turn, reserve)
        self._fleet.loop.call_soon(_begin, self._fleet.loop, serve, context=execution.context)
        ends = self._fleet.now() + DEADLINE_S
        while not execution.ended and not turn.finished.is_set() and self._fleet.now() < ends:
            self._programs.check_answered(gateway, turn)
            await _wait(turn.finished, POLL_S)
        turn.abandoned = turn.completed_at is None and not turn.rejected
        return turn

    async def _serve(self, budgets: GatewayBudgets, turn: Turn, reserve: Reserve) -> None:
        """What the gateway does with the turn; runs as a part of its process."""
        reserve = attrs.evolve(reserve, reservation=budgets.reservation_name(turn.reservation))
        turn.reservation = reserve.reservation
        if budgets.spent_locally(self.name, turn.max_tokens, self.budget):
            verdict = Verdict.BUDGET_EXCEEDED
        else:
            outcome = await budgets.reserve("model", reserve)
            verdict = Verdict(outcome.verdict)
        turn.answered_at = self._fleet.now()
        turn.verdict = verdict
        self._programs.admitted += verdict == Verdict.ADMITTED
        if verdict == Verdict.BUDGET_EXCEEDED:
            self._check_rejection(turn)
        if verdict != Verdict.ADMITTED:
            turn.finished.set()
            return
        while turn.delivered_tokens < turn.max_tokens and not turn.abandoned:
            await asyncio.sleep(EVENT_S)
            if turn.abandoned:
                break
            turn.delivered_tokens += STRIDE
            if self.delivered_tokens > self.budget:
                self._fleet.report_violation(
                    f"{self.name} has got {self.delivered_tokens} tokens of {self.budget}"
                )
            if self._random.random() < 0.1:
                break
        complete = not turn.abandoned
        if complete:
            turn.completed_at = self._fleet.now()
            turn.finished.set()
        end = TurnEnd.COMPLETE if complete else TurnEnd.INTERRUPTED
        budgets.settle("model", Settlement(self.name, turn.reservation, turn.delivered_tokens, int(end)))

    def _check_rejection(self, turn: Turn) -> None:
        now = self._fleet.now()
        counted = sum(other.counts(now) for other in self.attempts if other is not turn)
        if counted + turn.max_tokens <= self.budget:
            self._programs.false_rejections.append(turn)
            self._fleet.report_violation(
                f"{self.name} is refused as spent with at most {counted} of {self.budget} used"
            )


async def _wait(event: asyncio.Event, within: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(within):
            await event.wait()


def _begin(loop: VirtualLoop, serve: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs in the gateway's process; a process that ends before it does leaves no coroutine unawaited."""
    loop.create_task(serve())


class Programs:
    """All programs of the day."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.all: dict[str, Program] = {}
        self.admitted = 0
        self.false_rejections: list[Turn] = []
        self._random = random.Random(f"programs {fleet.seed}")
        self._reported: set[str] = set()

    def gateways(self) -> list[Process]:
        """Gateways that clients are sent to."""
        return [gateway for gateway in self.fleet.processes("gateway") if gateway.gateway.lifecycle.ready]

    def begin(self, max_turns: int = MAX_TURNS) -> asyncio.Task[None]:
        """One more program."""
        name = f"program-{len(self.all) + 1}"
        budget = STRIDE * self._random.randint(8, 60)
        program = Program(self, name, budget, self._random.randint(2, max_turns))
        self.all[name] = program
        return asyncio.create_task(program.run())

    async def begin_in_two_sessions(self) -> None:
        """One program whose turns go through two gateways at once."""
        program = Program(self, f"program-{len(self.all) + 1}", STRIDE * 40, MAX_TURNS)
        self.all[program.name] = program
        await asyncio.gather(program.run("a"), program.run("b"))

    def check_answered(self, gateway: Process, turn: Turn) -> None:
        """In contact, a reservation is answered within `RESERVE_BOUND_S`."""
        if turn.answered_at is not None or turn.reservation in self._reported:
            return
        since = max(turn.requested_at, self.fleet.contact.in_contact_since(gateway.machine.name))
        if self.fleet.now() - since > RESERVE_BOUND_S:
            self._reported.add(turn.reservation)
            self.fleet.report_violation(
                f"{turn.reservation} waits at {turn.gateway} for its reservation in a calm time"
            )
