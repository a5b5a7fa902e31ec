"""Decodes the chunked transfer coding (RFC 9112, section 7.1), with little work for each chunk.

A piece of input becomes one piece of output, however many chunks it holds.  Runs of chunks of one size are
taken together.
"""

from __future__ import annotations

import enum
import re

LINE_END = b"\r\n"
MAX_RUN_SIZE = 32  # bytes; larger chunks are taken one by one
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")


class ChunkedFramingError(Exception):
    """The input is not a chunked body."""


class _State(enum.Enum):
    SIZE_LINE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILERS = enum.auto()
    ENDED = enum.auto()


class ChunkedDecoder:
    """The decoder of one body.  `max_line_bytes` bounds a size line, and all trailers together.

    `chunks` counts the chunks of the last `feed`.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._input = bytearray()
        self._position = 0
        self._state = _State.SIZE_LINE
        self._remaining = 0  # bytes of the current chunk
        self._trailer_bytes = 0
        self.chunks = 0

    @property
    def ended(self) -> bool:
        """Whether the last chunk and the trailers have been read."""
        return self._state is _State.ENDED

    @property
    def trailing_data(self) -> bytes:
        """The input that follows the body."""
        return bytes(self._input)

    def feed(self, data: bytes) -> bytes:
        """Returns the body's bytes in `data`; raises ChunkedFramingError."""
        self._input += data
        self._position = 0
        self.chunks = 0
        output = bytearray()
        while self._step(output):
            pass
        del self._input[: self._position]
        return bytes(output)

    def _step(self, output: bytearray) -> bool:
        """Makes one step; False if it needs more input."""
        match self._state:
            case _State.SIZE_LINE:
                return self._read_size_line(output)
            case _State.DATA:
                return self._read_data(output)
            case _State.DATA_END:
                return self._read_data_end()
            case _State.TRAILERS:
                return self._read_trailer()
            case _State.ENDED:
                return False

    def _read_line(self) -> bytes | None:
        """The next line without its end; None if it is not complete yet."""
        end = self._input.find(LINE_END, self._position)
        if end < 0:
            if len(self._input) - self._position > self._max_line_bytes:
                raise ChunkedFramingError("a line of the chunked coding is too long")
            return None
        line = bytes(self._input[self._position : end])
        if len(line) > self._max_line_bytes:
            raise ChunkedFramingError("a line of the chunked coding is too long")
        self._position = end + len(LINE_END)
        return line

    def _read_size_line(self, output: bytearray) -> bool:
        start = self._position
        line = self._read_line()
        if line is None:
            return False
        matched = _SIZE_LINE.fullmatch(line)
        if matched is None:
            raise ChunkedFramingError("not the size of a chunk")
        size = int(matched[1], 16)
        self.chunks += 1
        if size == 0:
            self._state = _State.TRAILERS
        elif size > MAX_RUN_SIZE or not self._read_run(start, size, output):
            self._remaining = size
            self._state = _State.DATA
        return True

    def _read_run(self, start: int, size: int, output: bytearray) -> bool:
        """Reads the complete chunks from `start` on that have the same size line; False if there is none.

        The input is looked at by columns: in a run, each column of the framing holds one value.
        """
        header_bytes = self._position - start
        stride = header_bytes + size + len(LINE_END)
        rows = (len(self._input) - start) // stride
        framing = [*range(header_bytes), stride - 2, stride - 1]
        expected = bytes(self._input[start : self._position]) + LINE_END
        for column, value in zip(framing, expected, strict=True):
            if not rows:
                return False
            values = self._input[start + column : start + rows * stride : stride]
            rows -= len(values.lstrip(bytes((value,))))
        if not rows:
            return False
        data = bytearray(rows * size)
        for column in range(size):
            first = start + header_bytes + column
            data[column::size] = self._input[first : start + rows * stride : stride]
        output += data
        self.chunks += rows - 1
        self._position = start + rows * stride
        return True

    def _read_data(self, output: bytearray) -> bool:
        data = self._input[self._position : self._position + self._remaining]
        output += data
        self._position += len(data)
        self._remaining -= len(data)
        if self._remaining:
            return False
        self._state = _State.DATA_END
        return True

    def _read_data_end(self) -> bool:
        end = self._input[self._position : self._position + len(LINE_END)]
        if not LINE_END.startswith(end):
            raise ChunkedFramingError("a chunk is longer than its size")
        if len(end) < len(LINE_END):
            return False
        self._position += len(LINE_END)
        self._state = _State.SIZE_LINE
        return True

    def _read_trailer(self) -> bool:
        line = self._read_line()
        if line is None:
            return False
        self._trailer_bytes += len(line) + len(LINE_END)
        if self._trailer_bytes > self._max_line_bytes:
            raise ChunkedFramingError("the trailers are too large")
        if not line:
            self._state = _State.ENDED
        return True
