"""Where a shard should live: the voters and learners wished for, and the owner's steps towards them.

Invariant: one change of the group is under way at most, and none before this epoch has committed an
entry; while a handover runs, the group stands still.
"""

from __future__ import annotations

from .group import Voters, encode_group, next_group
from .handover import Handover
from .messages import EntryKind, ReplicaId
from .owner import Ownership
from .state import ReplicaState


class Placement:
    """The wishes outlive an ownership; the handover doesn't."""

    def __init__(self, state: ReplicaState) -> None:
        self.target: Voters = ()
        self.learners: Voters = ()
        self._state = state
        self._handover: Handover | None = None
        self._leaving: set[ReplicaId] = set()
        self._departed: dict[ReplicaId, float] = {}

    @property
    def hands_over(self) -> bool:
        """Whether the ownership is being handed over."""
        return self._handover is not None

    def reset(self) -> None:
        """The ownership is over, and any handover with it."""
        self._handover = None
        self._leaving = set()
        self._departed = {}

    def follow_group(self, owner: Ownership, now: float) -> None:
        """Replicates to the group, to those who are to join, and for a while to who left.

        Who leaves gets the entry that says so only once that is committed: one that held it earlier would
        neither campaign any more nor vote for the others, whose logs are shorter.
        """
        state = self._state
        committed = state.log.voters_at(state.commit_index)
        leaving = set(committed) - set(state.voters)
        until = now + state.timing.departure
        self._departed.update((gone, until) for gone in self._leaving - leaving)
        self._leaving = leaving
        wanted = (*state.voters, *self.target, *self.learners, *self._departed)
        owner.follow(identity for identity in wanted if identity not in leaving)

    def hand_over(self, owner: Ownership, candidates: Voters, now: float) -> None:
        """Begins a handover to one of the candidates, unless one runs."""
        if self._handover is None and candidates:
            self._handover = Handover(now, candidates)
            self._handover.proceed(self._state, owner, now)

    def tick(self, owner: Ownership, now: float) -> bool:
        """Goes on with what is under way; whether this replica may own on.

        A handover that failed is given up, and the ownership with it only where the disk stalls.
        """
        stalls = self._state.disk_stalls(now)
        if stalls:
            self.hand_over(owner, self._state.other_voters(), now)
        if any(until < now for until in self._departed.values()):
            self._departed = {gone: until for gone, until in self._departed.items() if until >= now}
            self.follow_group(owner, now)
        if self._handover is None:
            self.step(owner, now)
        elif not self._handover.has_failed(now, self._state):
            self._handover.proceed(self._state, owner, now)
        elif stalls:
            return False
        else:
            self._handover = None
        return True

    def step(self, owner: Ownership, now: float) -> None:
        """Takes the next step towards the target, once the last one is committed."""
        state = self._state
        if not self.target or self._handover is not None or not owner.has_committed:
            return
        if state.commit_index < state.log.group_index:
            return

        def is_live(identity: ReplicaId) -> bool:
            return owner.is_live(identity, now)

        group = next_group(state.voters, self.target, state.identity, is_live, owner.is_caught_up)
        if group is not None:
            owner.append(EntryKind.GROUP, encode_group(group))
            self.follow_group(owner, now)
        elif state.identity not in self.target and set(self.target) < set(state.voters):
            self.hand_over(owner, self.target, now)
