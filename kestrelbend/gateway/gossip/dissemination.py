"""Updates that ride on the messages of the failure detector (SWIM 2002, section 4.1)."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .codec import encoded_size
from .messages import GossipMessage, MembershipUpdate
from .parameters import SwimParameters
from .view import MembershipView

MAX_CANDIDATES = 32  # updates, and results, that are considered for one datagram


@dataclass(slots=True)
class QueuedUpdate:
    """An update that goes out with the next messages."""

    update: MembershipUpdate
    times_sent: int = 0


class Dissemination:
    """The latest update of each member that changed, until it was sent often enough.

    Those sent least often go first; an update leaves after `retransmit_limit` sends, which reaches all
    members with high probability.
    """

    def __init__(self, parameters: SwimParameters, view: MembershipView) -> None:
        self.queue: dict[str, QueuedUpdate] = {}
        self._parameters = parameters
        self._view = view

    def enqueue(self, update: MembershipUpdate) -> None:
        """To be sent with the next messages; a newer update of the same member takes its place."""
        self.queue[update.name] = QueuedUpdate(update)

    def discard(self, name: str) -> None:
        """Nothing of this member is sent any more."""
        self.queue.pop(name, None)

    def retransmit_limit(self) -> int:
        """How often an update or a result is sent: by the logarithm of the members."""
        return max(
            2, math.ceil(self._parameters.retransmit_multiplier * math.log2(self._view.live_count + 1))
        )

    def add_updates(self, message: GossipMessage, remaining: int) -> int:
        """Adds what fits into `remaining` bytes beside the message's own updates; what then remains."""
        limit = self.retransmit_limit()
        present = {update.name for update in message.updates}
        queue = self.queue
        for name in sorted(queue, key=lambda name: queue[name].times_sent)[:MAX_CANDIDATES]:
            queued = queue[name]
            if name in present or (cost := encoded_size(queued.update)) > remaining:
                continue
            remaining -= cost
            message.updates.append(queued.update)
            queued.times_sent += 1
            if queued.times_sent >= limit:
                del queue[name]
        return remaining
