"""What replicas of a shard say to each other, what they write, and what they hold."""

from __future__ import annotations

import enum

import attrs

ShardId = str
ReplicaId = str  # "<node address>#<disk identity>": an emptied disk is another replica


class EntryKind(enum.IntEnum):
    """What an entry of a shard's log holds."""

    COMMAND = 0  # for the shard's state machine
    GROUP = 1  # the voters from here on, as `Group` encodes them
    EMPTY = 2  # the first entry of an epoch


@attrs.frozen
class Entry:
    """One version of a shard: `index` counts versions from 1."""

    index: int
    epoch: int
    kind: int
    data: bytes = b""


@attrs.frozen
class Snapshot:
    """The state machine's state after the version `index`, the voters then and their placement's number."""

    index: int = 0
    epoch: int = 0
    voters: tuple[ReplicaId, ...] = ()
    state: bytes = b""
    placement_number: int = 0


@attrs.frozen
class RequestVote:
    """A candidate asks to own the shard for an epoch; `trial` asks without any effect (pre-vote)."""

    shard: ShardId
    sender: ReplicaId
    epoch: int
    last_index: int
    last_epoch: int
    trial: bool


@attrs.frozen
class VoteReply:
    """The answer to `RequestVote`; `epoch` is the voter's own, or the one asked about where granted."""

    shard: ShardId
    sender: ReplicaId
    epoch: int
    granted: bool
    trial: bool


@attrs.frozen
class AppendEntries:
    """The owner's entries after `previous_index`, its commit index, and a heartbeat when empty."""

    shard: ShardId
    sender: ReplicaId
    epoch: int
    previous_index: int
    previous_epoch: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int  # rises with each heartbeat; echoed by replies to confirm the ownership


@attrs.frozen
class AppendReply:
    """`match_index` is what is on the replica's disk where accepted, else where the owner should try next."""

    shard: ShardId
    sender: ReplicaId
    epoch: int
    accepted: bool
    match_index: int
    round: int


@attrs.frozen
class SnapshotChunk:
    """Part of a snapshot in place of entries that the owner no longer keeps; answered by `SnapshotReply`.

    `snapshot` is without its state; `size` and `digest` are those of the whole state.  A replica that needs
    no more of it, and one that has installed it, answers by `AppendReply`.
    """

    shard: ShardId
    sender: ReplicaId
    epoch: int
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
    epoch: int
    digest: bytes
    received: int
    round: int


@attrs.frozen
class TransferLeadership:
    """The owner, about to leave, asks the receiver to become a candidate at once."""

    shard: ShardId
    sender: ReplicaId
    epoch: int


@attrs.frozen
class ReadIndexRequest:
    """A follower asks its owner up to where the shard is committed; `ticket` comes back with the answer."""

    shard: ShardId
    sender: ReplicaId
    epoch: int
    ticket: int


@attrs.frozen
class ReadIndexReply:
    """`index` was committed when the request came, by an owner that a majority confirmed after that."""

    shard: ShardId
    sender: ReplicaId
    epoch: int
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
    index.  `epoch` and `voted_for` hold always.
    """

    shard: ShardId
    replica: ReplicaId
    epoch: int
    voted_for: ReplicaId
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@attrs.define
class DurableState:
    """What a replica begins with: all of it is on its disk."""

    epoch: int = 0
    voted_for: ReplicaId = ""
    snapshot: Snapshot = attrs.field(factory=Snapshot)
    entries: list[Entry] = attrs.field(factory=list)
