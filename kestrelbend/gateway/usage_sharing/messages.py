"""Datagrams of usage sharing: a gateway's usage report to the meter, and the meter's announcement to all.

Each datagram fits into the 256 bytes that the platform allows. A customer is identified by 32 bits of a
stable hash, so that the receiver need not know the customer's name. A datagram does not name its sender: the
transport identifies the sender by the source address.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import ClassVar

from .errors import UnreadableUsageDatagram

VERSION = 1
MAX_DATAGRAM_BYTES = 256
HEADER = struct.Struct("<BBHBB")  # version, kind, period number, index of this part, number of parts
USAGE_ROW = struct.Struct("<IBBBB")  # customer key, plan, units requested, units admitted, marked retries
# Customer key, and one byte: the admitted share of its first attempts in 1/127; the high bit forbids retries.
SHARE_ROW = struct.Struct("<IB")
MAX_USAGE_ROWS = (MAX_DATAGRAM_BYTES - HEADER.size) // USAGE_ROW.size
MAX_SHARE_ROWS = (MAX_DATAGRAM_BYTES - HEADER.size) // SHARE_ROW.size
MAX_BYTE = 255
PERIOD_MASK = 0xFFFF
SHARE_SCALE = 127  # encoding of the share 1.0, and the mask of the share in its byte
NO_RETRIES_BIT = 128  # bit mask


class DatagramKind(IntEnum):
    """Kind of a datagram; the values are those of the wire format."""

    REPORT = 1
    ANNOUNCEMENT = 2


@dataclass(slots=True)
class CustomerUsage:
    """Usage of one customer that one gateway has seen since its last report."""

    plan: int  # index in the list of configured plans
    requested: float = 0.0  # units requested by first attempts
    admitted: float = 0.0  # units of the attempts sent to a backend
    retries: int = 0  # attempts that the client marked as retries


@dataclass(slots=True)
class QuotaShare:
    """The part of a customer's requests that its quota allows, over all gateways."""

    fraction: float  # share of first attempts to admit
    retries_in_budget: bool  # whether marked retries are within the retry budget


@dataclass(slots=True)
class UsageReport:
    """Usage report of one gateway; `rows` by customer key."""

    kind: ClassVar[DatagramKind] = DatagramKind.REPORT

    period: int
    part: int
    parts: int
    rows: dict[int, CustomerUsage]


@dataclass(slots=True)
class UsageAnnouncement:
    """Announcement of the meter; `rows` by customer key.

    A customer that is in no part of a period's announcement has the full share.
    """

    kind: ClassVar[DatagramKind] = DatagramKind.ANNOUNCEMENT

    period: int
    part: int
    parts: int
    rows: dict[int, QuotaShare]


def encode_report(period: int, usage: Mapping[int, CustomerUsage]) -> bytes:
    """Encode a report of at most `MAX_USAGE_ROWS` customers.

    Units are rounded down and capped at `MAX_BYTE`; the caller keeps the fractions for its next report.
    """
    rows = [
        USAGE_ROW.pack(
            key,
            row.plan,
            min(MAX_BYTE, int(row.requested)),
            min(MAX_BYTE, int(row.admitted)),
            min(MAX_BYTE, row.retries),
        )
        for key, row in usage.items()
    ]
    return HEADER.pack(VERSION, DatagramKind.REPORT, period & PERIOD_MASK, 0, 1) + b"".join(rows)


def encode_announcement(period: int, shares: Mapping[int, QuotaShare]) -> list[bytes]:
    """Encode an announcement of shares by customer key as one or more datagrams."""
    rows = [
        SHARE_ROW.pack(
            key, int(SHARE_SCALE * share.fraction) | (0 if share.retries_in_budget else NO_RETRIES_BIT)
        )
        for key, share in shares.items()
    ]
    parts = [rows[start : start + MAX_SHARE_ROWS] for start in range(0, len(rows), MAX_SHARE_ROWS)] or [[]]
    return [
        HEADER.pack(VERSION, DatagramKind.ANNOUNCEMENT, period & PERIOD_MASK, index, len(parts))
        + b"".join(part)
        for index, part in enumerate(parts)
    ]


def decode(data: bytes) -> UsageReport | UsageAnnouncement:
    """Decode a datagram; raises `UnreadableUsageDatagram` if it is invalid."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        raise UnreadableUsageDatagram("length")
    version, kind, period, part, parts = HEADER.unpack_from(data)
    if version != VERSION or kind not in (DatagramKind.REPORT, DatagramKind.ANNOUNCEMENT) or part >= parts:
        raise UnreadableUsageDatagram("head")
    body = data[HEADER.size :]
    row_format = USAGE_ROW if kind == DatagramKind.REPORT else SHARE_ROW
    if len(body) % row_format.size:
        raise UnreadableUsageDatagram("rows")
    if kind == DatagramKind.REPORT:
        usage = {key: CustomerUsage(*values) for key, *values in USAGE_ROW.iter_unpack(body)}
        return UsageReport(period, part, parts, usage)
    shares = {
        key: QuotaShare((value & SHARE_SCALE) / SHARE_SCALE, not value & NO_RETRIES_BIT)
        for key, value in SHARE_ROW.iter_unpack(body)
    }
    return UsageAnnouncement(period, part, parts, shares)
