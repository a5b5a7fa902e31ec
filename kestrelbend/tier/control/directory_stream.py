"""Streams a control node's directory (members, placements, shard owners) to its subscribers.

Invariant: a member is removed from the directory only once this node has been in contact for longer than the
member has been unresponsive.  A node that is cut off receives no heartbeats, but a process that knows only
this node must still be able to find the others afterwards.
"""

from __future__ import annotations

import attrs

from ..configuration.shard_service import ConfigurationService
from ..membership.messages import Directory, Member, ShardReport
from ..membership.table import LIVENESS_TIMEOUT_S, MemberTable
from ..protocol.codec import encode
from ..protocol.peer_connection import PeerConnection


class DirectoryStream:
    """The subscribers and the latest directory sent to each of them; times are in seconds."""

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._last_sent: dict[PeerConnection, Directory | None] = {}
        self._latest: Directory | None = None
        self._listed_members: dict[str, Member] = {}  # by address

    def subscribe(self, connection: PeerConnection) -> None:
        """Subscribes a process to the current directory and to each later one."""
        self._last_sent[connection] = None
        self.send()

    def connection_lost(self, connection: PeerConnection) -> None:
        """Ends the subscription of a connection that ended or no longer requests the directory."""
        self._last_sent.pop(connection, None)

    def refresh(
        self, configuration: ConfigurationService, in_contact_s: float, now: float
    ) -> Directory | None:
        """Rebuilds the directory; returns it if it has changed, else None."""
        self._list_members(in_contact_s, now)
        directory = self._build(configuration)
        if directory == self._latest:
            return None
        self._latest = directory
        return directory

    def send(self) -> None:
        """Sends the latest directory to all subscribers that lack it; it is encoded only once."""
        if self._latest is None:
            return
        encoded = None
        for connection, last_sent in list(self._last_sent.items()):
            if last_sent is not self._latest:
                encoded = encoded or encode(self._latest)
                connection.send_encoded(encoded)
                self._last_sent[connection] = self._latest

    def _list_members(self, in_contact_s: float, now: float) -> None:
        live = {member.address: member for member in self._members.members(now)}
        kept = {} if in_contact_s > LIVENESS_TIMEOUT_S else self._listed_members
        self._listed_members = {**kept, **live}

    def _build(self, configuration: ConfigurationService) -> Directory:
        state = configuration.state
        reports = sorted(self._members.reports().values(), key=lambda report: report.shard)
        return Directory(
            version=configuration.replica.applied_index,
            members=tuple(member for _, member in sorted(self._listed_members.items())),
            placements=state.placements,
            owners=tuple(without_progress(report) for report in reports),
            retiring=state.retiring,
        )


def without_progress(report: ShardReport) -> ShardReport:
    """Returns a report for the directory, without the fields that change with each command."""
    return attrs.evolve(report.without_indexes(), stable=False)
