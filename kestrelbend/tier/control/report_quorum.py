"""How many control nodes must hold a backend's report that it is draining or has ended.

Control nodes keep these reports in memory and bring each other up to date when they connect.  Stores that
vote in the configuration's shard hold no reports, so they do not count.

Invariant: one of the holders remains after the tolerated losses.  Control nodes that are not live count among
these losses; once they are back, the remaining holders have told them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from ..replication.group import has_quorum
from ..replication.messages import ReplicaId


@attrs.frozen
class ControlReplicas:
    """Replicas of control nodes: those that vote in the configuration's shard, and those that are live."""

    voting: tuple[ReplicaId, ...]
    live: Collection[ReplicaId]


def is_held_by_enough(
    controls: ControlReplicas, is_holder: Callable[[ReplicaId], bool], tolerated_nodes: int
) -> bool:
    """Whether a majority of the voting control nodes holds a report, and more nodes than may be lost.

    Where fewer control nodes than that are live, all of these must hold it.
    """
    holders = sum(1 for replica in controls.live if is_holder(replica))
    needed = min(tolerated_nodes + 1, len(controls.live))
    return holders >= needed and has_quorum(controls.voting, is_holder)
