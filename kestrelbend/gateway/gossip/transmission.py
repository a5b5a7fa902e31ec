"""Builds messages, fills them with what is to be disseminated, and hands them out."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from .codec import encoded_size
from .dissemination import Dissemination
from .member import LocalMember
from .messages import GossipMessage, LeaseMessage, MembershipUpdate, MessageKind
from .parameters import SwimParameters
from .rate_limit import DatagramRateLimit
from .shared_results import SharedResults
from .view import MembershipView

LIST_HEADER_BYTES = 8  # by which lists' heads grow as they are filled


class OutgoingMessage(NamedTuple):
    """A message for an address, six bytes."""

    address: bytes
    message: GossipMessage


class Transmission:
    """The one way by which messages leave; each has a higher sequence number than the one before."""

    def __init__(
        self,
        local: LocalMember,
        parameters: SwimParameters,
        view: MembershipView,
        dissemination: Dissemination,
        results: SharedResults,
    ) -> None:
        self.outgoing: deque[OutgoingMessage] = deque()
        self.rate_limit = DatagramRateLimit(parameters.max_datagrams_per_s, local.now_us)
        self._local = local
        self._parameters = parameters
        self._view = view
        self._dissemination = dissemination
        self._results = results
        self._sequence = 0

    def send(
        self,
        address: bytes,
        kind: MessageKind,
        nonce: int = 0,
        target: str = "",
        updates: Sequence[MembershipUpdate] = (),
        bucket_sums: Sequence[int] = (),
        target_address: bytes = b"",
        lease: LeaseMessage | None = None,
    ) -> bool:
        """Sends a message with as many updates and results as fit; `updates` go in any case.

        False where it is not sent: to this member itself, or beyond the limit of datagrams.
        """
        local = self._local
        if address == local.address:
            return False
        if not self.rate_limit.try_take(kind, local.now_us):
            local.counters.rate_limited += 1
            return False
        self._sequence += 1
        message = GossipMessage(
            int(kind),
            local.name,
            local.generation,
            self._sequence,
            nonce,
            target,
            self._view.digest(),
            list(updates),
            [],
            list(bucket_sums),
            target_address,
            lease,
        )
        remaining = self._parameters.max_message_bytes - encoded_size(message) - LIST_HEADER_BYTES
        retransmit_limit = self._dissemination.retransmit_limit()
        remaining = self._dissemination.add_updates(message, remaining)
        self._results.add_results(message, remaining, retransmit_limit)
        local.counters.sent += 1
        self.outgoing.append(OutgoingMessage(address, message))
        return True
