"""Probes, indirect probes and suspicions (SWIM 2002, section 3; Lifeguard 2018, section 4.1).

Departures, with their reasons, are in docs/design/membership.md: a ping is sent again twice, a member is
suspected after two unanswered pings in a row, and every other probe goes to the member silent the longest.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .member import LocalMember, Member
from .messages import MemberState, MessageKind
from .parameters import SwimParameters
from .transmission import Transmission
from .update_rules import UpdateRules
from .view import MembershipView

MISSED_PROBES_BEFORE_SUSPICION = 2  # in a row
NONCE_MASK = (1 << 32) - 1


@dataclass(slots=True)
class RequestedBy:
    """Who asked for an indirect probe, and under which nonce its answer goes back."""

    address: bytes
    nonce: int


@dataclass(slots=True)
class PendingProbe:
    """A ping that waits for its answer; times in microseconds."""

    nonce: int
    name: str  # "": an address that was never heard
    address: bytes
    started_us: int
    next_attempt_us: int
    deadline_us: int
    requested_by: RequestedBy | None = None
    attempts: int = 1
    indirect_requests: int = 0  # sent to other members
    nacks: int = 0  # of those members: they hear this one, but not the target


class FailureDetector:
    """Probes one member each period, and suspects those that do not answer.

    Hazard guarded: a member whose own connection is slow takes all others for dead. It stretches its period
    and its timeouts by its local health first.
    """

    def __init__(
        self,
        local: LocalMember,
        parameters: SwimParameters,
        view: MembershipView,
        rules: UpdateRules,
        transmission: Transmission,
        random: Random,
    ) -> None:
        self.pending: dict[int, PendingProbe] = {}  # by nonce
        self.next_period_us = local.now_us + int(random.random() * parameters.probe_interval_us)
        self._local = local
        self._parameters = parameters
        self._view = view
        self._rules = rules
        self._transmission = transmission
        self._random = random
        self._nonce = 0
        self._next_in_turn = 0  # index into the view's probe order
        self._is_round_robin = False

    def ping(self, name: str, address: bytes, requested_by: RequestedBy | None = None) -> None:
        """Pings a member, or an address where the name is ""; for another member where one requested it."""
        local = self._local
        member = self._view.members.get(name)
        # A suspect learns of the suspicion by the very ping, so that it can refute it (Lifeguard 4.3).
        updates = (member.update(),) if member is not None and member.state >= MemberState.SUSPECT else ()
        self._nonce = nonce = (self._nonce + 1) & NONCE_MASK
        stretch = 1 + local.local_health
        if not self._transmission.send(address, MessageKind.PING, nonce, name, updates):
            return
        parameters = self._parameters
        span_us = parameters.probe_interval_us if requested_by is None else parameters.ack_timeout_us
        self.pending[nonce] = PendingProbe(
            nonce,
            name,
            address,
            started_us=local.now_us,
            next_attempt_us=local.now_us + parameters.ack_timeout_us * stretch,
            deadline_us=local.now_us + span_us * stretch,
            requested_by=requested_by,
        )

    def acknowledged(self, nonce: int) -> None:
        """An answer came; one of an indirect probe goes back to whoever requested it."""
        probe = self.pending.pop(nonce, None)
        if probe is None:
            return
        if probe.requested_by is not None:
            self._transmission.send(probe.requested_by.address, MessageKind.ACK, probe.requested_by.nonce)
        elif probe.name:
            self._local.adjust_local_health(-1)

    def not_acknowledged(self, nonce: int) -> None:
        """A member that was asked for an indirect probe has no answer so far."""
        probe = self.pending.get(nonce)
        if probe is not None:
            probe.nacks += 1

    def check_pending(self) -> None:
        """Repeats pings and ends those without an answer, as far as they are due."""
        now_us = self._local.now_us
        for nonce, probe in list(self.pending.items()):
            if now_us >= probe.next_attempt_us and probe.next_attempt_us < probe.deadline_us:
                self._repeat(probe)
            if now_us >= probe.deadline_us:
                del self.pending[nonce]
                self._expired(probe)

    def begin_period_if_due(self) -> None:
        """Probes one member where a period is over; a period is longer the worse the local health."""
        local = self._local
        if local.now_us < self.next_period_us:
            return
        self.next_period_us = local.now_us + self._parameters.probe_interval_us * (1 + local.local_health)
        if not local.has_left:
            self._probe_next()

    def _probe_next(self) -> None:
        """Every other time the next one in turn, each once in a round whose order is drawn anew; else the one
        that was silent the longest, which finds a death sooner in a small fleet. Suspects are probed in
        their turn alone: so no silent one keeps the others from being probed."""
        self._is_round_robin = not self._is_round_robin
        alive = self._view.alive_members()
        if alive and not self._is_round_robin:
            earliest = min(max(member.last_heard_us, member.last_probed_us) for member in alive)
            silent = [m for m in alive if max(m.last_heard_us, m.last_probed_us) == earliest]
            self._probe(silent[int(self._random.random() * len(silent))])
            return
        order = self._view.probe_order
        for _ in range(len(order)):
            if self._next_in_turn >= len(order):
                self._next_in_turn = 0
                self._random.shuffle(order)
            member = self._view.members[order[self._next_in_turn]]
            self._next_in_turn += 1
            if member.state <= MemberState.SUSPECT:
                self._probe(member)
                return

    def _probe(self, member: Member) -> None:
        member.last_probed_us = self._local.now_us
        self.ping(member.name, member.address)

    def _repeat(self, probe: PendingProbe) -> None:
        """Where datagrams are lost an answer is missing more often than a member: it is pinged again, and by
        others at the second time."""
        member = self._view.members.get(probe.name)
        if member is None or member.state != MemberState.ALIVE:
            probe.next_attempt_us = probe.deadline_us  # given up or never known: one ping is enough
            return
        probe.next_attempt_us += self._parameters.ack_timeout_us * (1 + self._local.local_health)
        probe.attempts += 1
        self._transmission.send(probe.address, MessageKind.PING, probe.nonce, probe.name)
        if probe.attempts > 2 or probe.requested_by is not None:
            return
        others = [other for other in self._view.alive_members() if other.name != probe.name]
        for helper in self._sample(others):
            probe.indirect_requests += self._transmission.send(
                helper.address,
                MessageKind.PING_REQUEST,
                probe.nonce,
                probe.name,
                target_address=probe.address,
            )

    def _expired(self, probe: PendingProbe) -> None:
        if probe.requested_by is not None:
            self._transmission.send(probe.requested_by.address, MessageKind.NACK, probe.requested_by.nonce)
            return
        member = self._view.members.get(probe.name)
        if member is None or member.address != probe.address or member.state != MemberState.ALIVE:
            return  # that a suspect is silent is nothing new
        # Lifeguard 4.1: one that does not even get nacks has reason to doubt its own connection.
        missing_nacks = probe.indirect_requests - probe.nacks
        if member.last_heard_us >= probe.started_us:
            self._local.adjust_local_health(missing_nacks)
            return  # it spoke meanwhile: its answers were lost
        member.missed_probes += 1
        if member.missed_probes < MISSED_PROBES_BEFORE_SUSPICION:
            self.ping(probe.name, probe.address)
        else:
            self._local.adjust_local_health(missing_nacks if probe.indirect_requests else 1)
            self._suspect(member)

    def _suspect(self, member: Member) -> None:
        if member.state != MemberState.ALIVE:
            return
        self._local.counters.suspected += 1
        self._rules.apply(member.update(MemberState.SUSPECT, suspected_by=self._local.name))
        # Singleton tasks wait for it: not only with messages that go anyway.
        for other in self._sample(self._view.alive_members()):
            self._transmission.send(other.address, MessageKind.UPDATES)

    def _sample(self, members: list[Member]) -> list[Member]:
        return self._random.sample(members, min(self._parameters.indirect_probes, len(members)))
