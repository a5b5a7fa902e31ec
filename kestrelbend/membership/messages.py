"""What gateways say to one another, and its form on the wire: one datagram a message, at most 256 bytes.

A datagram is a version byte, a key number, the message in MessagePack (msgspec) and a truncated HMAC-SHA256
(RFC 2104) over all of that.  Messages are arrays: a field that a later version adds stands behind those known
here and is skipped; a message of another version's first byte is not read at all.
"""

from __future__ import annotations

import hashlib
import hmac
import socket
import struct
from enum import IntEnum

import msgspec
from msgspec import Struct

LONGEST = 256  # bytes of a datagram, by the platform's protocol
VERSION, TAG = 1, 10  # first byte; bytes of the authentication code
LONGEST_NAME = 40  # characters


class Kind(IntEnum):
    PING = 1  # are you there?
    ACK = 2
    REQUEST = 3  # ask that one for me
    NACK = 4  # I asked, and have heard nothing so far
    DIGESTS = 5  # what I know, in sums by bucket
    NEWS = 6  # rumours alone: of a bucket that differs, or at a leave
    STALE = 7  # your life is older than one I know of
    LEASE = 8  # a duty's lease: asked for, granted or denied


class State(IntEnum):
    """In the order in which one overrides the other within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # by its own word


class Rumour(Struct, array_like=True):
    """What is said of a member.  `life` is that of its process, `incarnation` counts its refutations."""

    name: str
    address: bytes  # IPv4 and port, six bytes
    life: int
    incarnation: int
    state: int
    by: str = ""  # of a suspicion: who has it; independent ones shorten the wait


class Note(Struct, array_like=True):
    """A result that others can use: whose, about what, how old it was when it was sent, and what it says."""

    kind: str
    about: str
    by: str
    number: int  # by its maker, growing: the latest of one maker and one thing counts
    age_ms: int
    body: bytes


class Lease(Struct, array_like=True):
    duty: str
    fence: int
    holder: str
    life: int
    verdict: int = 0  # 0 asked for, 1 granted, 2 denied, 3 given back
    wait_ms: int = 0  # denied: how long it may take; granted: for how long
    asked: int = 0  # the question's time by the holder's clock; its answer says it back


class Message(Struct, array_like=True):
    kind: int
    name: str  # the sender's
    life: int
    seq: int  # grows with each message of one life: what was seen before is not taken again
    nonce: int = 0  # an answer's is that of its question
    target: str = ""  # REQUEST: whom to ask; PING: whom it is meant for
    digest: int = 0  # of the sender's whole view
    rumours: list[Rumour] = []
    notes: list[Note] = []
    sums: list[int] = []
    address: bytes = b""  # REQUEST: where the target is
    lease: Lease | None = None


class Unreadable(Exception):
    """Not a message of a member: `why` is one of a few words, for counting."""

    def __init__(self, why):
        self.why = why
        super().__init__(why)


ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


class Codec:
    """`keys`: by number, 1 to 255; what comes may be of any of them, what goes is of the highest.  So a key
    is changed in two steps: the new one is added everywhere, then the old one is taken away."""

    def __init__(self, keys):
        if not keys or any(not 0 < number < 256 or len(key) < 16 for number, key in keys.items()):
            raise ValueError("keys have numbers from 1 to 255 and at least 16 bytes each")
        self.keys, self.current = dict(keys), max(keys)

    def tag(self, number, data):
        return hmac.digest(self.keys[number], data, hashlib.sha256)[:TAG]

    def room(self):
        """Bytes of a message in MessagePack."""
        return LONGEST - 2 - TAG

    def encode(self, message):
        data = bytes((VERSION, self.current)) + ENCODER.encode(message)
        data += self.tag(self.current, data)
        if len(data) > LONGEST:
            raise ValueError(f"a datagram of {len(data)} bytes")
        return data

    def decode(self, data):
        if not 2 + TAG < len(data) <= LONGEST:
            raise Unreadable("length")
        if data[0] != VERSION:
            raise Unreadable("version")
        if data[1] not in self.keys:
            raise Unreadable("key")
        if not hmac.compare_digest(self.tag(data[1], data[:-TAG]), data[-TAG:]):
            raise Unreadable("forged")
        try:
            message = DECODER.decode(data[2:-TAG])
            Kind(message.kind)
        except (msgspec.DecodeError, ValueError):
            raise Unreadable("form") from None
        if not 0 < len(message.name) <= LONGEST_NAME:
            raise Unreadable("form")
        # A rumour of a kind that is not known here is passed over, not the message.
        message.rumours = [
            r
            for r in message.rumours
            if 0 <= r.state <= State.LEFT
            and len(r.address) == 6
            and 0 < len(r.name) <= LONGEST_NAME
            and r.life > 0
            and r.incarnation >= 0
        ]
        return message


def size(part):
    return len(ENCODER.encode(part))


def packed(pair):
    """An IPv4 address and port as six bytes."""
    host, port = pair
    return socket.inet_aton(host) + struct.pack("!H", port)


def unpacked(data):
    return socket.inet_ntoa(data[:4]), struct.unpack("!H", data[4:])[0]
