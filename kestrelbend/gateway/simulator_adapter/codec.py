"""The simulator's lines to values and back; the wire's names, milliseconds and numbers are known only here.

A batch is `round <clock>`, one line for each event, and `eob`; `roster_change` is followed by as many
`backend` lines as it says.  The replies to a batch end with `done` (written by `host.serve`).  Fields are
separated by single spaces; `-` stands for an absent value where the tables below give one.

Invariant: all that is read is checked here (`MalformedLine`), so that the host gets values of the right types
within their ranges.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, BinaryIO, Final, NamedTuple, TypeAlias, TypeVar

from ..interface import EndpointState, Result
from ..settings.platform import micros, number, one_of
from .errors import MalformedLine

Value = TypeVar("Value")
Absent = TypeVar("Absent")
Reader: TypeAlias = Callable[[str], Any]
"""Reads one field; raises `ValueError` or `OverflowError`."""

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
RETRY_FLAG: Final = 2  # in the flags of `accept`: the client marked it as a retry
MAX_UNSIGNED: Final = (1 << 64) - 1
MICROSECONDS_OF_MS: Final = 1000
QUOTED_CHARACTERS: Final = 40  # of a line that an error quotes


def unsigned(text: str) -> int:
    """An integer of 64 bits without sign; raises `ValueError`."""
    value = int(text)
    if not 0 <= value <= MAX_UNSIGNED:
        raise ValueError(f"out of range: {text!r}")
    return value


def flag(text: str) -> bool:
    """0 or 1; raises `ValueError`."""
    if text not in ("0", "1"):
        raise ValueError(f"neither 0 nor 1: {text!r}")
    return text == "1"


def _payload(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""  # an unreadable peer message is harmless


def _pairs(text: str) -> dict[str, str]:
    """The settings: path=value, separated by spaces."""
    return {path: value for path, _, value in (part.partition("=") for part in text.split(" ") if part)}


def _load_report(text: str) -> list[float | None]:
    return [None if part == "-" else number(part) for part in text.split(",")]


def _optional(read: Callable[[str], Value], absent: Absent) -> Callable[[str], Value | Absent]:
    """A reader that gives `absent` for "-"."""
    return lambda text: absent if text == "-" else read(text)


_read_result = one_of(RESULTS, "outcome")
EVENTS: Final[Mapping[str, Sequence[Reader]]] = {
    "init": (unsigned, _pairs),  # seed, settings
    "roster_change": (  # version, kind of list, number of entries
        _optional(unsigned, 0),
        one_of({name: name for name in LIST_KINDS}, "kind of list"),
        _optional(unsigned, 0),
    ),
    "accept": (
        unsigned,  # invocation
        str,  # operation
        str,  # plan
        str,  # customer
        micros,  # until
        _optional(number, 1.0),  # units
        _optional(unsigned, 0),  # spread
        _optional(unsigned, 0),  # first gateway
        _optional(unsigned, 0),  # flags
    ),
    "returned": (
        unsigned,  # invocation
        unsigned,  # delivery
        _optional(unsigned, None),  # backend
        _read_result,
        _optional(micros, 0),  # took
        _optional(flag, False),  # whether the client has its answer by it
        _optional(unsigned, 0),  # used: 1 more than the percent, 0: not told
        _optional(unsigned, 0),  # actual units
        _optional(_load_report, None),
    ),
    "reminder": (unsigned,),  # handle
    "destroy": (),
    "peer": (_optional(unsigned, 0), _optional(_payload, b"")),  # sender, message
    "probe_result": (unsigned, _read_result, _optional(micros, 0), _optional(_load_report, None)),
    "counter_reply": (  # name, took, result, total
        unsigned,
        _optional(micros, 0),
        _read_result,
        _optional(number, 0.0),
    ),
    "withdrawn": (unsigned,),  # invocation
    "streaming": (unsigned, _optional(unsigned, None), _optional(micros, 0), unsigned),
}
"""By message: the readers of its fields after the instance's name, in their order."""

ENDPOINT_FIELDS: Final[Sequence[Reader]] = (
    unsigned,  # id
    str,  # zone
    str,  # kind
    _optional(unsigned, 0),  # group
    one_of(STATES, "state"),
    _optional(number, 1.0),  # weight
    _optional(micros, 0),  # start
)
"""The readers of a `backend` line, in the order of `hosting.EndpointRow`."""

TEXT_LAST: Final = ("init",)  # messages whose last field has spaces


class Event(NamedTuple):
    """One event of a batch.  `values` as `EVENTS` says; `endpoints`: rows of `roster_change`, else empty."""

    message: str
    instance: str
    values: list[Any]
    endpoints: list[Any]


