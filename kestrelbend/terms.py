"""The settings as operators state them, turned into the plain map that the module picks from.

Both front ends are given the same object: on the simulator's wire as a line of path=value pairs, in a real
gateway's configuration as nested JSON.  Its names, its milliseconds and its number formats end here.
"""
from __future__ import annotations

import math

from .interface import Effect, Operation, Plan, Scope

EFFECTS = {"idempotent": Effect.IDEMPOTENT, "deduplicated": Effect.TOKENED,
           "at_most_once": Effect.NON_IDEMPOTENT}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.GROUP}
LOADS = {"pending": "queued", "busy_reqs": "held", "cpu_share": "busy", "svc_ms": "service_ms",
         "served_ps": "served_per_s", "failed_ps": "errored_per_s",
         # as backends write them on sockets
         "queue": "queued", "inflight": "held", "util": "busy", "latency_ms": "service_ms",
         "qps": "served_per_s", "eps": "errored_per_s"}


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


def settings(pairs):
    """The map of names to values that the module gets, in the project's words."""
    def get(path, read, otherwise):
        try:
            return read(pairs[path]) if pairs.get(path, "-") not in ("-", "") else otherwise
        except (ValueError, OverflowError) as trouble:
            raise Malformed(f"settings: {path}: {trouble}") from None

    def yes(value):
        if value not in ("true", "false", "1", "0"):
            raise ValueError(f"neither true nor false: {value!r}")
        return value in ("true", "1")

    def rows(path, make):
        return [make(f"{path}.{i}.") for i in range(get(f"{path}.count", int, 0))]

    operations = rows("classes", lambda p: Operation(
        name=get(p + "name", str, ""),
        effect=get(p + "effect", one_of(EFFECTS, "effect"), Effect.NON_IDEMPOTENT),
        scope=get(p + "keyScope", one_of(SCOPES, "scope"), Scope.GROUP), memory=get(p + "keyTtl", micros, 0),
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
        "most_units": get("familyInfo.mostUnits", number, 0.0),
        "meter_period": get("familyInfo.metering", micros, 0),
        "gateways": get("instances", int, 1), "gateway": get("index", int, 0), "zone": get("myZone", str, ""),
        "may_cancel": get("policyLimits.cancelling", yes, False),
        "may_probe": get("policyLimits.probing", yes, False),
        "second_copies": get("policyLimits.mayDuplicate", yes, False),
        "most_deliveries": get("policyLimits.tryLimit", int, 1),
        "longest_retry_after": get("policyLimits.maxRetryAfter", micros, 0),
        "idle_close": get("policyLimits.idleClose", micros, 0),
        "connect_timeout": get("policyLimits.connectTimeout", micros, 250_000),
        "most_open": get("policyLimits.maxOpen", int, 0),
        "tick": get("tick", micros, 1000), "ask_within": get("rules.askWithin", micros, 10_000_000),
        "answer_slack": get("rules.answerSlack", micros, 0),
        "cold": get("rules.cold", micros, 0), "cold_from": get("rules.coldFrom", number, 1.0),
        "drain_grace": get("rules.drainGrace", micros, 0),
        "fall": get("rules.fall", micros, 0), "fall_multiple": get("rules.fallMultiple", number, 1.0),
    }
