"""What replicas of a shard say to each other, what they write, and what they hold.

The messages are Raft's (Ongaro 2014: AppendEntries 3.5, RequestVote 3.4, InstallSnapshot 5.1, TimeoutNow
3.10).  Each has the name on the wire that `protocol.wire_names` gives it.

Invariant: fields keep their order, and new ones come last with a default: a field travels by its position.
"""

from __future__ import annotations

import enum

import attrs

ShardId = str
ReplicaId = str  # "<node address>#<disk identity>": an emptied disk is another replica


class EntryKind(enum.IntEnum):
    """What an entry of a shard's log holds."""

    COMMAND = 0  # for the shard's state machine
    GROUP = 1  # the voters from here on, as `group.encode_group` encodes them
    EMPTY = 2  # the first entry of a term


@attrs.frozen
class Entry:
    """One version of a shard: `index` counts versions from 1."""

    index: int
    term: int
    kind: int
    data: bytes = b""


@attrs.frozen
class Snapshot:
    """The state machine's state after the version `index`, the voters then and their placement's number."""

    index: int = 0
    term: int = 0
    voters: tuple[ReplicaId, ...] = ()
    state: bytes = b""
    placement_number: int = 0


@attrs.frozen
class RequestVote:
    """A candidate asks to lead the shard for a term; `pre_vote` asks without any effect (pre-vote)."""

    shard: ShardId
    sender: ReplicaId
    term: int
    last_index: int
    last_term: int
    pre_vote: bool


@attrs.frozen
class VoteReply:
    """The answer to `RequestVote`; `term` is the voter's own, or the one asked about where granted."""

    shard: ShardId
    sender: ReplicaId
    term: int
    granted: bool
    pre_vote: bool


@attrs.frozen
class AppendEntries:
    """The leader's entries after `previous_index`, its commit index, and a heartbeat when empty."""

    shard: ShardId
    sender: ReplicaId
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int  # rises with each heartbeat; echoed by replies to confirm the leadership


@attrs.frozen
class AppendReply:
    """`match_index`: on the replica's disk where accepted, else where the leader should go on."""

    shard: ShardId
    sender: ReplicaId
    term: int
    accepted: bool
    match_index: int
    round: int


@attrs.frozen
class SnapshotChunk:
    """Part of a snapshot in place of entries that the leader no longer keeps; answered by `SnapshotReply`.

    `snapshot` is without its state; `size` and `digest` are those of the complete state.  A replica that
    needs no more of it, and one that has installed it, answers by `AppendReply`.
    """

    shard: ShardId
    sender: ReplicaId
    term: int
    snapshot: Snapshot
    size: int
    digest: bytes
    offset: int
    data: bytes
    round: int


@attrs.frozen
class SnapshotReply:
    """The first `received` bytes of the snapshot with this digest are at the sender, not yet on its disk."""

    shard: ShardId
    sender: ReplicaId
    term: int
    digest: bytes
    received: int
    round: int


@attrs.frozen
class TransferLeadership:
    """The leader, about to leave, asks the receiver to become a candidate at once."""

    shard: ShardId
    sender: ReplicaId
    term: int


@attrs.frozen
class ReadIndexRequest:
    """A follower asks its leader up to where the shard is committed; `ticket` comes back with the answer."""

    shard: ShardId
    sender: ReplicaId
    term: int
    ticket: int


@attrs.frozen
class ReadIndexReply:
    """`index` was committed when the request came, by a leader that a majority confirmed after that."""

    shard: ShardId
    sender: ReplicaId
    term: int
    ticket: int
    index: int


ReplicaMessage = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TransferLeadership
    | ReadIndexRequest
    | ReadIndexReply
)


@attrs.frozen
class DurableRecord:
    """One write of a replica; a disk's records, replayed in order, give `DurableState`.

    `entries` replace everything from `entries[0].index` on.  A `snapshot` replaces everything up to its
    index.  `term` and `voted_for` hold always.
    """

    shard: ShardId
    replica: ReplicaId
    term: int
    voted_for: ReplicaId
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@attrs.define
class DurableState:
    """What a replica begins with: all of it is on its disk."""

    term: int = 0
    voted_for: ReplicaId = ""
    snapshot: Snapshot = attrs.field(factory=Snapshot)
    entries: list[Entry] = attrs.field(factory=list)
