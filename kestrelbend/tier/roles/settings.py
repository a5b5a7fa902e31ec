"""The settings file of a process, read and checked as a whole.

Invariant: a `Settings` is complete: each key that may be left out has its default, and every fault of a file
is named by one `SettingsError`.
"""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from typing import Any

import attrs
import schema
import yaml

from kestrelbend.tier.configuration.field_checks import MAX_NUMBER, MAX_PORT, is_address, is_ip, is_text

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_YAML_ERRORS = (
    yaml.YAMLError,
    ValueError,
    LookupError,
    ArithmeticError,
    TypeError,
    AttributeError,
    RecursionError,
)
SECTIONS = ("Listen", "Limits", "Tolerate", "Bounds")
MOST_SHOWN = 60  # characters of a wrong value in an error


class SettingsError(Exception):
    """A settings file that can't be used; `lines` holds one line for each fault."""

    def __init__(self, code: str, lines: tuple[str, ...]) -> None:
        super().__init__("\n".join(lines))
        self.code = code
        self.lines = lines


@attrs.frozen
class Bounds:
    """The figures of the rules in force; units as the names say."""

    seed_lag_s: float = 3
    reuse_after_s: float = 2
    contact_ms: float = 3000
    ack_ms: float = 4000
    catchup_s: float = 4
    drain_ms: float = 2000
    grace_s: float = 8
    lost_ms: float = 200
    config_ms: float = 2000
    downgrade_ms: float = 250
    max_skew_ms: float = 5000
    recover_s: float = 12
    pass_ms: float = 120
    again_s: float = 0
    finish_s: float = 10
    settle_ms: float = 1000


@attrs.frozen
class Settings:
    """What the platform tells a process; addresses are "ip:port", or "" where there is none."""

    node: str
    role: str
    machine_class: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen_front: str
    listen_ready: str
    listen_control: str
    port_range: tuple[int, int]
    seeds: tuple[str, ...]
    bootstrap: bool
    counts_for_quorum: bool
    cpu_share: float
    cores: float
    ram_mb: float
    max_fds: int
    link_mbps: float
    disk_mb: float
    data_dir: str
    heartbeat_ms: float
    contracts: tuple[str, ...]
    tolerate_nodes: int
    tolerate_zones: int
    tolerate_regions: int
    bounds: Bounds

    @classmethod
    def read(cls, path: str | pathlib.Path) -> Settings:
        """Reads a settings file; raises `SettingsError`."""
        path = pathlib.Path(path)
        try:
            data = path.read_bytes()
        except OSError as error:
            raise SettingsError("unreadable", (f"{path.name}: {error.strerror}",)) from error
        return cls.parse(data, path.name)

    @classmethod
    def parse(cls, data: bytes, name: str = "boot.yaml") -> Settings:
        """The settings in a file's bytes; raises `SettingsError`, whose lines begin with `name`."""
        values = _load(data, name)
        lines = _wrong_sections(values, name)
        fields = _take(_KEYS, values, name, lines)
        bounds = _take(_BOUNDS, values, name, lines)
        if lines:
            raise SettingsError("invalid", tuple(lines))
        return cls(**fields, bounds=Bounds(**bounds))


def _load(data: bytes, name: str) -> dict[Any, Any]:
    try:
        values = yaml.load(data, Loader=_Loader)  # noqa: S506  a safe loader either way
    except _YAML_ERRORS as error:
        text = " ".join(str(error).split())
        raise SettingsError("not_yaml", (f"{name}: cannot be read as YAML: {text}",)) from None
    if not isinstance(values, dict):
        raise SettingsError("not_a_map", (f"{name}: is not a map of keys to values",))
    return values


_MISSING = object()
_REQUIRED = object()


@attrs.frozen
class _Form:
    """What a value must be, in `schema`'s terms and in words, and how it is kept."""

    check: schema.Schema
    words: str
    keep: Callable[[Any], Any] = lambda value: value


@attrs.frozen
class _Key:
    """One key of the file: where it stands ("Bounds.AckMs") and the field that it fills."""

    path: str
    field: str
    form: _Form
    default: Any = _REQUIRED


def _take(keys: tuple[_Key, ...], values: dict[Any, Any], name: str, lines: list[str]) -> dict[str, Any]:
    """The fields that the keys fill; adds a line for each fault."""
    fields: dict[str, Any] = {}
    for key in keys:
        value = _find(values, key.path)
        if value is _MISSING and key.default is _REQUIRED:
            lines.append(f"{name}: {key.path}: is missing")
        elif value is _MISSING:
            fields[key.field] = key.default
        elif not key.form.check.is_valid(value):
            lines.append(f"{name}: {key.path}: {_shown(value)} is not {key.form.words}")
        else:
            fields[key.field] = key.form.keep(value)
    return fields


def _find(values: Any, path: str) -> Any:
    """The value at a dotted path; a key that is empty counts as missing, as does one in an empty section."""
    for part in path.split("."):
        if not isinstance(values, dict) or _is_empty(values.get(part)):
            return _MISSING
        values = values[part]
    return values


def _wrong_sections(values: dict[Any, Any], name: str) -> list[str]:
    """A line for each section that holds something else than keys."""
    return [
        f"{name}: {section}: {_shown(values[section])} is not a map of keys to values"
        for section in SECTIONS
        if not _is_empty(values.get(section)) and not isinstance(values[section], dict)
    ]


