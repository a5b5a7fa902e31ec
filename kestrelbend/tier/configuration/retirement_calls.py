"""Handlers of `Retire.Start` and `Retire.Get`, by which an operator moves all shards off a storage node."""

from __future__ import annotations

from typing import Any

from kestrelbend.tier.configuration.field_checks import is_positive
from kestrelbend.tier.configuration.http_answers import (
    ApiResponse,
    error_response,
    json_response,
    status_response,
    unavailable_response,
)
from kestrelbend.tier.configuration.json_codec import decode_object
from kestrelbend.tier.configuration.operator_call import Call
from kestrelbend.tier.configuration.ports import ControlPort, RetireOutcome, RetireState
from kestrelbend.tier.configuration.statuses import CONFLICT, INVALID, NOT_FOUND, OK, UNAVAILABLE

RETIRE_STATUS = {
    RetireOutcome.ACCEPTED: OK,
    RetireOutcome.UNKNOWN_NODE: NOT_FOUND,
    RetireOutcome.TOO_FEW_LEFT: CONFLICT,
    RetireOutcome.UNAVAILABLE: UNAVAILABLE,
}


class RetirementCalls:
    """Handles calls on storage nodes through the port; the name in the path is the node's."""

    def __init__(self, port: ControlPort) -> None:
        self._port = port

    async def start(self, call: Call) -> ApiResponse:
        """Starts the retirement of a node; `DeadlineS` is in seconds."""
        order = decode_object(call.body)
        deadline_s: Any = order.get("DeadlineS") if order is not None else None
        if not is_positive(deadline_s):
            return error_response(INVALID, "DeadlineS is no positive number of seconds")
        return status_response(RETIRE_STATUS[await self._port.retire_start(call.name, float(deadline_s))])

    async def get(self, call: Call) -> ApiResponse:
        """Returns the progress of the retirement of a node."""
        state = await self._port.retire_state(call.name)
        if state is RetireState.UNAVAILABLE:
            return unavailable_response()
        if state is RetireState.NOT_ORDERED:
            return error_response(NOT_FOUND, "nobody asked for the node to be emptied")
        return json_response(OK, {"State": state.value})
