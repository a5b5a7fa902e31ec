"""How a journal divides its disk quota: segments may grow up to a limit, the rest is for checkpoints.

Invariant: segments never use the space that the next checkpoint needs, since only a checkpoint frees space.
All sizes are in bytes.
"""

from __future__ import annotations

import attrs

RESERVED_CHECKPOINTS = 2  # multiple of the last checkpoint's size, since the next one may be larger
MIN_RESERVED_DIVISOR = 4  # at least capacity / 4 is reserved for the next checkpoint
MAX_SEGMENT_DIVISOR = 8  # a checkpoint is requested once segments exceed capacity / 8
MIN_SEGMENT_DIVISOR = 64  # and not before segments exceed capacity / 64


@attrs.frozen
class JournalCapacity:
    """Size limits derived from a journal's disk quota."""

    capacity_bytes: int

    def max_segment_bytes(self, checkpoint_bytes: int) -> int:
        """Segment size above which a checkpoint is requested.

        At most half of the space available to segments, but always at least capacity / `MIN_SEGMENT_DIVISOR`.
        """
        available = self.capacity_bytes - checkpoint_bytes - self.reserved_bytes(checkpoint_bytes)
        min_segment_bytes = self.capacity_bytes // MIN_SEGMENT_DIVISOR
        return min(self.capacity_bytes // MAX_SEGMENT_DIVISOR, max(available // 2, min_segment_bytes))

    def reserved_bytes(self, checkpoint_bytes: int) -> int:
        """Space that only the next checkpoint may use."""
        return max(RESERVED_CHECKPOINTS * checkpoint_bytes, self.capacity_bytes // MIN_RESERVED_DIVISOR)
