"""Transfers a snapshot from a leader to a follower in chunks (Ongaro 2014, section 5.1); does no I/O.

The sender keeps one snapshot until the follower has received all of it, even if a newer one is taken
meanwhile, so that a transfer ends however busy the shard is.  A lost chunk is sent again from the offset that
the follower names; bytes that the follower has received are never sent again, by this leader or the next one,
as long as the snapshot is the same.

Invariant: a follower installs only bytes whose digest equals the one that the leader sent with each chunk.
Chunks of two snapshots are told apart by index, term, voters, size and digest, so they are never mixed.
Hazard: late chunks of an older snapshot that restart a transfer; see `SnapshotReceiver._is_outdated`.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterator

import attrs

from .messages import ShardId, Snapshot, SnapshotChunk, SnapshotReply
from .timing import Timing

DIGEST_BYTES = 16
MAX_SNAPSHOT_BYTES = 1 << 30  # chunks of a larger snapshot are ignored
SMOOTHING = 0.25  # weight of the latest round trip in the moving average
TIMEOUT_ROUND_TRIPS = 4.0  # without progress, until what is in flight counts as lost
MAX_BACKOFF_DOUBLINGS = 32  # bounds the exponent: a follower whose machine is frozen may not reply for hours


def digest_of(state: bytes) -> bytes:
    """The digest that identifies a snapshot's bytes."""
    return hashlib.blake2b(state, digest_size=DIGEST_BYTES).digest()


@attrs.frozen
class Chunk:
    """A part of a snapshot's state to be sent."""

    offset: int
    data: bytes


class SnapshotSender:
    """The transfer of one snapshot to one follower.

    `received` is how many bytes the follower has, by its replies.  At most `snapshot_window` bytes beyond
    that are in flight.  If none of them is acknowledged for several round trips, they are sent again.
    """

    def __init__(self, snapshot: Snapshot, timing: Timing, now: float) -> None:
        self.snapshot = snapshot
        self.metadata = attrs.evolve(snapshot, state=b"")
        self.size = len(snapshot.state)
        self.digest = digest_of(snapshot.state)
        self.received = 0
        self.is_complete = False
        self._timing = timing
        self._next_offset = 0
        self._started = False
        self._advanced_round = 0
        self._advanced_at = now
        self._round_trip = 0.0
        self._retries = 0
        self._sent_at: deque[tuple[int, float]] = deque()  # (end offset, time) of each chunk in flight

    def due_chunks(self, now: float) -> Iterator[Chunk]:
        """The chunks to be sent now."""
        if self._started and now - self._advanced_at > self._timeout():
            self._retries += 1
            self.resume()
        if not self._started:
            self._started = True
            self._advanced_at = now
            yield self._next_chunk(now)
        while self._next_offset < min(self.size, self.received + self._timing.snapshot_window):
            yield self._next_chunk(now)

    def resume(self) -> None:
        """Treats what is in flight as lost: continues after the bytes that the follower has."""
        self._next_offset = self.received
        self._started = False
        self._sent_at.clear()

    def receive_reply(self, reply: SnapshotReply, now: float) -> None:
        """Handles a follower's reply about the bytes it has received.

        A follower that has fewer bytes than before has lost them, unless the reply is an old one: only a
        reply to a chunk of a later round than the last one that showed progress moves the transfer back.
        """
        if reply.digest != self.digest or not 0 <= reply.received <= self.size:
            return
        if reply.received < self.received:
            if reply.round > self._advanced_round:
                self._rewind(reply)
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
            self._record_round_trip(now - sent_at)

    def _rewind(self, reply: SnapshotReply) -> None:
        self.received = reply.received
        self._advanced_round = reply.round
        self.resume()

    def _record_round_trip(self, round_trip: float) -> None:
        if self._round_trip:
            round_trip = SMOOTHING * round_trip + (1 - SMOOTHING) * self._round_trip
        self._round_trip = round_trip

    def _timeout(self) -> float:
        """How long the bytes in flight may take, by the round trips before them."""
        timing = self._timing
        if not self._round_trip:
            return timing.snapshot_retry
        expected = TIMEOUT_ROUND_TRIPS * self._round_trip
        backed_off = expected * float(1 << min(self._retries, MAX_BACKOFF_DOUBLINGS))
        max_timeout = max(expected, timing.snapshot_retry)
        return min(max(backed_off, timing.reply_timeout), max_timeout)


