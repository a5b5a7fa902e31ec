"""How a journal divides its share of the disk: segments grow up to a bound, the rest is for checkpoints.

Invariant: segments never take what the next checkpoint needs, since a checkpoint is the only way to free the
share again.  All sizes are bytes.
"""

from __future__ import annotations

import attrs

CHECKPOINTS_RESERVED = 2  # of the last one's size: the next one may have grown
MIN_RESERVED_SHARE = 4  # a quarter of the capacity at least is reserved for the next checkpoint
MAX_SEGMENT_SHARE = 8  # segments take an eighth of the capacity at most until a checkpoint is wanted
MIN_SEGMENT_SHARE = 64  # and may always take this part of it before


@attrs.frozen
class JournalCapacity:
    """The bounds that follow from a journal's share of the disk."""

    capacity_bytes: int

    def max_segment_bytes(self, checkpoint_bytes: int) -> int:
        """What segments may take until a checkpoint is wanted: half of what they may take at all, at most."""
        available = self.capacity_bytes - checkpoint_bytes - self.reserved_bytes(checkpoint_bytes)
        least = self.capacity_bytes // MIN_SEGMENT_SHARE
        return min(self.capacity_bytes // MAX_SEGMENT_SHARE, max(available // 2, least))

    def reserved_bytes(self, checkpoint_bytes: int) -> int:
        """What only the next checkpoint may use."""
        return max(CHECKPOINTS_RESERVED * checkpoint_bytes, self.capacity_bytes // MIN_RESERVED_SHARE)
