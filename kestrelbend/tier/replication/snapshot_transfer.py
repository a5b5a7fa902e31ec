"""A snapshot on its way from a leader to a follower, in pieces.  Pure.

The sender keeps one snapshot until the follower has all of it, also where a newer one is made meanwhile, so
that a transfer ends however fast the shard goes on.  A piece that was lost is sent again from the offset that
the follower names; what the follower has is never sent again, by this leader or by the next one, as long as
the snapshot is the same.

Invariant: a follower installs only bytes whose digest is the one that the leader gave with each chunk.
Chunks of two snapshots are told apart by index, term, voters, size and digest, so they never mix.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterator

import attrs

from .messages import ShardId, Snapshot, SnapshotChunk, SnapshotReply
from .timing import Timing

DIGEST_BYTES = 16
MAX_SNAPSHOT_BYTES = 1 << 30
SMOOTHING = 0.25  # the weight of the newest round trip
TIMEOUT_ROUND_TRIPS = 4.0


def digest_of(state: bytes) -> bytes:
    """What tells a snapshot's bytes from any others."""
    return hashlib.blake2b(state, digest_size=DIGEST_BYTES).digest()


@attrs.frozen
class Chunk:
    """A part of a snapshot's state that is to be sent."""

    offset: int
    data: bytes


class SnapshotSender:
    """One snapshot on its way to one follower.

    `received` is what the follower has of it, by its own word.  At most `snapshot_window` bytes beyond that
    are under way.  Where nothing comes of them for several round trips, they are sent again.
    """

    def __init__(self, snapshot: Snapshot, timing: Timing, now: float) -> None:
        self.snapshot = snapshot
        self.head = attrs.evolve(snapshot, state=b"")
        self.size = len(snapshot.state)
        self.digest = digest_of(snapshot.state)
        self.received = 0
        self.is_complete = False
        self._timing = timing
        self._next_offset = 0
        self._began = False
        self._advanced_round = 0
        self._advanced_at = now
        self._round_trip = 0.0
        self._retries = 0
        self._sent_at: deque[tuple[int, float]] = deque()  # the end of each piece under way

    def due(self, now: float) -> Iterator[Chunk]:
        """The pieces to be sent now."""
        if self._began and now - self._advanced_at > self._timeout():
            self._retries += 1
            self.resume()
        if not self._began:
            self._began = True
            self._advanced_at = now
            yield self._next_chunk(now)
        while self._next_offset < min(self.size, self.received + self._timing.snapshot_window):
            yield self._next_chunk(now)

    def resume(self) -> None:
        """What is under way is lost: goes on at what the follower has."""
        self._next_offset = self.received
        self._began = False
        self._sent_at.clear()

    def replied(self, reply: SnapshotReply, now: float) -> None:
        """Takes in how far the follower is.

        A follower that has less than before has lost it, unless the reply is an old one: only a reply to a
        piece of a later round than the last one that told of progress takes the transfer back.
        """
        if reply.digest != self.digest or not 0 <= reply.received <= self.size:
            return
        if reply.received < self.received:
            if reply.round > self._advanced_round:
                self._go_back(reply)
            return
        self.is_complete = reply.received == self.size
        if reply.received > self.received:
            self._advance(reply, now)

    def _next_chunk(self, now: float) -> Chunk:
        offset = self._next_offset
        data = self.snapshot.state[offset : offset + self._timing.chunk_bytes]
        self._next_offset += len(data)
        self._sent_at.append((self._next_offset, now))
        return Chunk(offset, data)

    def _advance(self, reply: SnapshotReply, now: float) -> None:
        self.received = reply.received
        self._next_offset = max(self._next_offset, self.received)
        self._advanced_round = max(self._advanced_round, reply.round)
        self._advanced_at = now
        self._retries = 0
        while self._sent_at and self._sent_at[0][0] <= self.received:
            _, sent_at = self._sent_at.popleft()
            self._measure(now - sent_at)

    def _go_back(self, reply: SnapshotReply) -> None:
        self.received = reply.received
        self._advanced_round = reply.round
        self.resume()

    def _measure(self, round_trip: float) -> None:
        if self._round_trip:
            round_trip = SMOOTHING * round_trip + (1 - SMOOTHING) * self._round_trip
        self._round_trip = round_trip

    def _timeout(self) -> float:
        """How long the bytes under way may take, by the pace of those before them."""
        timing = self._timing
        if not self._round_trip:
            return timing.snapshot_retry
        patience = TIMEOUT_ROUND_TRIPS * self._round_trip
        longest = max(patience, timing.snapshot_retry)
        return min(max(patience * 2**self._retries, timing.reply_timeout), longest)


