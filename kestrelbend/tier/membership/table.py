"""Who is alive, by heartbeats heard here or told by other monitors.

Invariant: for one address only the latest incarnation is held, and of it only the latest beat.  Incarnations
are numbered by the time of day, which may step: a lower number counts as later once the known one is silent.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from .messages import Heartbeat, Member, ShardReport

LIVE_S = 1.2  # a process that was silent for longer isn't live
KEPT_S = 600.0  # dead processes are forgotten after this


@attrs.define
class _Row:
    heartbeat: Heartbeat
    heard: float


class MemberTable:
    """The heartbeats known to a control node."""

    def __init__(self):
        self._rows: dict[str, _Row] = {}

    def heard(self, heartbeat: Heartbeat, now: float) -> bool:
        """Takes a heartbeat; False where a later one is known."""
        address = heartbeat.member.address
        row = self._rows.get(address)
        if row is not None and not _is_later(heartbeat, row.heartbeat):
            same_life = heartbeat.member.incarnation == row.heartbeat.member.incarnation
            if same_life or now - row.heard <= LIVE_S:
                return False
        self._rows[address] = _Row(heartbeat, now)
        return True

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

    def heard_since(self, since: float) -> list[Heartbeat]:
        """What has come since then, to tell other monitors."""
        return [row.heartbeat for row in self._rows.values() if row.heard > since]

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
    later = (heartbeat.member.incarnation, heartbeat.beat)
    return later > (known.member.incarnation, known.beat)


def _weight(report: ShardReport) -> tuple:
    owns = report.replica == report.owner
    return (report.epoch, owns, bool(report.owner), report.commit_index)


def merge(table: MemberTable, beats: Iterable[Heartbeat], now: float) -> None:
    """Takes another monitor's summary."""
    for heartbeat in beats:
        table.heard(heartbeat, now)
