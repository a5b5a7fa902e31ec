"""Wire lines to values and back.  The wire's names, milliseconds and number formats are known only here."""
from __future__ import annotations

import base64
import math

from ..interface import Effect, Operation, Plan, Result, Scope, State

RESULTS = {"success": Result.SUCCEEDED, "failure": Result.ERRORED, "overloaded": Result.REJECTED,
           "timed_out": Result.TIMED_OUT, "unreachable": Result.UNREACHABLE, "broken": Result.BROKEN,
           "withdrawn": Result.CANCELLED, "void": Result.VOID}
STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}
LISTS = ("patch", "whole", "stale_copy", "broken")
EFFECTS = {"idempotent": Effect.IDEMPOTENT, "deduplicated": Effect.TOKENED,
           "at_most_once": Effect.NON_IDEMPOTENT}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.GROUP}
LOADS = {"pending": "queued", "busy_reqs": "held", "cpu_share": "busy", "svc_ms": "service_ms",
         "served_ps": "served_per_s", "failed_ps": "errored_per_s"}
RETRY_FLAG = 2


class Malformed(Exception):
    """A line that the wire does not allow."""


def _one_of(table, what):
    def read(text):
        try:
            return table[text]
        except KeyError:
            raise ValueError(f"unknown {what} {text!r}") from None
    return read


def number(text):
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"not a finite number: {text!r}")
    return value


def whole(text):
    value = int(text)
    if not 0 <= value < 1 << 64:
        raise ValueError(f"out of range: {text!r}")
    return value


def micros(text):
    return round(number(text) * 1000)


def flag(text):
    if text not in ("0", "1"):
        raise ValueError(f"neither 0 nor 1: {text!r}")
    return text == "1"


def _payload(text):
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""          # an unreadable peer message is harmless


def _row(text):
    return [None if part == "-" else number(part) for part in text.split(",")]


def _or(read, absent):
    return lambda text: absent if text == "-" else read(text)


result = _one_of(RESULTS, "outcome")
EVENTS = {
    "init": (whole, str),
    "roster_change": (_or(whole, 0), _one_of({name: name for name in LISTS}, "kind of list"), _or(whole, 0)),
    "accept": (whole, str, str, str, micros, _or(number, 1.0), _or(whole, 0), _or(whole, 0), _or(whole, 0)),
    "returned": (whole, whole, _or(whole, None), result, _or(micros, 0), _or(flag, False), _or(whole, 0),
                 _or(whole, 0), _or(_row, None)),
    "reminder": (whole,),
    "destroy": (),
    "peer": (_or(whole, 0), _or(_payload, b"")),
    "probe_result": (whole, result, _or(micros, 0), _or(_row, None)),
    "counter_reply": (whole, _or(micros, 0), result, _or(number, 0.0)),
    "withdrawn": (whole,),
    "streaming": (whole, _or(whole, None), _or(micros, 0), whole),
}
ENTRY = (whole, str, str, _or(whole, 0), _one_of(STATES, "state"), _or(number, 1.0), _or(micros, 0))
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


def settings(text):
    """The map of names to values that the module gets, in the project's words."""
    pairs = dict(part.partition("=")[::2] for part in text.split(" ") if part)

    def get(path, read, otherwise):
        try:
            return read(pairs[path]) if pairs.get(path, "-") not in ("-", "") else otherwise
        except (ValueError, OverflowError) as trouble:
            raise Malformed(f"'init': {path}: {trouble}") from None

    def yes(value):
        if value not in ("true", "false", "1", "0"):
            raise ValueError(f"neither true nor false: {value!r}")
        return value in ("true", "1")

    def rows(path, make):
        return [make(f"{path}.{i}.") for i in range(get(f"{path}.count", int, 0))]

    operations = rows("classes", lambda p: Operation(
        name=get(p + "name", str, ""),
        effect=get(p + "effect", _one_of(EFFECTS, "effect"), Effect.NON_IDEMPOTENT),
        scope=get(p + "keyScope", _one_of(SCOPES, "scope"), Scope.GROUP), memory=get(p + "keyTtl", micros, 0),
        objective=max(1, get(p + "objective", micros, 1_000_000)), timeout=get(p + "deadline", micros, 0),
        late_worth=get(p + "lateWorth", number, 0.0), streamed=get(p + "streaming", yes, False)))
    plans = rows("contracts", lambda p: Plan(
        name=get(p + "name", str, ""),
        rate=get(p + "refill", number, 0.0), burst=get(p + "storeSize", number, 0.0),
        most_out=get(p + "concurrency", int, 0), price=get(p + "valueFactor", number, 1.0),
        over_worth=get(p + "overWorth", number, 0.0), over_cost=get(p + "excessCost", number, 0.0),
        ceiling_rate=get(p + "ceilingRate", number, 0.0), ceiling_burst=get(p + "capDepth", number, 0.0),
        ceiling_slack=get(p + "hardSlack", number, 0.0)))
    fields = get("feedback.fields", lambda value: value.split(","), [])
    return {
        "operations": operations, "plans": plans,
        "load_fields": [LOADS.get(name, name) for name in fields],
        "load_reports": get("feedback.how", str, "none"),
        "must_subscribe": get("discovery", str, "automatic") == "subscribe",
        "may_count": get("familyInfo.mayCount", yes, False),
        "counter_timeout": get("familyInfo.countWait", micros, 50_000),
        "meter_period": get("familyInfo.metering", micros, 0),
        "gateways": get("instances", int, 1), "gateway": get("index", int, 0), "zone": get("myZone", str, ""),
        "may_cancel": get("policyLimits.cancelling", yes, False),
        "may_probe": get("policyLimits.probing", yes, False),
        "second_copies": get("policyLimits.mayDuplicate", yes, False),
        "most_deliveries": get("policyLimits.tryLimit", int, 1),
        "longest_retry_after": get("policyLimits.maxRetryAfter", micros, 0),
        "tick": get("tick", micros, 1000), "ask_within": get("rules.askWithin", micros, 10_000_000),
        "answer_slack": get("rules.answerSlack", micros, 0),
        "cold": get("rules.cold", micros, 0), "cold_from": get("rules.coldFrom", number, 1.0),
        "drain_grace": get("rules.drainGrace", micros, 0),
        "fall": get("rules.fall", micros, 0), "fall_multiple": get("rules.fallMultiple", number, 1.0),
    }


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