def _is_empty(value: Any) -> bool:
    return value is None or (isinstance(value, (str, list, dict)) and not value)


def _shown(value: Any) -> str:
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        text = type(value).__name__
    text = text.encode("ascii", "backslashreplace").decode()
    return text if len(text) <= MOST_SHOWN else text[: MOST_SHOWN - 3] + "..."


def _is_number(value: Any) -> bool:
    """A finite number, not a truth value."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) <= MAX_NUMBER


def _is_whole(value: Any) -> bool:
    return _is_number(value) and value == int(value)


def _is_port_range(value: Any) -> bool:
    if not isinstance(value, list) or len(value) != 2 or not all(_is_whole(port) for port in value):
        return False
    return 0 < value[0] <= value[1] <= MAX_PORT


def _positive(unit: str) -> _Form:
    return _Form(schema.Schema(lambda value: _is_number(value) and value > 0), f"a positive number of {unit}")


def _not_negative(unit: str) -> _Form:
    words = f"a number of {unit}, 0 or more"
    return _Form(schema.Schema(lambda value: _is_number(value) and value >= 0), words)


_TEXT = _Form(schema.Schema(is_text), "a text")
_TEXTS = _Form(schema.Schema([is_text]), "a list of texts", tuple)
_IP = _Form(schema.Schema(is_ip), "an IPv4 address")
_ADDRESS = _Form(schema.Schema(is_address), "an address (ip:port)")
_ADDRESSES = _Form(schema.Schema([is_address]), "a list of addresses (ip:port)", tuple)
_ZONES = _Form(schema.Schema({schema.Optional(is_text): is_text}), "a map of zones to regions", dict)
_PORTS = _Form(
    schema.Schema(_is_port_range),
    "the first and the last port of a range",
    lambda value: (int(value[0]), int(value[1])),
)
_FLAG = _Form(schema.Schema(bool), "true or false")
_COUNT = _Form(schema.Schema(lambda value: _is_whole(value) and value >= 0), "a whole number, 0 or more", int)

_KEYS = (
    _Key("Node", "node", _TEXT),
    _Key("Role", "role", _TEXT, ""),
    _Key("Class", "machine_class", _TEXT, ""),
    _Key("Serves", "serves", _TEXTS, ()),
    _Key("Ip", "ip", _IP),
    _Key("Zone", "zone", _TEXT),
    _Key("Region", "region", _TEXT, ""),
    _Key("Zones", "zones", _ZONES, {}),
    _Key("Listen.Front", "listen_front", _ADDRESS, ""),
    _Key("Listen.Ready", "listen_ready", _ADDRESS, ""),
    _Key("Listen.Control", "listen_control", _ADDRESS, ""),
    _Key("PortRange", "port_range", _PORTS),
    _Key("Seeds", "seeds", _ADDRESSES, ()),
    _Key("Bootstrap", "bootstrap", _FLAG, False),
    _Key("CountsForQuorum", "counts_for_quorum", _FLAG, False),
    _Key("Limits.CpuShare", "cpu_share", _positive("cores"), 1.0),
    _Key("Limits.Cores", "cores", _positive("cores"), 1),
    _Key("Limits.RamMb", "ram_mb", _positive("megabytes"), 256),
    _Key("Limits.MaxFds", "max_fds", _COUNT, 1024),
    _Key("Limits.LinkMbps", "link_mbps", _positive("megabits a second"), 1000.0),
    _Key("Limits.DiskMb", "disk_mb", _not_negative("megabytes"), 0),
    _Key("DataDir", "data_dir", _TEXT, ""),
    _Key("HeartbeatMs", "heartbeat_ms", _positive("milliseconds"), 1000),
    _Key("Contracts", "contracts", _TEXTS, ()),
    _Key("Tolerate.Nodes", "tolerate_nodes", _COUNT, 0),
    _Key("Tolerate.Zones", "tolerate_zones", _COUNT, 0),
    _Key("Tolerate.Regions", "tolerate_regions", _COUNT, 0),
)

_DEFAULTS = Bounds()


def _bound(key: str, field: str, form: _Form) -> _Key:
    return _Key(f"Bounds.{key}", field, form, getattr(_DEFAULTS, field))


_BOUNDS = (
    _bound("SeedLagS", "seed_lag_s", _not_negative("seconds")),
    _bound("ReuseAfterS", "reuse_after_s", _not_negative("seconds")),
    _bound("ContactMs", "contact_ms", _positive("milliseconds")),
    _bound("AckMs", "ack_ms", _positive("milliseconds")),
    _bound("CatchupS", "catchup_s", _not_negative("seconds")),
    _bound("DrainMs", "drain_ms", _not_negative("milliseconds")),
    _bound("GraceS", "grace_s", _positive("seconds")),
    _bound("LostMs", "lost_ms", _not_negative("milliseconds")),
    _bound("ConfigMs", "config_ms", _not_negative("milliseconds")),
    _bound("DowngradeMs", "downgrade_ms", _not_negative("milliseconds")),
    _bound("MaxSkewMs", "max_skew_ms", _not_negative("milliseconds")),
    _bound("RecoverS", "recover_s", _not_negative("seconds")),
    _bound("pass_ms", "pass_ms", _not_negative("milliseconds")),
    _bound("again_s", "again_s", _not_negative("seconds")),
    _bound("FinishS", "finish_s", _not_negative("seconds")),
    _bound("SettleMs", "settle_ms", _not_negative("milliseconds")),
)
