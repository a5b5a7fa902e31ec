"""Wire lines to values and back.  The wire's names, milliseconds and number formats are known only here."""

from __future__ import annotations

import base64

from ..interface import Result, State
from ..settings.platform import Malformed, micros, number, one_of

RESULTS = {
    "success": Result.SUCCEEDED,
    "failure": Result.ERRORED,
    "overloaded": Result.REJECTED,
    "timed_out": Result.TIMED_OUT,
    "unreachable": Result.UNREACHABLE,
    "broken": Result.BROKEN,
    "withdrawn": Result.CANCELLED,
    "void": Result.VOID,
}
STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}
LISTS = ("patch", "whole", "stale_copy", "broken")
RETRY_FLAG = 2


def whole(text):
    value = int(text)
    if not 0 <= value < 1 << 64:
        raise ValueError(f"out of range: {text!r}")
    return value


def flag(text):
    if text not in ("0", "1"):
        raise ValueError(f"neither 0 nor 1: {text!r}")
    return text == "1"


def _payload(text):
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""  # an unreadable peer message is harmless


def _pairs(text):
    return dict(part.partition("=")[::2] for part in text.split(" ") if part)


def _row(text):
    return [None if part == "-" else number(part) for part in text.split(",")]


def _or(read, absent):
    return lambda text: absent if text == "-" else read(text)


result = one_of(RESULTS, "outcome")
EVENTS = {
    "init": (whole, _pairs),
    "roster_change": (_or(whole, 0), one_of({name: name for name in LISTS}, "kind of list"), _or(whole, 0)),
    "accept": (whole, str, str, str, micros, _or(number, 1.0), _or(whole, 0), _or(whole, 0), _or(whole, 0)),
    "returned": (
        whole,
        whole,
        _or(whole, None),
        result,
        _or(micros, 0),
        _or(flag, False),
        _or(whole, 0),
        _or(whole, 0),
        _or(_row, None),
    ),
    "reminder": (whole,),
    "destroy": (),
    "peer": (_or(whole, 0), _or(_payload, b"")),
    "probe_result": (whole, result, _or(micros, 0), _or(_row, None)),
    "counter_reply": (whole, _or(micros, 0), result, _or(number, 0.0)),
    "withdrawn": (whole,),
    "streaming": (whole, _or(whole, None), _or(micros, 0), whole),
}
ENTRY = (whole, str, str, _or(whole, 0), one_of(STATES, "state"), _or(number, 1.0), _or(micros, 0))
TEXT_LAST = ("init",)


def _fields(line, readers, start, text_last=False):
    parts = line.split(" ", start + len(readers) - 1) if text_last else line.split(" ")
    if len(parts) != start + len(readers):
        raise Malformed(f"{parts[0]!r} takes {start + len(readers) - 1} values, got {len(parts) - 1}")
    try:
        return [read(part) for read, part in zip(readers, parts[start:], strict=True)]
    except (ValueError, OverflowError) as trouble:
        raise Malformed(f"{parts[0]!r}: {trouble}") from None


def batches(stream):
    """Yield (clock, events); an event is (message, instance, values, entries)."""

    def read():
        raw = stream.readline()
        if not raw:
            return None
        if not raw.endswith(b"\n"):
            raise Malformed("the stream ends within a line")
        try:
            return raw.decode().rstrip("\r\n")
        except UnicodeDecodeError:
            raise Malformed("a line is not UTF-8") from None

    while (line := read()) is not None:
        if not line.startswith("round "):
            raise Malformed(f"expected 'round', got {line[:40]!r}")
        clock = _fields(line, (micros,), 1)[0]
        events = []
        while True:
            line = read()
            if line is None:
                raise Malformed("the stream ends within a batch")
            if line == "eob":
                break
            message, _, rest = line.partition(" ")
            if message not in EVENTS:
                raise Malformed(f"unknown message {message[:40]!r}")
            instance = rest.partition(" ")[0]
            if not instance:
                raise Malformed(f"{message!r} names no instance")
            values = _fields(line, EVENTS[message], 2, message in TEXT_LAST)
            entries = []
            if message == "roster_change":
                for _ in range(values[2]):
                    entry = read()
                    if entry is None or not entry.startswith("backend "):
                        raise Malformed("'roster_change' has fewer entries than it says")
                    entries.append(_fields(entry, ENTRY, 1))
            events.append((message, instance, values, entries))
        yield clock, events


def _ms(us):
    return f"{us / 1000:.3f}"


def deliver(inst, inv, backend, until):
    return f"pass_on {inst} {inv} {backend} {_ms(until)}"


def cancel(inst, inv, delivery):
    return f"recall {inst} {inv} {delivery}"


def throttle(inst, inv, retry_after):
    return f"deny {inst} {inv} {_ms(retry_after) if retry_after > 0 else '-'}"


def fail(inst, inv):
    return f"lose {inst} {inv}"


def alarm(inst, handle, after):
    return f"arm {inst} {handle} {_ms(after)}"


def count(inst, name, add, life):
    return f"incr {inst} {round(add, 6):.10g} {_ms(life)} {name}"


def probe(inst, backend):
    return f"sound_out {inst} {backend}"


def subscribe(inst):
    return f"listen {inst} 1"


def log(inst, text):
    return f"trace {inst} {text}"


def fault(inst, text):
    return f"bug {inst} {' '.join(text.split())}"
