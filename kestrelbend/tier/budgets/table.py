"""The counters of all programs of a shard: the replicated state that commands are applied to.

    (unknown) ──reserve, settle──> ACTIVE ──least recently used of too many──> IDLE
                                     ^                                          │ │
                                     └─────────────reserve, settle──────────────┘ └──expired──> (unknown)

Invariants: the same commands in the same order produce the same table and the same outcomes on every replica,
and a restored table behaves like the one that the snapshot was taken of.  The table never reads a clock: the
entries carry the elapsed time of the owner's monotonic clock, and `advance` adds it.

The table is bounded.  Active programs are kept completely.  Beyond `max_active` of them, the least recently
used one becomes idle: only its token and retry totals are kept, and its open turns count at their maximum,
because their gateways have been gone for a long time.  An idle program is forgotten only if there are
`max_idle` of them and it has been inactive for longer than its `retain_s`.  If there is none such, unknown
programs are rejected: forgetting a program earlier would grant its budget a second time.

For the states of a reservation see the diagram in `program`.
"""

from __future__ import annotations

from itertools import islice

from kestrelbend.tier.budgets.idle_programs import IdlePrograms
from kestrelbend.tier.budgets.messages import Reserve, ReserveOutcome, Settlement
from kestrelbend.tier.budgets.names import ForgottenNames
from kestrelbend.tier.budgets.program import ProgramBudget
from kestrelbend.tier.budgets.snapshot_codec import ActiveProgram, IdleProgram, TableHeader, decode_table
from kestrelbend.tier.budgets.table_snapshot import TableSnapshot

MAX_ACTIVE_PROGRAMS = 2_000
MAX_IDLE_PROGRAMS = 60_000
MAX_EVICTION_CANDIDATES = 16


class BudgetTable:
    """The counters of a shard's programs, in the order of their last use."""

    def __init__(self, max_active: int = MAX_ACTIVE_PROGRAMS, max_idle: int = MAX_IDLE_PROGRAMS) -> None:
        self._max_active = max_active
        self._active: dict[str, ActiveProgram] = {}
        self._idle = IdlePrograms(max_idle)
        self._snapshots: list[TableSnapshot] = []  # not complete yet
        self._forgotten = ForgottenNames()
        self._time_ms = 0

    def advance(self, elapsed_ms: int) -> None:
        """Advances the table's time by the milliseconds counted since the previous entry, a lower bound."""
        self._time_ms += elapsed_ms

    def reserve(self, reserve: Reserve) -> ReserveOutcome:
        """Admits or rejects a turn."""
        if not self._has_capacity_for(reserve.program):
            return ProgramBudget().reject(reserve)
        program = self._counter_for_update(reserve.program)
        if self._is_forgotten(program, reserve.reservation):
            return program.reject(reserve)
        program.retain_s = max(program.retain_s, reserve.retain_s)
        outcome = program.reserve(reserve)
        self._forget_names(program)
        return outcome

    def settle(self, settlement: Settlement) -> None:
        """Replaces a reservation's tokens by those delivered.

        If there is no capacity for the program, only the reservation's name is recorded as forgotten.
        """
        if not self._has_capacity_for(settlement.program):
            self._forgotten.add(settlement.reservation)
            return
        program = self._counter_for_update(settlement.program)
        program.settle(settlement)
        self._forget_names(program)

    def begin_snapshot(self) -> TableSnapshot:
        """Starts a snapshot of the current table, which is encoded in steps while commands are applied."""
        snapshot = self._new_snapshot()
        self._snapshots.append(snapshot)
        return snapshot

    def snapshot(self) -> bytes:
        """Encodes the complete table at once."""
        return self._new_snapshot().finish()

    def restore(self, state: bytes) -> None:
        """Replaces the table by a snapshot; an empty one stands for an empty table.

        To keep this call short, counters are decoded when they are first used, and idle programs line by line
        with the following commands.
        """
        decoded = decode_table(state)
        self._active = decoded.active
        self._idle = IdlePrograms(self._idle.max_programs, decoded.idle_lines)
        self._forgotten = ForgottenNames(decoded.header.forgotten)
        self._time_ms = decoded.header.now_ms
        self._snapshots = []

    def _new_snapshot(self) -> TableSnapshot:
        self._idle.decode_all()
        header = TableHeader(self._time_ms, dict(self._forgotten.highest))
        return TableSnapshot(header, list(self._active.values()), self._idle.items())

    # Reservation names

    def _is_forgotten(self, program: ProgramBudget, reservation: str) -> bool:
        """Whether the name may have been used before, and its outcome is no longer known."""
        return reservation in self._forgotten and not program.remembers(reservation)

    def _forget_names(self, program: ProgramBudget) -> None:
        for name in program.forgotten:
            self._forgotten.add(name)
        program.forgotten.clear()

    # Capacity

    def _has_capacity_for(self, name: str) -> bool:
        """Whether the program is known or may be added; decodes all idle programs unless it is active."""
        if name in self._active:
            self._idle.decode_next()
            return True
        self._idle.decode_all()
        if name in self._idle or len(self._active) < self._max_active:
            return True
        return self._idle.has_capacity(self._time_ms)

    def _counter_for_update(self, name: str) -> ProgramBudget:
        """Returns the program's counter for modification and marks the program as the last one used."""
        program = self._active.pop(name, None)
        if program is None:
            program = ActiveProgram(name, self._restore_counter(name))
            if len(self._active) >= self._max_active:
                self._deactivate(self._eviction_candidate())
        updated = self._prepare_update(program)
        self._active[name] = updated
        counter = updated.counter()
        counter.used_at_ms = self._time_ms
        return counter

    def _restore_counter(self, name: str) -> ProgramBudget:
        """Returns the counter of a program that is not active: restored from the idle ones, or a new one."""
        self._idle.decode_all()
        idle = self._idle.remove(name)
        if idle is None:
            return ProgramBudget()
        return ProgramBudget(settled=idle.total, retries=idle.retries, retain_s=idle.retain_s)

    def _prepare_update(self, program: ActiveProgram) -> ActiveProgram:
        """Returns the program without an encoded line; an incomplete snapshot keeps the line as it is now."""
        if self._snapshots:
            self._snapshots = [snapshot for snapshot in self._snapshots if not snapshot.is_complete]
        if not self._snapshots:
            program.invalidate()
            return program
        program.encode()
        return ActiveProgram(program.name, program.counter())

    def _eviction_candidate(self) -> str:
        """Returns the least recently used program that has no open turn, among the first few candidates.

        If each of them has an open turn, returns the least recently used one.
        """
        names = list(islice(self._active, MAX_EVICTION_CANDIDATES))
        return next((name for name in names if not self._active[name].counter().open_turns), names[0])

    def _deactivate(self, name: str) -> None:
        """Makes the program idle; duplicates of its reservations are rejected from now on."""
        counter = self._active.pop(name).counter()
        for reservation in (*counter.closed, *counter.open_turns):
            self._forgotten.add(reservation)
        idle = IdleProgram(counter.total, counter.retries, counter.used_at_ms, counter.retain_s)
        self._idle.add(name, idle, self._time_ms)
