"""Who does what: weighted rendezvous hashing (Thaler and Ravishankar 1998; weights by logarithms).

Invariant: every member works out the same owner for a task from the same members. When one comes or goes,
only the tasks that it had, or gets, move.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from ..keys import stable_hash

HASH_RANGE = 1 << 63  # of `stable_hash`


def score(member: str, task: str, weight: float = 1.0) -> float:
    """The member with the highest score owns the task; each is as likely to as its part of all weights."""
    return -weight / math.log((stable_hash(f"{member} {task}") + 0.5) / HASH_RANGE)


class Assignment(NamedTuple):
    """A task's owner and its score, by which two compare."""

    score: float
    owner: str


class RendezvousAssignment:
    """Tasks and members by name, and the owner of each task, kept up as both change."""

    def __init__(self) -> None:
        self.members: dict[str, float] = {}  # by name: weight
        self.assignments: dict[str, Assignment | None] = {}  # by task; None while there are no members

    def add(self, task: str) -> None:
        """A task that has to be done from now on."""
        if task not in self.assignments:
            self._assign(task)

    def remove(self, task: str) -> None:
        """A task that is over, if it was known."""
        self.assignments.pop(task, None)

    def owner(self, task: str) -> str | None:
        """Who does a task; None where it is not known, or nobody is there."""
        assignment = self.assignments.get(task)
        return None if assignment is None else assignment.owner

    def tasks_of(self, member: str) -> list[str]:
        """The tasks that a member owns."""
        return [task for task in self.assignments if self.owner(task) == member]

    def set_members(self, members: Mapping[str, float]) -> int:
        """All members with their weights; how many tasks moved to another owner."""
        changed = {name for name, weight in self.members.items() if members.get(name) != weight}
        added = {name: weight for name, weight in members.items() if self.members.get(name) != weight}
        self.members = dict(members)
        moved = 0
        for task, old in list(self.assignments.items()):
            if old is None or old.owner in changed:
                self._assign(task)
            else:
                candidates = [Assignment(score(name, task, weight), name) for name, weight in added.items()]
                self.assignments[task] = max([old, *candidates])
            moved += self.owner(task) != (None if old is None else old.owner)
        return moved

    def _assign(self, task: str) -> None:
        candidates = [Assignment(score(name, task, weight), name) for name, weight in self.members.items()]
        self.assignments[task] = max(candidates, default=None)
