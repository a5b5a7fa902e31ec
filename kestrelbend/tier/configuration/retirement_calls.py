"""The calls `Retire.Start` and `Retire.Get`, by which an operator has a storage node emptied."""

from __future__ import annotations

from typing import Any

from kestrelbend.tier.configuration.field_checks import is_positive
from kestrelbend.tier.configuration.http_answers import (
    OK,
    UNAVAILABLE,
    Answer,
    json_answer,
    read_object,
    rejected,
    status_answer,
    unavailable,
)
from kestrelbend.tier.configuration.operator_call import Call
from kestrelbend.tier.configuration.ports import ControlPort, RetireOutcome, RetireState

RETIRE_STATUS = {
    RetireOutcome.ACCEPTED: OK,
    RetireOutcome.UNKNOWN_NODE: 404,
    RetireOutcome.TOO_FEW_LEFT: 409,
    RetireOutcome.UNAVAILABLE: UNAVAILABLE,
}


class RetirementCalls:
    """The calls on storage nodes, each answered by what the port says; a call names the node."""

    def __init__(self, port: ControlPort) -> None:
        self._port = port

    async def start(self, call: Call) -> Answer:
        """Begins to empty a node; `DeadlineS` is in seconds."""
        order = read_object(call.body)
        deadline_s: Any = order.get("DeadlineS") if order is not None else None
        if not is_positive(deadline_s):
            return rejected(400, "DeadlineS is no positive number of seconds")
        return status_answer(RETIRE_STATUS[await self._port.retire_start(call.name, float(deadline_s))])

    async def get(self, call: Call) -> Answer:
        """How far the emptying of a node has come."""
        state = await self._port.retire_state(call.name)
        if state is RetireState.UNAVAILABLE:
            return unavailable()
        if state is RetireState.NOT_ORDERED:
            return rejected(404, "nobody asked for the node to be emptied")
        return json_answer(OK, {"State": state.value})
