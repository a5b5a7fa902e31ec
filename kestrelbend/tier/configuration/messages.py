"""Messages of the configuration shard: orders of the operator, and records written by the tier itself."""

from __future__ import annotations

import enum

import attrs

from kestrelbend.tier.configuration.statuses import OK

UNDETERMINED = 0  # a status: the outcome is not known here now; the order may be sent again, to any node


class OrderKind(enum.IntEnum):
    """The operation of an order: a call of the operator's API, or a record written by the tier itself."""

    PUT = 0
    PATCH = 1
    PLACEMENT = 2  # written by the tier: body is a `ShardPlacement`
    RETIRE = 3  # body is the node's name
    DISK = 4  # written by the tier: body is a `DiskRecord`
    SHARD_REMOVAL = 5  # written by the tier: body is a `ShardRemoval`
    RETIRE_STATE = 6  # body is the node's name; read-only: the confirmed owner replies without a log entry
    CHECKED_PUT = 7  # a PUT as a log entry, which the owner found valid on its base version
    CHECKED_PATCH = 8  # a PATCH as a log entry, which the owner found valid on its base version


@attrs.frozen
class ConfigOrder:
    """A command of the configuration shard; also the message that forwards it to the shard's owner."""

    kind: int  # an `OrderKind`
    base_version: int  # the version that the order changes; 0 for orders that do not change the document
    body: bytes


@attrs.frozen
class ConfigOutcome:
    """The result of an order."""

    status: int  # the HTTP status of the operator's API, or `UNDETERMINED`
    version: int  # produced by the order, or the current one if it produced none; 0: unknown
    reason: str


@attrs.frozen
class ReadRequest:
    """Request of a control node to the shard's owner for the newest configuration."""

    shard: str


@attrs.frozen
class ReadReply:
    """The newest configuration; if `owner` is false, nothing was read and another node may be asked."""

    owner: bool
    version: int
    body: bytes


def accepted_outcome(version: int) -> ConfigOutcome:
    """Returns the outcome of an order that was just applied; `version` is the current one after it."""
    return ConfigOutcome(OK, version, "taken")


def already_accepted_outcome(version: int) -> ConfigOutcome:
    """Returns the outcome of a repeated order; `version` is the one that it produced the first time."""
    return ConfigOutcome(OK, version, "taken before")
