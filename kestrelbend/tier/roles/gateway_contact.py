"""Whether a gateway is in contact with the control nodes and with the owners of the budget shards.

Contact is counted from the moment at which this gateway sent its request, never from the moment at which a
reply came: a process whose own packets are lost goes on hearing others for a while.  Invariants: a gateway is
in contact only by the reply to a request of the last `CONTACT_S`; what a process on its own machine replies
never stands for the network, except where a majority has confirmed that process itself (`in_contact`,
`owned`).

Without an owner two cases differ.  While processes on other machines answer, an election is under way:
requests wait, and readiness stays for `ELECTION_S`.  Where none of them answers, the gateway is cut off.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Sequence

import attrs

from ..membership.messages import ContactReply
from ..membership.owner_contact import CONTACT_S

ELECTION_S = 1.5  # without an owner, though others answer, until requests wait no longer
STALL_S = 0.3  # between two ticks: this process stood still, and its silence is nobody else's
FRESH_S = 0.2  # the reply to a request younger than this makes another request needless
NEVER = float("-inf")


class Standing(enum.Enum):
    """How a gateway stands to a shard."""

    IN_CONTACT = "in contact"  # its owner is confirmed
    ELECTION = "election"  # nobody is, but others answer: wait
    LOST = "lost"  # nobody answers, or there has been no owner for too long


@attrs.define
class _ShardContact:
    """What is known of one shard: the processes that may answer for it, and when an owner last did."""

    addresses: tuple[str, ...] = ()
    confirming: str = ""  # who confirmed it last, where its reply alone is enough
    confirmed_at: float = NEVER  # in running time, see `GatewayContact`

    def confirm(self, address: str, requested_at: float) -> None:
        """The reply to a request of that time confirms the owner; of several the nearest is asked on."""
        if requested_at == self.confirmed_at and self._rank(self.confirming) <= self._rank(address):
            return
        if requested_at >= self.confirmed_at:
            self.confirmed_at = requested_at
            self.confirming = address

    def _rank(self, address: str) -> int:
        """Place among the addresses, which stand nearest first; an unknown one comes last."""
        return self.addresses.index(address) if address in self.addresses else len(self.addresses)

    def due(self, running: float) -> tuple[str, ...]:
        """Whom to ask now: nobody, the one that confirmed lately, or all."""
        age = running - self.confirmed_at
        if age <= FRESH_S:
            return ()
        if age <= CONTACT_S / 2 and self.confirming in self.addresses:
            return (self.confirming,)
        return self.addresses


@attrs.frozen
class _SentRequest:
    """A contact request whose reply has not come yet."""

    address: str
    requested_at: float  # in true time, in seconds
    requested_at_running: float  # the same in running time, see `GatewayContact`


class GatewayContact:
    """A gateway's contact requests, the replies to them, and what follows; without a clock of its own.

    `machine` is the gateway's own address without the port.  Running time leaves out the spans in which this
    process stood still: after one of them nobody else counts as silent.  Refusals go by the true time.
    """

    def __init__(self, machine: str) -> None:
        self._machine = machine
        self._configuration = _ShardContact()
        self._confirmed_version = 0
        self._version_confirmed_at = NEVER  # in true time
        self._shards: dict[str, _ShardContact] = {}
        # By address, the running time of the last request that was answered.
        self._answered_at: dict[str, float] = {}
        self._sent_requests: dict[int, _SentRequest] = {}  # by ticket, as long as a reply counts
        self._next_ticket = 1
        self._ticked_at = NEVER
        self._stood_still = 0.0

    # What happens

    def follow(self, controls: Sequence[str], replicas: Mapping[str, Sequence[str]]) -> None:
        """Takes the control nodes, and for each budget shard the addresses of its replicas."""
        self._configuration.addresses = tuple(controls)
        for shard, addresses in replicas.items():
            self._shards.setdefault(shard, _ShardContact()).addresses = tuple(addresses)
        known = {*controls}.union(*replicas.values())
        self._answered_at = {address: at for address, at in self._answered_at.items() if address in known}

    def tick(self, now: float) -> None:
        """Time went on; to be called several times in `STALL_S`."""
        gap = now - self._ticked_at
        if STALL_S < gap < float("inf"):
            self._stood_still += gap
        self._ticked_at = now

    def due_requests(self, now: float) -> dict[str, int]:
        """Whom to ask now, each with a ticket.

        In calm times that is one control node and the owners that no request has reached lately; where one
        of these does not confirm, all that may answer for its shard.
        """
        running = now - self._stood_still
        self._forget_expired(running)
        tickets = {}
        for address in self._due(running):
            tickets[address] = self._next_ticket
            self._sent_requests[self._next_ticket] = _SentRequest(address, now, running)
            self._next_ticket += 1
        return tickets

    def take(self, address: str, reply: ContactReply) -> None:
        """Takes a reply; without a request of its ticket to that address it says nothing."""
        sent = self._sent_requests.get(reply.ticket)
        if sent is None or sent.address != address:
            return
        del self._sent_requests[reply.ticket]
        self._record_answer(address, sent.requested_at_running)
        if reply.in_contact:
            tells_version = reply.version > 0
            self._configuration.confirm(address if tells_version else "", sent.requested_at_running)
            if tells_version:
                self._confirm_version(reply.version, sent.requested_at)
        for shard in reply.owned:
            self._confirm_shard(shard, address, sent.requested_at_running)

    def replied(self, address: str, shard: str, owner: bool, requested_at: float) -> None:
        """A budget request of that time was answered; `owner`: by a committed entry."""
        running = requested_at - self._stood_still
        self._record_answer(address, running)
        if owner:
            self._confirm_shard(shard, address, running)

    # What follows

    def may_refuse(self, version: int, now: float) -> bool:
        """Whether a refusal by this version of the configuration holds: it was the newest one lately."""
        return version >= self._confirmed_version > 0 and now - self._version_confirmed_at <= CONTACT_S

    def configuration(self, now: float) -> Standing:
        """The standing to the configuration's shard."""
        return self._standing(self._configuration, now)

    def shard(self, shard: str, now: float) -> Standing:
        """The standing to a budget shard."""
        return self._standing(self._shards.get(shard, _ShardContact()), now)

    def lost_shards(self, now: float) -> list[str]:
        """The shards whose owners can't be waited for."""
        return [shard for shard, known in self._shards.items() if self._standing(known, now) is Standing.LOST]

    def serves(self, now: float) -> bool:
        """Whether requests should be sent here."""
        if not self._shards or self.configuration(now) is Standing.LOST:
            return False
        return not self.lost_shards(now)

    # How it follows

    def _record_answer(self, address: str, running: float) -> None:
        self._answered_at[address] = max(self._answered_at.get(address, NEVER), running)

    def _confirm_shard(self, shard: str, address: str, running: float) -> None:
        self._shards.setdefault(shard, _ShardContact()).confirm(address, running)

    def _confirm_version(self, version: int, requested_at: float) -> None:
        """Control nodes apply in order, so the higher version is the newer one."""
        self._confirmed_version = max(self._confirmed_version, version)
        self._version_confirmed_at = max(self._version_confirmed_at, requested_at)

    def _standing(self, known: _ShardContact, now: float) -> Standing:
        running = now - self._stood_still
        if running - known.confirmed_at <= CONTACT_S:
            return Standing.IN_CONTACT
        answered = any(
            running - self._answered_at.get(address, NEVER) <= CONTACT_S
            for address in self._elsewhere(known.addresses)
        )
        if answered and running - known.confirmed_at <= ELECTION_S:
            return Standing.ELECTION
        return Standing.LOST

    def _elsewhere(self, addresses: Iterable[str]) -> list[str]:
        """Those on other machines; all of them where there are none elsewhere."""
        listed = list(addresses)
        others = [address for address in listed if address.rpartition(":")[0] != self._machine]
        return others or listed

    def _due(self, running: float) -> dict[str, None]:
        due = dict.fromkeys(self._configuration.due(running))
        for known in self._shards.values():
            due.update(dict.fromkeys(known.due(running)))
        return due

    def _forget_expired(self, running: float) -> None:
        expired = [
            ticket
            for ticket, sent in self._sent_requests.items()
            if running - sent.requested_at_running > CONTACT_S
        ]
        for ticket in expired:
            del self._sent_requests[ticket]
