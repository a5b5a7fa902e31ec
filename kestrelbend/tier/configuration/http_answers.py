"""The answers of the operator's API: a status and a JSON body."""

from __future__ import annotations

from typing import Any

import attrs

from kestrelbend.tier.configuration.json_codec import encode_json
from kestrelbend.tier.configuration.statuses import UNAVAILABLE


@attrs.frozen
class Answer:
    """A status and a JSON body; `allow` is the method to be used where another one was."""

    status: int
    body: bytes
    allow: str = ""


def json_answer(status: int, values: dict[str, Any]) -> Answer:
    """An answer whose body is an object."""
    return Answer(status, encode_json(values))


def rejected(status: int, reason: str) -> Answer:
    """An answer that says why a call is not carried out."""
    return json_answer(status, {"Error": reason})


def unavailable() -> Answer:
    """The answer that promises nothing: the caller may ask again, any node."""
    return rejected(UNAVAILABLE, "can't be answered here now")


def status_answer(status: int) -> Answer:
    """An answer whose status says it all."""
    if status == UNAVAILABLE:
        return unavailable()
    return json_answer(status, {} if status < 300 else {"Error": "refused"})
