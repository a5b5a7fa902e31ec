"""Assigns tasks to members by weighted rendezvous hashing.

After Thaler and Ravishankar (1998), with the logarithmic method for weights. Invariant: members that know the
same member list compute the same owner for each task. When a member joins or leaves, only the tasks that it
gains or had owned change their owner.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from ..keys import stable_hash

HASH_RANGE = 1 << 63  # `stable_hash` returns values below this


def score(member: str, task: str, weight: float = 1.0) -> float:
    """Return a member's score for a task; the member with the highest score owns the task.

    The probability that a member owns a task is its share of the total weight.
    """
    return -weight / math.log((stable_hash(f"{member} {task}") + 0.5) / HASH_RANGE)


class Assignment(NamedTuple):
    """The owner of a task; assignments are ordered by score."""

    score: float
    owner: str


class RendezvousAssignment:
    """Keeps the owner of each task up to date as tasks and members change; both are known by name."""

    def __init__(self) -> None:
        self.members: dict[str, float] = {}  # weights by name
        self.assignments: dict[str, Assignment | None] = {}  # by task name; None while there are no members

    def add(self, task: str) -> None:
        """Add a task and assign it; has no effect on a known task."""
        if task not in self.assignments:
            self._assign(task)

    def remove(self, task: str) -> None:
        """Remove a task; has no effect on an unknown one."""
        self.assignments.pop(task, None)

    def owner(self, task: str) -> str | None:
        """Return the owner of a task; None if the task is unknown or there are no members."""
        assignment = self.assignments.get(task)
        return None if assignment is None else assignment.owner

    def tasks_of(self, member: str) -> list[str]:
        """Return the tasks that a member owns."""
        return [task for task in self.assignments if self.owner(task) == member]

    def set_members(self, members: Mapping[str, float]) -> int:
        """Replace the members, given as weights by name; returns how many tasks changed their owner."""
        changed = {name for name, weight in self.members.items() if members.get(name) != weight}
        added = {name: weight for name, weight in members.items() if self.members.get(name) != weight}
        self.members = dict(members)
        moved = 0
        for task, previous in list(self.assignments.items()):
            if previous is None or previous.owner in changed:
                self._assign(task)
            else:
                candidates = [Assignment(score(name, task, weight), name) for name, weight in added.items()]
                self.assignments[task] = max([previous, *candidates])
            moved += self.owner(task) != (None if previous is None else previous.owner)
        return moved

    def _assign(self, task: str) -> None:
        candidates = [Assignment(score(name, task, weight), name) for name, weight in self.members.items()]
        self.assignments[task] = max(candidates, default=None)
