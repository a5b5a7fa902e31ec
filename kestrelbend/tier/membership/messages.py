"""Messages on membership: heartbeats, summaries, directories, subscriptions, contact requests.

Fields are encoded by position (see `protocol.wire_names`), so new fields are added only at the end.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ShardReport:
    """State of one replica as seen by its process; part of heartbeats."""

    shard: str
    replica: str
    epoch: int  # fencing number of the shard's owner
    owner: str  # identity of the replica that it knows as the owner, or ""
    voters: tuple[str, ...]
    applied_index: int
    commit_index: int
    committed_voters: tuple[str, ...] = ()  # the newest group known to be committed
    placement_number: int = 0  # number of the placement that this group was changed towards
    stable: bool = (
        False  # at the owner: no group change is under way, each live voter has all committed entries
    )

    def without_indexes(self) -> ShardReport:
        """Returns the report without the indexes, which change with each command."""
        return attrs.evolve(self, applied_index=0, commit_index=0)


@attrs.frozen
class Member:
    """One process of the tier; a later `incarnation` at an address replaces an earlier one."""

    node: str
    role: str
    address: str  # for the internal protocol, "ip:port"
    control_address: str  # of the operator API, or ""
    zone: str
    replica: str  # identity of its disk, or "" if it has none
    serves_control: bool
    serves_storage: bool
    serves_front: bool
    incarnation: int


@attrs.frozen
class Heartbeat:
    """Sent by a process to its chosen control nodes: it is running, with these replicas and configuration.

    Control nodes send each other a `MemberSummary` instead.
    """

    member: Member
    sequence: int  # rises by one with each heartbeat of an incarnation
    config_version: int  # version of the configuration that it uses
    leaving: bool
    shards: tuple[ShardReport, ...]


@attrs.frozen
class HeartbeatAck:
    """A control node's reply; `stable`: it has been in contact for long enough to know all live processes."""

    sequence: int  # of the heartbeat
    stable: bool


@attrs.frozen
class UnresponsiveMember:
    """A process whose heartbeat is late, and the time since its last one."""

    address: str
    heartbeat_age_ms: int


@attrs.frozen
class MemberSummary:
    """Sent by a control node to another: changes among the processes that report to the sender.

    A member of an earlier summary on this connection that is listed neither as unresponsive nor as departed
    has just sent a heartbeat.  A `complete` summary replaces all earlier ones.

    `control_addresses` are the live control nodes that the sender hears of, itself included; None: as before.
    """

    sender: str
    complete: bool
    heartbeats: tuple[Heartbeat, ...]
    unresponsive: tuple[UnresponsiveMember, ...]
    departed: tuple[str, ...]
    control_addresses: tuple[str, ...] | None = None


@attrs.frozen
class ShardPlacement:
    """The voters that a shard should have: decided in the configuration shard, applied by the shard's owner.

    Invariant: `number` rises by one with each change of the shard's placement, so two placements with one
    number are equal.  0 marks placements that were written before placements had numbers.
    """

    shard: str
    founders: tuple[str, ...]  # initial voters of the shard; never changes
    voters: tuple[str, ...]  # replicas that should hold it now, in the order of preference as owner
    number: int = 0


@attrs.frozen
class Directory:
    """Streamed by control nodes to all processes: members, shard owners and shard placements."""

    version: int  # of the configuration shard: the applied index of the sender's replica
    members: tuple[Member, ...]
    placements: tuple[ShardPlacement, ...]
    owners: tuple[ShardReport, ...]
    retiring: tuple[str, ...]  # nodes whose replicas are to be moved away


@attrs.frozen
class Subscribe:
    """Requests a control node's streams; the latest request on a connection replaces the earlier ones.

    `complete` requests configuration, backends and directory.  Otherwise a gateway receives only notices: the
    numbers of new configuration versions, and the backends that are draining or departed.
    """

    member: Member
    config_version: int
    complete: bool


@attrs.frozen
class ConfigUpdate:
    """A committed version of the configuration; `current`: the sender's replica was current at that time."""

    version: int
    current: bool
    body: bytes  # empty in a notice, which may be of a version that the receiver has already


@attrs.frozen
class ConfigAck:
    """Confirms that the receiver uses this version."""

    version: int


@attrs.frozen
class ConfigFetch:
    """Sent by a gateway that uses `version` and was notified of a newer one, to request the newer one."""

    version: int


@attrs.frozen
class ContactRequest:
    """Sent by a gateway to ask a control node or store whether it is in contact; answered with `ticket`."""

    ticket: int


@attrs.frozen
class ContactReply:
    """The reply to a `ContactRequest`; it was true at some moment after the request was sent.

    Contact uses requests and replies, not a stream, because a gateway whose outgoing packets are lost would
    continue to receive a stream.
    """

    ticket: int
    in_contact: bool  # with the owner of the configuration shard; False without a replica of that shard
    version: int  # of the configuration if the replica here is current, else 0
    owned: tuple[str, ...]  # budget shards that this process owns, with contact to a majority


@attrs.frozen
class Hello:
    """The first message on each connection, in both directions: identifies the sending process.

    `replica` is the identity of the process's disk; a message for a replica is sent only to that replica.
    """

    address: str
    replica: str
    incarnation: int
