"""Who is alive, by heartbeats heard here or told by other monitors.

Invariant: for one address only the latest incarnation is held, and of it only the latest heartbeat.
Incarnations are numbered by the time of day, which may step: a lower number counts as later once the known
one is silent.
"""

from __future__ import annotations

import attrs

from .messages import Heartbeat, Member, ShardReport

LIVE_S = 1.2  # a process that was silent for longer isn't live
KEPT_S = 600.0  # dead processes are forgotten after this
NEVER = float("-inf")


@attrs.define
class _Row:
    heartbeat: Heartbeat
    heard: float  # here or by another control node
    heard_here: float = NEVER


class MemberTable:
    """The heartbeats known to a control node."""

    def __init__(self):
        self._rows: dict[str, _Row] = {}

    def heard(self, heartbeat: Heartbeat, now: float) -> bool:
        """Takes a process's own heartbeat; False where a later one is known."""
        if not self.told(heartbeat, now):
            return False
        self._rows[heartbeat.member.address].heard_here = now
        return True

    def told(self, heartbeat: Heartbeat, now: float) -> bool:
        """Takes a heartbeat that another control node heard then; False where a later one is known."""
        address = heartbeat.member.address
        row = self._rows.get(address)
        if row is not None and not _is_later(heartbeat, row.heartbeat):
            same_life = heartbeat.member.incarnation == row.heartbeat.member.incarnation
            if same_life or now - row.heard <= LIVE_S:
                return False
        heard_here = NEVER if row is None else row.heard_here
        self._rows[address] = _Row(heartbeat, now, heard_here)
        return True

    def still_there(self, address: str, incarnation: int, heard: float) -> None:
        """Another control node heard the process then, and there is nothing new about it."""
        row = self._rows.get(address)
        if row is not None and row.heartbeat.member.incarnation == incarnation:
            row.heard = max(row.heard, heard)

    def forget_old(self, now: float) -> None:
        """Drops what has been silent for long."""
        old = [address for address, row in self._rows.items() if now - row.heard > KEPT_S]
        for address in old:
            del self._rows[address]

    def live(self, now: float, within: float = LIVE_S) -> list[Heartbeat]:
        """The latest heartbeats of all that were heard of lately, in the order of addresses."""
        rows = sorted(self._rows.items())
        return [row.heartbeat for _, row in rows if now - row.heard <= within]

    def members(self, now: float, within: float = LIVE_S) -> list[Member]:
        """As `live`, the members alone."""
        return [heartbeat.member for heartbeat in self.live(now, within)]

    def staying(self, now: float) -> list[Member]:
        """The members that are live and have not said that they leave."""
        return [heartbeat.member for heartbeat in self.live(now) if not heartbeat.leaving]

    def is_leaving(self, replica: str) -> bool:
        """Whether the process with this disk has said that it leaves."""
        rows = self._rows.values()
        return any(row.heartbeat.leaving for row in rows if row.heartbeat.member.replica == replica)

    def silences(self, now: float) -> list[tuple[Heartbeat, float]]:
        """The latest heartbeat of all that are remembered, live or not, and the seconds since it came."""
        return [(row.heartbeat, now - row.heard) for _, row in sorted(self._rows.items())]

    def reporting_here(self, now: float) -> dict[str, Heartbeat]:
        """By address, the latest heartbeats of the live processes that report to this node."""
        rows = self._rows.items()
        return {address: row.heartbeat for address, row in rows if now - row.heard_here <= LIVE_S}

    def silence_here(self, address: str, now: float) -> float:
        """Seconds since the process reported to this node; infinite where it never did."""
        row = self._rows.get(address)
        return float("inf") if row is None else now - row.heard_here

    def silence(self, replica: str, now: float) -> float:
        """Seconds since the process with this disk was heard of; infinite for one never heard of."""
        heard = [row.heard for row in self._rows.values() if row.heartbeat.member.replica == replica]
        return now - max(heard) if heard else float("inf")

    def reports(self) -> dict[str, ShardReport]:
        """For each shard the report of its highest epoch, from its owner where that is known."""
        best: dict[str, ShardReport] = {}
        for row in self._rows.values():
            for report in row.heartbeat.shards:
                known = best.get(report.shard)
                if known is None or _weight(report) > _weight(known):
                    best[report.shard] = report
        return best


def _is_later(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    later = (heartbeat.member.incarnation, heartbeat.sequence)
    return later > (known.member.incarnation, known.sequence)


def _weight(report: ShardReport) -> tuple:
    owns = report.replica == report.owner
    return (report.epoch, owns, bool(report.owner), report.commit_index)
