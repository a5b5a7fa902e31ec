"""Depth-first search over all runs of a script with a limited number of faults; visits equal states once.

While a run has faults left, each state can be followed by several steps, so it is copied for each of them and
compared with the states already seen.  A run without faults left is deterministic: it is continued without
copies, and compared only when the event queue is empty, that is before each line of the script.  This is
enough, since two such runs that reach the same state stay equal.

The search of a script can be split into partitions: each takes every n-th of the first faults.
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
    """Outcome of a search: `violation` is the first violated invariant and `steps` the run that led to it."""

    script: str
    faults: int
    states: int
    longest: int
    seconds: float
    complete: bool
    violation: str = ""
    steps: tuple[Step, ...] = ()
    group: Voters = ()  # voters at the end of the last run

    def summary(self) -> str:
        """Returns a line about the search; after a violation also the message and the faults of that run."""
        covered = "all runs" if self.complete else "not all runs"
        text = (
            f"{self.script}, {self.faults} faults: {covered}, {self.states} states, "
            f"longest {self.longest} steps, {self.seconds:.1f} s"
        )
        if not self.violation:
            return text
        faults = [
            f"{position} {' '.join(step)}" for position, step in enumerate(self.steps) if step != PROCEED
        ]
        return f"{text}\n    BROKEN {self.violation}\n    by {len(self.steps)} steps, of them {faults}"


@attrs.frozen
class ReachedState:
    """A serialized state to be visited, and the steps that led to it."""

    state: bytes
    path: tuple[Step, ...]


@attrs.frozen
class Partition:
    """The part of the runs that a search covers: every `count`-th first fault, and the run without faults."""

    index: int = 0
    count: int = 1

    def includes(self, number: int) -> bool:
        """Returns whether the partition covers the runs with the first fault of this number."""
        return number % self.count == self.index


FULL_SEARCH = Partition()


def merge_results(parts: Sequence[SearchResult]) -> SearchResult:
    """Merges the results of a search's partitions; counts states without a fault once per partition."""
    first = next((part for part in parts if part.violation), parts[0])
    return attrs.evolve(
        first,
        states=sum(part.states for part in parts),
        longest=max(part.longest for part in parts),
        seconds=max(part.seconds for part in parts),
        complete=all(part.complete for part in parts),
    )


class Search:
    """Visits states with fewer faults first, so that a violation is found with as few faults as possible."""

    def __init__(
        self, script: Script, faults: int, max_states: int | None = None, partition: Partition = FULL_SEARCH
    ) -> None:
        self._script = script
        self._partition = partition
        self._first_fault_count = 0
        self._state_count = 0  # all states reached, including those seen before
        self._faults = faults
        self._max_states = max_states
        self._seen_digests: set[bytes] = set()
        self._pending_states: list[list[ReachedState]] = [[] for _ in range(faults + 1)]
        self._longest = 0
        self._path: Sequence[Step] = ()
        self._group: Voters = ()

    def run(self) -> SearchResult:
        """Searches all runs, or stops at the maximum number of states."""
        started_at = time.perf_counter()
        complete, violation = True, ""
        try:
            self._path = (("begin",),)
            self._add_state(World(self._script, self._faults), ())
            complete = self._visit_all()
        except AssertionError as error:
            violation = str(error) or repr(error)
        return SearchResult(
            script=self._script.name,
            faults=self._faults,
            states=self._state_count,
            longest=self._longest,
            seconds=time.perf_counter() - started_at,
            complete=complete and not violation,
            violation=violation,
            steps=tuple(self._path) if violation else (),
            group=self._group,
        )

    def _visit_all(self) -> bool:
        for remaining in range(self._faults, -1, -1):
            pending = self._pending_states[remaining]
            while pending:
                if self._max_states is not None and self._state_count >= self._max_states:
                    return False
                self._visit(pending.pop())
        return True

    def _visit(self, reached: ReachedState) -> None:
        world = pickle.loads(reached.state)
        if not world.faults_left:
            self._run_without_faults(world, reached.path)
            return
        for step in list(world.steps()):
            if step != PROCEED and self._in_partition(world):
                self._apply_step(pickle.loads(reached.state), step, reached.path)
        if PROCEED in world.steps():
            self._apply_step(world, PROCEED, reached.path)
        else:
            self._finish_run(world, reached.path)

    def _in_partition(self, world: World) -> bool:
        """Returns whether this search covers the next fault; only first faults are partitioned."""
        if world.faults_left < self._faults:
            return True
        self._first_fault_count += 1
        return self._partition.includes(self._first_fault_count)

    def _run_without_faults(self, world: World, path: tuple[Step, ...]) -> None:
        """Continues a run that has no faults left, to its end or to a state that another run has reached."""
        steps = list(path)
        while PROCEED in world.steps():
            steps.append(PROCEED)
            self._path = steps
            world.apply_step(PROCEED)
            self._state_count += 1
            self._longest = max(self._longest, len(steps))
            if not world.queue and not self._add_if_new(self._serialize(world)):
                return
        self._finish_run(world, steps)

    def _finish_run(self, world: World, path: Sequence[Step]) -> None:
        """Ends a run: checks that the group converges."""
        self._path = (*path, ("calm",))
        world.converge()
        self._group = world.invariants.group

    def _apply_step(self, world: World, step: Step, path: tuple[Step, ...]) -> None:
        extended_path = (*path, step)
        self._path = extended_path
        world.apply_step(step)
        self._add_state(world, extended_path)

    def _add_state(self, world: World, path: tuple[Step, ...]) -> None:
        state = self._serialize(world)
        self._state_count += 1
        self._longest = max(self._longest, len(path))
        if self._add_if_new(state):
            self._pending_states[world.faults_left].append(ReachedState(state, path))

    @staticmethod
    def _serialize(world: World) -> bytes:
        """Returns the state as bytes, which are equal for equal states."""
        return pickle.dumps(world, protocol=pickle.HIGHEST_PROTOCOL)

    def _add_if_new(self, state: bytes) -> bool:
        """Marks a state as seen; returns whether it is new."""
        digest = hashlib.blake2b(state, digest_size=16).digest()
        if digest in self._seen_digests:
            return False
        self._seen_digests.add(digest)
        return True


def search(
    script: Script, faults: int, max_states: int | None = None, partition: Partition = FULL_SEARCH
) -> SearchResult:
    """Searches all runs of a script with up to `faults` faults, or one partition of them."""
    return Search(script, faults, max_states, partition).run()
