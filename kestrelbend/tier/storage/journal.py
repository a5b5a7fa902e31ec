"""The journal of a process: all its replicas' records, written by one thread in group commits.

    append, checkpoint          (any thread; returns at once)
        │ queue
    write_once                  (writer thread) one group: a segment is written and synced, or a checkpoint
        │ durable               is written or begun; on `OSError` the group goes back to the queue, and the
        │                       thread tries again after a backoff that grows
    on_written(tickets)         (caller's thread, by `loop_call`)

    maintain                    (writer thread, between groups) a step of the large checkpoint under way,
    files
                                created ahead, obsolete files removed

Invariant: `on_written` names a ticket only once its record is durable, and names tickets in the order in
which they were appended.  A caller never waits for the disk.  While the disk refuses (full, failing),
nothing is acknowledged, and `state` and `oldest_wait` let the replicas transfer their leadership.

A large checkpoint is written in short steps between the groups, so that records never wait for all of it.
While the disk is full it is written at once instead, and takes the place of the records before it.  What each
sync guards against is said in `journal_files`.
"""

from __future__ import annotations

import enum
import errno
import threading
import time
from collections.abc import Callable

from kestrelbend.tier.storage.capacity import JournalCapacity
from kestrelbend.tier.storage.checkpoint_writer import CheckpointWriter
from kestrelbend.tier.storage.disk import Disk
from kestrelbend.tier.storage.journal_files import JournalFiles, allocated_bytes
from kestrelbend.tier.storage.os_disk import OsDisk
from kestrelbend.tier.storage.records import Record, record_bytes
from kestrelbend.tier.storage.segment import RECORD_OVERHEAD_BYTES
from kestrelbend.tier.storage.write_queue import (
    PendingAppend,
    PendingCheckpoint,
    PendingWrite,
    next_group,
    oldest_append,
)

SLOW_S = 0.25
STALLED_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_DOUBLINGS = 8
MAX_SEGMENTS = 4000  # until a checkpoint is wanted: each is a file to read at the next start
_DISK_FULL = (errno.ENOSPC, errno.EDQUOT)


class JournalState(enum.Enum):
    """How the disk takes what it is given."""

    OK = "ok"
    SLOW = "slow"  # the oldest record has waited for `SLOW_S`
    STALLED = "stalled"  # the oldest record has waited for `STALLED_S`
    FULL = "full"  # the disk, or the journal's share of it


