"""How control nodes tell each other who reports to them: changes alone, in their connection's order.

Who was told of and is neither quiet nor gone counts as heard at each summary, so a calm tier costs a few
bytes a heartbeat interval.  A new connection begins with everything.

Invariant: nothing is told of a process but what its own heartbeats to this node said, so that no word goes
round between control nodes after its process has ended.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..membership.messages import Heartbeat, MemberSummary, UnresponsiveMember
from ..membership.table import MemberTable
from ..protocol.codec import encode
from ..protocol.peer_connection import PeerConnection

QUIET_S = 0.3  # without a heartbeat, from which on the silence is told: more than between two
PROGRESS_S = 5.0  # between two tellings of nothing but how far a member's replicas have come


@attrs.frozen
class _Told:
    """What was told of a member last; `lasting` leaves out what changes with each heartbeat."""

    heartbeat: Heartbeat
    lasting: Heartbeat
    at: float


class MemberSummaries:
    """Sends this node's summaries, and takes those of the others into the table."""

    def __init__(self, sender: str, members: MemberTable) -> None:
        self._sender = sender
        self._members = members
        self._told: dict[str, _Told] = {}
        self._begun: set[PeerConnection] = set()  # connections that hold all that was told
        self._reported: dict[str, dict[str, int]] = {}  # by sender: incarnations by address

    def send(self, links: Iterable[PeerConnection], now: float) -> None:
        """Brings the other control nodes up to date; one encoding serves all that are."""
        changes = self._changes(now)
        for link in links:
            if link in self._begun:
                link.send_encoded(changes)
            else:
                self._begun.add(link)
                link.send(self._whole(now))

    def lost(self, link: PeerConnection) -> None:
        """A connection ended."""
        self._begun.discard(link)

    def take(self, summary: MemberSummary, now: float) -> None:
        """Takes in another node's summary."""
        if summary.complete:
            self._reported[summary.sender] = {}
        reported = self._reported.setdefault(summary.sender, {})
        for heartbeat in summary.heartbeats:
            reported[heartbeat.member.address] = heartbeat.member.incarnation
        silences = {
            unresponsive.address: unresponsive.heartbeat_age_ms / 1000
            for unresponsive in summary.unresponsive
        }
        for heartbeat in summary.heartbeats:
            silence = silences.get(heartbeat.member.address, 0.0)
            self._members.told(heartbeat, now - silence)
        for address in summary.departed:
            reported.pop(address, None)
        for address, incarnation in reported.items():
            self._members.still_there(address, incarnation, now - silences.get(address, 0.0))

    def _changes(self, now: float) -> bytes:
        heartbeats = []
        live = self._members.reporting_here(now)
        for address, heartbeat in live.items():
            if self._is_due(address, heartbeat, now):
                self._told[address] = _Told(heartbeat, lasting(heartbeat), now)
                heartbeats.append(heartbeat)
        departed = tuple(address for address in self._told if address not in live)
        for address in departed:
            del self._told[address]
        return encode(MemberSummary(self._sender, False, tuple(heartbeats), self._quiet(now), departed))

    def _whole(self, now: float) -> MemberSummary:
        heartbeats = tuple(told.heartbeat for told in self._told.values())
        return MemberSummary(self._sender, True, heartbeats, self._quiet(now), ())

    def _quiet(self, now: float) -> tuple[UnresponsiveMember, ...]:
        silences = ((address, self._members.silence_here(address, now)) for address in self._told)
        return tuple(
            UnresponsiveMember(address, round(silence * 1000))
            for address, silence in silences
            if silence > QUIET_S
        )

    def _is_due(self, address: str, heartbeat: Heartbeat, now: float) -> bool:
        told = self._told.get(address)
        if told is None or lasting(heartbeat) != told.lasting:
            return True
        return now - told.at >= PROGRESS_S and heartbeat.shards != told.heartbeat.shards


def lasting(heartbeat: Heartbeat) -> Heartbeat:
    """A heartbeat without what changes all the time: its number, and how far replicas have come."""
    shards = tuple(report.without_indexes() for report in heartbeat.shards)
    return attrs.evolve(heartbeat, sequence=0, shards=shards)
