"""The journal of a process: all its replicas' records, written by one thread in group commits.

Invariant: `on_written` names a ticket only once its record lasts, and names tickets in the order in which
they were appended.  A caller never waits for the disk.  While the disk refuses (full, failing), nothing is
acknowledged; the thread tries again, and `state` and `oldest_wait` tell the replicas to hand over.

A large checkpoint is written in short steps between the groups, so that records never wait for all of it.
While the disk is full it is written at once instead, and takes the place of the records before it.
"""

from __future__ import annotations

import enum
import errno
import threading
import time
from collections.abc import Callable

import attrs

from kestrelbend.tier.storage.checkpoint_writer import CHUNK_BYTES, CheckpointWriter
from kestrelbend.tier.storage.disk import Disk
from kestrelbend.tier.storage.journal_files import JournalFiles, allocated_bytes
from kestrelbend.tier.storage.os_disk import OsDisk
from kestrelbend.tier.storage.records import Record, bytes_of, size_of

SLOW_S = 0.25
STALLED_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_SEGMENTS = 4000
MAX_SEGMENT_SHARE_OF_CAPACITY = 8
MIN_SEGMENT_SHARE_OF_CAPACITY = 64  # that versions may always take before a checkpoint is wanted
RESERVED_SHARE_OF_CAPACITY = 4  # or twice the last checkpoint, is kept for the next one
GROUP_BYTES = 4 * 1024 * 1024
_FULL = (errno.ENOSPC, errno.EDQUOT)


class JournalState(enum.Enum):
    """How the disk takes what it is given."""

    OK = "ok"
    SLOW = "slow"
    STALLED = "stalled"
    FULL = "full"


@attrs.frozen
class _Append:
    ticket: int
    record: Record
    since: float


@attrs.frozen
class _Checkpoint:
    records: list[Record]

    @property
    def size(self) -> int:
        return sum(size_of(record) for record in self.records)


