"""Reads the settings in the names of the platform, from its JSON and from the simulator's protocol.

Both contain one settings object: nested JSON in a configuration, path=value pairs in the protocol.  This
module maps the platform's names, its milliseconds and its number formats to the model.  Unknown names are
ignored.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, TypeVar

from ..errors import GatewayError
from .model import DecisionSettings
from .toml_files import convert, format_path
from .toml_lines import Path
from .units import Fraction, Microseconds

Value = TypeVar("Value")
Pairs = Mapping[str, str]
"""The platform's settings: text values by dotted path."""

ABSENT_VALUES = ("-", "")  # stand for a setting that is not given
MICROSECONDS_PER_MS = 1000

EFFECT_NAMES = {"idempotent": "idempotent", "deduplicated": "tokened", "at_most_once": "non-idempotent"}
SCOPE_NAMES = {"all": "all", "zone": "zone", "cell": "group"}
LOAD_FIELD_NAMES = {
    "pending": "queued",
    "busy_reqs": "held",
    "cpu_share": "busy",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errored_per_s",
    # the names in load reports over the network
    "queue": "queued",
    "inflight": "held",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errored_per_s",
}


class Malformed(GatewayError):
    """Malformed input from another system; the message names the path and the error."""

    code = "settings.malformed"


def choice_reader(table: Mapping[str, Value], what: str) -> Callable[[str], Value]:
    """Returns a reader for the keys of `table`; it raises `ValueError`, which names `what` is unknown."""

    def read(text: str) -> Value:
        try:
            return table[text]
        except KeyError:
            raise ValueError(f"unknown {what} {text!r}") from None

    return read


def read_number(text: str) -> float:
    """Reads a finite number; raises `ValueError`."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"not a finite number: {text!r}")
    return value


def read_milliseconds(text: str) -> int:
    """Reads a number of milliseconds and returns microseconds; raises `ValueError`."""
    return round(read_number(text) * MICROSECONDS_PER_MS)


def read_time(text: str) -> Microseconds:
    """Reads a number of milliseconds into the model's type; raises `ValueError`."""
    return Microseconds(read_milliseconds(text))


def read_fraction(text: str) -> Fraction:
    """Reads a fraction; `toml_files.convert` checks that it is from 0 to 1."""
    return Fraction(read_number(text))


def read_flag(text: str) -> bool:
    """Reads a boolean: true, false, 1 or 0; raises `ValueError`."""
    if text not in ("true", "false", "1", "0"):
        raise ValueError(f"neither true nor false: {text!r}")
    return text in ("true", "1")


def read_load_fields(text: str) -> list[str]:
    """Reads the names of load report fields and maps them to the model's; unknown ones are kept."""
    return [LOAD_FIELD_NAMES.get(name, name) for name in text.split(",")]


def read_report_source(text: str) -> str:
    """Reads the source of load reports; unknown ones count as "none"."""
    return text if text in ("probe", "answers") else "none"


def read_discovery_mode(text: str) -> str:
    """Reads whether changes of backends are pushed or have to be requested ("asked")."""
    return "asked" if text == "subscribe" else "pushed"


Reader = Callable[[str], Any]
"""Converts the text of a value; raises `ValueError`."""

SETTING_PATHS: dict[tuple[str, str], tuple[str, Reader]] = {
    ("fleet", "gateways"): ("instances", int),
    ("fleet", "number"): ("index", int),
    ("fleet", "zone"): ("myZone", str),
    ("fleet", "discovery"): ("discovery", read_discovery_mode),
    ("fleet", "ask_within"): ("rules.askWithin", read_time),
    ("fleet", "tick"): ("tick", read_time),
    ("fleet", "answer_slack"): ("rules.answerSlack", read_time),
    ("backends", "reports"): ("feedback.how", read_report_source),
    ("backends", "report_fields"): ("feedback.fields", read_load_fields),
    ("backends", "probing"): ("policyLimits.probing", read_flag),
    ("backends", "cancelling"): ("policyLimits.cancelling", read_flag),
    ("backends", "second_copies"): ("policyLimits.mayDuplicate", read_flag),
    ("backends", "most_deliveries"): ("policyLimits.tryLimit", int),
    ("backends", "most_open"): ("policyLimits.maxOpen", int),
    ("backends", "idle_close"): ("policyLimits.idleClose", read_time),
    ("backends", "connect_timeout"): ("policyLimits.connectTimeout", read_time),
    ("backends", "cold"): ("rules.cold", read_time),
    ("backends", "cold_from"): ("rules.coldFrom", read_fraction),
    ("backends", "drain_grace"): ("rules.drainGrace", read_time),
    ("backends", "fall"): ("rules.fall", read_time),
    ("backends", "fall_multiple"): ("rules.fallMultiple", read_number),
    ("counter", "allowed"): ("familyInfo.mayCount", read_flag),
    ("counter", "timeout"): ("familyInfo.countWait", read_time),
    ("use", "most_units"): ("familyInfo.mostUnits", read_number),
    ("use", "metering"): ("familyInfo.metering", read_time),
    ("use", "longest_retry_after"): ("policyLimits.maxRetryAfter", read_time),
    ("use", "retry_after"): ("policyLimits.retryAfter", read_flag),
}
"""By path in the model: the path in the platform's settings, and the reader of the value."""

