"""A day of mixed faults, drawn by a seed; played, and shrunk where it breaks a rule.

A day is named by one line, `seed:places/kinds@shape`: the seed, the places of the faults that are left of it,
the kinds that it was drawn from (none: all that the shape bears), and the deployment (none: the default).
"""

from __future__ import annotations

import asyncio
import random

import attrs

from ..membership.fault_tolerance import Losses
from .faults import KINDS, FaultKind, acknowledging_machine, start_all
from .fleet import Size
from .shapes import DEFAULT_SHAPE, SHAPES
from .world import World, play

LENGTH_S = 5.0  # faults begin within this
MIN_INTERVAL_S = 4.5  # CatchupS and a little, between faults of machines that count
MAX_FAULTS = 3
CLOSINGS = ("none", "none", "power_off_all", "kill_all", "wipe_after_ack")


class UnknownKind(ValueError):
    """A name of no kind of fault."""

    def __init__(self, name: str) -> None:
        super().__init__(f"'{name}' is none of {', '.join(sorted(KINDS))}")


class UnknownShape(ValueError):
    """A name of no shape."""

    def __init__(self, name: str) -> None:
        super().__init__(f"'{name}' is none of {', '.join(SHAPES)}")


@attrs.frozen
class Fault:
    """One fault of a day; `place` is where it stands in the seed's whole list."""

    index: int
    at: float
    kind: str


def kinds_borne(tolerated: Losses) -> list[str]:
    """The kinds of fault that a deployment bears which tolerates these losses."""
    return [kind.name for kind in KINDS.values() if kind.is_borne(tolerated)]


@attrs.frozen
class Day:
    """A seed's faults, or those that are left of them."""

    seed: int
    faults: tuple[Fault, ...]
    closing: str
    kinds: tuple[str, ...] = ()  # that it was drawn from; none: all that the shape bears
    shape: str = DEFAULT_SHAPE

    @classmethod
    def draw(cls, seed: int, kinds: tuple[str, ...] = (), shape: str = DEFAULT_SHAPE) -> Day:
        """The whole day of a seed, out of all kinds of fault that the shape bears or some."""
        rng = random.Random(f"day {seed}")
        names = sorted(kinds or kinds_borne(SHAPES[shape].tolerance.losses))
        drawn = [rng.choice(names) for _ in range(rng.randint(1, MAX_FAULTS))]
        times = sorted(rng.uniform(0.0, LENGTH_S) for _ in drawn)
        pairs = enumerate(zip(times, drawn, strict=True))
        faults = tuple(Fault(index, at, kind) for index, (at, kind) in pairs)
        return cls(seed, faults, rng.choice(CLOSINGS), tuple(kinds), shape)

    @classmethod
    def read(cls, line: str) -> Day:
        """The day that `str` names; raises `ValueError` where the seed is no number or a name is unknown."""
        line, _, shape = line.partition("@")
        shape = shape or DEFAULT_SHAPE
        if shape not in SHAPES:
            raise UnknownShape(shape)
        head, _, names = line.partition("/")
        seed, _, places = head.partition(":")
        kinds = tuple(names.split(",")) if names else ()
        unknown = [kind for kind in kinds if kind not in KINDS]
        if unknown:
            raise UnknownKind(unknown[0])
        whole = cls.draw(int(seed), kinds, shape)
        if not places:
            return whole
        kept = places.split(",")
        faults = tuple(fault for fault in whole.faults if str(fault.index) in kept)
        closing = whole.closing if "end" in kept else "none"
        return attrs.evolve(whole, faults=faults, closing=closing)

    def __str__(self) -> str:
        places = [str(fault.index) for fault in self.faults]
        places += ["end"] if self.closing != "none" else [] if places else ["none"]
        names = f"/{','.join(self.kinds)}" if self.kinds else ""
        shape = f"@{self.shape}" if self.shape != DEFAULT_SHAPE else ""
        return f"{self.seed}:{','.join(places)}{names}{shape}"

    def describe(self) -> str:
        """The faults in words, times in seconds."""
        described = [f"{fault.kind} at {fault.at:.1f}" for fault in self.faults]
        return "; ".join([*described, f"closing {self.closing}"])


