"""A process's view of the tier, merged from the directories of several control nodes.

Invariant: placements come from the highest version of the configuration shard seen in this incarnation, and
the report kept for a shard is that of its highest epoch.  Hazard: after a restart the first directory
received may contain older placements than the process knew before; the shard's log rejects those
(`ShardPlacement.number`).
"""

from __future__ import annotations

from .messages import Directory, Member, ShardPlacement, ShardReport

UNKNOWN_VERSION = -1


class DirectoryView:
    """Members, placements and shard owners, merged from the directories received."""

    def __init__(self) -> None:
        self._by_sender: dict[str, Directory] = {}
        self._members: dict[str, Member] = {}  # by address
        self.version = UNKNOWN_VERSION  # version of the configuration shard that `placements` come from
        self.placements: dict[str, ShardPlacement] = {}
        self.reports: dict[str, ShardReport] = {}
        self.retiring: tuple[str, ...] = ()  # nodes whose replicas are to be moved away

    def merge(self, sender: str, directory: Directory) -> None:
        """Replaces a control node's previous directory."""
        self._by_sender[sender] = directory
        if directory.version >= self.version:
            self.version = directory.version
            self.placements = {placement.shard: placement for placement in directory.placements}
            self.retiring = directory.retiring
        for report in directory.owners:
            self.merge_report(report)
        self._merge_members()

    def merge_report(self, report: ShardReport) -> None:
        """Applies a report on a shard from any source, if it is at least as recent."""
        known = self.reports.get(report.shard)
        if known is None or _recency(report) >= _recency(known):
            self.reports[report.shard] = report

    def forget(self, sender: str) -> None:
        """Drops the directory of a control node whose connection ended, unless it is the only one."""
        if len(self._by_sender) > 1:
            self._by_sender.pop(sender, None)
            self._merge_members()

    def _merge_members(self) -> None:
        merged: dict[str, Member] = {}
        for directory in self._by_sender.values():
            for member in directory.members:
                known = merged.get(member.address)
                if known is None or member.incarnation > known.incarnation:
                    merged[member.address] = member
        self._members = merged

    @property
    def members(self) -> list[Member]:
        """All processes that at least one control node lists as live."""
        return list(self._members.values())

    def owner_of(self, shard: str) -> str:
        """Returns the replica last known to own a shard, or an empty string."""
        report = self.reports.get(shard)
        return "" if report is None else report.owner

    def voters_of(self, shard: str) -> tuple[str, ...]:
        """Returns the replicas that may own a shard, in the order of preference as owner."""
        report = self.reports.get(shard)
        if report is not None and report.voters:
            return report.voters
        placement = self.placements.get(shard)
        return placement.voters if placement is not None else ()


def _recency(report: ShardReport) -> tuple[int, bool]:
    """Sort key: within an epoch, a report that names the owner is more recent than one that does not."""
    return (report.epoch, bool(report.owner))
