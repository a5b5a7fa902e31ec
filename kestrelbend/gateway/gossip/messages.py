"""What gateways say to one another (SWIM 2002, sections 3 and 4).

Messages are MessagePack arrays: a field goes by its position. Fields are never reordered or removed; one that
a later version adds stands behind those known here and is skipped.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class MessageKind(IntEnum):
    """What a message is for; the numbers are the wire's."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # an indirect probe: the receiver pings another member for the sender
    NACK = 4  # of an indirect probe: the receiver has pinged, and has no answer so far (Lifeguard)
    DIGESTS = 5  # the sender's view, as a sum for each bucket
    UPDATES = 6  # updates alone: of a bucket that differs, of a suspicion or at a leave
    STALE = 7  # the sender of the message answered has a lower generation than one known here
    LEASE = 8  # a singleton task's lease: requested, granted, denied or released


class MemberState(IntEnum):
    """In the order in which one overrides the other within one incarnation (SWIM 2002, section 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # by its own message


class LeaseVerdict(IntEnum):
    """What a lease's message says; the numbers are the wire's."""

    REQUESTED = 0
    GRANTED = 1
    DENIED = 2
    RELEASED = 3


class MembershipUpdate(Struct, array_like=True):
    """What is said of one member.

    `generation` tells the processes of one name apart: Unix milliseconds of the process's start, or one more
    than the highest known where the clock stepped back. `incarnation` counts a process's refutations.
    """

    name: str
    address: bytes  # IPv4 and port, six bytes
    generation: int
    incarnation: int
    state: int
    suspected_by: str = ""  # of a suspicion: who has it; independent ones shorten its timeout


class SharedResult(Struct, array_like=True):
    """A result of one member's work that all others can use, with its age when it was sent."""

    kind: str
    subject: str
    origin: str  # the member that made it
    sequence: int  # of its origin, growing: the latest of one origin and one subject counts
    age_ms: int
    body: bytes


class LeaseMessage(Struct, array_like=True):
    """A request for a singleton task's lease, its answer, or its release."""

    task: str
    fencing_token: int
    holder: str
    generation: int  # of the holder's process
    verdict: int = LeaseVerdict.REQUESTED.value
    wait_ms: int = 0  # denied: how long it may take; granted: for how long
    requested_at: int = 0  # microseconds by the holder's clock; the answer repeats it


class GossipMessage(Struct, array_like=True):
    """One datagram's content."""

    kind: int
    sender: str
    generation: int  # of the sender's process
    sequence: int  # grows with each message of one generation, so that replays are known
    nonce: int = 0  # an answer's is that of its question
    target: str = ""  # PING_REQUEST: whom to ping; PING: whom it is meant for
    digest: int = 0  # of the sender's complete view
    updates: list[MembershipUpdate] = []
    results: list[SharedResult] = []
    bucket_sums: list[int] = []
    target_address: bytes = b""  # PING_REQUEST: where the target is
    lease: LeaseMessage | None = None
