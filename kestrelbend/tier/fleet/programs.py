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

STRIDE = 8
EVENT_S = 0.03
DEADLINE_S = 4.0
RESERVE_BOUND_S = 1.0  # in touch, a reservation is answered within this
AGAIN_S = (0.1, 0.4)
TRIES = 5
MOST_TURNS = 8
SETTLE_S = 1.0  # SettleMs
POLL_S = 0.25


@attrs.define(eq=False)
class Turn:
    """One try of a turn at one gateway."""

    reservation: str
    most: int
    gateway: str
    life: Execution  # of the gateway's process
    verdict: Verdict | None = None
    requested_at: float = 0.0
    answered_at: float | None = None
    handed: int = 0
    ended_whole_at: float | None = None
    given_up: bool = False
    over: asyncio.Event = attrs.field(factory=asyncio.Event)  # its client has a whole answer

    @property
    def refused(self) -> bool:
        """Nothing ran, and the client was told so."""
        return self.verdict is not None and self.verdict != Verdict.ADMITTED

    def counts(self, now: float) -> int:
        """The tokens that may count against the program when it is refused."""
        if self.refused:
            settled = self.answered_at is not None and now - self.answered_at >= SETTLE_S
            return 0 if settled else self.most
        ended_at = self.ended_whole_at
        if ended_at is None or now - ended_at < SETTLE_S or self._settlement_lost(ended_at):
            return self.most
        return self.handed

    def _settlement_lost(self, turn_ended_at: float) -> bool:
        """The gateway ended so soon after the turn that its word of it may have gone with it."""
        ended_at = self.life.ended_at
        return ended_at is not None and ended_at - turn_ended_at < SETTLE_S


class Program:
    """One program: turns one after the other, until its work or its budget is over."""

    def __init__(self, programs: Programs, name: str, budget: int, turns: int) -> None:
        self._programs = programs
        self._fleet = programs.fleet
        self.name = name
        self.budget = budget
        self.turns = turns
        self.tries: list[Turn] = []
        self.failed = False
        self._random = random.Random(f"program {name} {self._fleet.seed}")

    @property
    def handed(self) -> int:
        """Tokens that its clients have received."""
        return sum(turn.handed for turn in self.tries)

    async def run(self, session: str = "main") -> None:
        """All turns of a session; each is tried anew a few times."""
        for number in range(self.turns):
            most = STRIDE * self._random.randint(2, 9)
            if not await self._take_turn(session, number, most):
                return
            await asyncio.sleep(self._random.uniform(0.02, 0.2))

    async def _take_turn(self, session: str, number: int, most: int) -> bool:
        for attempt in range(TRIES):
            turn = await self._try(session, number, f"{session}-{number}-{attempt}", most)
            if turn is not None and turn.ended_whole_at is not None:
                return True
            if turn is not None and turn.verdict == Verdict.SPENT:
                return False
            await asyncio.sleep(self._random.uniform(*AGAIN_S) * (1 + attempt))
        self.failed = True
        return False

    async def _try(self, session: str, number: int, name: str, most: int) -> Turn | None:
        gateways = self._programs.gateways()
        if not gateways:
            return None
        gateway = self._random.choice(gateways)
        turn = Turn(f"{self.name}-{name}", most, gateway.machine.name, gateway.current())
        turn.requested_at = self._fleet.now()
        self.tries.append(turn)
        reserve = Reserve(self.name, session, turn.reservation, number, most, self.budget, True)
        life = gateway.current()
        serve = functools.partial(self._serve, gateway.gateway.budgets, turn, reserve)
        self._fleet.loop.call_soon(_begin, self._fleet.loop, serve, context=life.context)
        ends = self._fleet.now() + DEADLINE_S
        while not life.ended and not turn.over.is_set() and self._fleet.now() < ends:
            self._programs.check_silent(gateway, turn)
            await _wait(turn.over, POLL_S)
        turn.given_up = turn.ended_whole_at is None and not turn.refused
        return turn

    async def _serve(self, budgets: GatewayBudgets, turn: Turn, reserve: Reserve) -> None:
        """What the gateway does with the turn; runs as a part of its process."""
        reserve = attrs.evolve(reserve, reservation=budgets.reservation_name(turn.reservation))
        turn.reservation = reserve.reservation
        if budgets.spent_locally(self.name, turn.most, self.budget):
            verdict = Verdict.SPENT
        else:
            outcome = await budgets.reserve("model", reserve)
            verdict = Verdict(outcome.verdict)
        turn.answered_at = self._fleet.now()
        turn.verdict = verdict
        self._programs.admitted += verdict == Verdict.ADMITTED
        if verdict == Verdict.SPENT:
            self._check_refusal(turn)
        if verdict != Verdict.ADMITTED:
            turn.over.set()
            return
        while turn.handed < turn.most and not turn.given_up:
            await asyncio.sleep(EVENT_S)
            if turn.given_up:
                break
            turn.handed += STRIDE
            if self.handed > self.budget:
                self._fleet.broken(f"{self.name} has got {self.handed} tokens of {self.budget}")
            if self._random.random() < 0.1:
                break
        whole = not turn.given_up
        if whole:
            turn.ended_whole_at = self._fleet.now()
            turn.over.set()
        end = TurnEnd.COMPLETE if whole else TurnEnd.BROKEN_OFF
        budgets.settle("model", Settlement(self.name, turn.reservation, turn.handed, int(end)))

    def _check_refusal(self, turn: Turn) -> None:
        now = self._fleet.now()
        counted = sum(other.counts(now) for other in self.tries if other is not turn)
        if counted + turn.most <= self.budget:
            self._programs.false_refusals.append(turn)
            self._fleet.broken(
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
        self.false_refusals: list[Turn] = []
        self._random = random.Random(f"programs {fleet.seed}")
        self._silent_told: set[str] = set()

    def gateways(self) -> list[Process]:
        """Gateways that clients are sent to."""
        return [gateway for gateway in self.fleet.processes("gateway") if gateway.gateway.lifecycle.ready]

    def begin(self, most_turns: int = MOST_TURNS) -> asyncio.Task[None]:
        """One more program."""
        name = f"program-{len(self.all) + 1}"
        budget = STRIDE * self._random.randint(8, 60)
        program = Program(self, name, budget, self._random.randint(2, most_turns))
        self.all[name] = program
        return asyncio.create_task(program.run())

    async def begin_twice(self) -> None:
        """One program whose turns go through two gateways at once."""
        program = Program(self, f"program-{len(self.all) + 1}", STRIDE * 40, MOST_TURNS)
        self.all[program.name] = program
        await asyncio.gather(program.run("a"), program.run("b"))

    def check_silent(self, gateway: Process, turn: Turn) -> None:
        """In touch, a reservation is answered within a second."""
        if turn.answered_at is not None or turn.reservation in self._silent_told:
            return
        since = max(turn.requested_at, self.fleet.contact.in_touch_since(gateway.machine.name))
        if self.fleet.now() - since > RESERVE_BOUND_S:
            self._silent_told.add(turn.reservation)
            self.fleet.broken(
                f"{turn.reservation} waits at {turn.gateway} for its reservation in a calm time"
            )
