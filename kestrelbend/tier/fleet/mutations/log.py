"""Mutations at elections, the log and what a follower is sent."""

from __future__ import annotations

from ...replication.snapshot_transfer import _identity_of
from ..guards import guard


@guard("vote-on-disk", "replication.state:ReplicaState.send_after_write", "two owners of one epoch")
def send_at_once(state, receiver, message):
    state.send(receiver, message)


@guard("one-vote", "replication.election:Election._grants", "two owners of one epoch")
def grant_again(elections, request):
    return request.term == elections._state.term and elections._may_vote_for(request)


@guard("vote-for-full-logs", "replication.election:Election._may_vote_for", "an owner that lacks entries")
def vote_for_anyone(elections, request):
    return True


@guard("entry-on-disk", "replication.follower:FollowerState._match_index", "acknowledged entries lost")
@property
def acknowledge_unwritten(following):
    return following._verified_index


@guard("own-entry-on-disk", "replication.leader:LeaderState._match_index", "acknowledged entries lost")
def count_unwritten(leader, identity):
    if identity == leader._state.identity:
        return leader._log.last_index
    progress = leader.followers.get(identity)
    return progress.match_index if progress else 0


@guard(
    "own-epoch",
    "replication.leader:LeaderState.advance_commit",
    "committed entries replaced by a later owner",
)
def commit_any_term(leader):
    index = leader._quorum_value(leader._match_index)
    if index <= leader._state.commit_index:
        return False
    leader._state.commit_to(index)
    return True


@guard(
    "former-owner", "replication.roles:ReplicaRoles._is_of_former_leader", "a former owner's entries put in"
)
def trust_former_leader(roles, message):
    return False


@guard("overtaken", "replication.progress:Progress.is_overtaken", "large entries sent again and again")
def never_overtaken(progress, now, timing):
    return False


@guard("snapshot-digest", "replication.snapshot_transfer:HashedBytes.has_digest", "wrong bytes installed")
def take_any_bytes(hashed, digest):
    return True


@guard(
    "snapshot-late", "replication.snapshot_transfer:SnapshotReceiver._is_outdated", "a transfer begun again"
)
def take_outdated_chunks(receiver, chunk):
    return False


@guard("retained-entries", "replication.leader:LeaderState.needed_after", "a follower that never catches up")
def need_nothing(leader, now):
    return leader._log.last_index


@guard(
    "snapshot-mix",
    "replication.snapshot_transfer:SnapshotReceiver._start_if_different",
    "bytes of two snapshots put together",
)
def go_on_with_what_is_here(receiver, chunk):
    receiver._incoming = _identity_of(chunk)
