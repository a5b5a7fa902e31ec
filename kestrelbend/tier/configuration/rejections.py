"""Every rejection (4xx) that the operator's API may give, and what must be proven before it is given.

Invariant: a rejection that this table doesn't hold is never given; in its place goes a 503, which promises
nothing and sends the caller on.  Callers end at once on a rejection, so one that rests on old or uncommitted
state would deny a proper order for good.
"""

from __future__ import annotations

import enum

import attrs

from kestrelbend.tier.configuration.statuses import (
    BODY_TIMEOUT,
    BODY_TOO_LARGE,
    CONFLICT,
    INVALID,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    PRECONDITION_FAILED,
)


class Proof(enum.Enum):
    """What a rejection rests on, and with that who may give it."""

    CALL = "the call's own bytes: any node may give it, in contact or not"
    OWNER = "the state applied by an owner that a majority has confirmed after the call came"
    ENTRY = "the committed entry of the order itself, as every replica applies it"


@attrs.frozen
class Rejection:
    """One status that one call may be rejected with; `ANY_CALL`: before its content is read."""

    call: str
    status: int
    proofs: tuple[Proof, ...]
    reason: str


_CALL = (Proof.CALL,)
_OWNER = (Proof.OWNER,)
_OWNER_OR_ENTRY = (Proof.OWNER, Proof.ENTRY)
_ORDERS = ("Config.Put", "Config.Patch")
ANY_CALL = "*"

REJECTIONS = (
    Rejection(ANY_CALL, NOT_FOUND, _CALL, "no such call"),
    Rejection(ANY_CALL, METHOD_NOT_ALLOWED, _CALL, "the call takes another method"),
    Rejection(ANY_CALL, BODY_TIMEOUT, _CALL, "the body did not come in time, so nothing of it was read"),
    Rejection(ANY_CALL, BODY_TOO_LARGE, _CALL, "the body is longer than any proper one"),
    *(Rejection(call, INVALID, _CALL, "the base version is missing or no whole number") for call in _ORDERS),
    *(
        Rejection(call, INVALID, _OWNER_OR_ENTRY, "no version's successor, as it is invalid")
        for call in _ORDERS
    ),
    *(
        Rejection(
            call, PRECONDITION_FAILED, _OWNER_OR_ENTRY, "its base is passed, and the order was not accepted"
        )
        for call in _ORDERS
    ),
    Rejection("Config.Get", NOT_FOUND, _OWNER, "no configuration is committed yet"),
    Rejection("Instances.Heartbeat", INVALID, _CALL, "the report is malformed, wherever it is sent"),
    Rejection("Instances.Leave", INVALID, _CALL, "the id can be no backend's"),
    Rejection("Retire.Start", INVALID, _CALL, "DeadlineS is no positive number of seconds"),
    Rejection("Retire.Start", NOT_FOUND, _OWNER, "no store of this name is known"),
    Rejection(
        "Retire.Start", CONFLICT, _OWNER_OR_ENTRY, "too few would be left, or too many are being emptied"
    ),
    Rejection("Retire.Get", NOT_FOUND, _OWNER, "nobody asked for the node to be emptied"),
)

_ALLOWED = frozenset((rejection.call, rejection.status) for rejection in REJECTIONS)


def is_rejection(status: int) -> bool:
    """Whether a status ends a call for good."""
    return 400 <= status < 500


def may_reject(call: str, status: int) -> bool:
    """Whether the table lets a call that was read to its end be rejected with a status."""
    return (call, status) in _ALLOWED
