"""The target placement of a shard (its voters and learners), and the leader's steps towards it.

Single-server membership changes (Ongaro 2014, section 4.1), with learners that catch up first (4.2.1).

Invariant: at most one change of the group is pending, and none before this term has committed an entry;
during a leadership transfer the group doesn't change.  No step is taken towards a placement with a lower
number than that of the log's newest group, and none towards a target that the leader of another term decided
by itself.  The target comes from the directory (`roles.local_shards.LocalShards.follow`) and is decided by
`membership.placement` and `control.shard_placer`.
Hazard: a late placement of a control process that has been replaced: see `is_valid_target`.
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
    """The target voters, decided by the placement `number` or by the leader of the term `term`."""

    voters: Voters = ()
    number: int = 0
    term: int | None = None


class Placement:
    """The target and the learners are kept when a leadership ends; a leadership transfer is not."""

    def __init__(self, state: ReplicaState) -> None:
        self._target = Target()
        self.learners: Voters = ()
        self._state = state
        self._transfer: LeadershipTransfer | None = None
        self._being_removed: set[ReplicaId] = set()
        self._removed_until: dict[ReplicaId, float] = {}

    def set_target(self, target: Target) -> None:
        """Replaces the target, unless the present one has a higher number."""
        if target.number >= self._target.number:
            self._target = target

    @property
    def target(self) -> Voters:
        """The voters towards which the group is changed; empty if no valid target is known."""
        return self._target.voters if self.is_valid_target(self._target) else ()

    def is_valid_target(self, target: Target) -> bool:
        """Whether the group may take steps towards a target; rejects late placements."""
        if target.term is not None and target.term != self._state.term:
            return False
        return target.number >= self._state.log.placement_number

    @property
    def is_transferring(self) -> bool:
        """Whether a leadership transfer is pending."""
        return self._transfer is not None

    def reset(self) -> None:
        """Ends any leadership transfer, because the leadership has ended."""
        self._transfer = None
        self._being_removed = set()
        self._removed_until = {}

    def update_followers(self, leader: LeaderState, now: float) -> None:
        """Replicates to the group, to replicas that are to join it, and for a while to removed voters.

        A voter that is being removed receives the entry that removes it only once that is committed: if it
        held the entry earlier, it would neither campaign nor vote for the others, whose logs are shorter.
        """
        state = self._state
        committed = state.log.voters_at(state.commit_index)
        being_removed = set(committed) - set(state.voters)
        deadline = now + state.timing.removed_voter_grace
        self._removed_until.update((removed, deadline) for removed in self._being_removed - being_removed)
        self._being_removed = being_removed
        receivers = (*state.voters, *self.target, *self.learners, *self._removed_until)
        leader.set_followers(identity for identity in receivers if identity not in being_removed)

    def begin_transfer(self, leader: LeaderState, candidates: Voters, now: float) -> None:
        """Begins a leadership transfer to one of the candidates, unless one is pending."""
        if self._transfer is None and candidates:
            self._transfer = LeadershipTransfer(now, candidates)
            self._transfer.advance(self._state, leader, now)

    def tick(self, leader: LeaderState, now: float) -> bool:
        """Advances the pending transfer or group change; returns whether this replica may remain the leader.

        After a failed leadership transfer, the replica gives up the leadership only if its disk is stalled.
        """
        is_disk_stalled = self._state.disk_stalls(now)
        if is_disk_stalled:
            self.begin_transfer(leader, self._state.other_voters(), now)
        if any(deadline < now for deadline in self._removed_until.values()):
            self._removed_until = {
                removed: deadline for removed, deadline in self._removed_until.items() if deadline >= now
            }
            self.update_followers(leader, now)
        if self._transfer is None:
            self.propose_next_group(leader, now)
        elif not self._transfer.has_timed_out(now, self._state):
            self._transfer.advance(self._state, leader, now)
        elif is_disk_stalled:
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
        """The next group; the present one again if only the number of its placement has changed."""

        def is_live(identity: ReplicaId) -> bool:
            return leader.is_live(identity, now)

        def is_caught_up(identity: ReplicaId) -> bool:
            return leader.is_caught_up(identity, now)

        state = self._state
        group = next_group(state.voters, self.target, state.identity, is_live, is_caught_up)
        is_reached = state.voters == self.target and self._target.number > state.log.placement_number
        if is_reached and has_quorum(state.voters, is_live):
            return state.voters
        return group

    def is_stable(self, leader: LeaderState, now: float) -> bool:
        """Whether no change is pending and the live voters, a majority, hold all that is committed."""
        state = self._state
        if not leader.has_committed or state.commit_index < state.log.group_index:
            return False
        live = [voter for voter in state.voters if leader.is_live(voter, now)]
        if not has_quorum(state.voters, live.__contains__):
            return False
        return all(leader.has_stored(voter, state.log.group_index) for voter in live) and all(
            leader.is_caught_up(voter, now) for voter in live
        )
