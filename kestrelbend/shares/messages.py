"""The datagrams: a report of one gateway's use to the meter, and the meter's news to all.

Each fits the platform's 256 bytes.  A customer goes by 32 bits of a stable hash, so that sender and receiver
need not both have met it.  Who sent a datagram is told by its source address, which the carrier checks.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

VERSION = 1
REPORT, NEWS = 1, 2
LONGEST = 256
HEAD = struct.Struct("<BBHBB")  # version, kind, number of the period, part of so many parts
USE = struct.Struct("<IBBBB")  # customer, plan, units asked for, units let in, marked retries
SHARE = struct.Struct("<IB")  # customer, share of its first tries in 1/127; the high bit: no retries
USES, SHARES = (LONGEST - HEAD.size) // USE.size, (LONGEST - HEAD.size) // SHARE.size
FULL, NO_RETRIES = 127, 128


class Unreadable(ValueError):
    """Not a datagram of this protocol, or of another version of it."""


@dataclass(slots=True)
class Use:
    """What one gateway saw of a customer since its last report, in units and in marked retries."""

    plan: int
    asked: float = 0.0
    let_in: float = 0.0
    retries: int = 0


@dataclass(slots=True)
class Share:
    part: float  # of the customer's first tries that there is room for
    retries: bool  # whether its marked retries are within their budget


@dataclass(slots=True)
class Message:
    kind: int
    period: int
    part: int
    parts: int
    rows: dict  # Use or Share by customer


def report(period, uses):
    """At most USES rows of Use by customer; fractions of a unit are the caller's to keep."""
    rows = [
        USE.pack(key, u.plan, min(255, int(u.asked)), min(255, int(u.let_in)), min(255, u.retries))
        for key, u in uses.items()
    ]
    return HEAD.pack(VERSION, REPORT, period & 0xFFFF, 0, 1) + b"".join(rows)


def news(period, shares):
    """The datagrams, at least one, that tell these Shares by customer."""
    rows = [
        SHARE.pack(key, int(FULL * s.part) | (0 if s.retries else NO_RETRIES)) for key, s in shares.items()
    ]
    parts = [rows[at : at + SHARES] for at in range(0, len(rows), SHARES)] or [[]]
    return [
        HEAD.pack(VERSION, NEWS, period & 0xFFFF, at, len(parts)) + b"".join(part)
        for at, part in enumerate(parts)
    ]


def read(data):
    """Raises Unreadable."""
    if not HEAD.size <= len(data) <= LONGEST:
        raise Unreadable("length")
    version, kind, period, part, parts = HEAD.unpack_from(data)
    if version != VERSION or kind not in (REPORT, NEWS) or part >= parts:
        raise Unreadable("head")
    row = USE if kind == REPORT else SHARE
    if (len(data) - HEAD.size) % row.size:
        raise Unreadable("rows")
    rows = {}
    for key, *values in row.iter_unpack(data[HEAD.size :]):
        rows[key] = (
            Use(*values) if kind == REPORT else Share((values[0] & FULL) / FULL, not values[0] & NO_RETRIES)
        )
    return Message(kind, period, part, parts, rows)
