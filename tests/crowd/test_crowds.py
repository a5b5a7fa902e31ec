"""Whatever a crowd of clients sends, a process lives, keeps its limits and answers ordinary clients."""

from __future__ import annotations

import pytest

from kestrelbend.tier.protocol.framing import HEADER_WORD, MAX_MESSAGE_BYTES

from .clients import Crowd, head
from .deployment import INTERNAL_PORTS, MEBIBYTE, run_with_deployment

STRANGER_CROWD = 5  # of the largest frame of the internal protocol
PATHS = {"front": "/slow/a", "control": "/api/Config.Put", "ready": "/api/readyz"}


def run_crowd(listener, size, pieces, limits=None):
    """A crowd sends and stays; an ordinary client is served beside it and after it."""

    async def scenario(deployment):
        crowd = Crowd(size)
        try:
            await crowd.send(deployment.address(listener), pieces)
            await deployment.ordinary_request(listener)
            deployment.check_limits(listener)
            await crowd.check_promises(deployment.ids_run())
        finally:
            await crowd.close()
        deployment.slow_answers.released.set()
        await deployment.ordinary_request(listener)
        deployment.check_limits(listener)

    run_with_deployment(scenario, limits)


ORDER_BYTES = 7_800_000
ORDER_CROWD = 4
ITEMS = {"objects": b"{},", "lists": b"[],", "numbers": b"1.5,"}


@pytest.mark.parametrize("item", ITEMS)
def test_orders_of_many_small_items(item):
    body = b'{"Ver":2,"Routes":[' + ITEMS[item] * (ORDER_BYTES // len(ITEMS[item])) + b"1]}"

    def pieces(identity):
        base = "X-Kestrelbend-Base-Version: 1"
        yield head("POST", PATHS["control"], identity, base, f"Content-Length: {len(body)}")
        yield body

    run_crowd("control", ORDER_CROWD, pieces)


@pytest.mark.parametrize("listener", INTERNAL_PORTS)
def test_frames_of_strangers_at_the_internal_port(listener):
    def pieces(_identity):
        yield HEADER_WORD.pack(MAX_MESSAGE_BYTES)
        piece = bytes(MEBIBYTE)
        for _ in range(MAX_MESSAGE_BYTES // MEBIBYTE - 1):
            yield piece

    run_crowd(listener, STRANGER_CROWD, pieces)
