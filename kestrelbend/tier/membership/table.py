"""A control node's table of processes, from heartbeats received here or relayed by other control nodes.

States of one incarnation of a process, by the age of its latest heartbeat:

    unknown --heartbeat--> live --`LIVENESS_TIMEOUT_S`--> unresponsive --`RETENTION_S`--> forgotten
                            ^                                  |
                            +-------------heartbeat------------+

Invariant: for each address only the latest incarnation is kept, with its latest heartbeat.  Incarnations are
numbered by the wall clock, which may step back, so a lower number replaces the known incarnation once that
one is unresponsive.  All times are seconds of this node's monotonic clock.
"""

from __future__ import annotations

import attrs

from .messages import Heartbeat, Member, ShardReport

LIVENESS_TIMEOUT_S = 1.2  # a process is live until its latest heartbeat is older
RETENTION_S = 600.0  # a process is forgotten once its latest heartbeat is older
NEVER = float("-inf")


@attrs.frozen
class HeartbeatAge:
    """The latest heartbeat of a process and its age in seconds."""

    heartbeat: Heartbeat
    seconds: float


@attrs.define
class _Row:
    heartbeat: Heartbeat
    received_at: float  # by this or another control node
    received_here_at: float = NEVER


class MemberTable:
    """The latest heartbeat of each process, by address."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}

    # Input

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Records a heartbeat received from its process; returns False if a later one is known."""
        if not self.record_relayed(heartbeat, now):
            return False
        self._rows[heartbeat.member.address].received_here_at = now
        return True

    def record_relayed(self, heartbeat: Heartbeat, received_at: float) -> bool:
        """Records a heartbeat that another control node received; returns False if a later one is known."""
        address = heartbeat.member.address
        row = self._rows.get(address)
        if row is not None and not _is_later(heartbeat, row.heartbeat):
            same_incarnation = heartbeat.member.incarnation == row.heartbeat.member.incarnation
            if same_incarnation or received_at - row.received_at <= LIVENESS_TIMEOUT_S:
                return False
        received_here_at = NEVER if row is None else row.received_here_at
        self._rows[address] = _Row(heartbeat, received_at, received_here_at)
        return True

    def confirm_live(self, address: str, incarnation: int, received_at: float) -> None:
        """Records that another control node received a heartbeat that it did not relay, being unchanged."""
        row = self._rows.get(address)
        if row is not None and row.heartbeat.member.incarnation == incarnation:
            row.received_at = max(row.received_at, received_at)

    def forget_expired(self, now: float) -> None:
        """Drops processes whose latest heartbeat is older than `RETENTION_S`."""
        old = [address for address, row in self._rows.items() if now - row.received_at > RETENTION_S]
        for address in old:
            del self._rows[address]

    # Live processes

    def live(self, now: float, within: float = LIVENESS_TIMEOUT_S) -> list[Heartbeat]:
        """Returns the heartbeats not older than `within` seconds, ordered by address."""
        rows = sorted(self._rows.items())
        return [row.heartbeat for _, row in rows if now - row.received_at <= within]

    def members(self, now: float, within: float = LIVENESS_TIMEOUT_S) -> list[Member]:
        """Returns the members of the heartbeats that `live` returns."""
        return [heartbeat.member for heartbeat in self.live(now, within)]

    def staying(self, now: float) -> list[Member]:
        """Returns the live members that have not announced that they are leaving."""
        return [heartbeat.member for heartbeat in self.live(now) if not heartbeat.leaving]

    def is_leaving(self, replica: str) -> bool:
        """Whether the process with this disk has announced that it is leaving."""
        rows = self._rows.values()
        return any(row.heartbeat.leaving for row in rows if row.heartbeat.member.replica == replica)

    def direct_reporters(self, now: float) -> dict[str, Heartbeat]:
        """Returns by address the latest heartbeats of live processes that report directly to this node."""
        rows = self._rows.items()
        return {
            address: row.heartbeat
            for address, row in rows
            if now - row.received_here_at <= LIVENESS_TIMEOUT_S
        }

    # Heartbeat ages

    def heartbeat_ages(self, now: float) -> list[HeartbeatAge]:
        """Returns the latest heartbeats of all known processes, live or not, ordered by address."""
        return [HeartbeatAge(row.heartbeat, now - row.received_at) for _, row in sorted(self._rows.items())]

    def direct_heartbeat_age(self, address: str, now: float) -> float:
        """Returns the seconds since the process last reported to this node; infinite if it never did."""
        row = self._rows.get(address)
        return float("inf") if row is None else now - row.received_here_at

    def heartbeat_age(self, replica: str, now: float) -> float:
        """Returns the seconds since the latest heartbeat of the disk's process; infinite without one."""
        receive_times = [
            row.received_at for row in self._rows.values() if row.heartbeat.member.replica == replica
        ]
        return now - max(receive_times) if receive_times else float("inf")

    # Shards

    def reports(self) -> dict[str, ShardReport]:
        """Returns for each shard the report of its highest epoch, if possible from its owner."""
        latest: dict[str, ShardReport] = {}
        for row in self._rows.values():
            for report in row.heartbeat.shards:
                known = latest.get(report.shard)
                if known is None or _rank(report) > _rank(known):
                    latest[report.shard] = report
        return latest


def _is_later(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    later = (heartbeat.member.incarnation, heartbeat.sequence)
    return later > (known.member.incarnation, known.sequence)


def _rank(report: ShardReport) -> tuple[int, bool, bool, int]:
    """Sort key of reports on one shard; the report of the highest rank is used."""
    is_from_owner = report.replica == report.owner
    return (report.epoch, is_from_owner, bool(report.owner), report.commit_index)
