"""The placement of a shard, that is the replicas which hold it, as an order of kind `PLACEMENT`.

Invariant: a shard's placements follow one another by their numbers, so that an old order, delayed under way,
never takes the place of a newer one.  In the body the number 0 is left out: it stands for the placements
written before they had numbers.
"""

from __future__ import annotations

from typing import Any

from kestrelbend.tier.configuration.field_checks import is_text
from kestrelbend.tier.configuration.json_codec import decode_object, encode_json
from kestrelbend.tier.configuration.messages import ConfigOutcome, accepted_before
from kestrelbend.tier.configuration.statuses import INVALID, PRECONDITION_FAILED
from kestrelbend.tier.configuration.stores import StoreRecords
from kestrelbend.tier.membership.messages import ShardPlacement

MAX_REPLICAS = 64

# Keys of the body: they stand in journals and snapshots on disk, apart from the names of fields.
_SHARD = "shard"
_FOUNDERS = "founders"
_VOTERS = "voters"
_NUMBER = "number"


def encode_placement(placement: ShardPlacement) -> bytes:
    """The body of an order that places a shard; equal placements give equal bytes."""
    values: dict[str, Any] = {
        _SHARD: placement.shard,
        _FOUNDERS: list(placement.founders),
        _VOTERS: list(placement.voters),
    }
    if placement.number:
        values[_NUMBER] = placement.number
    return encode_json(values)


def decode_placement(body: bytes) -> ShardPlacement | None:
    """The placement that a body holds, or None if it holds none."""
    values = decode_object(body)
    if values is None:
        return None
    shard: Any = values.get(_SHARD)
    founders: Any = values.get(_FOUNDERS)
    voters: Any = values.get(_VOTERS)
    number: Any = values.get(_NUMBER, 0)
    if not (is_text(shard) and _are_replicas(founders) and _are_replicas(voters)):
        return None
    if type(number) is not int or number < 0:
        return None
    return ShardPlacement(shard, tuple(founders), tuple(voters), number)


def check_placement(
    placement: ShardPlacement | None, known: ShardPlacement | None, stores: StoreRecords, version: int
) -> ConfigOutcome | None:
    """The answer to an order that changes nothing, or None: then `placement` takes the place of `known`."""
    if placement is None:
        return ConfigOutcome(INVALID, version, "not a placement")
    if known == placement:
        return accepted_before(version)
    if known is not None and known.founders != placement.founders:
        return ConfigOutcome(PRECONDITION_FAILED, version, f"shard {placement.shard} has other founders")
    if not is_successor(placement, known):
        reason = f"placement {placement.number} does not follow the one in force"
        return ConfigOutcome(PRECONDITION_FAILED, version, reason)
    voters = known.voters if known is not None else ()
    added = [voter for voter in placement.voters if voter not in voters]
    if any(stores.is_on_retiring_node(voter) for voter in added):
        return ConfigOutcome(PRECONDITION_FAILED, version, "a new voter is on a node to be emptied")
    return None


def is_successor(placement: ShardPlacement, known: ShardPlacement | None) -> bool:
    """Whether a placement may take the place of the one known: its number is the next one.

    Those without numbers are of journals that were begun before there were any.
    """
    known_number = known.number if known is not None else 0
    return placement.number == known_number + 1 or placement.number == known_number == 0


def _are_replicas(value: Any) -> bool:
    """A list of one or more replicas, none of them twice."""
    if not isinstance(value, list) or not 0 < len(value) <= MAX_REPLICAS:
        return False
    return all(is_text(replica) for replica in value) and len(set(value)) == len(value)
