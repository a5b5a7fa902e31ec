"""One member's protocol core: who is alive, as far as one member can know.

After SWIM (Das, Gupta, Motivala 2002): in each period one member is pinged; without an answer some others
are asked to ping it; then it is suspected, and after a while dead. Updates ride on these messages. With
Lifeguard (Dadgar, Phillips, Currey 2018): a member that misses answers doubts its own health first,
suspicions wait the shorter the more members have them, and a suspect learns of it by the very ping that
probes it. Departures are in docs/design/membership.md.

Nothing here does I/O or reads a clock: `receive` and `tick` are given the time in whole microseconds,
`outgoing` fills with messages, `changes` with what became of members.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from random import Random
from typing import NamedTuple

from .addresses import PACKED_ADDRESS_BYTES
from .anti_entropy import AntiEntropy
from .dissemination import Dissemination
from .failure_detector import FailureDetector, RequestedBy
from .member import LocalMember, Member, MemberChange
from .messages import GossipMessage, LeaseMessage, MembershipUpdate, MemberState, MessageKind
from .parameters import SwimParameters
from .reconnection import Reconnection
from .shared_results import SharedResults
from .transmission import OutgoingMessage, Transmission
from .update_rules import UpdateRules
from .view import MembershipView

MEMBERS_NOTIFIED_OF_LEAVE = 3


class ReceivedLease(NamedTuple):
    """A lease's message and who sent it."""

    sender: Member
    lease: LeaseMessage


