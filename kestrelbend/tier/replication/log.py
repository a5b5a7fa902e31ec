"""A replica's log: its entries, which of them are durable, and the voters that they name.

Invariant: `durable_index` never covers an entry that differs on the disk; when entries are replaced,
pending writes no longer count for them.

Source: Ongaro 2014, sections 3.5 (the log), 4.1 (the newest group counts at once) and 5 (compaction).
Hazard: a write that completes after its entries were replaced; see `_cap_durable`.
"""

from __future__ import annotations

import attrs

from .group import Voters, decode_group, decode_placement_number
from .messages import DurableState, Entry, EntryKind, Snapshot
from .timing import Timing


@attrs.define
class PendingWrite:
    """A pending write; once complete, the disk holds the log up to `last_index`."""

    ticket: int
    last_index: int


@attrs.frozen
class NumberedGroup:
    """The voters from the entry `index` on, and the number of the placement towards which they are a step."""

    index: int
    voters: Voters
    placement_number: int


class ReplicaLog:
    """The entries `base_index + 1` to `last_index`, and the latest snapshot.

    The snapshot covers all earlier entries, and possibly some of those held.
    """

    def __init__(self, durable: DurableState) -> None:
        self.snapshot = durable.snapshot
        self.base_index = durable.snapshot.index
        self.base_term = durable.snapshot.term
        self.entries = list(durable.entries)
        self.durable_index = self.last_index
        self._unwritten_from = self.last_index + 1
        self._snapshot_unwritten = False
        self._pending: list[PendingWrite] = []
        self._groups: list[NumberedGroup] = []
        self._record_groups(self.entries)

    @property
    def last_index(self) -> int:
        """The index of the newest entry, or of the snapshot if no entry follows it."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the entry at `last_index`."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def voters(self) -> Voters:
        """The voters named by the newest GROUP entry, committed or not (Ongaro 2014, section 4.1)."""
        return self._newest_group.voters

    @property
    def group_index(self) -> int:
        """The index of the entry that named `voters`."""
        return self._newest_group.index

    @property
    def placement_number(self) -> int:
        """The number of the placement towards which `voters` are a step; it never decreases along a log."""
        return self._newest_group.placement_number

    def group_at(self, index: int) -> NumberedGroup:
        """The group as of the entry `index`."""
        group = self._snapshot_group
        for later in self._groups:
            if later.index <= index:
                group = later
        return group

    def voters_at(self, index: int) -> Voters:
        """The voters as of the entry `index`."""
        return self.group_at(index).voters

    @property
    def _newest_group(self) -> NumberedGroup:
        return self._groups[-1] if self._groups else self._snapshot_group

    @property
    def _snapshot_group(self) -> NumberedGroup:
        snapshot = self.snapshot
        return NumberedGroup(snapshot.index, snapshot.voters, snapshot.placement_number)

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`, or None if the log doesn't hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def first_index_of_term_at(self, index: int) -> int:
        """The first held index in the run of entries that share the term of the one at `index`."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def entries_between(self, first: int, last: int) -> list[Entry]:
        """The entries `first` to `last`, inclusive, all of which the log holds."""
        return self.entries[first - self.base_index - 1 : last - self.base_index]

    def batch(self, first: int, max_bytes: int, entry_bytes: int) -> tuple[Entry, ...]:
        """At least one entry from `first` on, up to `max_bytes`; each counts its data and `entry_bytes`."""
        chosen: list[Entry] = []
        size = 0
        for position in range(first - self.base_index - 1, len(self.entries)):
            entry = self.entries[position]
            size += len(entry.data) + entry_bytes
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entry: Entry) -> None:
        """Appends the entry that follows the last one."""
        assert entry.index == self.last_index + 1, "the entry's index does not follow the last one"
        self.entries.append(entry)
        self._record_groups([entry])

    def replace_from(self, entries: list[Entry]) -> None:
        """Replaces everything from the index of the first of `entries` on with `entries`."""
        first = entries[0].index
        del self.entries[first - self.base_index - 1 :]
        self._groups = [group for group in self._groups if group.index < first]
        self._unwritten_from = min(self._unwritten_from, first)
        self._cap_durable(first - 1)
        self.entries.extend(entries)
        self._record_groups(entries)

    def bootstrap(self, voters: Voters) -> None:
        """Starts the shard's first log, with its initial voters."""
        self.snapshot = Snapshot(voters=voters)
        self._snapshot_unwritten = True

    def compact(self, index: int, state: bytes, timing: Timing, needed_after: int) -> None:
        """Replaces the entries up to the applied `index` with a snapshot, except a tail for slow followers.

        Entries after `needed_after` are kept too, up to `retained_bytes`.  The snapshot itself is not
        written: until the journal's next checkpoint the disk keeps its older snapshot and all entries since,
        which give the same state.  Entries that no write has carried yet are kept until one does.
        """
        term = self.term_at(index)
        assert term is not None, "the snapshot's index is not in the log"
        group = self.group_at(index)
        self.snapshot = Snapshot(index, term, group.voters, state, group.placement_number)
        self._groups = [later for later in self._groups if later.index > index]
        if self._snapshot_unwritten:  # the next write carries this snapshot instead of the installed one
            self._unwritten_from = max(self._unwritten_from, index + 1)
        tail_base = max(index - timing.tail_entries, self._lowest_base_within(index, timing.tail_bytes))
        needed_base = max(needed_after, self._lowest_base_within(index, timing.retained_bytes))
        new_base = max(self.base_index, min(tail_base, needed_base, self._unwritten_from - 1))
        new_term = self.term_at(new_base)
        assert new_term is not None, "the new base index is not in the log"
        del self.entries[: new_base - self.base_index]
        self.base_index, self.base_term = new_base, new_term

    def _lowest_base_within(self, index: int, max_bytes: int) -> int:
        """The lowest base index for which the entries up to `index` hold at most `max_bytes` of data."""
        left = max_bytes
        base = index
        while base > self.base_index:
            left -= len(self.entries[base - self.base_index - 1].data)
            if left < 0:
                break
            base -= 1
        return base

    def install_snapshot(self, snapshot: Snapshot, commit_index: int) -> None:
        """Installs the leader's snapshot, whose index is higher than `commit_index`."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.base_index :]
            self._groups = [group for group in self._groups if group.index > snapshot.index]
        else:
            self.entries = []
            self._groups = []
            self._cap_durable(commit_index)
            self._unwritten_from = snapshot.index + 1
        self.snapshot = snapshot
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._snapshot_unwritten = True
        self._unwritten_from = max(self._unwritten_from, snapshot.index + 1)

    def has_unwritten(self) -> bool:
        """Whether the log holds changes that no write has carried yet."""
        return self._snapshot_unwritten or self._unwritten_from <= self.last_index

    def begin_write(self, ticket: int) -> tuple[tuple[Entry, ...], Snapshot | None]:
        """Returns what the write `ticket` carries: all changes that no earlier write carries."""
        entries = tuple(self.entries_between(self._unwritten_from, self.last_index))
        snapshot = self.snapshot if self._snapshot_unwritten else None
        self._unwritten_from = self.last_index + 1
        self._snapshot_unwritten = False
        self._pending.append(PendingWrite(ticket, self.last_index))
        return entries, snapshot

    def end_write(self, ticket: int) -> None:
        """Marks the write `ticket`, and all before it, as durable."""
        while self._pending and self._pending[0].ticket <= ticket:
            self.durable_index = max(self.durable_index, self._pending.pop(0).last_index)

    def _cap_durable(self, index: int) -> None:
        self.durable_index = min(self.durable_index, index)
        for write in self._pending:
            write.last_index = min(write.last_index, index)

    def _record_groups(self, entries: list[Entry]) -> None:
        for entry in entries:
            if entry.kind == EntryKind.GROUP:
                voters = decode_group(entry.data)
                number = decode_placement_number(entry.data)
                self._groups.append(NumberedGroup(entry.index, voters, number))
