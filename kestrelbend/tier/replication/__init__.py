"""A replicated shard: one owner, an epoch, a quorum.  Pure: no sockets, clocks or files."""

from .durable import apply_record, replay
from .effects import Effects
from .replica import Replica
from .timing import Timing

__all__ = ["Effects", "Replica", "Timing", "apply_record", "replay"]
