"""Whether a gateway is in contact with the control nodes and with the owners of the budget shards.

Contact is counted from the moment at which this gateway asked, never from the moment at which a word came:
a process whose own packets are lost goes on hearing others for a while.  Invariants: a gateway is in contact
only by an answer to a question of the last `CONTACT_S`; what a process on its own machine answers never
stands for the network, except where that process itself has a majority's word (`in_contact`, `owned`).

Without an owner two cases differ.  While processes on other machines answer, an election is under way:
requests wait, and readiness stays for `ELECTION_S`.  Where none of them answers, the gateway is cut off.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Sequence

import attrs

from ..membership.messages import ContactWord
from ..membership.standing import CONTACT_S

ELECTION_S = 1.5  # without an owner, though others answer, until requests are no longer held
STALL_S = 0.3  # between two ticks: this process stood still, and its silence is nobody else's
FRESH_S = 0.2  # an answer to a question younger than this makes another question needless
NEVER = float("-inf")


class Standing(enum.Enum):
    """How a gateway stands to a shard."""

    IN_CONTACT = "in contact"  # its owner is confirmed
    ELECTION = "election"  # nobody is, but others answer: wait
    LOST = "lost"  # nobody answers, or there has been no owner for too long


@attrs.define
class _Shard:
    """What is known of one shard: the processes that may answer for it, and when an owner last did."""

    addresses: tuple[str, ...] = ()
    confirming: str = ""  # who confirmed it last, where its word alone is enough
    confirmed_at: float = NEVER  # in running time, see `GatewayContact`

    def confirm(self, address: str, asked_at: float) -> None:
        """An answer to a question of that time confirms the owner; of several the nearest is asked on."""
        if asked_at == self.confirmed_at and self._rank(self.confirming) <= self._rank(address):
            return
        if asked_at >= self.confirmed_at:
            self.confirmed_at = asked_at
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
class _Question:
    address: str
    asked_at: float
    asked_running: float


class GatewayContact:
    """A gateway's questions, the answers to them, and what follows; without a clock of its own.

    `machine` is the gateway's own address without the port.  Running time leaves out the spans in which this
    process stood still: after one of them nobody else counts as silent.  Refusals go by the true time.
    """

    def __init__(self, machine: str) -> None:
        self._machine = machine
        self._configuration = _Shard()
        self._confirmed_version = 0
        self._version_confirmed_at = NEVER  # in true time
        self._shards: dict[str, _Shard] = {}
        self._reached: dict[str, float] = {}  # address: running time of the last question that it answered
        self._asked: dict[int, _Question] = {}  # by ticket, as long as an answer may say something
        self._next_ticket = 1
        self._ticked_at = NEVER
        self._stood_still = 0.0

    # What happens

    def follow(self, controls: Sequence[str], replicas: Mapping[str, Sequence[str]]) -> None:
        """Takes the control nodes, and for each budget shard the addresses of its replicas."""
        self._configuration.addresses = tuple(controls)
        for shard, addresses in replicas.items():
            self._shards.setdefault(shard, _Shard()).addresses = tuple(addresses)
        known = {*controls}.union(*replicas.values())
        self._reached = {address: at for address, at in self._reached.items() if address in known}

    def tick(self, now: float) -> None:
        """Time went on; to be called several times in `STALL_S`."""
        gap = now - self._ticked_at
        if STALL_S < gap < float("inf"):
            self._stood_still += gap
        self._ticked_at = now

    def questions(self, now: float) -> dict[str, int]:
        """Whom to ask now, each with a ticket.

        In calm times that is one control node and the owners that no request has reached lately; where one
        of these does not confirm, all that may answer for its shard.
        """
        running = now - self._stood_still
        self._forget_old(running)
        questions = {}
        for address in self._due(running):
            questions[address] = self._next_ticket
            self._asked[self._next_ticket] = _Question(address, now, running)
            self._next_ticket += 1
        return questions

    def take(self, address: str, word: ContactWord) -> None:
        """Takes an answer; without a question of its ticket to that address it says nothing."""
        question = self._asked.get(word.ticket)
        if question is None or question.address != address:
            return
        del self._asked[word.ticket]
        self._reach(address, question.asked_running)
        if word.in_contact:
            tells_version = word.version > 0
            self._configuration.confirm(address if tells_version else "", question.asked_running)
            if tells_version:
                self._confirm_version(word.version, question.asked_at)
        for shard in word.owned:
            self._confirm_shard(shard, address, question.asked_running)

    def replied(self, address: str, shard: str, owner: bool, asked_at: float) -> None:
        """A budget request of that time was answered; `owner`: by a committed entry."""
        running = asked_at - self._stood_still
        self._reach(address, running)
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
        return self._standing(self._shards.get(shard, _Shard()), now)

    def lost_shards(self, now: float) -> list[str]:
        """The shards whose owners can't be waited for."""
        return [shard for shard, known in self._shards.items() if self._standing(known, now) is Standing.LOST]

    def serves(self, now: float) -> bool:
        """Whether requests should be sent here."""
        if not self._shards or self.configuration(now) is Standing.LOST:
            return False
        return not self.lost_shards(now)

    # How it follows

    def _reach(self, address: str, running: float) -> None:
        self._reached[address] = max(self._reached.get(address, NEVER), running)

    def _confirm_shard(self, shard: str, address: str, running: float) -> None:
        self._shards.setdefault(shard, _Shard()).confirm(address, running)

    def _confirm_version(self, version: int, asked_at: float) -> None:
        """Control nodes apply in order, so the higher version is the newer one."""
        self._confirmed_version = max(self._confirmed_version, version)
        self._version_confirmed_at = max(self._version_confirmed_at, asked_at)

    def _standing(self, known: _Shard, now: float) -> Standing:
        running = now - self._stood_still
        if running - known.confirmed_at <= CONTACT_S:
            return Standing.IN_CONTACT
        answered = any(
            running - self._reached.get(address, NEVER) <= CONTACT_S
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

    def _forget_old(self, running: float) -> None:
        old = [t for t, question in self._asked.items() if running - question.asked_running > CONTACT_S]
        for ticket in old:
            del self._asked[ticket]
