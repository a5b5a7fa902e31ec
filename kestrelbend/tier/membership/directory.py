"""What a process knows of the tier, merged from the directories of several control nodes.

Invariant: placements come from the highest version of the configuration's shard seen in this incarnation,
and the report kept for a shard is that of its highest epoch.  Hazard: after a restart the first directory
may name an older placement than the one before; a shard's log fences those (`ShardPlacement.number`).
"""

from __future__ import annotations

from .messages import Directory, Member, ShardPlacement, ShardReport

UNKNOWN_VERSION = -1


class DirectoryView:
    """The merged view; `merge` feeds it."""

    def __init__(self) -> None:
        self._by_sender: dict[str, Directory] = {}
        self._members: dict[str, Member] = {}  # by address
        self.version = UNKNOWN_VERSION  # of the configuration's shard that `placements` come from
        self.placements: dict[str, ShardPlacement] = {}
        self.reports: dict[str, ShardReport] = {}
        self.retiring: tuple[str, ...] = ()  # nodes to be emptied

    def merge(self, sender: str, directory: Directory) -> None:
        """Puts a control node's directory in place of its last one."""
        self._by_sender[sender] = directory
        if directory.version >= self.version:
            self.version = directory.version
            self.placements = {placed.shard: placed for placed in directory.placements}
            self.retiring = directory.retiring
        for report in directory.owners:
            self.merge_report(report)
        self._merge_members()

    def merge_report(self, report: ShardReport) -> None:
        """Takes a report on a shard's owner from anybody."""
        known = self.reports.get(report.shard)
        if known is None or _recency(report) >= _recency(known):
            self.reports[report.shard] = report

    def forget(self, sender: str) -> None:
        """The connection to a control node ended; its last directory counts while there is no other."""
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
        """Everybody that some control node takes for live."""
        return list(self._members.values())

    def owner_of(self, shard: str) -> str:
        """The replica last known to own a shard, or an empty string."""
        report = self.reports.get(shard)
        return "" if report is None else report.owner

    def voters_of(self, shard: str) -> tuple[str, ...]:
        """Replicas that may own a shard, in the order of ownership."""
        report = self.reports.get(shard)
        if report is not None and report.voters:
            return report.voters
        placed = self.placements.get(shard)
        return placed.voters if placed is not None else ()


def _recency(report: ShardReport) -> tuple[int, bool]:
    """Of one epoch a report that knows the owner counts more."""
    return (report.epoch, bool(report.owner))
