"""How control nodes tell each other who reports to them: changes alone, in their connection's order.

A member that was published earlier, and is neither unresponsive nor departed, counts as heard at each
summary, so a calm tier costs a few bytes with each heartbeat interval.  A new connection begins with a
complete summary.

Of one member, at the node that it reports to:

    unpublished --heartbeat--> published --`UNRESPONSIVE_S` without one--> published as unresponsive
                                  ^  |                                            |
                    heartbeat, or |  +---`LIVENESS_TIMEOUT_S` without one---> departed <------+
                    a change in it

Invariant: nothing is published of a process but what its own heartbeats to this node said, so that nothing
goes round between control nodes after its process has ended.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..membership.messages import Heartbeat, MemberSummary, UnresponsiveMember
from ..membership.table import MemberTable
from ..protocol.codec import encode
from ..protocol.peer_connection import PeerConnection

UNRESPONSIVE_S = 0.3  # without a heartbeat, from which on its age is published: more than between two
PROGRESS_S = 5.0  # between two publications of nothing but how far a member's replicas have come
MS_PER_S = 1000


@attrs.frozen
class _Published:
    """What was published of a member last; `lasting` leaves out what changes with each heartbeat."""

    heartbeat: Heartbeat
    lasting: Heartbeat
    at: float

    def differs(self, heartbeat: Heartbeat, lasting: Heartbeat, now: float) -> bool:
        """Whether a later heartbeat, and what lasts of it, is to be published now."""
        if lasting != self.lasting:
            return True
        return now - self.at >= PROGRESS_S and heartbeat.shards != self.heartbeat.shards


class MemberSummaries:
    """Sends this node's summaries, and takes those of the others into the table; times are in seconds."""

    def __init__(self, sender: str, members: MemberTable) -> None:
        self._sender = sender
        self._members = members
        self._published: dict[str, _Published] = {}  # by address
        self._up_to_date: set[PeerConnection] = set()  # connections that hold all that was published
        self._reported: dict[PeerConnection, dict[str, int]] = {}  # incarnations by address

    def send(self, connections: Iterable[PeerConnection], now: float) -> None:
        """Brings the other control nodes up to date; one encoding serves all that are."""
        changes = encode(self._changes(now))
        for connection in connections:
            if connection in self._up_to_date:
                connection.send_encoded(changes)
            else:
                self._up_to_date.add(connection)
                connection.send(self._complete(now))

    @property
    def sender_count(self) -> int:
        """How many connections brought summaries and stand."""
        return len(self._reported)

    def connection_lost(self, connection: PeerConnection) -> None:
        """A connection ended; the sender's next one begins with a complete summary."""
        self._up_to_date.discard(connection)
        self._reported.pop(connection, None)

    def merge(self, connection: PeerConnection, summary: MemberSummary, now: float) -> None:
        """Takes in another node's summary, from the connection that it came by."""
        if summary.complete:
            self._reported[connection] = {}
        reported = self._reported.setdefault(connection, {})
        for heartbeat in summary.heartbeats:
            reported[heartbeat.member.address] = heartbeat.member.incarnation
        ages = {late.address: late.heartbeat_age_ms / MS_PER_S for late in summary.unresponsive}
        for heartbeat in summary.heartbeats:
            age = ages.get(heartbeat.member.address, 0.0)
            self._members.record_relayed(heartbeat, now - age)
        for address in summary.departed:
            reported.pop(address, None)
        for address, incarnation in reported.items():
            self._members.confirm_live(address, incarnation, now - ages.get(address, 0.0))

    def _changes(self, now: float) -> MemberSummary:
        """What is to be published since the last summary; it counts as published from here on."""
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
        )

    def _complete(self, now: float) -> MemberSummary:
        return MemberSummary(
            sender=self._sender,
            complete=True,
            heartbeats=tuple(published.heartbeat for published in self._published.values()),
            unresponsive=self._unresponsive(now),
            departed=(),
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
        lasting = without_progress(heartbeat)
        published = self._published.get(address)
        if published is not None and not published.differs(heartbeat, lasting, now):
            return False
        self._published[address] = _Published(heartbeat, lasting, now)
        return True


def without_progress(heartbeat: Heartbeat) -> Heartbeat:
    """A heartbeat without what changes all the time: its number, and how far replicas have come."""
    shards = tuple(report.without_indexes() for report in heartbeat.shards)
    return attrs.evolve(heartbeat, sequence=0, shards=shards)
