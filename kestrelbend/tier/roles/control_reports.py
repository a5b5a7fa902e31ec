"""What a process says to the control nodes: that it runs, and which of their streams it wants.

Invariant: what a control node was asked for last on a connection is what the process wants of it, or the
connection has ended and the next one begins with a new word.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..membership.control_choice import ControlChoice
from ..membership.messages import Heartbeat, HeartbeatAck, Subscribe
from ..protocol.codec import encode
from ..protocol.links import Link, Links


class ControlReports:
    """Heartbeats and subscriptions of one process, to the nodes that `choice` names.

    `on_unfollowed(address)` is told of a node whose streams are not wanted whole any more.
    """

    def __init__(self, choice: ControlChoice, links: Links, on_unfollowed: Callable[[str], None]) -> None:
        self._choice = choice
        self._links = links
        self._on_unfollowed = on_unfollowed
        self._wanted_whole: dict[Link, bool] = {}

    def answered(self, link: Link, answer: HeartbeatAck) -> None:
        """A control node has answered a heartbeat."""
        self._choice.answered(link.address, answer.beat, answer.settled)

    def lost(self, link: Link) -> None:
        """A connection ended."""
        self._wanted_whole.pop(link, None)

    def subscribe(self, order: Sequence[str], wish: Callable[[bool], Subscribe], now: float) -> None:
        """Asks the nearest settled of the control nodes for all of its streams, the others for notices."""
        chosen = self._choice.to_stream_from(order, now)
        for address in order:
            link = self._links.to(address)
            whole = address in chosen
            if link is None or self._wanted_whole.get(link) is whole:
                continue
            self._wanted_whole[link] = whole
            link.send(wish(whole))
            if not whole:
                self._on_unfollowed(address)

    def report(self, order: Sequence[str], heartbeat: Heartbeat, now: float) -> None:
        """Tells the control nodes that are to know it that this process runs."""
        self._choice.sent(heartbeat.beat, now)
        data = encode(heartbeat)
        for address in self._choice.to_report_to(order, now):
            link = self._links.to(address)
            if link is not None:
                link.send_encoded(data)