@attrs.frozen
class Result:
    """What became of a day."""

    day: Day
    violations: tuple[str, ...]
    log_lines: tuple[str, ...]
    turns: int
    orders: int


class _Player:
    """Plays the faults of a day, those of machines that count one after the other."""

    def __init__(self, world: World, day: Day) -> None:
        self._world = world
        self._day = day
        self._quorum_lock = asyncio.Lock()
        self._quorum_free_at = 0.0

    async def play(self) -> None:
        began = self._world.fleet.now()
        running = [asyncio.create_task(self._play_one(fault, began)) for fault in self._day.faults]
        running.append(asyncio.create_task(asyncio.sleep(1.0)))
        await asyncio.gather(*running)
        await self._close(random.Random(f"closing {self._day.seed}"))

    async def _play_one(self, fault: Fault, began: float) -> None:
        kind = KINDS[fault.kind]
        rng = random.Random(f"trouble {self._day.seed} {fault.index}")
        await asyncio.sleep(began + fault.at - self._world.fleet.now())
        if not kind.affects_quorum:
            await self._run(kind, rng)
            return
        async with self._quorum_lock:
            await asyncio.sleep(self._quorum_free_at - self._world.fleet.now())
            await self._run(kind, rng)
            self._quorum_free_at = self._world.fleet.now() + MIN_INTERVAL_S

    async def _run(self, kind: FaultKind, rng: random.Random) -> None:
        self._world.fleet.log(f"-- {kind.name}")
        await kind.play(self._world, rng)

    async def _close(self, rng: random.Random) -> None:
        """The final fault, right after one more change was acknowledged."""
        closing, fleet = self._day.closing, self._world.fleet
        if closing == "none":
            return
        await asyncio.sleep(self._quorum_free_at - fleet.now())
        machine = await acknowledging_machine(self._world)
        fleet.log(f"-- closing {closing}")
        everybody = list(fleet.machines.values())
        if closing == "wipe_after_ack":
            victim = (
                machine if machine is not None and rng.random() < 0.6 else rng.choice(fleet.quorum_machines())
            )
            fleet.wipe(victim)
            everybody = [victim]
            if rng.random() < 0.6:
                others = [other for other in fleet.quorum_machines() if other is not victim]
                everybody += others
                for other in others:
                    fleet.lose_power(other)
        for machine in everybody:
            if closing != "wipe_after_ack":
                (fleet.lose_power if closing == "power_off_all" else fleet.kill)(machine)
        await start_all(self._world, rng, everybody, rng.uniform(0.2, 2.0))


def play_day(day: Day, size: Size | None = None) -> Result:
    """Plays a day to its calm end, on a deployment of the day's shape or of a given size."""
    world = play(lambda world: _Player(world, day).play(), day.seed, size or SHAPES[day.shape])
    programs = world.programs.all.values()
    return Result(
        day=day,
        violations=tuple(world.fleet.violations),
        log_lines=tuple(world.fleet.log_lines),
        turns=sum(len(program.attempts) for program in programs),
        orders=len(world.operator.orders),
    )


def shrink(day: Day) -> Day:
    """Leaves faults out for as long as the day still breaks a rule."""
    smaller = True
    while smaller:
        smaller = False
        for candidate in _smaller_days(day):
            if play_day(candidate).violations:
                day, smaller = candidate, True
                break
    return day


def _smaller_days(day: Day) -> list[Day]:
    days = []
    if day.closing != "none":
        days.append(attrs.evolve(day, closing="none"))
    for left_out in day.faults:
        kept = tuple(fault for fault in day.faults if fault is not left_out)
        days.append(attrs.evolve(day, faults=kept))
    return days
