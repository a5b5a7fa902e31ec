"""The messages between replicas of a shard, the records that they write, and the state that they store.

The messages are Raft's (Ongaro 2014: AppendEntries 3.5, RequestVote 3.4, InstallSnapshot 5.1, TimeoutNow
3.10).  `protocol.wire_names` gives the name of each on the wire.

Invariant: fields keep their order, and new fields are added at the end with a default, because a field is
identified on the wire by its position.
"""

from __future__ import annotations

import enum

import attrs

ShardId = str
ReplicaId = str  # "<node address>#<disk identity>": after its disk was erased, a node is another replica


class EntryKind(enum.IntEnum):
    """The content of a log entry."""

    COMMAND = 0  # a command for the shard's state machine
    GROUP = 1  # the voters from this entry on, as encoded by `group.encode_group`
    EMPTY = 2  # no data; the first entry of a term


@attrs.frozen
class Entry:
    """An entry of a shard's log; indexes start at 1."""

    index: int
    term: int
    kind: int
    data: bytes = b""


@attrs.frozen
class Snapshot:
    """The state machine's state after the entry `index`, and the voters and placement number as of it."""

    index: int = 0
    term: int = 0
    voters: tuple[ReplicaId, ...] = ()
    state: bytes = b""
    placement_number: int = 0


@attrs.frozen
class RequestVote:
    """A candidate's request for a vote in `term`; granting a `pre_vote` doesn't change the voter's state."""

    shard: ShardId
    sender: ReplicaId
    term: int
    last_index: int
    last_term: int
    pre_vote: bool


@attrs.frozen
class VoteReply:
    """The reply to `RequestVote`; `term` is the requested term where granted, else the voter's own term."""

    shard: ShardId
    sender: ReplicaId
    term: int
    granted: bool
    pre_vote: bool


@attrs.frozen
class AppendEntries:
    """The entries that follow `previous_index`, and the commit index; without entries, a heartbeat."""

    shard: ShardId
    sender: ReplicaId
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int  # increases with each heartbeat round; replies repeat it to confirm the leadership


@attrs.frozen
class AppendReply:
    """`match_index` is durable if accepted; else it is the index after which the leader should continue."""

    shard: ShardId
    sender: ReplicaId
    term: int
    accepted: bool
    match_index: int
    round: int


@attrs.frozen
class SnapshotChunk:
    """A part of a snapshot, sent in place of entries that the leader no longer holds.

    `snapshot` has an empty `state`; `size` and `digest` are those of the complete state.  The reply is a
    `SnapshotReply`, or an `AppendReply` where the follower doesn't need the snapshot or has installed it.
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
    """The sender holds the first `received` bytes of the snapshot with this digest, not yet durable."""

    shard: ShardId
    sender: ReplicaId
    term: int
    digest: bytes
    received: int
    round: int


@attrs.frozen
class TransferLeadership:
    """The leader, which is about to give up its leadership, asks the receiver to campaign at once."""

    shard: ShardId
    sender: ReplicaId
    term: int


@attrs.frozen
class ReadIndexRequest:
    """A follower asks the leader for the shard's commit index; the reply repeats `ticket`."""

    shard: ShardId
    sender: ReplicaId
    term: int
    ticket: int


@attrs.frozen
class ReadIndexReply:
    """`index` was committed when the request arrived, and a majority has confirmed the leader since then."""

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
    """One write of a replica; replaying all records of a disk in order gives `DurableState`.

    `entries` replace everything from `entries[0].index` on.  A `snapshot` replaces everything up to its
    index.  Every record holds the current `term` and `voted_for`.
    """

    shard: ShardId
    replica: ReplicaId
    term: int
    voted_for: ReplicaId
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@attrs.define
class DurableState:
    """The durable state with which a replica starts."""

    term: int = 0
    voted_for: ReplicaId = ""
    snapshot: Snapshot = attrs.field(factory=Snapshot)
    entries: list[Entry] = attrs.field(factory=list)
