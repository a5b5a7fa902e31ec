"""Handlers of `Instances.Heartbeat` and `Instances.Leave`, the calls in which backends report their state."""

from __future__ import annotations

from kestrelbend.tier.configuration.http_answers import (
    ApiResponse,
    error_response,
    json_response,
    status_response,
)
from kestrelbend.tier.configuration.json_codec import decode_object
from kestrelbend.tier.configuration.operator_call import Call
from kestrelbend.tier.configuration.ports import ControlPort, ReportOutcome
from kestrelbend.tier.configuration.statuses import INVALID, OK, UNAVAILABLE

REPORT_STATUS = {
    ReportOutcome.ACCEPTED: OK,
    ReportOutcome.MALFORMED: INVALID,
    ReportOutcome.UNAVAILABLE: UNAVAILABLE,
}


class BackendCalls:
    """Handles calls of backends through the port; the name in the path is the backend's id."""

    def __init__(self, port: ControlPort) -> None:
        self._port = port

    async def heartbeat(self, call: Call) -> ApiResponse:
        """Processes a heartbeat; the response may contain a URL for later heartbeats."""
        report = decode_object(call.body)
        if report is None:
            return error_response(INVALID, "the report is no JSON object")
        outcome = await self._port.backend_heartbeat(call.name, report)
        url = self._port.heartbeat_url()
        if outcome is ReportOutcome.ACCEPTED and url:
            return json_response(OK, {"BeatUrl": url})
        return status_response(REPORT_STATUS[outcome])

    async def leave(self, call: Call) -> ApiResponse:
        """Processes a backend's report that it has left; the body is ignored."""
        return status_response(REPORT_STATUS[await self._port.leave(call.name)])
