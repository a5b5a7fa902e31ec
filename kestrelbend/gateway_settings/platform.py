"""The platform's words: its JSON and the simulator's wire state the same model under other names.

Both give the settings as one object, on the wire as path=value pairs, in a configuration as nested JSON.  Its
names, its milliseconds and its forms of numbers end here; what it names that is not known here is passed
over.
"""

from __future__ import annotations

import math

from .model import Terms
from .toml_files import convert, dotted
from .units import Microseconds, Fraction

EFFECTS = {"idempotent": "idempotent", "deduplicated": "tokened", "at_most_once": "non-idempotent"}
SCOPES = {"all": "all", "zone": "zone", "cell": "group"}
LOADS = {
    "pending": "queued",
    "busy_reqs": "held",
    "cpu_share": "busy",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errored_per_s",
    # as backends write them on sockets
    "queue": "queued",
    "inflight": "held",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errored_per_s",
}


class Malformed(Exception):
    """What the other side sent is not in its form."""


def one_of(table, what):
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


def micros(text):
    return round(number(text) * 1000)


def span(text):
    return Microseconds(micros(text))


def share(text):
    return Fraction(number(text))


def yes(text):
    if text not in ("true", "false", "1", "0"):
        raise ValueError(f"neither true nor false: {text!r}")
    return text in ("true", "1")


def loads(text):
    return [LOADS.get(name, name) for name in text.split(",")]


def how(text):
    return text if text in ("probe", "answers") else "none"


def asked(text):
    return "asked" if text == "subscribe" else "pushed"


NAMES = {
    ("fleet", "gateways"): ("instances", int),
    ("fleet", "number"): ("index", int),
    ("fleet", "zone"): ("myZone", str),
    ("fleet", "discovery"): ("discovery", asked),
    ("fleet", "ask_within"): ("rules.askWithin", span),
    ("fleet", "tick"): ("tick", span),
    ("fleet", "answer_slack"): ("rules.answerSlack", span),
    ("backends", "reports"): ("feedback.how", how),
    ("backends", "report_fields"): ("feedback.fields", loads),
    ("backends", "probing"): ("policyLimits.probing", yes),
    ("backends", "cancelling"): ("policyLimits.cancelling", yes),
    ("backends", "second_copies"): ("policyLimits.mayDuplicate", yes),
    ("backends", "most_deliveries"): ("policyLimits.tryLimit", int),
    ("backends", "most_open"): ("policyLimits.maxOpen", int),
    ("backends", "idle_close"): ("policyLimits.idleClose", span),
    ("backends", "connect_timeout"): ("policyLimits.connectTimeout", span),
    ("backends", "cold"): ("rules.cold", span),
    ("backends", "cold_from"): ("rules.coldFrom", share),
    ("backends", "drain_grace"): ("rules.drainGrace", span),
    ("backends", "fall"): ("rules.fall", span),
    ("backends", "fall_multiple"): ("rules.fallMultiple", number),
    ("counter", "allowed"): ("familyInfo.mayCount", yes),
    ("counter", "timeout"): ("familyInfo.countWait", span),
    ("use", "most_units"): ("familyInfo.mostUnits", number),
    ("use", "metering"): ("familyInfo.metering", span),
    ("use", "longest_retry_after"): ("policyLimits.maxRetryAfter", span),
    ("use", "retry_after"): ("policyLimits.retryAfter", yes),
}
ROWS = {
    "operations": (
        "classes",
        {
            "name": ("name", str),
            "effect": ("effect", one_of(EFFECTS, "effect")),
            "scope": ("keyScope", one_of(SCOPES, "scope")),
            "memory": ("keyTtl", span),
            "objective": ("objective", span),
            "timeout": ("deadline", span),
            "late_worth": ("lateWorth", share),
            "streamed": ("streaming", yes),
            "worth": ("worth", number),
        },
    ),
    "plans": (
        "contracts",
        {
            "name": ("name", str),
            "rate": ("refill", number),
            "burst": ("storeSize", number),
            "most_out": ("concurrency", int),
            "price": ("valueFactor", number),
            "over_worth": ("overWorth", number),
            "over_cost": ("excessCost", number),
            "ceiling_rate": ("ceilingRate", number),
            "ceiling_burst": ("capDepth", number),
            "ceiling_slack": ("hardSlack", number),
        },
    ),
}


def flatten(value, path=""):
    """Nested JSON as the same path=value pairs that the wire has."""
    if isinstance(value, dict):
        rows = value.items()
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        yield f"{path}.count", str(len(value))
        rows = enumerate(value)
    else:
        if value is None or isinstance(value, bool):
            value = {None: "-", True: "true", False: "false"}[value]
        yield path, ",".join(map(str, value)) if isinstance(value, list) else str(value)
        return
    for name, part in rows:
        yield from flatten(part, f"{path}.{name}" if path else str(name))


def stated(pairs):
    """(what the pairs state, in the model's words; by its path in the model, the platform's)."""
    made, paths = {}, {}

    def put(place, path, read, into):
        text = pairs.get(path, "-")
        paths[place] = path
        if text not in ("-", ""):
            try:
                into[place[-1]] = read(text)
            except (ValueError, OverflowError) as trouble:
                raise Malformed(f"settings: {path}: {trouble}") from None

    for place, (path, read) in NAMES.items():
        put(place, path, read, made.setdefault(place[0], {}))
    for place, (path, columns) in ROWS.items():
        count = {}
        put((place, "count"), f"{path}.count", int, count)
        made[place] = [{"name": ""} for _ in range(count.get("count", 0))]
        for at, row in enumerate(made[place]):
            for name, (column, read) in columns.items():
                put((place, at, name), f"{path}.{at}.{column}", read, row)
    return made, paths


def terms(pairs):
    made, paths = stated(pairs)
    model, faults = convert(Terms, made, together=False)  # what the platform states, it answers for
    if faults:
        first = faults[0]
        raise Malformed(f"settings: {paths.get(first.path, dotted(first.path))}: {first.text}")
    return model


def settings(pairs):
    """The map of names to values that the module gets."""
    return terms(pairs).settings()
