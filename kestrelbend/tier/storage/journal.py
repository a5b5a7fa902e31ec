"""The journal of a process: all its replicas' records, written by one thread in group commits.

    append, checkpoint          (any thread; returns at once)
        │ queue
    write_once                  (writer thread) one group: a segment is written and synced, or a checkpoint
        │ durable               is written or begun; on `OSError` the group returns to the queue, and the
        │                       thread retries with exponential backoff
    on_written(tickets)         (caller's thread, through `call_in_loop`)

    maintain                    (writer thread, between groups) runs a step of the active large checkpoint,
                                creates files in advance, removes obsolete files

Invariant: `on_written` receives a ticket only once its record is durable, and receives tickets in the order
in which they were appended.  A caller never waits for the disk.  While writes fail (disk full or failing),
nothing is acknowledged; `state` and `oldest_wait_s` report this, so that replicas can transfer their
leadership.

A large checkpoint is written in short steps between the groups, so that records never wait for all of it.
While the disk is full it is written at once instead, and replaces the records before it.  `journal_files`
documents what each sync guards against.
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
    next_group_length,
    oldest_append,
)

SLOW_AFTER_S = 0.25
STALLED_AFTER_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_DOUBLINGS = 8
MAX_SEGMENTS = 4000  # then a checkpoint is requested, since the next start reads each segment's file
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class JournalState(enum.Enum):
    """Whether the disk keeps up with the records appended to the journal."""

    OK = "ok"
    SLOW = "slow"  # the oldest record has waited for at least `SLOW_AFTER_S`
    STALLED = "stalled"  # the oldest record has waited for at least `STALLED_AFTER_S`
    FULL = "full"  # no space on the disk, or the journal's disk quota is used up


class DiskJournal:
    """A journal in one directory with one writer thread: call `load`, then `start`, and finally `close`.

    `capacity_bytes` is the journal's disk quota.  `call_in_loop(function, *arguments)` schedules a call on
    the caller's thread, like `call_soon_threadsafe`.  `clock` returns seconds.
    """

    def __init__(
        self,
        directory: str,
        capacity_bytes: int,
        on_written: Callable[[list[int]], None],
        call_in_loop: Callable[..., object],
        disk: Disk | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._files = JournalFiles(disk or OsDisk(), directory)
        self._capacity = JournalCapacity(capacity_bytes)
        self._on_written = on_written
        self._call_in_loop = call_in_loop
        self._clock = clock
        self._condition = threading.Condition()  # guards `_queue`, `_in_flight` and `_closing`
        self._queue: list[PendingWrite] = []
        self._in_flight: list[PendingWrite] = []
        self._pending_checkpoints = 0
        self._active_checkpoint: CheckpointWriter | None = None  # the large one in progress
        self._disk_full = False
        self._consecutive_failures = 0
        self._closing = False
        self._thread: threading.Thread | None = None

    def load(self) -> list[bytes]:
        """Returns all records in the order of replay; call it once, before the first append.

        Raises `StorageCorruptedError`, or `OSError` if the disk can't be read.
        """
        return self._files.load()

    def start(self) -> None:
        """Starts the writer thread."""
        self._thread = threading.Thread(target=self._run, name="journal", daemon=True)
        self._thread.start()

    def append(self, ticket: int, record: Record) -> None:
        """Queues a record; `on_written` receives its ticket once it is durable."""
        pending = PendingAppend(ticket, record, self._clock())
        with self._condition:
            self._queue.append(pending)
            self._condition.notify()

    def checkpoint(self, records: list[Record]) -> None:
        """Replaces all records appended so far; the given ones must hold the effect of all of them."""
        with self._condition:
            self._pending_checkpoints += 1
            self._queue.append(PendingCheckpoint(records))
            self._condition.notify()

    @property
    def wants_checkpoint(self) -> bool:
        """Whether a checkpoint should be written: too much to replay at a start, or the disk is full."""
        files = self._files
        if self._pending_checkpoints or self._active_checkpoint is not None:
            return False
        if files.segment_count >= MAX_SEGMENTS:
            return True
        return (
            files.segment_bytes > self._capacity.max_segment_bytes(files.checkpoint_bytes) or self._disk_full
        )

    @property
    def has_pending(self) -> bool:
        """Whether the queue holds any writes."""
        return bool(self._queue)

    @property
    def retry_backoff_s(self) -> float:
        """The delay in seconds before a failed group is retried."""
        doublings = min(self._consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**doublings)

    def oldest_wait_s(self, now: float) -> float:
        """Returns how long the oldest unacknowledged record has waited, in seconds."""
        with self._condition:
            oldest = oldest_append(self._in_flight) or oldest_append(self._queue)
        return 0.0 if oldest is None else now - oldest.appended_at

    def state(self, now: float) -> JournalState:
        """Returns the state of the journal; unless it is OK, other replicas should own the shards."""
        if self._disk_full:
            return JournalState.FULL
        wait = self.oldest_wait_s(now)
        if wait >= STALLED_AFTER_S:
            return JournalState.STALLED
        return JournalState.SLOW if wait >= SLOW_AFTER_S else JournalState.OK

    def close(self, timeout_s: float) -> bool:
        """Writes the pending records for at most `timeout_s`; returns whether all were written."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        if self._thread is not None:
            self._thread.join(timeout_s)
        with self._condition:
            return not (self._queue or self._in_flight)

    def write_once(self) -> bool:
        """Writes one group on the calling thread; returns whether a group was pending and was written."""
        with self._condition:
            group = self._dequeue_group()
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
        """Runs one step of background work on the calling thread; returns whether more remains."""
        more = self.advance_checkpoint()
        try:
            return self._files.maintain() or more
        except OSError:  # a file that could not be created or removed is retried in the next step
            return more

    def advance_checkpoint(self) -> bool:
        """Runs one step of the large checkpoint in progress; returns whether more remain.

        A failed checkpoint is abandoned: all segments still exist, and another checkpoint will be requested.
        """
        if self._active_checkpoint is None:
            return False
        try:
            if self._active_checkpoint.step():
                return True
            self._files.commit_checkpoint(self._active_checkpoint)
        except OSError as error:
            self._disk_full = error.errno in _DISK_FULL_ERRNOS
        self._active_checkpoint = None
        return False

    def _dequeue_group(self) -> list[PendingWrite]:
        queue = self._queue
        end = next_group_length(queue, self._disk_full)
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
        """Writes or begins the checkpoint; the records before it in the group need no segment."""
        self._active_checkpoint = None
        self._check_free_space(checkpoint.size + RECORD_OVERHEAD_BYTES * len(checkpoint.records))
        if checkpoint.is_large and not self._disk_full:
            self._active_checkpoint = self._files.begin_checkpoint(checkpoint.records)
        else:
            self._files.write_checkpoint(checkpoint.records)

    def _check_free_space(self, length: int) -> None:
        """Raises `OSError` with `ENOSPC` if `length` bytes more would exceed the journal's disk quota."""
        used = self._files.checkpoint_bytes + self._files.segment_bytes
        if used + allocated_bytes(length) > self._capacity.capacity_bytes:
            raise OSError(errno.ENOSPC, "the journal's disk quota is used up")

    def _acknowledge(self, group: list[PendingWrite]) -> None:
        self._disk_full = False
        self._consecutive_failures = 0
        with self._condition:
            self._in_flight = []
            self._pending_checkpoints -= sum(isinstance(pending, PendingCheckpoint) for pending in group)
        tickets = [pending.ticket for pending in group if isinstance(pending, PendingAppend)]
        if tickets:
            self._call_in_loop(self._on_written, tickets)

    def _requeue(self, group: list[PendingWrite], error: OSError) -> None:
        self._disk_full = error.errno in _DISK_FULL_ERRNOS
        self._consecutive_failures += 1
        with self._condition:
            self._queue = group + self._queue
            self._in_flight = []

    def _run(self) -> None:
        more_maintenance = True
        while self._wait_for_work(more_maintenance):
            if self._queue and not self.write_once():
                time.sleep(self.retry_backoff_s)
            more_maintenance = self.maintain()

    def _wait_for_work(self, more_maintenance: bool) -> bool:
        """Waits for work; returns False once the journal is closing and the queue is empty."""
        with self._condition:
            while not (self._queue or self._closing or more_maintenance):
                self._condition.wait()
            return bool(self._queue) or not self._closing
