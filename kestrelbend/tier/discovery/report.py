"""Reading a backend's heartbeat: from a JSON object of any content to a `Backend` or a rejection."""

from __future__ import annotations

import json
from typing import Any

import attrs
import schema

from kestrelbend.tier.configuration.field_checks import (
    ObjectSchema,
    is_address,
    is_number,
    is_positive_integer,
    is_text,
)
from kestrelbend.tier.discovery.messages import Backend, BackendState
from kestrelbend.tier.discovery.order import DEPARTURE_SEQUENCE

MOST_NAME = 256  # characters
MOST_MODELS_TEXT = 16 * 1024  # characters
MOST_COLD_MS = 2**31
MOST_SLOTS = 2**31 - 1
STATES = {"ready": BackendState.READY, "draining": BackendState.DRAINING}


@attrs.frozen
class HeartbeatRejected:
    """Why a heartbeat isn't taken; `code` is one word for counting."""

    code: str
    reason: str


def is_name(value: Any) -> bool:
    """A non-empty text that is short enough to be a name."""
    return is_text(value) and len(value) <= MOST_NAME


def _is_state(value: Any) -> bool:
    return isinstance(value, str) and value in STATES


def _is_slots(value: Any) -> bool:
    return is_positive_integer(value) and value <= MOST_SLOTS


def _is_sequence(value: Any) -> bool:
    return type(value) is int and 0 <= value < DEPARTURE_SEQUENCE


def _is_cold(value: Any) -> bool:
    return is_number(value) and 0 <= value <= MOST_COLD_MS


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
        optional={"Ver": is_name, "ColdLeftMs": _is_cold, "Models": lambda value: isinstance(value, list)},
    )
)


def read_report(identity: str, report: object) -> Backend | HeartbeatRejected:
    """The backend that a heartbeat describes; unknown fields are ignored."""
    if not is_name(identity):
        return HeartbeatRejected("identity", "the id is no short text")
    try:
        fields = REPORT.validate(report)
    except schema.SchemaError as error:
        return HeartbeatRejected("form", f"the report: {error.code}")
    models = _models_text(fields.get("Models"))
    if models is None:
        return HeartbeatRejected("models", "Models is too large")
    return Backend(
        identity=identity,
        service=fields["Upstream"],
        address=fields["Address"],
        zone=fields["Zone"],
        software=fields.get("Ver") or "",
        slots=fields["Slots"],
        state=int(STATES[fields["State"]]),
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
    return text if len(text) <= MOST_MODELS_TEXT else None
