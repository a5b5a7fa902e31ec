"""The answers of the operator's API: a status and a JSON body."""

from __future__ import annotations

from typing import Any

import attrs

from kestrelbend.tier.configuration.json_codec import encode_json
from kestrelbend.tier.configuration.statuses import UNAVAILABLE


@attrs.frozen
class ApiResponse:
    """A status and a JSON body; `allow` is the method to be used where another one was."""

    status: int
    body: bytes
    allow: str = ""


def json_response(status: int, values: dict[str, Any]) -> ApiResponse:
    """An answer whose body is an object."""
    return ApiResponse(status, encode_json(values))


def error_response(status: int, reason: str) -> ApiResponse:
    """An answer that says why a call is not carried out."""
    return json_response(status, {"Error": reason})


def unavailable_response() -> ApiResponse:
    """The answer that promises nothing: the caller may ask again, any node."""
    return error_response(UNAVAILABLE, "can't be answered here now")


def status_response(status: int) -> ApiResponse:
    """An answer whose status says it all."""
    if status == UNAVAILABLE:
        return unavailable_response()
    return json_response(status, {} if status < 300 else {"Error": "refused"})
