"""Where a shard should live: the voters and learners wished for, and the leader's steps towards them.

Single-server changes (Ongaro 2014, section 4.1), with learners that catch up first (4.2.1).

Invariant: one change of the group is under way at most, and none before this term has committed an
entry; while a leadership transfer runs, the group stands still.  No step is taken towards a placement
with a lower number than the log has seen, and none towards a target that the leader of another term
decided by itself.  The target comes from the directory (`roles.local_shards.LocalShards.follow`); who decides
it: `membership.placement`, `control.shard_placer`.
Hazard: a placement that arrives late, from a control process that has been replaced: see `may_follow`.
"""

from __future__ import annotations

import attrs

from .group import Voters, encode_group, has_quorum, next_group
from .leader import LeaderState
from .leadership_transfer import LeadershipTransfer
from .messages import EntryKind, ReplicaId
from .state import ReplicaState


@attrs.frozen
class Target:
    """The voters wished for: by the placement `number`, or by the leader of the one term named."""

    voters: Voters = ()
    number: int = 0
    term: int | None = None


class Placement:
    """The target and the learners outlive a leadership; a transfer doesn't."""

    def __init__(self, state: ReplicaState) -> None:
        self._target = Target()
        self.learners: Voters = ()
        self._state = state
        self._transfer: LeadershipTransfer | None = None
        self._leaving: set[ReplicaId] = set()
        self._departed: dict[ReplicaId, float] = {}

    def set_target(self, target: Target) -> None:
        """Takes a target in place of the last one, unless that was a later one."""
        if target.number >= self._target.number:
            self._target = target

    @property
    def target(self) -> Voters:
        """The voters to move towards; empty where nothing that may be followed is known."""
        return self._target.voters if self.is_valid_target(self._target) else ()

    def is_valid_target(self, target: Target) -> bool:
        """Whether the group may take steps towards a target: the fence against late placements."""
        if target.term is not None and target.term != self._state.term:
            return False
        return target.number >= self._state.log.placement_number

    @property
    def is_transferring(self) -> bool:
        """Whether the leadership is being handed over."""
        return self._transfer is not None

    def reset(self) -> None:
        """The leadership is over, and any leadership transfer with it."""
        self._transfer = None
        self._leaving = set()
        self._departed = {}

    def update_followers(self, leader: LeaderState, now: float) -> None:
        """Replicates to the group, to those who are to join, and for a while to who left.

        Who leaves gets the entry that says so only once that is committed: one that held it earlier would
        neither campaign any more nor vote for the others, whose logs are shorter.
        """
        state = self._state
        committed = state.log.voters_at(state.commit_index)
        leaving = set(committed) - set(state.voters)
        until = now + state.timing.departure_grace
        self._departed.update((gone, until) for gone in self._leaving - leaving)
        self._leaving = leaving
        wanted = (*state.voters, *self.target, *self.learners, *self._departed)
        leader.set_followers(identity for identity in wanted if identity not in leaving)

    def begin_transfer(self, leader: LeaderState, candidates: Voters, now: float) -> None:
        """Begins a leadership transfer to one of the candidates, unless one runs."""
        if self._transfer is None and candidates:
            self._transfer = LeadershipTransfer(now, candidates)
            self._transfer.advance(self._state, leader, now)

    def tick(self, leader: LeaderState, now: float) -> bool:
        """Goes on with what is under way; whether this replica may go on leading.

        A leadership transfer that failed is given up, and the leadership with it only where the disk stalls.
        """
        stalls = self._state.disk_stalls(now)
        if stalls:
            self.begin_transfer(leader, self._state.other_voters(), now)
        if any(until < now for until in self._departed.values()):
            self._departed = {gone: until for gone, until in self._departed.items() if until >= now}
            self.update_followers(leader, now)
        if self._transfer is None:
            self.propose_next_group(leader, now)
        elif not self._transfer.has_timed_out(now, self._state):
            self._transfer.advance(self._state, leader, now)
        elif stalls:
            return False
        else:
            self._transfer = None
        return True

    def propose_next_group(self, leader: LeaderState, now: float) -> None:
        """Takes the next step towards the target, once the last one is committed."""
        state = self._state
        if not self.target or self._transfer is not None or not leader.has_committed:
            return
        if state.commit_index < state.log.group_index:
            return

        group = self._next_group(leader, now)
        if group is not None:
            leader.append(EntryKind.GROUP, encode_group(group, self._target.number))
            self.update_followers(leader, now)
        elif state.identity not in self.target and set(self.target) < set(state.voters):
            self.begin_transfer(leader, self.target, now)

    def _next_group(self, leader: LeaderState, now: float) -> Voters | None:
        """The next group; the same one anew where only its placement's number has to be noted."""

        def is_live(identity: ReplicaId) -> bool:
            return leader.is_live(identity, now)

        def is_caught_up(identity: ReplicaId) -> bool:
            return leader.is_caught_up(identity, now)

        state = self._state
        group = next_group(state.voters, self.target, state.identity, is_live, is_caught_up)
        is_there = state.voters == self.target and self._target.number > state.log.placement_number
        if is_there and has_quorum(state.voters, is_live):
            return state.voters
        return group

    def is_stable(self, leader: LeaderState, now: float) -> bool:
        """Whether no change is under way and every live voter, a majority, holds what is committed."""
        state = self._state
        if not leader.has_committed or state.commit_index < state.log.group_index:
            return False
        live = [voter for voter in state.voters if leader.is_live(voter, now)]
        if not has_quorum(state.voters, live.__contains__):
            return False
        return all(leader.has_stored(voter, state.log.group_index) for voter in live) and all(
            leader.is_caught_up(voter, now) for voter in live
        )
