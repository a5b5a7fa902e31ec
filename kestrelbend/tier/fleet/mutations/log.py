"""Mutations at elections, the log and what a follower is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...replication.snapshot_transfer import _identity_of
from ..guards import guard, guard_property

if TYPE_CHECKING:
    from ...replication.election import Election
    from ...replication.follower import FollowerState
    from ...replication.leader import LeaderState
    from ...replication.messages import AppendEntries, ReplicaId, ReplicaMessage, RequestVote, SnapshotChunk
    from ...replication.progress import Progress
    from ...replication.roles import ReplicaRoles
    from ...replication.snapshot_transfer import HashedBytes, SnapshotReceiver
    from ...replication.state import ReplicaState
    from ...replication.timing import Timing


@guard("vote-on-disk", "replication.state:ReplicaState.send_after_write", "two owners of one epoch")
def send_at_once(state: ReplicaState, receiver: ReplicaId, message: ReplicaMessage) -> None:
    """Sends before what the message promises is on the disk."""
    state.send(receiver, message)


@guard("one-vote", "replication.election:Election._grants_vote", "two owners of one epoch")
def grant_again(elections: Election, request: RequestVote) -> bool:
    """Votes more than once in a term."""
    return request.term == elections._state.term and elections._may_vote_for(request)


@guard("vote-for-full-logs", "replication.election:Election._may_vote_for", "an owner that lacks entries")
def vote_for_anyone(elections: Election, request: RequestVote) -> bool:
    """Votes for a candidate whose log lacks entries."""
    return True


@guard_property(
    "entry-on-disk", "replication.follower:FollowerState._match_index", "acknowledged entries lost"
)
def acknowledge_unwritten(following: FollowerState) -> int:
    """Acknowledges entries that the follower's disk does not hold."""
    return following._verified_index


@guard("own-entry-on-disk", "replication.leader:LeaderState._match_index", "acknowledged entries lost")
def count_unwritten(leader: LeaderState, identity: ReplicaId) -> int:
    """Counts entries that the leader's own disk does not hold."""
    if identity == leader._state.identity:
        return leader._log.last_index
    progress = leader.followers.get(identity)
    return progress.match_index if progress else 0


@guard(
    "own-epoch",
    "replication.leader:LeaderState.advance_commit",
    "committed entries replaced by a later owner",
)
def commit_any_term(leader: LeaderState) -> bool:
    """Commits entries of an earlier term by counting replicas (Raft, section 5.4.2)."""
    index = leader._quorum_value(leader._match_index)
    if index <= leader._state.commit_index:
        return False
    leader._state.commit_to(index)
    return True


@guard(
    "former-owner", "replication.roles:ReplicaRoles._is_of_former_leader", "a former owner's entries put in"
)
def trust_former_leader(roles: ReplicaRoles, message: AppendEntries | SnapshotChunk) -> bool:
    """Takes messages of a former term's leader."""
    return False


@guard("overtaken", "replication.progress:Progress.may_be_overtaken", "large entries sent again and again")
def never_overtaken(progress: Progress, now: float, timing: Timing) -> bool:
    """Never sends a smaller message before a large one."""
    return False


@guard("snapshot-digest", "replication.snapshot_transfer:HashedBytes.has_digest", "wrong bytes installed")
def take_any_bytes(hashed: HashedBytes, digest: bytes) -> bool:
    """Takes any bytes for those of the snapshot."""
    return True


@guard(
    "snapshot-late", "replication.snapshot_transfer:SnapshotReceiver._is_outdated", "a transfer begun again"
)
def take_outdated_chunks(receiver: SnapshotReceiver, chunk: SnapshotChunk) -> bool:
    """Takes chunks of a snapshot that the leader has replaced."""
    return False


@guard("retained-entries", "replication.leader:LeaderState.needed_after", "a follower that never catches up")
def need_nothing(leader: LeaderState, now: float) -> int:
    """Retains no entries for followers."""
    return leader._log.last_index


@guard(
    "snapshot-mix",
    "replication.snapshot_transfer:SnapshotReceiver._start_if_different",
    "bytes of two snapshots put together",
)
def go_on_with_what_is_here(receiver: SnapshotReceiver, chunk: SnapshotChunk) -> None:
    """Adds a chunk of one snapshot to those of another."""
    receiver._incoming = _identity_of(chunk)
