"""The operator's orders on the configuration, and the tier's own records kept in the same shard."""

from __future__ import annotations

import enum

import attrs

from kestrelbend.tier.configuration.statuses import OK

UNDETERMINED = 0  # a status: it can't be said here now, so the call may be sent again, to any node


class OrderKind(enum.IntEnum):
    """What an order asks for: a call of the operator's API, or a record that the tier makes itself."""

    PUT = 0
    PATCH = 1
    PLACEMENT = 2  # the tier's own: body is a `ShardPlacement`
    RETIRE = 3  # body is the node's name
    DISK = 4  # the tier's own: body is a `DiskRecord`
    SHARD_REMOVAL = 5  # the tier's own: body is a `ShardRemoval`
    RETIRE_STATE = 6  # body is the node's name; changes nothing, so the owner answers once it is confirmed
    CHECKED_PUT = 7  # as PUT: an entry whose owner has found it valid on its base
    CHECKED_PATCH = 8  # as PATCH, likewise


@attrs.frozen
class ConfigOrder:
    """A command of the configuration's shard, and a control node's call to the shard's owner."""

    kind: int  # an `OrderKind`
    base_version: int  # the version that the order changes; 0 where the order changes none
    body: bytes


@attrs.frozen
class ConfigOutcome:
    """What became of an order."""

    status: int  # as the operator's API answers it, or `UNDETERMINED`
    version: int  # that the order brought, or the current one where it brought none; 0: not known
    reason: str


@attrs.frozen
class ReadRequest:
    """A control node asks the shard's owner for the newest configuration."""

    shard: str


@attrs.frozen
class ReadReply:
    """The newest configuration; where `owner` is false, nothing was read and another may be asked."""

    owner: bool
    version: int
    body: bytes


def accepted_now(version: int) -> ConfigOutcome:
    """The outcome of an order that was just carried out; `version` is the current one after it."""
    return ConfigOutcome(OK, version, "taken")


def accepted_before(version: int) -> ConfigOutcome:
    """The outcome of an order that comes again; `version` is the one that it brought."""
    return ConfigOutcome(OK, version, "taken before")
