"""Crowds at the gateway in service: it lives, keeps its limits and answers ordinary clients."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import pytest

from tests.helpers import run
from tests.test_gateway_races import gateway_process

from .clients import Crowd, chunked, with_length
from .deployment import MEBIBYTE, Limits, check_process

LIMITS = Limits(ram_mb=256, max_fds=512)  # as the platform's 2048 MB are to its 4096 sockets
MAX_BODY_BYTES = 1 << 16
BODY_CROWD = 400
TINY_CHUNK_CROWD = 20
CONNECTION_CROWD = 800
ENDLESS_BYTES = 4 * MEBIBYTE
RUN_TIMEOUT_S = 200
PATH = "/op/00000000000000c1"
_numbers = itertools.count(1)


def api_head(method, path, identity, *fields):
    """A request's head for the gateway in service, whose ids are numbers."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: api",
        f"X-Request-ID: {next(_numbers)}",
        "Api-Plan: plan",
        "X-Timeout: 2.0",
        "Api-Terms: units=1,spread=2,first=0",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def unfinished_head(identity):
    yield b"GET "
    yield b"x" * 7000


def pipeline(identity):
    batch = api_head("GET", PATH, identity) * 200
    for _ in range(MEBIBYTE // len(batch)):
        yield batch


CROWDS = {
    "in pieces, short of its end": (
        BODY_CROWD, with_length(PATH, MAX_BODY_BYTES, MAX_BODY_BYTES - 1, 1400, api_head)
    ),
    "whole": (BODY_CROWD, with_length(PATH, MAX_BODY_BYTES, MAX_BODY_BYTES, make_head=api_head)),
    "announced far over the limit": (BODY_CROWD, with_length(PATH, 1 << 40, 1 << 22, make_head=api_head)),
    "in chunks, without end": (BODY_CROWD, chunked(PATH, [4096], ENDLESS_BYTES, make_head=api_head)),
    "in chunks of one byte": (TINY_CHUNK_CROWD, chunked(PATH, [1], MEBIBYTE, make_head=api_head)),
    "one large chunk": (BODY_CROWD, chunked(PATH, [1 << 20], ENDLESS_BYTES, make_head=api_head)),
    "unfinished heads": (CONNECTION_CROWD, unfinished_head),
    "pipelines": (BODY_CROWD, pipeline),
}  # fmt: skip


async def ordinary_request(world):
    """Retries until a request is answered with 200."""
    async with asyncio.timeout(60):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
                status, _, _ = await world.ask()
                if status == 200:
                    return
            await asyncio.sleep(0.2)


def check_limits(process):
    assert process.returncode is None, process.returncode
    check_process(process.pid, "gateway in service", LIMITS)


@pytest.mark.parametrize("kind", CROWDS)
def test_crowd(kind, tmp_path):
    size, pieces = CROWDS[kind]

    async def test():
        async with gateway_process(tmp_path, sockets=LIMITS.max_fds) as (world, process, _):
            await ordinary_request(world)
            crowd = Crowd(size)
            try:
                await crowd.send("%s:%d" % world.listen, pieces)
                await ordinary_request(world)
                check_limits(process)
            finally:
                await crowd.close()
            await ordinary_request(world)
            check_limits(process)

    run(test(), RUN_TIMEOUT_S)