@attrs.frozen
class SnapshotIdentity:
    """Identifies the snapshot to which chunks belong."""

    metadata: Snapshot
    size: int
    digest: bytes


class HashedBytes:
    """Bytes that arrive in parts, and the hash of those so far."""

    def __init__(self, state: bytes = b"") -> None:
        self.state = bytearray()
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.add(state)

    def __reduce__(self) -> tuple[type[HashedBytes], tuple[bytes]]:
        return HashedBytes, (bytes(self.state),)

    def add(self, data: bytes) -> None:
        """Adds the next part."""
        self.state += data
        self._hash.update(data)

    def has_digest(self, digest: bytes) -> bool:
        """Whether these are the bytes that the leader sent."""
        return self._hash.digest() == digest


class SnapshotReceiver:
    """The received part of an incomplete snapshot; it is kept when the leader changes."""

    def __init__(self) -> None:
        self._incoming: SnapshotIdentity | None = None
        self._term = 0
        self._bytes = HashedBytes()

    def receive(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Adds a chunk that follows the received part; returns the snapshot once it is complete and valid."""
        if not 0 <= chunk.size <= MAX_SNAPSHOT_BYTES or self._is_outdated(chunk):
            return None
        self._start_if_different(chunk)
        self._term = chunk.term
        received_length = len(self._bytes.state)
        if chunk.offset <= received_length:
            self._bytes.add(chunk.data[received_length - chunk.offset :])
        if len(self._bytes.state) < chunk.size:
            return None
        complete = self._bytes
        self.discard()
        if len(complete.state) != chunk.size or not complete.has_digest(chunk.digest):
            return None
        return attrs.evolve(chunk.snapshot, state=bytes(complete.state))

    def received(self, chunk: SnapshotChunk) -> int:
        """How many bytes of the chunk's snapshot have been received."""
        return len(self._bytes.state) if self._incoming == _identity_of(chunk) else 0

    def discard(self) -> None:
        """Discards the received part."""
        self._incoming = None
        self._bytes = HashedBytes()

    def discard_up_to(self, index: int) -> None:
        """Discards the received part if its snapshot's index is at most `index`."""
        if self._incoming is not None and self._incoming.metadata.index <= index:
            self.discard()

    def _is_outdated(self, chunk: SnapshotChunk) -> bool:
        """Whether the leader has started on a newer snapshot since it sent this chunk."""
        incoming = self._incoming
        return (
            incoming is not None
            and chunk.term <= self._term
            and chunk.snapshot.index < incoming.metadata.index
        )

    def _start_if_different(self, chunk: SnapshotChunk) -> None:
        incoming = _identity_of(chunk)
        if self._incoming != incoming:
            self._incoming = incoming
            self._bytes = HashedBytes()


def _identity_of(chunk: SnapshotChunk) -> SnapshotIdentity:
    return SnapshotIdentity(chunk.snapshot, chunk.size, chunk.digest)


def chunk_message(
    sender: SnapshotSender, chunk: Chunk, shard: ShardId, replica: str, term: int, round_number: int
) -> SnapshotChunk:
    """The message that carries a chunk."""
    return SnapshotChunk(
        shard=shard,
        sender=replica,
        term=term,
        snapshot=sender.metadata,
        size=sender.size,
        digest=sender.digest,
        offset=chunk.offset,
        data=chunk.data,
        round=round_number,
    )
