"""The directory that this control node streams to its subscribers: members, placements, owners.

Invariant: a member leaves the directory only once this node has been in contact for longer than the member
has been unresponsive.  A node that is cut off hears nobody, and who knows only it must still find the others
afterwards.
"""

from __future__ import annotations

import attrs

from ..configuration.shard_service import ConfigurationService
from ..membership.messages import Directory, Member, ShardReport
from ..membership.table import LIVENESS_TIMEOUT_S, MemberTable
from ..protocol.codec import encode
from ..protocol.peer_connection import PeerConnection


class DirectoryStream:
    """The subscribers, and the directory that each of them was sent last; times are in seconds."""

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._last_sent: dict[PeerConnection, Directory | None] = {}
        self._newest: Directory | None = None
        self._listed: dict[str, Member] = {}  # by address

    def subscribe(self, connection: PeerConnection) -> None:
        """A process wants the directory, and each later one."""
        self._last_sent[connection] = None
        self.send()

    def connection_lost(self, connection: PeerConnection) -> None:
        """A connection ended, or its process wants no directory any more."""
        self._last_sent.pop(connection, None)

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
        for connection, last_sent in list(self._last_sent.items()):
            if last_sent is not self._newest:
                encoded = encoded or encode(self._newest)
                connection.send_encoded(encoded)
                self._last_sent[connection] = self._newest

    def _list_members(self, in_contact_s: float, now: float) -> None:
        live = {member.address: member for member in self._members.members(now)}
        kept = {} if in_contact_s > LIVENESS_TIMEOUT_S else self._listed
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
    """A report as the directory has it: what changes with each command is left out."""
    return attrs.evolve(report.without_indexes(), stable=False)