LIST_COLUMNS: dict[str, tuple[str, dict[str, tuple[str, Reader]]]] = {
    "operations": (
        "classes",
        {
            "name": ("name", str),
            "effect": ("effect", choice_reader(EFFECT_NAMES, "effect")),
            "scope": ("keyScope", choice_reader(SCOPE_NAMES, "scope")),
            "memory": ("keyTtl", read_time),
            "objective": ("objective", read_time),
            "timeout": ("deadline", read_time),
            "late_worth": ("lateWorth", read_fraction),
            "streamed": ("streaming", read_flag),
            "worth": ("worth", read_number),
        },
    ),
    "plans": (
        "contracts",
        {
            "name": ("name", str),
            "rate": ("refill", read_number),
            "burst": ("storeSize", read_number),
            "most_out": ("concurrency", int),
            "price": ("valueFactor", read_number),
            "over_worth": ("overWorth", read_number),
            "over_cost": ("excessCost", read_number),
            "ceiling_rate": ("ceilingRate", read_number),
            "ceiling_burst": ("capDepth", read_number),
            "ceiling_slack": ("hardSlack", read_number),
        },
    ),
}
"""By list in the model: the platform's list and, by field of the model, its column and the reader."""


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Converts nested JSON into the path=value pairs of the simulator's protocol."""
    if isinstance(value, dict):
        yield from _flatten_rows(value.items(), path)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        yield f"{path}.count", str(len(value))
        yield from _flatten_rows(enumerate(value), path)
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif value is None:
        yield path, "-"
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    else:
        yield path, str(value)


def _flatten_rows(rows: Iterable[tuple[object, object]], path: str) -> Iterator[tuple[str, str]]:
    for name, part in rows:
        yield from flatten(part, f"{path}.{name}" if path else str(name))


class _SettingsParser:
    """Converts the platform's pairs into nested values under the model's names."""

    def __init__(self, pairs: Pairs) -> None:
        self._pairs = pairs
        self.values: dict[str, Any] = {}
        self.paths: dict[Path, str] = {}  # the platform's path by the model's

    def read_all(self) -> None:
        """Reads every setting in the tables; raises `Malformed` at the first invalid value."""
        for model_path, (path, read) in SETTING_PATHS.items():
            section = self.values.setdefault(model_path[0], {})
            self._read(model_path, path, read, section)
        for name, (path, columns) in LIST_COLUMNS.items():
            self.values[name] = self._read_rows(name, path, columns)

    def _read_rows(
        self, name: str, path: str, columns: dict[str, tuple[str, Reader]]
    ) -> list[dict[str, Any]]:
        counts: dict[str, int] = {}
        self._read((name, "count"), f"{path}.count", int, counts)
        rows: list[dict[str, Any]] = [{"name": ""} for _ in range(counts.get("count", 0))]
        for position, row in enumerate(rows):
            for field, (column, read) in columns.items():
                self._read((name, position, field), f"{path}.{position}.{column}", read, row)
        return rows

    def _read(self, model_path: Path, path: str, read: Reader, target: dict[str, Any]) -> None:
        """Reads one value, if it is given, into `target` under the last key of its path in the model."""
        text = self._pairs.get(path, "-")
        self.paths[model_path] = path
        if text in ABSENT_VALUES:
            return
        try:
            target[str(model_path[-1])] = read(text)
        except (ValueError, OverflowError) as error:
            raise Malformed(f"settings: {path}: {error}") from None


def parse_decision_settings(pairs: Pairs) -> DecisionSettings:
    """Converts the platform's settings; raises `Malformed` for the first fault, with the platform's path."""
    parser = _SettingsParser(pairs)
    parser.read_all()
    # Fields are not checked against each other: the platform is responsible for their consistency.
    model, faults = convert(DecisionSettings, parser.values, validate=False)
    if faults or model is None:
        first = faults[0]
        path = parser.paths.get(first.path, format_path(first.path))
        raise Malformed(f"settings: {path}: {first.text}")
    return model


def settings(pairs: Pairs) -> dict[str, Any]:
    """Converts the platform's settings into those of `DecisionSettings.settings`; raises `Malformed`."""
    return parse_decision_settings(pairs).settings()