@attrs.frozen
class _Incoming:
    """Which snapshot the pieces are of, and in which term the last of them came."""

    head: Snapshot
    size: int
    digest: bytes


class HashedBytes:
    """Bytes that come one part after the other, and their digest so far."""

    def __init__(self, state: bytes = b"") -> None:
        self.state = bytearray()
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.add(state)

    def __reduce__(self):
        return HashedBytes, (bytes(self.state),)

    def add(self, data: bytes) -> None:
        """Adds the next part."""
        self.state += data
        self._hash.update(data)

    def has_digest(self, digest: bytes) -> bool:
        """Whether these are the bytes that the leader sent."""
        return self._hash.digest() == digest


class SnapshotReceiver:
    """What a replica has of a snapshot that is not whole yet; it lasts beyond the leader that sent it."""

    def __init__(self) -> None:
        self._incoming: _Incoming | None = None
        self._term = 0
        self._bytes = HashedBytes()

    def take(self, piece: SnapshotChunk) -> Snapshot | None:
        """Adds a piece that follows what is here; the snapshot once it is whole and its digest is right."""
        if not 0 <= piece.size <= MAX_SNAPSHOT_BYTES or self._is_late(piece):
            return None
        self._begin_where_new(piece)
        self._term = piece.term
        have = len(self._bytes.state)
        if piece.offset <= have:
            self._bytes.add(piece.data[have - piece.offset :])
        if len(self._bytes.state) < piece.size:
            return None
        whole = self._bytes
        self.forget()
        if len(whole.state) != piece.size or not whole.has_digest(piece.digest):
            return None
        return attrs.evolve(piece.snapshot, state=bytes(whole.state))

    def received(self, piece: SnapshotChunk) -> int:
        """How many bytes of the piece's snapshot are here."""
        return len(self._bytes.state) if self._incoming == _incoming(piece) else 0

    def forget(self) -> None:
        """Lets go of what is here."""
        self._incoming = None
        self._bytes = HashedBytes()

    def forget_up_to(self, index: int) -> None:
        """Lets go of a snapshot that reaches no further than this index."""
        if self._incoming is not None and self._incoming.head.index <= index:
            self.forget()

    def _is_late(self, piece: SnapshotChunk) -> bool:
        """Whether the leader has gone on to a newer snapshot since it sent this piece."""
        incoming = self._incoming
        return (
            incoming is not None and piece.term <= self._term and piece.snapshot.index < incoming.head.index
        )

    def _begin_where_new(self, piece: SnapshotChunk) -> None:
        incoming = _incoming(piece)
        if self._incoming != incoming:
            self._incoming = incoming
            self._bytes = HashedBytes()


def _incoming(piece: SnapshotChunk) -> _Incoming:
    return _Incoming(piece.snapshot, piece.size, piece.digest)


def chunk_message(
    sender: SnapshotSender, piece: Chunk, shard: ShardId, replica: str, term: int, round_number: int
) -> SnapshotChunk:
    """The message that carries a piece."""
    return SnapshotChunk(
        shard=shard,
        sender=replica,
        term=term,
        snapshot=sender.head,
        size=sender.size,
        digest=sender.digest,
        offset=piece.offset,
        data=piece.data,
        round=round_number,
    )
