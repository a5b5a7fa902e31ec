"""Messages as datagrams of at most 256 bytes, authenticated by a shared key.

A datagram is a version byte, a key number, the message in MessagePack (msgspec) and a truncated HMAC-SHA256
(RFC 2104) over all of that. One whose first byte is another version's is not read at all. The content is
authenticated, not secret; replays are recognised by the sequence number (`member.SequenceWindow`).
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping

import msgspec
from msgspec import Struct

from .addresses import PACKED_ADDRESS_BYTES
from .errors import DatagramTooLong, InvalidKeys, UnreadableMessage
from .messages import GossipMessage, MembershipUpdate, MemberState, MessageKind

MAX_DATAGRAM_BYTES = 256  # by the platform's protocol
VERSION = 1  # the first byte
HEADER_BYTES = 2  # version and key number
TAG_BYTES = 10  # of the truncated authentication code
MAX_NAME_LENGTH = 40  # characters
MAX_KEY_NUMBER = 255
MIN_KEY_BYTES = 16

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(GossipMessage)


def encoded_size(part: Struct) -> int:
    """Bytes of a message, or of a part of one, in MessagePack."""
    return len(ENCODER.encode(part))


def is_valid_update(update: MembershipUpdate) -> bool:
    """Whether an update can be applied; one of a kind not known here is skipped, not its message."""
    return (
        0 <= update.state <= MemberState.LEFT
        and len(update.address) == PACKED_ADDRESS_BYTES
        and 0 < len(update.name) <= MAX_NAME_LENGTH
        and update.generation > 0
        and update.incarnation >= 0
    )


class Codec:
    """Encodes under the key of the highest number, decodes under any of its keys.

    So a key is changed in two steps: the new one is added everywhere, then the old one is removed.
    """

    def __init__(self, keys: Mapping[int, bytes]) -> None:
        """`keys` by number, 1 to 255; raises InvalidKeys."""
        if not keys or any(
            not 0 < number <= MAX_KEY_NUMBER or len(key) < MIN_KEY_BYTES for number, key in keys.items()
        ):
            raise InvalidKeys("keys have numbers from 1 to 255 and at least 16 bytes each")
        self.keys = dict(keys)
        self.current = max(keys)

    def tag(self, number: int, data: bytes) -> bytes:
        """The authentication code of `data` under the key with this number."""
        return hmac.digest(self.keys[number], data, hashlib.sha256)[:TAG_BYTES]

    def message_bytes(self) -> int:
        """The most bytes of a message in MessagePack."""
        return MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES

    def encode(self, message: GossipMessage) -> bytes:
        """The datagram of a message; raises DatagramTooLong."""
        data = bytes((VERSION, self.current)) + ENCODER.encode(message)
        data += self.tag(self.current, data)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramTooLong(
                f"a datagram of {len(data)} bytes; at most {MAX_DATAGRAM_BYTES} can be sent"
            )
        return data

    def decode(self, data: bytes) -> GossipMessage:
        """The message of a datagram, with those of its updates that are valid; raises UnreadableMessage."""
        if not HEADER_BYTES + TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise UnreadableMessage("length")
        if data[0] != VERSION:
            raise UnreadableMessage("version")
        if data[1] not in self.keys:
            raise UnreadableMessage("key")
        if not hmac.compare_digest(self.tag(data[1], data[:-TAG_BYTES]), data[-TAG_BYTES:]):
            raise UnreadableMessage("forged")
        try:
            message = DECODER.decode(data[HEADER_BYTES:-TAG_BYTES])
            MessageKind(message.kind)
        except (msgspec.DecodeError, ValueError):
            raise UnreadableMessage("form") from None
        if not 0 < len(message.sender) <= MAX_NAME_LENGTH:
            raise UnreadableMessage("form")
        message.updates = [update for update in message.updates if is_valid_update(update)]
        return message
