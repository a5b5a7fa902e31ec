"""Codec of the simulator's line protocol; only this module knows its names, units and field order.

A batch is `round <clock>`, one line per event, and `eob`; `roster_change` is followed by the number of
`backend` lines that it states.  The replies to a batch end with `done` (written by `host.serve`).  Fields are
separated by single spaces; `-` stands for an absent value where the tables below define one.

Invariant: all input is validated here (`MalformedLine`), so that the host gets values of the right types and
within their ranges.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, BinaryIO, Final, NamedTuple, TypeAlias, TypeVar

from ..interface import EndpointState, Result
from ..settings.platform import choice_reader, read_milliseconds, read_number
from .errors import MalformedLine

Value = TypeVar("Value")
Absent = TypeVar("Absent")
Reader: TypeAlias = Callable[[str], Any]
"""Parses one field; raises `ValueError` or `OverflowError`."""

RESULTS: Final = {
    "success": Result.SUCCEEDED,
    "failure": Result.ERRORED,
    "overloaded": Result.REJECTED,
    "timed_out": Result.TIMED_OUT,
    "unreachable": Result.UNREACHABLE,
    "broken": Result.BROKEN,
    "withdrawn": Result.CANCELLED,
    "void": Result.VOID,
}
STATES: Final = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
LIST_KINDS: Final = ("patch", "whole", "stale_copy", "broken")
RETRY_FLAG: Final = 2  # bit in the flags of `accept`: the client marked the request as a retry
MAX_UNSIGNED: Final = (1 << 64) - 1
MICROSECONDS_PER_MS: Final = 1000
MAX_QUOTED_CHARACTERS: Final = 40  # maximum length of a quotation in an error


def unsigned(text: str) -> int:
    """Parse an unsigned 64-bit integer; raises `ValueError`."""
    value = int(text)
    if not 0 <= value <= MAX_UNSIGNED:
        raise ValueError(f"not an unsigned 64-bit integer: {text!r}")
    return value


def flag(text: str) -> bool:
    """Parse 0 or 1; raises `ValueError`."""
    if text not in ("0", "1"):
        raise ValueError(f"neither 0 nor 1: {text!r}")
    return text == "1"


def _payload(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""  # an undecodable peer message is ignored


def _pairs(text: str) -> dict[str, str]:
    """Parse settings: path=value pairs, separated by spaces."""
    return {path: value for path, _, value in (part.partition("=") for part in text.split(" ") if part)}


def _load_report(text: str) -> list[float | None]:
    return [None if part == "-" else read_number(part) for part in text.split(",")]


def _optional(read: Callable[[str], Value], absent: Absent) -> Callable[[str], Value | Absent]:
    """A reader that returns `absent` for "-"."""
    return lambda text: absent if text == "-" else read(text)


_read_result = choice_reader(RESULTS, "outcome")
EVENTS: Final[Mapping[str, Sequence[Reader]]] = {
    "init": (unsigned, _pairs),  # seed, settings
    "roster_change": (  # version, kind of list, number of `backend` lines
        _optional(unsigned, 0),
        choice_reader({name: name for name in LIST_KINDS}, "kind of list"),
        _optional(unsigned, 0),
    ),
    "accept": (
        unsigned,  # invocation
        str,  # operation
        str,  # plan
        str,  # customer
        read_milliseconds,  # deadline
        _optional(read_number, 1.0),  # units
        _optional(unsigned, 0),  # spread
        _optional(unsigned, 0),  # first gateway
        _optional(unsigned, 0),  # flags
    ),
    "returned": (
        unsigned,  # invocation
        unsigned,  # delivery
        _optional(unsigned, None),  # backend
        _read_result,
        _optional(read_milliseconds, 0),  # duration
        _optional(flag, False),  # whether it gave the client its final answer
        _optional(unsigned, 0),  # usage in percent plus 1; 0: not stated
        _optional(unsigned, 0),  # actual units
        _optional(_load_report, None),
    ),
    "reminder": (unsigned,),  # timer handle
    "destroy": (),
    "peer": (_optional(unsigned, 0), _optional(_payload, b"")),  # sender, message
    "probe_result": (unsigned, _read_result, _optional(read_milliseconds, 0), _optional(_load_report, None)),
    "counter_reply": (  # name, duration, result, total
        unsigned,
        _optional(read_milliseconds, 0),
        _read_result,
        _optional(read_number, 0.0),
    ),
    "withdrawn": (unsigned,),  # invocation
    "streaming": (unsigned, _optional(unsigned, None), _optional(read_milliseconds, 0), unsigned),
}
"""By message: the readers of the fields after the instance name, in order."""

ENDPOINT_FIELDS: Final[Sequence[Reader]] = (
    unsigned,  # id
    str,  # zone
    str,  # kind
    _optional(unsigned, 0),  # group
    choice_reader(STATES, "state"),
    _optional(read_number, 1.0),  # weight
    _optional(read_milliseconds, 0),  # start time
)
"""The readers of a `backend` line, in the order of `hosting.EndpointRow`."""

TEXT_LAST: Final = ("init",)  # messages whose last field may contain spaces


class Event(NamedTuple):
    """One event of a batch.  `values`: see `EVENTS`; `endpoints`: rows of `roster_change`, else empty."""

    message: str
    instance: str
    values: list[Any]
    endpoints: list[Any]


def batches(stream: BinaryIO) -> Iterator[tuple[int, list[Event]]]:
    """Yield (clock in microseconds, events) per batch until the stream ends; raises `MalformedLine`."""
    while (line := _read_line(stream)) is not None:
        if not line.startswith("round "):
            raise MalformedLine(f"expected 'round', got {line[:MAX_QUOTED_CHARACTERS]!r}")
        clock: int = _read_fields(line, (read_milliseconds,), 1)[0]
        yield clock, _read_events(stream)


def _read_line(stream: BinaryIO) -> str | None:
    """Read a line without its terminator; None at the end of the stream."""
    raw = stream.readline()
    if not raw:
        return None
    if not raw.endswith(b"\n"):
        raise MalformedLine("stream ends within a line")
    try:
        return raw.decode().rstrip("\r\n")
    except UnicodeDecodeError:
        raise MalformedLine("line is not valid UTF-8") from None


def _read_events(stream: BinaryIO) -> list[Event]:
    """Read the events of a batch, up to `eob`."""
    events: list[Event] = []
    while (line := _read_line(stream)) != "eob":
        if line is None:
            raise MalformedLine("stream ends within a batch")
        events.append(_read_event(line, stream))
    return events


def _read_event(line: str, stream: BinaryIO) -> Event:
    message, _, rest = line.partition(" ")
    if message not in EVENTS:
        raise MalformedLine(f"unknown message {message[:MAX_QUOTED_CHARACTERS]!r}")
    instance = rest.partition(" ")[0]
    if not instance:
        raise MalformedLine(f"{message!r} has no instance name")
    values = _read_fields(line, EVENTS[message], 2, message in TEXT_LAST)
    endpoints: list[Any] = []
    if message == "roster_change":
        endpoints = [_read_endpoint(stream) for _ in range(values[2])]
    return Event(message, instance, values, endpoints)


def _read_endpoint(stream: BinaryIO) -> list[Any]:
    line = _read_line(stream)
    if line is None or not line.startswith("backend "):
        raise MalformedLine("'roster_change' has fewer 'backend' lines than it states")
    return _read_fields(line, ENDPOINT_FIELDS, 1)


def _read_fields(line: str, readers: Sequence[Reader], start: int, text_last: bool = False) -> list[Any]:
    """Parse the fields of a line from position `start` on; `text_last`: the last may contain spaces."""
    parts = line.split(" ", start + len(readers) - 1) if text_last else line.split(" ")
    if len(parts) != start + len(readers):
        raise MalformedLine(f"{parts[0]!r} takes {start + len(readers) - 1} values, got {len(parts) - 1}")
    try:
        return [read(part) for read, part in zip(readers, parts[start:], strict=True)]
    except (ValueError, OverflowError) as error:
        raise MalformedLine(f"{parts[0]!r}: {error}") from None


# Lines to the simulator, one function per effect; arguments are in microseconds.


def _milliseconds(microseconds: int) -> str:
    return f"{microseconds / MICROSECONDS_PER_MS:.3f}"


def deliver(instance: str, invocation: int, backend: int, deadline: int) -> str:
    """Start a delivery."""
    return f"pass_on {instance} {invocation} {backend} {_milliseconds(deadline)}"


def cancel(instance: str, invocation: int, delivery: int) -> str:
    """Stop waiting for a delivery, identified by its index in the invocation."""
    return f"recall {instance} {invocation} {delivery}"


def throttle(instance: str, invocation: int, retry_after: int) -> str:
    """Final answer: rejected; `retry_after` 0: not stated."""
    return f"deny {instance} {invocation} {_milliseconds(retry_after) if retry_after > 0 else '-'}"


def fail(instance: str, invocation: int) -> str:
    """Final answer: error."""
    return f"lose {instance} {invocation}"


def arm_timer(instance: str, handle: int, delay: int) -> str:
    """Request a `reminder` after a delay."""
    return f"arm {instance} {handle} {_milliseconds(delay)}"


def count(instance: str, name: int | str, amount: float, lifetime: int) -> str:
    """Add to a counter at the counter service."""
    return f"incr {instance} {round(amount, 6):.10g} {_milliseconds(lifetime)} {name}"


def probe(instance: str, backend: int) -> str:
    """Request a load report from a backend."""
    return f"sound_out {instance} {backend}"


def subscribe(instance: str) -> str:
    """Subscribe to changes at discovery."""
    return f"listen {instance} 1"


def log(instance: str, text: str) -> str:
    """Log a line for operators."""
    return f"trace {instance} {text}"


def fault(instance: str, text: str) -> str:
    """Report an internal error of the adapter."""
    return f"bug {instance} {' '.join(text.split())}"
