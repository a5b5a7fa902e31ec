"""What processes say of themselves and of each other: heartbeats, summaries, directories, subscriptions.

Fields travel by their position (see `protocol.wire_names`): new ones are added at the end alone.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ShardReport:
    """One replica as its process sees it; carried by heartbeats."""

    shard: str
    replica: str
    epoch: int  # the number that fences the shard's owner
    owner: str  # replica id of the owner it knows, or ""
    voters: tuple[str, ...]
    applied_index: int
    commit_index: int
    committed_voters: tuple[str, ...] = ()  # the newest group that is known to be committed
    placement_number: int = 0  # of the placement that this group was moved towards
    stable: bool = False  # at the owner: no change is under way and every live voter holds what is committed

    def without_indexes(self) -> ShardReport:
        """The report without what changes with each command."""
        return attrs.evolve(self, applied_index=0, commit_index=0)


@attrs.frozen
class Member:
    """One process of the tier.  A later `incarnation` at an address replaces the earlier one."""

    node: str
    role: str
    address: str  # of the internal protocol, "ip:port"
    control_address: str  # of the operator's API, or ""
    zone: str
    replica: str  # identity of its disk, or "" without one
    serves_control: bool
    serves_storage: bool
    serves_front: bool
    incarnation: int


@attrs.frozen
class Heartbeat:
    """From a process to the control nodes that it chose: it runs, which replicas it holds, what it serves by.

    Control nodes send a `MemberSummary` to each other in place of it.
    """

    member: Member
    sequence: int  # rises by one with each heartbeat of an incarnation
    config_version: int  # that it serves by
    leaving: bool
    shards: tuple[ShardReport, ...]


@attrs.frozen
class HeartbeatAck:
    """A control node's reply; `stable`: it has been in contact for so long that it knows who is there."""

    sequence: int  # of the heartbeat
    stable: bool


@attrs.frozen
class UnresponsiveMember:
    """One whose heartbeats are late; `heartbeat_age_ms` since the last one."""

    address: str
    heartbeat_age_ms: int


@attrs.frozen
class MemberSummary:
    """From a control node to another: what has changed about those that report to it.

    A member reported on this connection earlier, and neither unresponsive nor departed, was heard just now.
    A `complete` summary replaces all earlier ones.
    """

    sender: str
    complete: bool
    heartbeats: tuple[Heartbeat, ...]
    unresponsive: tuple[UnresponsiveMember, ...]
    departed: tuple[str, ...]


@attrs.frozen
class ShardPlacement:
    """Who should vote on a shard: decided in the configuration's shard, carried out by the shard's owner.

    Invariant: `number` rises by one with each change of the shard's placement, so two placements of one
    number are equal; 0 stands for those that were written before placements had numbers.
    """

    shard: str
    founders: tuple[str, ...]  # replicas that began the shard; never changes
    voters: tuple[str, ...]  # replicas that should hold it now, in the order of ownership
    number: int = 0


@attrs.frozen
class Directory:
    """What control nodes stream to all: where everybody is, who owns and who should hold which shard."""

    version: int  # of the configuration's shard: its applied index at the sender
    members: tuple[Member, ...]
    placements: tuple[ShardPlacement, ...]
    owners: tuple[ShardReport, ...]
    retiring: tuple[str, ...]  # nodes to be emptied


@attrs.frozen
class Subscribe:
    """Requests a control node's streams; the last one on a connection counts.

    `complete`: configuration, backends and directory.  Otherwise a gateway gets notices alone: the numbers of
    new versions, and the backends that leave.
    """

    member: Member
    config_version: int
    complete: bool


@attrs.frozen
class ConfigUpdate:
    """A committed version of the configuration; `current` says that the sender was current just now."""

    version: int
    current: bool
    body: bytes  # empty: a notice, be it of a version that the receiver has


@attrs.frozen
class ConfigAck:
    """The receiver serves by this version."""

    version: int


@attrs.frozen
class ConfigFetch:
    """A gateway that serves by `version` and was notified of a newer one requests that."""

    version: int


@attrs.frozen
class ContactRequest:
    """A gateway asks a control node or a store whether it is in contact; the reply repeats the ticket."""

    ticket: int


@attrs.frozen
class ContactReply:
    """The reply to a `ContactRequest`, true at some moment after the request was sent.

    It is a reply and not a stream: a gateway whose own packets are lost would go on hearing a stream.
    """

    ticket: int
    in_contact: bool  # with the owner of the configuration's shard; False where there is no replica of it
    version: int  # of the configuration, where the replica here is current; else 0
    owned: tuple[str, ...]  # budget shards that this process owns and is in contact for


@attrs.frozen
class Hello:
    """The first message on each connection, both ways: who is there.

    `replica` is the identity of the process's disk; messages to replicas are sent only to the one meant.
    """

    address: str
    replica: str
    incarnation: int
