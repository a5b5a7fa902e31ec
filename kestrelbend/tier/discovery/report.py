"""Reading a backend's heartbeat: from a JSON object of any content to a `Backend` or a rejection.

Invariant: every field of a `Backend` made here is within the bounds below, so that it fits its field on the
wire and a registry of many backends stays bounded.  Hazard: a sequence of `DEPARTURE_SEQUENCE` or more would
stand for the report of an end that was never made.
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
    """Why a heartbeat is rejected, in one word for counting."""

    IDENTITY = "identity"
    FORM = "form"
    MODELS = "models"
    REGISTRY_FULL = "full"  # says nothing about the report


@attrs.frozen
class HeartbeatRejected:
    """A heartbeat that isn't accepted; `reason` says what is wrong with it."""

    code: RejectionCode
    reason: str


def is_name(value: Any) -> bool:
    """A non-empty text that is short enough to be a name."""
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


REPORT = schema.Schema(
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
    """The backend that a heartbeat describes; unknown fields are ignored."""
    if not is_name(identity):
        return HeartbeatRejected(RejectionCode.IDENTITY, "the id is no short text")
    try:
        fields = REPORT.validate(report)
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
    """The list as JSON, "" if there is none, None if it is too long or no JSON."""
    if models is None:
        return ""
    try:
        text = json.dumps(models, separators=(",", ":"))
    except (ValueError, TypeError, RecursionError):
        return None
    return text if len(text) <= MAX_MODELS_LENGTH else None
