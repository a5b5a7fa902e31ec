"""Processor time, frames and bytes of hollow processes that share one process, each under its own label.

A label names the party and what it does: `control.turn`.  Time runs under one label at a time, so nothing is
counted twice.  Messages are encoded and decoded as on a link; they wait in a queue in place of a socket.
"""

from __future__ import annotations

import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable

from kestrelbend.tier.protocol.codec import decode_with_sequence, encode
from kestrelbend.tier.protocol.links import LENGTH


class Meter:
    """Sums by label."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = defaultdict(float)
        self.frames: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()  # frames by the message that they carry
        self._label = "bench"
        self._since = time.process_time()

    def enter(self, label: str) -> str:
        """Goes on under another label; returns the one before."""
        now = time.process_time()
        self.seconds[self._label] += now - self._since
        before, self._label, self._since = self._label, label, now
        return before

    def relabel(self, label: str) -> None:
        """Puts the time since the last `enter` under another label."""
        self._label = label

    def run(self, label: str, function: Callable, *arguments):
        """Calls a function under a label."""
        before = self.enter(label)
        try:
            return function(*arguments)
        finally:
            self.enter(before)

    def sent(self, data: bytes) -> None:
        """Counts a frame that leaves under the present label."""
        self.frames[self._label] += 1
        self.bytes[self._label] += len(data) + LENGTH.size

    def clear(self) -> None:
        """Begins the sums anew."""
        self.enter(self._label)
        self.seconds.clear()
        self.frames.clear()
        self.bytes.clear()
        self.kinds.clear()


class Wires:
    """The queue of all frames under way; `deliver` brings them to their receivers."""

    def __init__(self, meter: Meter) -> None:
        self.meter = meter
        self._queue: deque = deque()

    def put(self, receiver, link: Wire, data: bytes) -> None:
        """Takes a frame."""
        self._queue.append((receiver, link, data))

    def deliver(self) -> None:
        """Delivers until nothing is under way."""
        while self._queue:
            receiver, link, data = self._queue.popleft()
            self.meter.run(f"{receiver.party}.take", self._take, receiver, link, data)

    def _take(self, receiver, link: Wire, data: bytes) -> None:
        message, sequence = decode_with_sequence(data)
        self.meter.relabel(f"{receiver.party}.{type(message).__name__}")
        receiver.on_message(link, message, sequence)


class Wire:
    """One end of a connection; has what the parts of the tier use of a `Link`.

    Without a receiver, frames are encoded and counted, and end there.
    """

    closed = False

    def __init__(self, wires: Wires, receiver=None) -> None:
        self._wires = wires
        self.receiver = receiver
        self.other_end: Wire = self

    def send(self, message, sequence: int = 0) -> bool:
        """Encodes and sends."""
        kind = type(message).__name__
        if kind == "AppendEntries" and not message.entries:
            kind = "AppendEntries without entries"
        self._wires.meter.kinds[kind] += 1
        return self.send_encoded(encode(message, sequence))

    def send_encoded(self, data: bytes) -> bool:
        """Sends one encoding."""
        self._wires.meter.sent(data)
        if self.receiver is not None:
            self._wires.put(self.receiver, self.other_end, data)
        return True

    def reply(self, sequence: int, message) -> None:
        """Answers a request."""
        if sequence > 0:
            self.send(message, -sequence)


def connect(wires: Wires, one, other) -> tuple[Wire, Wire]:
    """The two ends of a connection: that which `one` sends on, and that which `other` sends on."""
    near, far = Wire(wires, other), Wire(wires, one)
    near.other_end, far.other_end = far, near
    return near, far
