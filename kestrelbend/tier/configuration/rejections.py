"""All rejections (4xx) that the operator's API may return, and the proof that each one requires.

Invariant: a rejection that is not in this table is never returned; it is replaced by a 503, which says
nothing about the call's effect and makes the caller retry elsewhere.  Callers do not retry after a rejection,
so a rejection based on old or uncommitted state would deny a valid order permanently.
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
    """The information that a rejection is based on, which determines the nodes that may return it."""

    CALL = "the call's own bytes: any node may return it, with or without contact to the owner"
    OWNER = "the applied state of an owner that a majority confirmed after the call was received"
    ENTRY = "the committed log entry of the order, as every replica applies it"


@attrs.frozen
class Rejection:
    """A status that a call may be rejected with; `ANY_CALL`: applies before the content is evaluated."""

    call: str
    status: int
    proofs: tuple[Proof, ...]
    reason: str


_CALL = (Proof.CALL,)
_OWNER = (Proof.OWNER,)
_OWNER_OR_ENTRY = (Proof.OWNER, Proof.ENTRY)
_ORDER_CALLS = ("Config.Put", "Config.Patch")
ANY_CALL = "*"

REJECTIONS = (
    Rejection(ANY_CALL, NOT_FOUND, _CALL, "unknown call"),
    Rejection(ANY_CALL, METHOD_NOT_ALLOWED, _CALL, "the call requires another method"),
    Rejection(ANY_CALL, BODY_TIMEOUT, _CALL, "the body was not received in time, so it was not evaluated"),
    Rejection(ANY_CALL, BODY_TOO_LARGE, _CALL, "the body is longer than any valid one"),
    *(
        Rejection(call, INVALID, _CALL, "the base version is missing or not an integer")
        for call in _ORDER_CALLS
    ),
    *(
        Rejection(call, INVALID, _OWNER_OR_ENTRY, "the order is invalid, so it cannot produce a version")
        for call in _ORDER_CALLS
    ),
    *(
        Rejection(
            call,
            PRECONDITION_FAILED,
            _OWNER_OR_ENTRY,
            "its base version is no longer current, and the order was not accepted",
        )
        for call in _ORDER_CALLS
    ),
    Rejection("Config.Get", NOT_FOUND, _OWNER, "no configuration is committed yet"),
    Rejection("Instances.Heartbeat", INVALID, _CALL, "the report is malformed for every node"),
    Rejection("Instances.Leave", INVALID, _CALL, "the id is not a valid backend id"),
    Rejection("Retire.Start", INVALID, _CALL, "DeadlineS is not a positive number"),
    Rejection("Retire.Start", NOT_FOUND, _OWNER, "no store with this name is known"),
    Rejection(
        "Retire.Start", CONFLICT, _OWNER_OR_ENTRY, "too few nodes would remain, or too many are retiring"
    ),
    Rejection("Retire.Get", NOT_FOUND, _OWNER, "no retirement of the node was requested"),
)

_ALLOWED = frozenset((rejection.call, rejection.status) for rejection in REJECTIONS)


def is_rejection(status: int) -> bool:
    """Whether a status is a rejection, after which callers do not retry."""
    return 400 <= status < 500


def may_reject(call: str, status: int) -> bool:
    """Whether the table allows a status for a call that was read completely."""
    return (call, status) in _ALLOWED