class DiskJournal:
    """One folder and one writer thread.

    `loop_call(function, *arguments)` brings a call to the caller's thread, as `call_soon_threadsafe` does.
    """

    def __init__(
        self,
        folder: str,
        capacity_bytes: int,
        on_written: Callable[[list[int]], None],
        loop_call: Callable[..., object],
        disk: Disk | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._files = JournalFiles(disk or OsDisk(), folder)
        self._capacity_bytes = capacity_bytes
        self._on_written = on_written
        self._loop_call = loop_call
        self._clock = clock
        self._changed = threading.Condition()
        self._queue: list[_Append | _Checkpoint] = []
        self._in_flight: list[_Append | _Checkpoint] = []
        self._checkpoints_waiting = 0
        self._checkpoint: CheckpointWriter | None = None  # the large one under way
        self._full = False
        self._failures = 0
        self._closing = False
        self._thread: threading.Thread | None = None

    def load(self) -> list[bytes]:
        """All records in order, as one replays them; called once, before the first append."""
        return self._files.load()

    def start(self) -> None:
        """Starts the writer thread."""
        self._thread = threading.Thread(target=self._run, name="journal", daemon=True)
        self._thread.start()

    def append(self, ticket: int, record: Record) -> None:
        """Takes a record; `on_written` names its ticket once it lasts."""
        work = _Append(ticket, record, self._clock())
        with self._changed:
            self._queue.append(work)
            self._changed.notify()

    def checkpoint(self, records: list[Record]) -> None:
        """Replaces all that was appended so far by these records, which must hold the effect of all of it."""
        with self._changed:
            self._checkpoints_waiting += 1
            self._queue.append(_Checkpoint(records))
            self._changed.notify()

    @property
    def wants_checkpoint(self) -> bool:
        """Whether the versions since the last checkpoint have grown beyond what a start should replay."""
        files = self._files
        if self._checkpoints_waiting or self._checkpoint is not None:
            return False
        if files.segment_count >= MAX_SEGMENTS:
            return True
        return files.segment_bytes > self._max_segment_bytes() or self._full

    def _max_segment_bytes(self) -> int:
        """What versions may take until a checkpoint is wanted: half of what they may take at all, at most."""
        room = self._capacity_bytes - self._files.checkpoint_bytes - self._reserved_bytes()
        least = self._capacity_bytes // MIN_SEGMENT_SHARE_OF_CAPACITY
        return min(self._capacity_bytes // MAX_SEGMENT_SHARE_OF_CAPACITY, max(room // 2, least))

    def _reserved_bytes(self) -> int:
        """What only the next checkpoint may use."""
        return max(2 * self._files.checkpoint_bytes, self._capacity_bytes // RESERVED_SHARE_OF_CAPACITY)

    def oldest_wait(self, now: float) -> float:
        """For how long the oldest record that is not acknowledged has waited, in seconds."""
        with self._changed:
            since = _oldest_since(self._in_flight, _oldest_since(self._queue, now))
        return now - since

    def state(self, now: float) -> JournalState:
        """How the disk does; anything but OK is a reason to let other replicas own the shards."""
        if self._full:
            return JournalState.FULL
        wait = self.oldest_wait(now)
        if wait >= STALLED_S:
            return JournalState.STALLED
        return JournalState.SLOW if wait >= SLOW_S else JournalState.OK

    def close(self, within: float) -> bool:
        """Writes what waits, within a time in seconds; whether all of it was written."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        if self._thread is not None:
            self._thread.join(within)
        with self._changed:
            return not (self._queue or self._in_flight)

    def write_once(self) -> bool:
        """Writes one group of what waits, on the calling thread; whether there was any and it went well."""
        with self._changed:
            group = self._take_group()
            self._in_flight = group
        if not group:
            return False
        try:
            self._write(group)
        except OSError as error:
            self._requeue(group, error)
            return False
        self._finish(group)
        return True

    def _take_group(self) -> list[_Append | _Checkpoint]:
        """All that waits up to the last checkpoint, or else as many records as make one file.

        A large checkpoint waits until the records before it are written, unless the disk is full.
        """
        queue = self._queue
        end = _after_last_checkpoint(queue)
        if not end:
            end = _group_end(queue)
        elif queue[end - 1].size > CHUNK_BYTES and not self._full:
            before = queue[: end - 1]
            end = _after_last_checkpoint(before) or _group_end(before) or 1
        self._queue = queue[end:]
        return queue[:end]

    def _write(self, group: list[_Append | _Checkpoint]) -> None:
        last = group[-1]
        if isinstance(last, _Checkpoint):
            self._write_checkpoint(last)
            return
        records = [bytes_of(work.record) for work in group]
        self._check_free_space(self._reserved_bytes() + sum(len(record) + 4 for record in records))
        self._files.write_segment(records)

    def _write_checkpoint(self, checkpoint: _Checkpoint) -> None:
        """It holds the effect of the records before it, so these need no file of their own."""
        self._checkpoint = None
        self._check_free_space(checkpoint.size + 4 * len(checkpoint.records))
        if checkpoint.size > CHUNK_BYTES and not self._full:
            self._checkpoint = self._files.begin_checkpoint(checkpoint.records)
        else:
            self._files.write_checkpoint(checkpoint.records)

    def _advance_checkpoint(self) -> bool:
        """A step of the large checkpoint under way; whether more is to do.

        One that fails is given up: the versions are all there, and another checkpoint will be wanted.
        """
        if self._checkpoint is None:
            return False
        try:
            if self._checkpoint.step():
                return True
            self._files.end_checkpoint(self._checkpoint)
        except OSError as error:
            self._full = error.errno in _FULL
        self._checkpoint = None
        return False

    def _check_free_space(self, length: int) -> None:
        used = self._files.checkpoint_bytes + self._files.segment_bytes
        if used + allocated_bytes(length) > self._capacity_bytes:
            raise OSError(errno.ENOSPC, "the journal's share of the disk is used up")

    def _finish(self, group: list[_Append | _Checkpoint]) -> None:
        self._full = False
        self._failures = 0
        with self._changed:
            self._in_flight = []
            self._checkpoints_waiting -= sum(isinstance(work, _Checkpoint) for work in group)
        tickets = [work.ticket for work in group if isinstance(work, _Append)]
        if tickets:
            self._loop_call(self._on_written, tickets)

    def _requeue(self, group: list[_Append | _Checkpoint], error: OSError) -> None:
        self._full = error.errno in _FULL
        self._failures += 1
        with self._changed:
            self._queue = group + self._queue
            self._in_flight = []

    def _run(self) -> None:
        more_upkeep = True
        while self._wait_for_work(more_upkeep):
            if self._queue and not self.write_once():
                time.sleep(min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(self._failures, 8)))
            more_upkeep = self._maintain()

    def _wait_for_work(self, more_upkeep: bool) -> bool:
        """Returns once there is something to do; False where the journal is closed and all is written."""
        with self._changed:
            while not (self._queue or self._closing or more_upkeep):
                self._changed.wait()
            return bool(self._queue) or not self._closing

    def _maintain(self) -> bool:
        more = self._advance_checkpoint()
        try:
            return self._files.maintain() or more
        except OSError:
            return more


def _oldest_since(works: list[_Append | _Checkpoint], otherwise: float) -> float:
    return next((work.since for work in works if isinstance(work, _Append)), otherwise)


def _after_last_checkpoint(queue: list[_Append | _Checkpoint]) -> int:
    for position in range(len(queue), 0, -1):
        if isinstance(queue[position - 1], _Checkpoint):
            return position
    return 0


def _group_end(queue: list[_Append | _Checkpoint]) -> int:
    length = 0
    for position, work in enumerate(queue):
        length += size_of(work.record)
        if length > GROUP_BYTES:
            return max(1, position)
    return len(queue)