def batches(stream: BinaryIO) -> Iterator[tuple[int, list[Event]]]:
    """Yield (clock in microseconds, events) until the stream ends; raises `MalformedLine`."""
    while (line := _read_line(stream)) is not None:
        if not line.startswith("round "):
            raise MalformedLine(f"expected 'round', got {line[:QUOTED_CHARACTERS]!r}")
        clock: int = _read_fields(line, (micros,), 1)[0]
        yield clock, _read_events(stream)


def _read_line(stream: BinaryIO) -> str | None:
    """The next line without its end; None at the end of the stream."""
    raw = stream.readline()
    if not raw:
        return None
    if not raw.endswith(b"\n"):
        raise MalformedLine("the stream ends within a line")
    try:
        return raw.decode().rstrip("\r\n")
    except UnicodeDecodeError:
        raise MalformedLine("a line is not UTF-8") from None


def _read_events(stream: BinaryIO) -> list[Event]:
    """The events up to the end of the batch."""
    events: list[Event] = []
    while (line := _read_line(stream)) != "eob":
        if line is None:
            raise MalformedLine("the stream ends within a batch")
        events.append(_read_event(line, stream))
    return events


def _read_event(line: str, stream: BinaryIO) -> Event:
    message, _, rest = line.partition(" ")
    if message not in EVENTS:
        raise MalformedLine(f"unknown message {message[:QUOTED_CHARACTERS]!r}")
    instance = rest.partition(" ")[0]
    if not instance:
        raise MalformedLine(f"{message!r} names no instance")
    values = _read_fields(line, EVENTS[message], 2, message in TEXT_LAST)
    endpoints: list[Any] = []
    if message == "roster_change":
        endpoints = [_read_endpoint(stream) for _ in range(values[2])]
    return Event(message, instance, values, endpoints)


def _read_endpoint(stream: BinaryIO) -> list[Any]:
    line = _read_line(stream)
    if line is None or not line.startswith("backend "):
        raise MalformedLine("'roster_change' has fewer entries than it says")
    return _read_fields(line, ENDPOINT_FIELDS, 1)


def _read_fields(line: str, readers: Sequence[Reader], start: int, text_last: bool = False) -> list[Any]:
    """The fields of a line from the position `start` on; `text_last`: the last one may have spaces."""
    parts = line.split(" ", start + len(readers) - 1) if text_last else line.split(" ")
    if len(parts) != start + len(readers):
        raise MalformedLine(f"{parts[0]!r} takes {start + len(readers) - 1} values, got {len(parts) - 1}")
    try:
        return [read(part) for read, part in zip(readers, parts[start:], strict=True)]
    except (ValueError, OverflowError) as error:
        raise MalformedLine(f"{parts[0]!r}: {error}") from None


# Lines to the simulator, one function for each effect; times are microseconds.


def _milliseconds(microseconds: int) -> str:
    return f"{microseconds / MICROSECONDS_OF_MS:.3f}"


def deliver(instance: str, invocation: int, backend: int, until: int) -> str:
    """Start a delivery."""
    return f"pass_on {instance} {invocation} {backend} {_milliseconds(until)}"


def cancel(instance: str, invocation: int, delivery: int) -> str:
    """Stop waiting for a delivery, by its number among its invocation's."""
    return f"recall {instance} {invocation} {delivery}"


def throttle(instance: str, invocation: int, retry_after: int) -> str:
    """The final answer: rejected; `retry_after` 0: no advice."""
    return f"deny {instance} {invocation} {_milliseconds(retry_after) if retry_after > 0 else '-'}"


def fail(instance: str, invocation: int) -> str:
    """The final answer: errored."""
    return f"lose {instance} {invocation}"


def arm_timer(instance: str, handle: int, after: int) -> str:
    """Ask for a `reminder` after so long."""
    return f"arm {instance} {handle} {_milliseconds(after)}"


def count(instance: str, name: int | str, amount: float, lifetime: int) -> str:
    """Add to a name of the counter service."""
    return f"incr {instance} {round(amount, 6):.10g} {_milliseconds(lifetime)} {name}"


def probe(instance: str, backend: int) -> str:
    """Ask a backend for its load."""
    return f"sound_out {instance} {backend}"


def subscribe(instance: str) -> str:
    """Ask discovery for its changes."""
    return f"listen {instance} 1"


def log(instance: str, text: str) -> str:
    """A line for staff."""
    return f"trace {instance} {text}"


def fault(instance: str, text: str) -> str:
    """A fault of the program."""
    return f"bug {instance} {' '.join(text.split())}"
