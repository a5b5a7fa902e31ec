"""The counters of a shard's programs, as the state that its replicas apply commands to.

    (unknown) ──reserve, settle──> ACTIVE ──least recently used of too many──> IDLE
                                     ^                                          │ │ └──────────reserve,
                                     settle─────────────────┘ └──away for long──> (unknown)

Invariants: the same commands in the same order give the same table and the same outcomes on every replica,
and a table that was saved and restored goes on as the one that was saved.  Nothing here asks for the time:
`advance` brings it in with the entries, from the owner's steady clock.

The table is bounded.  Active programs are kept completely.  Beyond `max_active` of them, the one that was
used least recently becomes idle, and only its tokens and its retries are kept; turns of it that are still
open have lost their gateways long ago and count at their upper bound.  An idle one is forgotten only once
there are `max_idle` of them and it has been away for its `retain_s`.  Where none has been away for so long,
programs that are not known are refused: a budget is not handed out twice to make space.

The states of a reservation are drawn in `program`.
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
    """Programs' counters, in the order of their last use."""

    def __init__(self, max_active: int = MAX_ACTIVE_PROGRAMS, max_idle: int = MAX_IDLE_PROGRAMS) -> None:
        self._max_active = max_active
        self._active: dict[str, ActiveProgram] = {}
        self._idle = IdlePrograms(max_idle)
        self._snapshots: list[TableSnapshot] = []  # under way
        self._forgotten = ForgottenNames()
        self._now_ms = 0

    def advance(self, elapsed_ms: int) -> None:
        """So much time has gone at least since the entry before."""
        self._now_ms += elapsed_ms

    def reserve(self, reserve: Reserve) -> ReserveOutcome:
        """Admits or refuses a turn."""
        if not self._has_capacity_for(reserve.program):
            return ProgramBudget().refuse(reserve)
        program = self._use(reserve.program)
        if self._is_forgotten(program, reserve.reservation):
            return program.refuse(reserve)
        program.retain_s = max(program.retain_s, reserve.retain_s)
        outcome = program.reserve(reserve)
        self._forget_names(program)
        return outcome

    def settle(self, settlement: Settlement) -> None:
        """Replaces a reservation by what was handed out.

        A program that there is no capacity for leaves nothing but the name of what was settled.
        """
        if not self._has_capacity_for(settlement.program):
            self._forgotten.add(settlement.reservation)
            return
        program = self._use(settlement.program)
        program.settle(settlement)
        self._forget_names(program)

    def begin_snapshot(self) -> TableSnapshot:
        """The table as it is now, to be encoded step by step while commands go on."""
        snapshot = self._new_snapshot()
        self._snapshots.append(snapshot)
        return snapshot

    def snapshot(self) -> bytes:
        """The complete table, encoded at once."""
        return self._new_snapshot().finish()

    def restore(self, state: bytes) -> None:
        """Puts a snapshot in this table's place; no bytes stand for an empty table.

        To keep it short, counters are decoded when they are used, and idle programs with the next uses.
        """
        decoded = decode_table(state)
        self._active = decoded.active
        self._idle = IdlePrograms(self._idle.max_programs, decoded.idle_lines)
        self._forgotten = ForgottenNames(decoded.header.forgotten)
        self._now_ms = decoded.header.now_ms
        self._snapshots = []

    def _new_snapshot(self) -> TableSnapshot:
        self._idle.decode_all()
        header = TableHeader(self._now_ms, dict(self._forgotten.highest))
        return TableSnapshot(header, list(self._active.values()), self._idle.items())

    # Names

    def _is_forgotten(self, program: ProgramBudget, reservation: str) -> bool:
        """Whether a reservation of this name may have been admitted before, and nothing is known of it."""
        return reservation in self._forgotten and not program.remembers(reservation)

    def _forget_names(self, program: ProgramBudget) -> None:
        for name in program.forgotten:
            self._forgotten.add(name)
        program.forgotten.clear()

    # Capacity

    def _has_capacity_for(self, name: str) -> bool:
        """Whether the program may be counted; one that is not active needs all idle ones decoded."""
        if name in self._active:
            self._idle.decode_next()
            return True
        self._idle.decode_all()
        if name in self._idle or len(self._active) < self._max_active:
            return True
        return self._idle.has_capacity(self._now_ms)

    def _use(self, name: str) -> ProgramBudget:
        """The counter of a program, which is about to change."""
        program = self._active.pop(name, None)
        if program is None:
            program = ActiveProgram(name, self._reactivated(name))
            if len(self._active) >= self._max_active:
                self._deactivate(self._eviction_candidate())
        changing = self._changing(program)
        self._active[name] = changing
        counter = changing.counter()
        counter.used_at_ms = self._now_ms
        return counter

    def _reactivated(self, name: str) -> ProgramBudget:
        """The counter of a program that is not active: as it was when it became idle, or a new one."""
        self._idle.decode_all()
        idle = self._idle.take(name)
        if idle is None:
            return ProgramBudget()
        return ProgramBudget(settled=idle.total, retries=idle.retries, retain_s=idle.retain_s)

    def _changing(self, program: ActiveProgram) -> ActiveProgram:
        """The program without its line; a snapshot under way keeps the line as of now."""
        if self._snapshots:
            self._snapshots = [snapshot for snapshot in self._snapshots if not snapshot.is_complete]
        if not self._snapshots:
            program.invalidate()
            return program
        program.encode()
        return ActiveProgram(program.name, program.counter())

    def _eviction_candidate(self) -> str:
        """The least recently used program without an open turn, if one of the first few is such."""
        names = list(islice(self._active, MAX_EVICTION_CANDIDATES))
        return next((name for name in names if not self._active[name].counter().open_turns), names[0])

    def _deactivate(self, name: str) -> None:
        """The program becomes idle; a repeat of one of its reservations is refused from now on."""
        counter = self._active.pop(name).counter()
        for reservation in (*counter.closed, *counter.open_turns):
            self._forgotten.add(reservation)
        idle = IdleProgram(counter.total, counter.retries, counter.used_at_ms, counter.retain_s)
        self._idle.add(name, idle, self._now_ms)
