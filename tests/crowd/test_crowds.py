"""Whatever a crowd of clients sends, a process lives, keeps its limits and answers ordinary clients."""

from __future__ import annotations

import pytest

from kestrelbend.tier.protocol.framing import HEADER_WORD, MAX_MESSAGE_BYTES
from review.common.tier import new_request_id

from .clients import Crowd, chunked, head, with_length
from .deployment import INTERNAL_PORTS, MAX_BODY_BYTES, MEBIBYTE, Limits, run_with_deployment

BODY_CROWD = 40  # of the largest body: more than the memory of a process
TINY_CHUNK_CROWD = 20
TINY_CHUNK_BODY_BYTES = MEBIBYTE // 2
HEAD_CROWD = 3000
HEAD_BYTES = 15 * 1024  # of at most 16 KiB
READER_CROWD = 200
STRANGER_CROWD = 5  # of the largest frame of the internal protocol
FEW_FDS = 256
MANY_FDS = 4100
CONNECTION_CROWD = 400
ENDLESS_BYTES = 16 * MEBIBYTE  # sent by each client of a body that never ends
LISTENERS = ("front", "control")
PATHS = {"front": "/slow/a", "control": "/api/Config.Put", "ready": "/api/readyz"}

BODIES = {
    "in pieces, short of its end": lambda path: with_length(path, MAX_BODY_BYTES, MAX_BODY_BYTES - 1),
    "in small pieces, short of its end": lambda path: with_length(
        path, MAX_BODY_BYTES, MAX_BODY_BYTES - 1, 1400
    ),
    "whole": lambda path: with_length(path, MAX_BODY_BYTES, MAX_BODY_BYTES),
    "in chunks, short of its end": lambda path: chunked(path, [16 * 1024], MAX_BODY_BYTES),
    "in chunks, whole": lambda path: chunked(path, [16 * 1024], MAX_BODY_BYTES, ends=True),
    "in chunks, without end": lambda path: chunked(path, [16 * 1024], ENDLESS_BYTES),
    "one large chunk": lambda path: chunked(path, [MAX_BODY_BYTES - 1], MAX_BODY_BYTES),
    "announced far over the limit": lambda path: with_length(path, 1 << 40, ENDLESS_BYTES),
}
TINY_CHUNKS = {"of one byte": [1], "of one to three bytes": [1, 3, 2, 1, 2]}


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


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("body", BODIES)
def test_large_bodies(listener, body):
    run_crowd(listener, BODY_CROWD, BODIES[body](PATHS[listener]))


@pytest.mark.parametrize("body", BODIES)
def test_large_bodies_without_a_route(body):
    run_crowd("front", BODY_CROWD, BODIES[body]("/none/a"))


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("sizes", TINY_CHUNKS)
def test_tiny_chunks(listener, sizes):
    body = chunked(PATHS[listener], TINY_CHUNKS[sizes], TINY_CHUNK_BODY_BYTES)
    run_crowd(listener, TINY_CHUNK_CROWD, body)


@pytest.mark.parametrize("body", ["in pieces, short of its end", "in chunks, without end"])
def test_large_bodies_at_the_health_check(body):
    run_crowd("ready", BODY_CROWD, BODIES[body](PATHS["ready"]))


@pytest.mark.parametrize("listener", (*LISTENERS, "ready"))
def test_heads_that_never_end(listener):
    def pieces(identity):
        yield head("GET", PATHS[listener], identity, "X-Filler: " + "x" * HEAD_BYTES)[:-4]

    run_crowd(listener, HEAD_CROWD, pieces, Limits(max_fds=MANY_FDS))


@pytest.mark.parametrize("listener", (*LISTENERS, "ready"))
def test_more_connections_than_descriptors(listener):
    def pieces(identity):
        yield b"GET "

    run_crowd(listener, CONNECTION_CROWD, pieces, Limits(max_fds=FEW_FDS))


@pytest.mark.parametrize("listener", LISTENERS)
def test_answers_that_nobody_reads(listener):
    path = {"front": "/slow/long", "control": "/api/Config.Get"}[listener]

    def pieces(identity):
        yield head("GET", path, identity)

    run_crowd(listener, READER_CROWD, pieces)


@pytest.mark.parametrize("listener", (*LISTENERS, "ready"))
def test_pipelines_whose_answers_nobody_reads(listener):
    path = {"front": "/quick/a", "control": "/api/Config.Get", "ready": "/api/readyz"}[listener]

    def pieces(identity):
        yield head("GET", path, identity)
        batch = head("GET", path, new_request_id()) * 500
        for _ in range(MEBIBYTE // len(batch)):
            yield batch

    run_crowd(listener, READER_CROWD, pieces)


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


CALM_BODIES = {
    "whole": lambda path: with_length(path, MAX_BODY_BYTES, MAX_BODY_BYTES),
    "in small pieces": lambda path: with_length(path, MAX_BODY_BYTES, MAX_BODY_BYTES, 1400),
    "in chunks": lambda path: chunked(path, [16 * 1024], MAX_BODY_BYTES, ends=True),
    "in chunks of one byte": lambda path: chunked(path, [1], MAX_BODY_BYTES // 4, ends=True),
}


@pytest.mark.parametrize("body", CALM_BODIES)
def test_single_request_inside_the_limits_is_served_in_calm(body):
    async def scenario(deployment):
        crowd = Crowd(1)
        await crowd.send(deployment.addresses["front"], CALM_BODIES[body]("/quick/a"))
        client = crowd.clients[0]
        line = await client.reader.readline()
        await crowd.close()
        assert line.startswith(b"HTTP/1.1 200"), line
        deployment.check_limits("front")

    run_with_deployment(scenario)
