"""The directory that this control node tells all who subscribe to it: members, placements, owners.

Invariant: a member leaves the directory only once this node has been in contact for longer than the member's
silence.  A node that is cut off hears nobody, and who knows only it must still find the others afterwards.
"""

from __future__ import annotations

import attrs

from ..configuration.shard_service import ConfigurationService
from ..membership.messages import Directory, Member, ShardReport
from ..membership.table import LIVE_S, MemberTable
from ..protocol.codec import encode
from ..protocol.peer_connection import PeerConnection


class DirectoryStream:
    """The subscribers, and the directory that each of them was told last."""

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._told_to: dict[PeerConnection, Directory | None] = {}
        self._newest: Directory | None = None
        self._listed: dict[str, Member] = {}  # by address

    def subscribe(self, link: PeerConnection) -> None:
        """A process wants the directory, and each later one."""
        self._told_to[link] = None
        self.send()

    def lost(self, link: PeerConnection) -> None:
        """A connection ended."""
        self._told_to.pop(link, None)

    def refresh(
        self, configuration: ConfigurationService, in_contact_s: float, now: float
    ) -> Directory | None:
        """The directory as it is now; None where it says the same as the one before."""
        self._list_members(in_contact_s, now)
        directory = self._build(configuration)
        if directory == self._newest:
            return None
        self._newest = directory
        return directory

    def send(self) -> None:
        """Brings all subscribers to the newest directory; one encoding serves all."""
        if self._newest is None:
            return
        encoded = None
        for link, told in list(self._told_to.items()):
            if told is not self._newest:
                encoded = encoded or encode(self._newest)
                link.send_encoded(encoded)
                self._told_to[link] = self._newest

    def _list_members(self, in_contact_s: float, now: float) -> None:
        live = {member.address: member for member in self._members.members(now)}
        kept = {} if in_contact_s > LIVE_S else self._listed
        self._listed = {**kept, **live}

    def _build(self, configuration: ConfigurationService) -> Directory:
        state = configuration.state
        reports = sorted(self._members.reports().values(), key=lambda report: report.shard)
        return Directory(
            version=configuration.replica.applied_index,
            members=tuple(member for _, member in sorted(self._listed.items())),
            placements=state.placements,
            owners=tuple(without_progress(report) for report in reports),
            retiring=state.retiring,
        )


def without_progress(report: ShardReport) -> ShardReport:
    """A report as the directory tells it: what changes with each command is left out."""
    return attrs.evolve(report.without_indexes(), stable=False)
