"""Which processes are live, by heartbeats received here or relayed by other control nodes.

What happens to one incarnation of a process, by the age of its latest heartbeat:

    unknown --heartbeat--> live --`LIVE_S` without one--> unresponsive --`REMEMBERED_S`--> forgotten
                            ^                                  |
                            +-------------heartbeat------------+

Invariant: for one address only the latest incarnation is held, and of it only the latest heartbeat.
Incarnations are numbered by the time of day, which may step: a lower number counts as later once the known
one is unresponsive.  All times are this node's steady clock, in seconds.
"""

from __future__ import annotations

import attrs

from .messages import Heartbeat, Member, ShardReport

LIVE_S = 1.2  # a process without a heartbeat for longer isn't live
REMEMBERED_S = 600.0  # a process without a heartbeat for longer is forgotten
NEVER = float("-inf")


@attrs.frozen
class HeartbeatAge:
    """The latest heartbeat of a process, and the seconds since it was received."""

    heartbeat: Heartbeat
    seconds: float


@attrs.define
class _Row:
    heartbeat: Heartbeat
    heard_at: float  # here or by another control node
    heard_here_at: float = NEVER


class MemberTable:
    """The heartbeats known to a control node, by their process's address."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}

    # What comes in

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Takes a process's own heartbeat; False where a later one is known."""
        if not self.record_relayed(heartbeat, now):
            return False
        self._rows[heartbeat.member.address].heard_here_at = now
        return True

    def record_relayed(self, heartbeat: Heartbeat, heard_at: float) -> bool:
        """Takes a heartbeat that another control node received then; False where a later one is known."""
        address = heartbeat.member.address
        row = self._rows.get(address)
        if row is not None and not _is_later(heartbeat, row.heartbeat):
            same_incarnation = heartbeat.member.incarnation == row.heartbeat.member.incarnation
            if same_incarnation or heard_at - row.heard_at <= LIVE_S:
                return False
        heard_here_at = NEVER if row is None else row.heard_here_at
        self._rows[address] = _Row(heartbeat, heard_at, heard_here_at)
        return True

    def confirm_live(self, address: str, incarnation: int, heard_at: float) -> None:
        """Another control node received a heartbeat then that says nothing new."""
        row = self._rows.get(address)
        if row is not None and row.heartbeat.member.incarnation == incarnation:
            row.heard_at = max(row.heard_at, heard_at)

    def forget_expired(self, now: float) -> None:
        """Drops who is unresponsive for `REMEMBERED_S`."""
        old = [address for address, row in self._rows.items() if now - row.heard_at > REMEMBERED_S]
        for address in old:
            del self._rows[address]

    # Who is live

    def live(self, now: float, within: float = LIVE_S) -> list[Heartbeat]:
        """The latest heartbeats of all that had one within so many seconds, in the order of addresses."""
        rows = sorted(self._rows.items())
        return [row.heartbeat for _, row in rows if now - row.heard_at <= within]

    def members(self, now: float, within: float = LIVE_S) -> list[Member]:
        """As `live`, the members alone."""
        return [heartbeat.member for heartbeat in self.live(now, within)]

    def staying(self, now: float) -> list[Member]:
        """The members that are live and have not announced that they leave."""
        return [heartbeat.member for heartbeat in self.live(now) if not heartbeat.leaving]

    def is_leaving(self, replica: str) -> bool:
        """Whether the process with this disk has announced that it leaves."""
        rows = self._rows.values()
        return any(row.heartbeat.leaving for row in rows if row.heartbeat.member.replica == replica)

    def reporting_here(self, now: float) -> dict[str, Heartbeat]:
        """By address, the latest heartbeats of the live processes that report to this node."""
        rows = self._rows.items()
        return {address: row.heartbeat for address, row in rows if now - row.heard_here_at <= LIVE_S}

    # For how long

    def heartbeat_ages(self, now: float) -> list[HeartbeatAge]:
        """The latest heartbeats of all that are remembered, live or not, in the order of addresses."""
        return [HeartbeatAge(row.heartbeat, now - row.heard_at) for _, row in sorted(self._rows.items())]

    def heartbeat_age_here(self, address: str, now: float) -> float:
        """Seconds since the process reported to this node; infinite where it never did."""
        row = self._rows.get(address)
        return float("inf") if row is None else now - row.heard_here_at

    def heartbeat_age(self, replica: str, now: float) -> float:
        """Seconds since the latest heartbeat of the process with this disk; infinite without one."""
        heard_at = [row.heard_at for row in self._rows.values() if row.heartbeat.member.replica == replica]
        return now - max(heard_at) if heard_at else float("inf")

    # What they hold

    def reports(self) -> dict[str, ShardReport]:
        """For each shard the report of its highest epoch, from its owner where that is known."""
        best: dict[str, ShardReport] = {}
        for row in self._rows.values():
            for report in row.heartbeat.shards:
                known = best.get(report.shard)
                if known is None or _rank(report) > _rank(known):
                    best[report.shard] = report
        return best


def _is_later(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    later = (heartbeat.member.incarnation, heartbeat.sequence)
    return later > (known.member.incarnation, known.sequence)


def _rank(report: ShardReport) -> tuple[int, bool, bool, int]:
    """Of two reports on one shard the one of the higher rank counts."""
    is_from_owner = report.replica == report.owner
    return (report.epoch, is_from_owner, bool(report.owner), report.commit_index)