class SwimNode:
    """A member: events go in by `receive` and `tick`, effects are taken from the queues.

    `seeds` are addresses (six bytes) that are tried until they answer, again and again. `generation`: Unix
    milliseconds of the process's start.
    """

    def __init__(
        self,
        name: str,
        address: bytes,
        generation: int,
        parameters: SwimParameters,
        random: Random,
        now_us: int,
        seeds: Collection[bytes] = (),
    ) -> None:
        self.parameters = parameters
        self.local = LocalMember(name, address, generation, now_us, now_us, parameters.max_local_health)
        self.view = MembershipView(self.local, random)
        self.dissemination = Dissemination(parameters, self.view)
        self.results = SharedResults(self.local, parameters.max_results)
        self.transmission = Transmission(self.local, parameters, self.view, self.dissemination, self.results)
        self.rules = UpdateRules(self.local, parameters, self.view, self.dissemination)
        self.detector = FailureDetector(
            self.local, parameters, self.view, self.rules, self.transmission, random
        )
        self.reconnection = Reconnection(self.local, parameters, self.view, self.detector, random, seeds)
        self.anti_entropy = AntiEntropy(
            self.local, parameters, self.view, self.dissemination, self.transmission, random
        )
        self.received_leases: deque[ReceivedLease] = deque()
        self._random = random

    @property
    def outgoing(self) -> deque[OutgoingMessage]:
        """Messages to be sent."""
        return self.transmission.outgoing

    @property
    def changes(self) -> deque[MemberChange]:
        """Members that became alive or dead, or left."""
        return self.view.changes

    @property
    def members(self) -> dict[str, Member]:
        """The others by name."""
        return self.view.members

    def receive(self, now_us: int, source: bytes, message: GossipMessage) -> None:
        """A message that was read and authenticated; `source` is the address it came from."""
        local = self.local
        local.now_us = now_us
        if message.sender == local.name:
            self._receive_from_own_name(source, message)
            return
        member = self.members.get(message.sender)
        if member is not None and message.generation < member.generation:
            local.counters.stale += 1  # a former process, or its replay
            self.transmission.send(source, MessageKind.STALE, updates=(member.update(),))
            return
        if member is None or message.generation > member.generation:
            self.rules.apply(_alive(message, source))
            member = self.members[message.sender]
        if not member.sequences.accept(message.sequence):
            local.counters.replayed += 1
            return
        if message.sequence == member.sequences.highest:
            member.address = source  # its newest message: that is where it is now
        local.counters.received += 1
        member.last_heard_us = now_us
        member.missed_probes = 0
        for update in message.updates:
            self.rules.apply(update, disseminate=message.kind != MessageKind.UPDATES)
        for result in message.results:
            self.results.receive(result)
        self._handle(member, source, message)
        if message.kind != MessageKind.DIGESTS and message.digest != self.view.digest():
            self.anti_entropy.begin(source, member.name)

    def tick(self, now_us: int) -> None:
        """Does whatever is due by now."""
        self.local.now_us = now_us
        self.detector.check_pending()
        self._end_suspicions()
        self.reconnection.attempt_if_due()
        self.detector.begin_period_if_due()

    def due_us(self) -> int:
        """When `tick` should be called next."""
        times = [self.detector.next_period_us, self.reconnection.next_attempt_us]
        pending = self.detector.pending.values()
        times += [min(probe.next_attempt_us, probe.deadline_us) for probe in pending]
        suspicions = [member.suspicion for member in self.members.values()]
        times += [suspicion.deadline_us for suspicion in suspicions if suspicion is not None]
        return min(times)

    def publish_result(self, now_us: int, kind: str, subject: str, body: bytes) -> None:
        """A result that this member has just made, for all others."""
        self.local.now_us = now_us
        self.results.publish(kind, subject, body)

    def send_lease(self, address: bytes, lease: LeaseMessage) -> bool:
        """Sends a lease's message; whether the limit of datagrams allowed it."""
        return self.transmission.send(address, MessageKind.LEASE, lease=lease)

    def leave(self, now_us: int) -> None:
        """Notifies some members that this one leaves, by its own will."""
        self.local.now_us = now_us
        self.local.has_left = True
        self.view.refresh_local_sum()
        alive = self.view.alive_members()
        for member in self._random.sample(alive, min(MEMBERS_NOTIFIED_OF_LEAVE, len(alive))):
            self.transmission.send(member.address, MessageKind.UPDATES, updates=(self.local.update(),))

    def _receive_from_own_name(self, source: bytes, message: GossipMessage) -> None:
        """Another process under this member's name, unless it is this one's own message."""
        if message.generation != self.local.generation and source != self.local.address:
            self.rules.apply_about_self(_alive(message, source))
            self.transmission.send(source, MessageKind.STALE, updates=(self.local.update(),))

    def _handle(self, member: Member, source: bytes, message: GossipMessage) -> None:
        """What a message's kind asks for."""
        match message.kind:
            case MessageKind.PING:
                self._answer_ping(member, source, message)
            case MessageKind.ACK:
                self.detector.acknowledged(message.nonce)
            case MessageKind.NACK:
                self.detector.not_acknowledged(message.nonce)
            case MessageKind.PING_REQUEST if len(message.target_address) == PACKED_ADDRESS_BYTES:
                requested_by = RequestedBy(source, message.nonce)
                self.detector.ping(message.target, message.target_address, requested_by)
            case MessageKind.DIGESTS:
                self.anti_entropy.compare(source, message.bucket_sums)
            case MessageKind.LEASE if message.lease is not None:
                self.received_leases.append(ReceivedLease(member, message.lease))

    def _answer_ping(self, member: Member, source: bytes, message: GossipMessage) -> None:
        if message.target not in ("", self.local.name):
            # Meant for who was at this address before: an ACK would keep that one alive.
            self.transmission.send(source, MessageKind.UPDATES, updates=(self.local.update(),))
            return
        # One that is suspected learns of it, so that it may refute that.
        updates = (member.update(),) if member.state >= MemberState.SUSPECT else ()
        self.transmission.send(source, MessageKind.ACK, message.nonce, updates=updates)

    def _end_suspicions(self) -> None:
        """Declares suspects dead whose time is over, and forgets those dead for long."""
        now_us = self.local.now_us
        for member in list(self.members.values()):
            if member.suspicion is not None and now_us >= member.suspicion.deadline_us:
                self.rules.apply(member.update(MemberState.DEAD))
            elif (
                member.state >= MemberState.DEAD
                and now_us - member.changed_at_us > self.parameters.forget_dead_after_us
            ):
                self.view.remove(member)
                self.dissemination.discard(member.name)


def _alive(message: GossipMessage, source: bytes) -> MembershipUpdate:
    """That the sender of a message lives at the address it came from."""
    return MembershipUpdate(message.sender, source, message.generation, 0, int(MemberState.ALIVE))
