"""The calls `Retire.Start` and `Retire.Get`, by which an operator has a storage node emptied."""

from __future__ import annotations

from typing import Any

from kestrelbend.tier.configuration.field_checks import is_positive
from kestrelbend.tier.configuration.http_answers import (
    Answer,
    json_answer,
    rejected,
    status_answer,
    unavailable,
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
    """The calls on storage nodes, each answered by what the port says; a call names the node."""

    def __init__(self, port: ControlPort) -> None:
        self._port = port

    async def start(self, call: Call) -> Answer:
        """Begins to empty a node; `DeadlineS` is in seconds."""
        order = decode_object(call.body)
        deadline_s: Any = order.get("DeadlineS") if order is not None else None
        if not is_positive(deadline_s):
            return rejected(INVALID, "DeadlineS is no positive number of seconds")
        return status_answer(RETIRE_STATUS[await self._port.retire_start(call.name, float(deadline_s))])

    async def get(self, call: Call) -> Answer:
        """How far the emptying of a node has come."""
        state = await self._port.retire_state(call.name)
        if state is RetireState.UNAVAILABLE:
            return unavailable()
        if state is RetireState.NOT_ORDERED:
            return rejected(NOT_FOUND, "nobody asked for the node to be emptied")
        return json_answer(OK, {"State": state.value})
