"""Validates a backend's heartbeat: turns untrusted JSON into a `Backend` or a rejection.

Invariant: every field of a `Backend` created here is within the bounds below, so that it fits its field on
the wire and the memory of a large registry is bounded.  Hazard: a heartbeat whose sequence is
`DEPARTURE_SEQUENCE` or more would be taken for a report that the backend has ended.
"""

from __future__ import annotations

import enum
import json
from typing import Any

import attrs
import schema

from ..configuration.field_checks import (
    ObjectSchema,
    is_address,
    is_number,
    is_positive_integer,
    is_text,
)
from .messages import Backend, BackendState
from .order import DEPARTURE_SEQUENCE

MAX_NAME_LENGTH = 256  # characters
MAX_MODELS_LENGTH = 16 * 1024  # characters
MAX_WARMING_UP_MS = 2**31
MAX_SLOTS = 2**31 - 1
STATES_BY_NAME = {"ready": BackendState.READY, "draining": BackendState.DRAINING}


class RejectionCode(enum.StrEnum):
    """Why a heartbeat is rejected, as a label for counters."""

    IDENTITY = "identity"
    FORM = "form"
    MODELS = "models"
    REGISTRY_FULL = "full"  # independent of the report's content


@attrs.frozen
class HeartbeatRejected:
    """A heartbeat that was not accepted, and a description of the reason."""

    code: RejectionCode
    reason: str


def is_name(value: Any) -> bool:
    """Whether the value is non-empty text of at most `MAX_NAME_LENGTH` characters."""
    return is_text(value) and len(value) <= MAX_NAME_LENGTH


def _is_state(value: Any) -> bool:
    return isinstance(value, str) and value in STATES_BY_NAME


def _is_slots(value: Any) -> bool:
    return is_positive_integer(value) and value <= MAX_SLOTS


def _is_sequence(value: Any) -> bool:
    return type(value) is int and 0 <= value < DEPARTURE_SEQUENCE


def _is_warming_up(value: Any) -> bool:
    return is_number(value) and 0 <= value <= MAX_WARMING_UP_MS


def _is_models(value: Any) -> bool:
    return isinstance(value, list)


REPORT_SCHEMA = schema.Schema(
    ObjectSchema(
        required={
            "Upstream": is_name,
            "Address": is_address,
            "Zone": is_name,
            "Slots": _is_slots,
            "State": _is_state,
            "Seq": _is_sequence,
        },
        optional={"Ver": is_name, "ColdLeftMs": _is_warming_up, "Models": _is_models},
    )
)


def read_report(identity: str, report: object) -> Backend | HeartbeatRejected:
    """Returns the backend that a heartbeat describes; unknown fields are ignored."""
    if not is_name(identity):
        return HeartbeatRejected(RejectionCode.IDENTITY, "the id is no short text")
    try:
        fields = REPORT_SCHEMA.validate(report)
    except schema.SchemaError as error:
        return HeartbeatRejected(RejectionCode.FORM, f"the report: {error.code}")
    models = _models_text(fields.get("Models"))
    if models is None:
        return HeartbeatRejected(RejectionCode.MODELS, "Models is too large")
    return Backend(
        identity=identity,
        service=fields["Upstream"],
        address=fields["Address"],
        zone=fields["Zone"],
        software=fields.get("Ver") or "",
        slots=fields["Slots"],
        state=int(STATES_BY_NAME[fields["State"]]),
        warming_up_ms=int(fields.get("ColdLeftMs") or 0),
        sequence=fields["Seq"],
        models=models,
    )


def _models_text(models: list[Any] | None) -> str | None:
    """Returns the list as JSON, "" without a list, None if it is too long or cannot be encoded."""
    if models is None:
        return ""
    try:
        text = json.dumps(models, separators=(",", ":"))
    except (ValueError, TypeError, RecursionError):
        return None
    return text if len(text) <= MAX_MODELS_LENGTH else None
