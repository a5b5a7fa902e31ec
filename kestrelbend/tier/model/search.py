"""Depth-first search over all runs of a script with up to some number of faults; equal states count once.

Where a run has faults left, each of its states is copied, since each may be left by several steps, and
compared with those that were seen.  Where none is left a run can go one way only: it is played on without
copies, and compared with the others where nothing is under way, that is before each line of the script.  Two
such runs that were equal once stay equal, so the comparison there is enough.

A search can be one of several that share a script: each takes every so many-th of the first faults.
"""

from __future__ import annotations

import hashlib
import pickle
import time
from collections.abc import Sequence

import attrs

from ..replication.group import Voters
from .world import Script, Step, World

PROCEED: Step = ("proceed",)


@attrs.frozen
class SearchResult:
    """What a search came to: `broken` is the first rule that a run broke, by which steps."""

    script: str
    faults: int
    states: int
    longest: int
    seconds: float
    complete: bool
    violation: str = ""
    steps: tuple[Step, ...] = ()
    group: Voters = ()  # at the end of the last run

    def summary(self) -> str:
        """A line about the search, and the faults among the steps of a run that broke a rule."""
        covered = "all runs" if self.complete else "not all runs"
        text = (
            f"{self.script}, {self.faults} faults: {covered}, {self.states} states, "
            f"longest {self.longest} steps, {self.seconds:.1f} s"
        )
        if not self.violation:
            return text
        faults = [f"{place} {' '.join(step)}" for place, step in enumerate(self.steps) if step != PROCEED]
        return f"{text}\n    BROKEN {self.violation}\n    by {len(self.steps)} steps, of them {faults}"


@attrs.frozen
class ReachedState:
    """A state not yet looked at, and the steps that led there."""

    state: bytes
    path: tuple[Step, ...]


@attrs.frozen
class Partition:
    """Which part of a script's runs a search looks at: each `count`-th first fault, and what has none."""

    index: int = 0
    count: int = 1

    def holds(self, number: int) -> bool:
        """Whether the runs that begin with the first fault of this number are in it."""
        return number % self.count == self.index


FULL_SEARCH = Partition()


def merge_results(parts: Sequence[SearchResult]) -> SearchResult:
    """What the shares of one search came to together; the states without a fault count for each."""
    violation = next((part for part in parts if part.violation), parts[0])
    return attrs.evolve(
        violation,
        states=sum(part.states for part in parts),
        longest=max(part.longest for part in parts),
        seconds=max(part.seconds for part in parts),
        complete=all(part.complete for part in parts),
    )


class Search:
    """Visits the states with fewer faults first, so that what takes fewer of them is found first."""

    def __init__(
        self, script: Script, faults: int, max_states: int | None = None, partition: Partition = FULL_SEARCH
    ) -> None:
        self._script = script
        self._share = partition
        self._first_faults = 0
        self._states = 0  # looked at, with those that turned out to be known
        self._faults = faults
        self._max_states = max_states
        self._seen: set[bytes] = set()
        self._pending_states: list[list[ReachedState]] = [[] for _ in range(faults + 1)]
        self._longest = 0
        self._path: Sequence[Step] = ()
        self._group: Voters = ()

    def run(self) -> SearchResult:
        """Looks at all runs, or at as many states as are allowed."""
        begun = time.perf_counter()
        complete, violation = True, ""
        try:
            self._path = (("begin",),)
            self._add_state(World(self._script, self._faults), ())
            complete = self._visit_all()
        except AssertionError as fault:
            violation = str(fault) or repr(fault)
        return SearchResult(
            script=self._script.name,
            faults=self._faults,
            states=self._states,
            longest=self._longest,
            seconds=time.perf_counter() - begun,
            complete=complete and not violation,
            violation=violation,
            steps=tuple(self._path) if violation else (),
            group=self._group,
        )

    def _visit_all(self) -> bool:
        for left in range(self._faults, -1, -1):
            waiting = self._pending_states[left]
            while waiting:
                if self._max_states is not None and self._states >= self._max_states:
                    return False
                self._visit(waiting.pop())
        return True

    def _visit(self, reached: ReachedState) -> None:
        world = pickle.loads(reached.state)
        if not world.faults:
            self._play_on(world, reached.path)
            return
        for step in list(world.steps()):
            if step != PROCEED and self._is_mine(world):
                self._take(pickle.loads(reached.state), step, reached.path)
        if PROCEED in world.steps():
            self._take(world, PROCEED, reached.path)
        else:
            self._calm(world, reached.path)

    def _is_mine(self, world: World) -> bool:
        """Whether the next fault belongs to this search's share; all but first faults do."""
        if world.faults < self._faults:
            return True
        self._first_faults += 1
        return self._share.holds(self._first_faults)

    def _play_on(self, world: World, path: tuple[Step, ...]) -> None:
        """The rest of a run that has no faults left, up to where another one came by."""
        steps = list(path)
        while PROCEED in world.steps():
            steps.append(PROCEED)
            self._path = steps
            world.take(PROCEED)
            self._states += 1
            self._longest = max(self._longest, len(steps))
            if not world.queue and not self._is_new(self._state_of(world)):
                return
        self._calm(world, steps)

    def _calm(self, world: World, path: Sequence[Step]) -> None:
        """The end of a run."""
        self._path = (*path, ("calm",))
        world.calm()
        self._group = world.rules.group

    def _take(self, world: World, step: Step, path: tuple[Step, ...]) -> None:
        taken = (*path, step)
        self._path = taken
        world.take(step)
        self._add_state(world, taken)

    def _add_state(self, world: World, path: tuple[Step, ...]) -> None:
        state = self._state_of(world)
        self._states += 1
        self._longest = max(self._longest, len(path))
        if self._is_new(state):
            self._pending_states[world.faults].append(ReachedState(state, path))

    @staticmethod
    def _state_of(world: World) -> bytes:
        """The bytes of a state, equal where states are."""
        return pickle.dumps(world, protocol=pickle.HIGHEST_PROTOCOL)

    def _is_new(self, state: bytes) -> bool:
        """Whether no run came to this state before; from now on one has."""
        digest = hashlib.blake2b(state, digest_size=16).digest()
        if digest in self._seen:
            return False
        self._seen.add(digest)
        return True


def search(
    script: Script, faults: int, max_states: int | None = None, partition: Partition = FULL_SEARCH
) -> SearchResult:
    """Searches all runs of a script with up to `faults` faults, or a share of them."""
    return Search(script, faults, max_states, partition).run()