class DiskJournal:
    """One directory and one writer thread: `load`, then `start`, and `close` at the end.

    `capacity_bytes` is the journal's share of the disk.  `loop_call(function, *arguments)` brings a call to
    the caller's thread, as `call_soon_threadsafe` does.  `clock` gives seconds.
    """

    def __init__(
        self,
        directory: str,
        capacity_bytes: int,
        on_written: Callable[[list[int]], None],
        loop_call: Callable[..., object],
        disk: Disk | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._files = JournalFiles(disk or OsDisk(), directory)
        self._capacity = JournalCapacity(capacity_bytes)
        self._on_written = on_written
        self._loop_call = loop_call
        self._clock = clock
        self._changed = threading.Condition()  # guards the queue, what is in flight and `_closing`
        self._queue: list[PendingWrite] = []
        self._in_flight: list[PendingWrite] = []
        self._pending_checkpoints = 0
        self._checkpoint: CheckpointWriter | None = None  # the large one under way
        self._full = False
        self._failures = 0
        self._closing = False
        self._thread: threading.Thread | None = None

    def load(self) -> list[bytes]:
        """All records in order, as one replays them; called once, before the first append.

        Raises `StorageCorruptedError`, and `OSError` where the disk can't be read.
        """
        return self._files.load()

    def start(self) -> None:
        """Starts the writer thread."""
        self._thread = threading.Thread(target=self._run, name="journal", daemon=True)
        self._thread.start()

    def append(self, ticket: int, record: Record) -> None:
        """Takes a record; `on_written` names its ticket once it is durable."""
        pending = PendingAppend(ticket, record, self._clock())
        with self._changed:
            self._queue.append(pending)
            self._changed.notify()

    def checkpoint(self, records: list[Record]) -> None:
        """Replaces all that was appended so far by these records, which must hold the effect of all of it."""
        with self._changed:
            self._pending_checkpoints += 1
            self._queue.append(PendingCheckpoint(records))
            self._changed.notify()

    @property
    def wants_checkpoint(self) -> bool:
        """Whether the segments since the last checkpoint have grown beyond what a start should replay."""
        files = self._files
        if self._pending_checkpoints or self._checkpoint is not None:
            return False
        if files.segment_count >= MAX_SEGMENTS:
            return True
        return files.segment_bytes > self._capacity.max_segment_bytes(files.checkpoint_bytes) or self._full

    @property
    def has_pending(self) -> bool:
        """Whether anything waits to be written."""
        return bool(self._queue)

    @property
    def retry_backoff_s(self) -> float:
        """The time in seconds before a group that the disk refused is written again."""
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**doublings)

    def oldest_wait(self, now: float) -> float:
        """For how long the oldest record that is not acknowledged has waited, in seconds."""
        with self._changed:
            oldest = oldest_append(self._in_flight) or oldest_append(self._queue)
        return 0.0 if oldest is None else now - oldest.since

    def state(self, now: float) -> JournalState:
        """How the disk does; anything but OK is a reason to let other replicas own the shards."""
        if self._full:
            return JournalState.FULL
        wait = self.oldest_wait(now)
        if wait >= STALLED_S:
            return JournalState.STALLED
        return JournalState.SLOW if wait >= SLOW_S else JournalState.OK

    def close(self, within: float) -> bool:
        """Writes what is pending, within a time in seconds; whether all of it was written."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        if self._thread is not None:
            self._thread.join(within)
        with self._changed:
            return not (self._queue or self._in_flight)

    def write_once(self) -> bool:
        """Writes one group on the calling thread; whether anything was pending and the disk took it."""
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
        self._acknowledge(group)
        return True

    def maintain(self) -> bool:
        """A step of what can wait, on the calling thread; whether more is to do."""
        more = self.advance_checkpoint()
        try:
            return self._files.maintain() or more
        except OSError:  # what could not be created or removed is tried again with the next step
            return more

    def advance_checkpoint(self) -> bool:
        """A step of the large checkpoint under way; whether more is to do.

        One that fails is given up: the segments are all there, and another checkpoint will be wanted.
        """
        if self._checkpoint is None:
            return False
        try:
            if self._checkpoint.step():
                return True
            self._files.end_checkpoint(self._checkpoint)
        except OSError as error:
            self._full = error.errno in _DISK_FULL
        self._checkpoint = None
        return False

    def _take_group(self) -> list[PendingWrite]:
        queue = self._queue
        end = next_group(queue, self._full)
        self._queue = queue[end:]
        return queue[:end]

    def _write(self, group: list[PendingWrite]) -> None:
        last = group[-1]
        if isinstance(last, PendingCheckpoint):
            self._write_checkpoint(last)
            return
        records = [record_bytes(pending.record) for pending in group if isinstance(pending, PendingAppend)]
        reserved = self._capacity.reserved_bytes(self._files.checkpoint_bytes)
        self._check_free_space(reserved + sum(len(record) + RECORD_OVERHEAD_BYTES for record in records))
        self._files.write_segment(records)

    def _write_checkpoint(self, checkpoint: PendingCheckpoint) -> None:
        """It holds the effect of the records before it, so these need no file of their own."""
        self._checkpoint = None
        self._check_free_space(checkpoint.size + RECORD_OVERHEAD_BYTES * len(checkpoint.records))
        if checkpoint.is_large and not self._full:
            self._checkpoint = self._files.begin_checkpoint(checkpoint.records)
        else:
            self._files.write_checkpoint(checkpoint.records)

    def _check_free_space(self, length: int) -> None:
        """Raises the error of a full disk where the journal's share has no space for so many bytes."""
        used = self._files.checkpoint_bytes + self._files.segment_bytes
        if used + allocated_bytes(length) > self._capacity.capacity_bytes:
            raise OSError(errno.ENOSPC, "the journal's share of the disk is used up")

    def _acknowledge(self, group: list[PendingWrite]) -> None:
        self._full = False
        self._failures = 0
        with self._changed:
            self._in_flight = []
            self._pending_checkpoints -= sum(isinstance(pending, PendingCheckpoint) for pending in group)
        tickets = [pending.ticket for pending in group if isinstance(pending, PendingAppend)]
        if tickets:
            self._loop_call(self._on_written, tickets)

    def _requeue(self, group: list[PendingWrite], error: OSError) -> None:
        self._full = error.errno in _DISK_FULL
        self._failures += 1
        with self._changed:
            self._queue = group + self._queue
            self._in_flight = []

    def _run(self) -> None:
        more_maintenance = True
        while self._wait_for_work(more_maintenance):
            if self._queue and not self.write_once():
                time.sleep(self.retry_backoff_s)
            more_maintenance = self.maintain()

    def _wait_for_work(self, more_maintenance: bool) -> bool:
        """Returns once there is something to do; False where the journal is closed and all is written."""
        with self._changed:
            while not (self._queue or self._closing or more_maintenance):
                self._changed.wait()
            return bool(self._queue) or not self._closing
