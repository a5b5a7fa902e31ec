"""Depth-first search over all runs of a script with up to some number of faults; equal states count once."""

from __future__ import annotations

import hashlib
import pickle
import time

import attrs

from ..replication.group import Voters
from .world import Script, Step, World

PROCEED: Step = ("proceed",)


@attrs.frozen
class Found:
    """What a search came to: `broken` is the first rule that a run broke, by which steps."""

    script: str
    faults: int
    states: int
    longest: int
    seconds: float
    complete: bool
    broken: str = ""
    steps: tuple[Step, ...] = ()
    group: Voters = ()  # at the end of the last run

    def summary(self) -> str:
        """A line about the search, and the faults among the steps of a run that broke a rule."""
        covered = "all runs" if self.complete else "not all runs"
        text = (
            f"{self.script}, {self.faults} faults: {covered}, {self.states} states, "
            f"longest {self.longest} steps, {self.seconds:.1f} s"
        )
        if not self.broken:
            return text
        faults = [f"{place} {' '.join(step)}" for place, step in enumerate(self.steps) if step != PROCEED]
        return f"{text}\n    BROKEN {self.broken}\n    by {len(self.steps)} steps, of them {faults}"


@attrs.frozen
class ReachedState:
    """A state not yet looked at, and the steps that led there."""

    state: bytes
    path: tuple[Step, ...]


class Search:
    """Visits the states with fewer faults first, so that what takes fewer of them is found first."""

    def __init__(self, script: Script, faults: int, max_states: int | None = None) -> None:
        self._script = script
        self._faults = faults
        self._max_states = max_states
        self._seen: set[bytes] = set()
        self._pending_states: list[list[ReachedState]] = [[] for _ in range(faults + 1)]
        self._longest = 0
        self._path: tuple[Step, ...] = ()
        self._group: Voters = ()

    def run(self) -> Found:
        """Looks at all runs, or at as many states as are allowed."""
        begun = time.perf_counter()
        complete, broken = True, ""
        try:
            self._path = (("begin",),)
            self._add_state(World(self._script, self._faults), ())
            complete = self._visit_all()
        except AssertionError as fault:
            broken = str(fault) or repr(fault)
        return Found(
            script=self._script.name,
            faults=self._faults,
            states=len(self._seen),
            longest=self._longest,
            seconds=time.perf_counter() - begun,
            complete=complete and not broken,
            broken=broken,
            steps=self._path if broken else (),
            group=self._group,
        )

    def _visit_all(self) -> bool:
        for left in range(self._faults, -1, -1):
            waiting = self._pending_states[left]
            while waiting:
                if self._max_states is not None and len(self._seen) >= self._max_states:
                    return False
                self._visit(waiting.pop())
        return True

    def _visit(self, reached: ReachedState) -> None:
        world = pickle.loads(reached.state)
        steps = list(world.steps())
        for step in steps:
            if step != PROCEED:
                self._take(pickle.loads(reached.state), step, reached.path)
        self._proceed(world, reached.path)

    def _proceed(self, world: World, path: tuple[Step, ...]) -> None:
        """The run without a further fault, for as long as its states are new; calm at its end."""
        if PROCEED in world.steps():
            self._take(world, PROCEED, path)
            return
        self._path = (*path, ("calm",))
        world.calm()
        self._group = world.rules.group

    def _take(self, world: World, step: Step, path: tuple[Step, ...]) -> None:
        self._path = (*path, step)
        world.take(step)
        self._add_state(world, self._path)

    def _add_state(self, world: World, path: tuple[Step, ...]) -> None:
        state = pickle.dumps(world, protocol=pickle.HIGHEST_PROTOCOL)
        digest = hashlib.blake2b(state, digest_size=16).digest()
        self._longest = max(self._longest, len(path))
        if digest not in self._seen:
            self._seen.add(digest)
            self._pending_states[world.faults].append(ReachedState(state, path))


def search(script: Script, faults: int, max_states: int | None = None) -> Found:
    """Searches all runs of a script with up to `faults` faults."""
    return Search(script, faults, max_states).run()
