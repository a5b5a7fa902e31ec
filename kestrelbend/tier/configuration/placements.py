"""Orders of kind `PLACEMENT`: they set the placement of a shard, which is the set of replicas that hold it.

Invariant: the numbers of a shard's placements are consecutive, so that a delayed old order never replaces a
newer placement.  In the body the number 0 is omitted: it stands for placements written before numbers
existed.
"""

from __future__ import annotations

from typing import Any

from kestrelbend.tier.configuration.field_checks import is_text
from kestrelbend.tier.configuration.json_codec import decode_object, encode_json
from kestrelbend.tier.configuration.messages import ConfigOutcome, already_accepted_outcome
from kestrelbend.tier.configuration.statuses import INVALID, PRECONDITION_FAILED
from kestrelbend.tier.configuration.stores import StoreRecords
from kestrelbend.tier.membership.messages import ShardPlacement

MAX_REPLICAS = 64

# Keys of the body.  They are stored in journals and snapshots, so they are independent of field names.
_SHARD = "shard"
_FOUNDERS = "founders"
_VOTERS = "voters"
_NUMBER = "number"


def encode_placement(placement: ShardPlacement) -> bytes:
    """Encodes a placement as the body of an order; equal placements give equal bytes."""
    values: dict[str, Any] = {
        _SHARD: placement.shard,
        _FOUNDERS: list(placement.founders),
        _VOTERS: list(placement.voters),
    }
    if placement.number:
        values[_NUMBER] = placement.number
    return encode_json(values)


def decode_placement(body: bytes) -> ShardPlacement | None:
    """Decodes the body of an order to a placement; returns None if it is invalid."""
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
    """Returns the outcome of an order that changes nothing; None if `placement` must replace `known`."""
    if placement is None:
        return ConfigOutcome(INVALID, version, "not a placement")
    if known == placement:
        return already_accepted_outcome(version)
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
    """Whether a placement has the next number after the known one, so that it may replace it.

    Placements without numbers come from journals that were started before numbers existed.
    """
    known_number = known.number if known is not None else 0
    return placement.number == known_number + 1 or placement.number == known_number == 0


def _are_replicas(value: Any) -> bool:
    """Whether the value is a non-empty list of at most `MAX_REPLICAS` distinct replicas."""
    if not isinstance(value, list) or not 0 < len(value) <= MAX_REPLICAS:
        return False
    return all(is_text(replica) for replica in value) and len(set(value)) == len(value)
