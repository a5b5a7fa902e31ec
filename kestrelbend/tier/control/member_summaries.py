"""Exchanges among control nodes which processes report to each: only changes, in order on a connection.

A member that was published earlier and is neither unresponsive nor departed counts as live at each summary,
so a tier without changes costs a few bytes per heartbeat interval.  A new connection begins with a complete
summary.

States of one member at the node that it reports to:

    unpublished --heartbeat--> published --`UNRESPONSIVE_S` without one--> published as unresponsive
                                  ^  |                                            |
                    heartbeat, or |  +---`LIVENESS_TIMEOUT_S` without one---> departed <------+
                    a change in it

Each summary also has the addresses of the live control nodes that the sender hears of, where these have
changed.  Every control node connects to all that it is told of, so control nodes find each other whatever
seeds they were given, as long as one that is live knows both.

Invariant: a node publishes of a process only what the process's own heartbeats to this node contained, so
that its entry does not circulate between control nodes after the process has ended.  A control address is
told only by nodes that receive summaries of that node itself.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..membership.messages import Heartbeat, MemberSummary, UnresponsiveMember
from ..membership.table import MemberTable
from ..protocol.codec import encode
from ..protocol.peer_connection import PeerConnection

UNRESPONSIVE_S = 0.3  # age from which a heartbeat counts as late; longer than the heartbeat interval
PROGRESS_INTERVAL_S = 5.0  # minimum time between updates of only the indexes of a member's replicas
MS_PER_S = 1000


@attrs.frozen
class _Published:
    """The heartbeat last published of a member; `static_part` is the heartbeat `without_progress`."""

    heartbeat: Heartbeat
    static_part: Heartbeat
    published_at: float

    def needs_update(self, heartbeat: Heartbeat, static_part: Heartbeat, now: float) -> bool:
        """Whether a later heartbeat, with the given static part, is to be published now."""
        if static_part != self.static_part:
            return True
        return now - self.published_at >= PROGRESS_INTERVAL_S and heartbeat.shards != self.heartbeat.shards


class MemberSummaries:
    """Sends this node's summaries and merges those of other nodes into the table; times are in seconds."""

    def __init__(self, sender: str, members: MemberTable) -> None:
        self._sender = sender
        self._members = members
        self._published: dict[str, _Published] = {}  # by address
        self._up_to_date: set[PeerConnection] = set()  # connections on which all published changes were sent
        self._reported_incarnations: dict[PeerConnection, dict[str, int]] = {}  # incarnations by address
        self._published_control_addresses: tuple[str, ...] = ()
        self._told_control_addresses: dict[PeerConnection, tuple[str, ...]] = {}

    def send(self, connections: Iterable[PeerConnection], now: float) -> None:
        """Sends changes, or a complete summary on new connections; changes are encoded only once."""
        changes = encode(self._changes(now))
        for connection in connections:
            if connection in self._up_to_date:
                connection.send_encoded(changes)
            else:
                self._up_to_date.add(connection)
                connection.send(self._complete(now))

    @property
    def sender_count(self) -> int:
        """The number of open connections on which summaries were received."""
        return len(self._reported_incarnations)

    def connection_lost(self, connection: PeerConnection) -> None:
        """Drops the state of a connection that ended; the next one begins with a complete summary."""
        self._up_to_date.discard(connection)
        self._reported_incarnations.pop(connection, None)
        self._told_control_addresses.pop(connection, None)

    def control_addresses(self) -> list[str]:
        """Returns the control nodes that the other nodes hear of, each once."""
        return sorted({address for told in self._told_control_addresses.values() for address in told})

    def merge(self, connection: PeerConnection, summary: MemberSummary, now: float) -> None:
        """Merges another node's summary, received on this connection, into the table."""
        if summary.complete:
            self._reported_incarnations[connection] = {}
        if summary.control_addresses is not None:
            self._told_control_addresses[connection] = summary.control_addresses
        reported = self._reported_incarnations.setdefault(connection, {})
        for heartbeat in summary.heartbeats:
            reported[heartbeat.member.address] = heartbeat.member.incarnation
        ages = {member.address: member.heartbeat_age_ms / MS_PER_S for member in summary.unresponsive}
        for heartbeat in summary.heartbeats:
            age = ages.get(heartbeat.member.address, 0.0)
            self._members.record_relayed(heartbeat, now - age)
        for address in summary.departed:
            reported.pop(address, None)
        for address, incarnation in reported.items():
            self._members.confirm_live(address, incarnation, now - ages.get(address, 0.0))

    def _changes(self, now: float) -> MemberSummary:
        """Returns the changes since the last summary and records them as published."""
        live = self._members.direct_reporters(now)
        heartbeats = [heartbeat for heartbeat in live.values() if self._publish_if_due(heartbeat, now)]
        departed = tuple(address for address in self._published if address not in live)
        for address in departed:
            del self._published[address]
        return MemberSummary(
            sender=self._sender,
            complete=False,
            heartbeats=tuple(heartbeats),
            unresponsive=self._unresponsive(now),
            departed=departed,
            control_addresses=self._changed_control_addresses(now),
        )

    def _changed_control_addresses(self, now: float) -> tuple[str, ...] | None:
        """Returns the live control nodes and records them as published; None if they are as before."""
        live = self._members.members(now)
        addresses = tuple(member.address for member in live if member.serves_control)
        if addresses == self._published_control_addresses:
            return None
        self._published_control_addresses = addresses
        return addresses

    def _complete(self, now: float) -> MemberSummary:
        return MemberSummary(
            sender=self._sender,
            complete=True,
            heartbeats=tuple(published.heartbeat for published in self._published.values()),
            unresponsive=self._unresponsive(now),
            departed=(),
            control_addresses=self._published_control_addresses,
        )

    def _unresponsive(self, now: float) -> tuple[UnresponsiveMember, ...]:
        ages = ((address, self._members.direct_heartbeat_age(address, now)) for address in self._published)
        return tuple(
            UnresponsiveMember(address, round(age * MS_PER_S))
            for address, age in ages
            if age > UNRESPONSIVE_S
        )

    def _publish_if_due(self, heartbeat: Heartbeat, now: float) -> bool:
        address = heartbeat.member.address
        static_part = without_progress(heartbeat)
        published = self._published.get(address)
        if published is not None and not published.needs_update(heartbeat, static_part, now):
            return False
        self._published[address] = _Published(heartbeat, static_part, now)
        return True


def without_progress(heartbeat: Heartbeat) -> Heartbeat:
    """Returns a heartbeat without its sequence and the replicas' indexes, which change all the time."""
    shards = tuple(report.without_indexes() for report in heartbeat.shards)
    return attrs.evolve(heartbeat, sequence=0, shards=shards)
