"""The memory that the request bodies of a process hold together.

A body takes memory as it arrives.  Once a share is used up, the incomplete body that holds the most is
rejected, so that clients that send slowly, or stop, do not keep others out.  Complete bodies are held until
their requests end; a part of the budget is left to small bodies.

Invariant: the sum of what all bodies hold is at most `capacity_bytes`.
"""

from __future__ import annotations

from collections.abc import Callable

BLOCK_BYTES = 64 * 1024
SMALL_BODY_BYTES = 16 * 1024
LARGE_BODIES_SHARE = 0.75  # of the budget; the rest is left to small bodies
UNLIMITED_BYTES = 1 << 62


class BodyBudget:
    """The bodies of one process.

    `copies`: how often a complete body is in memory while its request is in progress, the join that completes
    it included.
    """

    def __init__(self, capacity_bytes: Callable[[], int] = lambda: UNLIMITED_BYTES, copies: int = 1) -> None:
        self._capacity_bytes = capacity_bytes
        self.copies = copies
        self.held_bytes = 0
        self._incomplete: dict[BodyBuffer, None] = {}

    def open(self) -> BodyBuffer:
        """Returns the buffer of a request that is about to be read; it must be closed."""
        buffer = BodyBuffer(self)
        self._incomplete[buffer] = None
        return buffer

    def reserve(self, buffer: BodyBuffer, count: int) -> bool:
        """Gives `count` more bytes to a body, at the cost of larger incomplete ones; False if it can't."""
        if not count:
            return True
        required = buffer.held_bytes + count
        capacity = self._capacity_bytes()
        limit = capacity if required <= SMALL_BODY_BYTES else int(capacity * LARGE_BODIES_SHARE)
        while self.held_bytes + count > limit:
            largest = max(self._incomplete, key=_held_bytes, default=buffer)
            if largest is buffer or largest.held_bytes <= required:
                return False
            largest.reject()
        self.held_bytes += count
        buffer.held_bytes = required
        return True

    def mark_complete(self, buffer: BodyBuffer) -> None:
        """From now on the body is not rejected in favour of others."""
        self._incomplete.pop(buffer, None)

    def release(self, buffer: BodyBuffer) -> None:
        """Takes back everything that a body holds."""
        self._incomplete.pop(buffer, None)
        self.held_bytes -= buffer.held_bytes
        buffer.held_bytes = 0


class BodyBuffer:
    """The body of one request; a context manager that releases it.

    Once `rejected`, it holds nothing and takes nothing more.  `on_rejected` is called when another body takes
    its place.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._blocks: list[bytearray] = []
        self.size = 0
        self.held_bytes = 0
        self.rejected = False
        self.on_rejected: Callable[[], None] = lambda: None

    def __enter__(self) -> BodyBuffer:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def append(self, data: bytes) -> bool:
        """Adds a piece; False if the body is rejected."""
        if self.rejected:
            return False
        if not self._budget.reserve(self, len(data)):
            self._drop()
            return False
        self.size += len(data)
        if self._blocks and len(self._blocks[-1]) + len(data) <= BLOCK_BYTES:
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))
        return True

    def complete(self) -> bytes | None:
        """Returns the body, which stays held until `close`; None if it is rejected."""
        if self.rejected:
            return None
        if not self._budget.reserve(self, self.size * (self._budget.copies - 1)):
            self._drop()
            return None
        self._budget.mark_complete(self)
        body = b"".join(self._blocks)
        self._blocks.clear()
        return body

    def reject(self) -> None:
        """Drops the body in favour of another one."""
        self._drop()
        self.on_rejected()

    def _drop(self) -> None:
        self.rejected = True
        self.close()

    def close(self) -> None:
        """Releases what the body holds."""
        self._blocks.clear()
        self._budget.release(self)


def _held_bytes(buffer: BodyBuffer) -> int:
    return buffer.held_bytes
