"""Responses of the operator's API: a status and a JSON body."""

from __future__ import annotations

from typing import Any

import attrs

from kestrelbend.tier.configuration.json_codec import encode_json
from kestrelbend.tier.configuration.statuses import UNAVAILABLE


@attrs.frozen
class ApiResponse:
    """A status and a JSON body.

    `allow` is the value of the Allow header of a 405 response; `closes` ends the connection.
    """

    status: int
    body: bytes
    allow: str = ""
    closes: bool = False


def json_response(status: int, values: dict[str, Any]) -> ApiResponse:
    """Returns a response with an object as its body."""
    return ApiResponse(status, encode_json(values))


def error_response(status: int, reason: str) -> ApiResponse:
    """Returns a response that tells why a call failed."""
    return json_response(status, {"Error": reason})


def unavailable_response() -> ApiResponse:
    """Returns a 503, which says nothing about the call's effect: the caller may retry on any node."""
    return error_response(UNAVAILABLE, "can't be answered here now")


def status_response(status: int) -> ApiResponse:
    """Returns a response that is described by its status alone."""
    if status == UNAVAILABLE:
        return unavailable_response()
    return json_response(status, {} if status < 300 else {"Error": "refused"})
