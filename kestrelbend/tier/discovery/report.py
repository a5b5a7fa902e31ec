"""Reading a backend's heartbeat: from a JSON object of any content to a `Backend` or a rejection."""

from __future__ import annotations

import json
from typing import Any

import attrs

from kestrelbend.tier.discovery.messages import Backend, BackendState
from kestrelbend.tier.discovery.order import LEFT_SEQUENCE

MOST_TEXT = 256
MOST_MODELS_TEXT = 16 * 1024
MOST_COUNT = 2**31
MOST_PORT = 65535
STATES = {"ready": BackendState.READY, "draining": BackendState.DRAINING}


@attrs.frozen
class BeatRejected:
    """Why a heartbeat isn't taken; `code` is one word for counting."""

    code: str
    reason: str


def read_report(identity: str, report: object) -> Backend | BeatRejected:
    """The backend that a heartbeat describes; unknown fields are ignored."""
    if not is_text(identity):
        return BeatRejected("identity", "the id is no short text")
    if not isinstance(report, dict):
        return BeatRejected("form", "the report is no object")
    state = report.get("State")
    if not isinstance(state, str) or state not in STATES:
        return BeatRejected("state", "State is neither ready nor draining")
    wrong = _wrong_field(report)
    if wrong:
        return BeatRejected("field", f"{wrong} is missing or has a wrong value")
    models = _models(report.get("Models"))
    if models is None:
        return BeatRejected("field", "Models is no list of moderate size")
    return Backend(
        identity=identity,
        service=report["Upstream"],
        address=report["Address"],
        zone=report["Zone"],
        software=_or(report.get("Ver"), ""),
        slots=report["Slots"],
        state=int(STATES[state]),
        cold_left_ms=int(_or(report.get("ColdLeftMs"), 0)),
        sequence=report["Seq"],
        models=models,
    )


def is_text(value: object) -> bool:
    """A short non-empty string of printable characters."""
    return isinstance(value, str) and 0 < len(value) <= MOST_TEXT and value.isprintable()


def _wrong_field(report: dict[Any, Any]) -> str:
    if not is_text(report.get("Upstream")):
        return "Upstream"
    if not _is_address(report.get("Address")):
        return "Address"
    if not is_text(report.get("Zone")):
        return "Zone"
    if not is_text(_or(report.get("Ver"), "-")):
        return "Ver"
    if not _is_whole(report.get("Slots"), 1, MOST_COUNT):
        return "Slots"
    if not _is_whole(report.get("Seq"), 0, LEFT_SEQUENCE - 1):
        return "Seq"
    if not _is_amount(_or(report.get("ColdLeftMs"), 0)):
        return "ColdLeftMs"
    return ""


def _is_whole(value: object, least: int, most: int) -> bool:
    return type(value) is int and least <= value <= most


def _is_amount(value: object) -> bool:
    return type(value) in (int, float) and 0 <= value <= MOST_COUNT


def _is_address(value: object) -> bool:
    if not is_text(value):
        return False
    host, _, port = value.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > 5 or not 0 < int(port) <= MOST_PORT:
        return False
    parts = host.split(".")
    return len(parts) == 4 and all(_is_octet(part) for part in parts)


def _is_octet(part: str) -> bool:
    return part.isascii() and part.isdigit() and len(part) <= 3 and int(part) <= 255


def _models(value: object) -> str | None:
    """The list as JSON, "" if there is none, None if it is no list or too long."""
    if value is None:
        return ""
    if not isinstance(value, list):
        return None
    try:
        text = json.dumps(value, separators=(",", ":"), sort_keys=True)
    except (ValueError, TypeError, RecursionError):
        return None
    return text if len(text) <= MOST_MODELS_TEXT else None


def _or(value: Any, default: Any) -> Any:
    return default if value is None else value
