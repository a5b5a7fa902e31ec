"""The datagrams: a report of one gateway's usage to the meter, and the meter's announcement to all.

Each fits the platform's 256 bytes. A customer goes by 32 bits of a stable hash, so that sender and receiver
need not both have met it. Who sent a datagram is known by its source address, which the carrier checks.
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
HEADER = struct.Struct("<BBHBB")  # version, kind, number of the period, part of so many parts
USAGE_ROW = struct.Struct("<IBBBB")  # customer, plan, units requested, units admitted, marked retries
SHARE_ROW = struct.Struct("<IB")  # customer, share of its first attempts in 1/127; the high bit: no retries
MAX_USAGE_ROWS = (MAX_DATAGRAM_BYTES - HEADER.size) // USAGE_ROW.size
MAX_SHARE_ROWS = (MAX_DATAGRAM_BYTES - HEADER.size) // SHARE_ROW.size
MAX_BYTE = 255
PERIOD_MASK = 0xFFFF
FULL_SHARE = 127
NO_RETRIES = 128


class DatagramKind(IntEnum):
    """The numbers are the wire's."""

    REPORT = 1
    ANNOUNCEMENT = 2


@dataclass(slots=True)
class CustomerUsage:
    """What one gateway saw of a customer since its last report, in units and in marked retries."""

    plan: int  # its number in the settings
    requested: float = 0.0  # by first attempts
    admitted: float = 0.0
    retries: int = 0


@dataclass(slots=True)
class QuotaShare:
    """What there is room for over all gateways."""

    fraction: float  # of the customer's first attempts
    retries_in_budget: bool  # whether its marked retries are within their budget


@dataclass(slots=True)
class UsageReport:
    """Of one gateway, by customer."""

    kind: ClassVar[DatagramKind] = DatagramKind.REPORT

    period: int
    part: int
    parts: int
    rows: dict[int, CustomerUsage]


@dataclass(slots=True)
class UsageAnnouncement:
    """Of the meter, by customer; one that no part of a period names has room for all."""

    kind: ClassVar[DatagramKind] = DatagramKind.ANNOUNCEMENT

    period: int
    part: int
    parts: int
    rows: dict[int, QuotaShare]


def encode_report(period: int, usage: Mapping[int, CustomerUsage]) -> bytes:
    """At most MAX_USAGE_ROWS customers; fractions of a unit are the caller's to keep."""
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
    """The datagrams, at least one, that announce these shares by customer."""
    rows = [
        SHARE_ROW.pack(key, int(FULL_SHARE * share.fraction) | (0 if share.retries_in_budget else NO_RETRIES))
        for key, share in shares.items()
    ]
    parts = [rows[start : start + MAX_SHARE_ROWS] for start in range(0, len(rows), MAX_SHARE_ROWS)] or [[]]
    return [
        HEADER.pack(VERSION, DatagramKind.ANNOUNCEMENT, period & PERIOD_MASK, index, len(parts))
        + b"".join(part)
        for index, part in enumerate(parts)
    ]


def decode(data: bytes) -> UsageReport | UsageAnnouncement:
    """The report or announcement that a datagram is; raises UnreadableUsageDatagram."""
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
        key: QuotaShare((value & FULL_SHARE) / FULL_SHARE, not value & NO_RETRIES)
        for key, value in SHARE_ROW.iter_unpack(body)
    }
    return UsageAnnouncement(period, part, parts, shares)
