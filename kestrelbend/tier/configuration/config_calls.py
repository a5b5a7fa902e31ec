"""Handlers of `Config.Put`, `Config.Patch` and `Config.Get`: calls to orders, outcomes to responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kestrelbend.tier.configuration.http_answers import (
    ApiResponse,
    error_response,
    json_response,
    unavailable_response,
)
from kestrelbend.tier.configuration.json_codec import count_items
from kestrelbend.tier.configuration.messages import UNDETERMINED, ConfigOrder, OrderKind
from kestrelbend.tier.configuration.operator_call import Call
from kestrelbend.tier.configuration.ports import ControlPort
from kestrelbend.tier.configuration.schemas import MAX_VERSION
from kestrelbend.tier.configuration.statuses import BODY_TOO_LARGE, INVALID, NOT_FOUND, OK

MAX_CONCURRENT_READS = 8  # each may hold a copy of the configuration, before its response is counted


class ConfigCalls:
    """Handles calls on the configuration through the port."""

    def __init__(self, port: ControlPort, max_items: Callable[[], int]) -> None:
        self._port = port
        self._max_items = max_items
        self._reads = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def put(self, call: Call) -> ApiResponse:
        """Replaces the configuration by a complete one."""
        return await self._submit(OrderKind.PUT, call)

    async def patch(self, call: Call) -> ApiResponse:
        """Applies a patch to the current configuration."""
        return await self._submit(OrderKind.PATCH, call)

    async def get(self, call: Call) -> ApiResponse:
        """Returns the newest configuration, byte for byte."""
        async with self._reads:
            reply = await self._port.read()
        if not reply.owner:
            return unavailable_response()
        if not reply.body:
            return error_response(NOT_FOUND, "there is no configuration yet")
        return ApiResponse(OK, bytes(reply.body))

    async def _submit(self, kind: OrderKind, call: Call) -> ApiResponse:
        base = _base_version(call.base_version_header)
        if base is None:
            return error_response(INVALID, "X-Kestrelbend-Base-Version is missing or no whole number")
        if count_items(call.body) > self._max_items():
            return error_response(BODY_TOO_LARGE, "the body holds too many items")
        outcome = await self._port.submit_order(ConfigOrder(int(kind), base, call.body))
        if outcome.status == OK:
            return json_response(OK, {"Ver": outcome.version})
        if outcome.status == UNDETERMINED:
            return unavailable_response()
        return json_response(outcome.status, {"Error": outcome.reason, "Ver": outcome.version})


def _base_version(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > len(str(MAX_VERSION)):
        return None
    version = int(value)
    return version if version < MAX_VERSION else None
