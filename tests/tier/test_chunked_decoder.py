"""The chunked coding: any split of the input gives the same body, and what is no chunked body is refused."""

import random

import pytest

from kestrelbend.tier.http_server.chunked_decoder import ChunkedDecoder, ChunkedFramingError

MAX_LINE_BYTES = 100


def encode(chunks):
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"


def decode(data, piece_bytes):
    decoder = ChunkedDecoder(MAX_LINE_BYTES)
    pieces = [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]
    return b"".join(decoder.feed(piece) for piece in pieces), decoder


@pytest.mark.parametrize("seed", range(40))
def test_body_is_the_same_however_it_is_chunked_and_split(seed):
    rng = random.Random(seed)
    sizes = rng.choice([[1], [1, 2, 3], [16, 17], [31, 32, 33], [200], [1, 1, 1, 1, 500]])
    chunks = [rng.randbytes(rng.choice(sizes)) for _ in range(60)]
    body, decoder = decode(encode(chunks) + b"GET /next", rng.choice([1, 2, 5, 7, 64, 4096]))
    assert body == b"".join(chunks)
    assert decoder.ended
    assert decoder.trailing_data == b"GET /next"


def test_chunk_whose_bytes_look_like_framing_is_data():
    chunks = [b"\r", b"\n", b"1", b"\r", b"0"]
    assert decode(encode(chunks), 4096)[0] == b"\r\n1\r0"


def test_extensions_and_trailers_are_ignored():
    body, decoder = decode(b"3;a=b\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n", 4096)
    assert (body, decoder.ended) == (b"abc", True)


@pytest.mark.parametrize(
    "data",
    [
        b"g\r\n",
        b"-1\r\na\r\n",
        b"\r\n",
        b"1\r\nab\r\n",
        b"1\na\n",
        b"0" * 17 + b"\r\n",
        b"1;" + b"x" * MAX_LINE_BYTES,
        b"1\r\na\r\n2\r\nabc\r\n",
        b"0\r\n" + b"a: b\r\n" * 50,
    ],
)
def test_what_is_no_chunked_body_is_refused(data):
    with pytest.raises(ChunkedFramingError):
        decode(data + b"\r\n" * 4, 4096)
