"""How the placement of one shard is written inside an order of kind `PLACEMENT`.

The number 0 is left out: it stands for the placements written before they had numbers.
"""

from __future__ import annotations

import json
from typing import Any

from kestrelbend.tier.configuration.field_checks import is_text
from kestrelbend.tier.membership.messages import ShardPlacement

MAX_REPLICAS = 64

# Keys of the body: they stand in journals and snapshots on disk, apart from the names of fields.
_SHARD = "shard"
_FOUNDERS = "founders"
_VOTERS = "voters"
_NUMBER = "number"


def encode_placement(placement: ShardPlacement) -> bytes:
    """The body of an order that places a shard; equal placements give equal bytes."""
    values = {
        _SHARD: placement.shard,
        _FOUNDERS: list(placement.founders),
        _VOTERS: list(placement.voters),
    }
    if placement.number:
        values[_NUMBER] = placement.number
    return json.dumps(values, separators=(",", ":")).encode()


def decode_placement(body: bytes) -> ShardPlacement | None:
    """The placement that a body holds, or None if it holds none."""
    try:
        values = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(values, dict):
        return None
    shard, founders, voters = values.get(_SHARD), values.get(_FOUNDERS), values.get(_VOTERS)
    if not (is_text(shard) and _are_replicas(founders) and _are_replicas(voters)):
        return None
    number = values.get(_NUMBER, 0)
    if type(number) is not int or number < 0:
        return None
    return ShardPlacement(shard, tuple(founders), tuple(voters), number)


def _are_replicas(value: Any) -> bool:
    """A list of one or more replicas, none of them twice."""
    if not isinstance(value, list) or not 0 < len(value) <= MAX_REPLICAS:
        return False
    return all(is_text(replica) for replica in value) and len(set(value)) == len(value)
