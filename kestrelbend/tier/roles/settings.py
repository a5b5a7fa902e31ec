"""The settings file of a process, read and checked as a whole.

Invariant: a `Settings` is complete: each key that may be left out has its default, and every fault of a file
is named by one `SettingsError`.
"""

from __future__ import annotations

import pathlib
from typing import Any

import attrs
import yaml

from ..errors import TierError
from ..membership.fault_tolerance import Losses, Tolerance
from .value_rules import (
    ADDRESS,
    ADDRESSES,
    COUNT,
    FLAG,
    IP,
    PORTS,
    TEXT,
    TEXTS,
    ZONES,
    ValueRule,
    not_negative,
    positive,
    quoted,
)

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


class SettingsError(TierError):
    """A settings file that can't be used; `messages` holds one for each fault, with the key that is wrong.

    `code` is "unreadable", "not_yaml", "not_a_map" or "invalid".
    """

    def __init__(self, code: str, messages: tuple[str, ...]) -> None:
        super().__init__("\n".join(messages))
        self.code = code
        self.messages = messages


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

    node: str  # the machine's name
    role: str
    machine_class: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    zones: dict[str, str]  # the region of each
    listen_clients: str  # of the data plane, at gateways
    listen_ready: str  # of the platform's health check, at gateways
    listen_control: str  # of the operator's API, at control nodes
    port_range: tuple[int, int]  # the first and the last that the tier may use itself
    seeds: tuple[str, ...]  # addresses of control nodes to begin with
    bootstrap: bool  # the whole tier starts for the first time, on empty disks
    counts_for_quorum: bool
    cpu_share: float  # in cores
    cores: float
    ram_mb: float
    max_fds: int
    link_mbps: float
    disk_mb: float
    data_dir: str  # "" on machines without a disk
    heartbeat_ms: float  # between two heartbeats of a backend; of processes: `ticker.HEARTBEAT_INTERVAL_S`
    contracts: tuple[str, ...]
    tolerate_nodes: int
    tolerate_zones: int
    tolerate_regions: int
    bounds: Bounds

    @property
    def tolerance(self) -> Tolerance:
        """The losses that must be survived."""
        losses = Losses(self.tolerate_nodes, self.tolerate_zones, self.tolerate_regions)
        return Tolerance(losses, self.zones)

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
        """The settings in a file's bytes; raises `SettingsError`, whose messages begin with `name`."""
        values = _load(data, name)
        messages = _wrong_sections(values, name)
        fields = _read_keys(_KEYS, values, name, messages)
        bounds = _read_keys(_BOUNDS, values, name, messages)
        if messages:
            raise SettingsError("invalid", tuple(messages))
        return cls(**fields, bounds=Bounds(**bounds))


def _load(data: bytes, name: str) -> dict[Any, Any]:
    try:
        values = yaml.load(data, Loader=_Loader)  # a safe loader either way
    except _YAML_ERRORS as error:
        text = " ".join(str(error).split())
        raise SettingsError("not_yaml", (f"{name}: cannot be read as YAML: {text}",)) from None
    if not isinstance(values, dict):
        raise SettingsError("not_a_map", (f"{name}: is not a map of keys to values",))
    return values


_MISSING = object()
_REQUIRED = object()


@attrs.frozen
class _SettingKey:
    """One key of the file: where it stands ("Bounds.AckMs") and the field that it fills."""

    path: str
    field: str
    rule: ValueRule
    default: Any = _REQUIRED


def _read_keys(
    keys: tuple[_SettingKey, ...], values: dict[Any, Any], name: str, messages: list[str]
) -> dict[str, Any]:
    """The fields that the keys fill; adds a message for each fault."""
    fields: dict[str, Any] = {}
    for key in keys:
        value = _find(values, key.path)
        if value is _MISSING and key.default is _REQUIRED:
            messages.append(f"{name}: {key.path}: is missing")
        elif value is _MISSING:
            fields[key.field] = key.default
        elif not key.rule.allows(value):
            messages.append(f"{name}: {key.path}: {quoted(value)} is not {key.rule.description}")
        else:
            fields[key.field] = key.rule.convert(value)
    return fields


def _find(values: Any, path: str) -> Any:
    """The value at a dotted path; a key that is empty counts as missing, as does one in an empty section."""
    for part in path.split("."):
        if not isinstance(values, dict) or _is_empty(values.get(part)):
            return _MISSING
        values = values[part]
    return values


def _wrong_sections(values: dict[Any, Any], name: str) -> list[str]:
    """A message for each section that holds something else than keys."""
    return [
        f"{name}: {section}: {quoted(values[section])} is not a map of keys to values"
        for section in SECTIONS
        if not _is_empty(values.get(section)) and not isinstance(values[section], dict)
    ]


def _is_empty(value: Any) -> bool:
    return value is None or (isinstance(value, (str, list, dict)) and not value)


_KEYS = (
    _SettingKey("Node", "node", TEXT),
    _SettingKey("Role", "role", TEXT, ""),
    _SettingKey("Class", "machine_class", TEXT, ""),
    _SettingKey("Serves", "serves", TEXTS, ()),
    _SettingKey("Ip", "ip", IP),
    _SettingKey("Zone", "zone", TEXT),
    _SettingKey("Region", "region", TEXT, ""),
    _SettingKey("Zones", "zones", ZONES, {}),
    _SettingKey("Listen.Front", "listen_clients", ADDRESS, ""),
    _SettingKey("Listen.Ready", "listen_ready", ADDRESS, ""),
    _SettingKey("Listen.Control", "listen_control", ADDRESS, ""),
    _SettingKey("PortRange", "port_range", PORTS),
    _SettingKey("Seeds", "seeds", ADDRESSES, ()),
    _SettingKey("Bootstrap", "bootstrap", FLAG, False),
    _SettingKey("CountsForQuorum", "counts_for_quorum", FLAG, False),
    _SettingKey("Limits.CpuShare", "cpu_share", positive("cores"), 1.0),
    _SettingKey("Limits.Cores", "cores", positive("cores"), 1),
    _SettingKey("Limits.RamMb", "ram_mb", positive("megabytes"), 256),
    _SettingKey("Limits.MaxFds", "max_fds", COUNT, 1024),
    _SettingKey("Limits.LinkMbps", "link_mbps", positive("megabits a second"), 1000.0),
    _SettingKey("Limits.DiskMb", "disk_mb", not_negative("megabytes"), 0),
    _SettingKey("DataDir", "data_dir", TEXT, ""),
    _SettingKey("HeartbeatMs", "heartbeat_ms", positive("milliseconds"), 1000),
    _SettingKey("Contracts", "contracts", TEXTS, ()),
    _SettingKey("Tolerate.Nodes", "tolerate_nodes", COUNT, 0),
    _SettingKey("Tolerate.Zones", "tolerate_zones", COUNT, 0),
    _SettingKey("Tolerate.Regions", "tolerate_regions", COUNT, 0),
)

_DEFAULTS = Bounds()


def _bound(key: str, field: str, rule: ValueRule) -> _SettingKey:
    return _SettingKey(f"Bounds.{key}", field, rule, getattr(_DEFAULTS, field))


_BOUNDS = (
    _bound("SeedLagS", "seed_lag_s", not_negative("seconds")),
    _bound("ReuseAfterS", "reuse_after_s", not_negative("seconds")),
    _bound("ContactMs", "contact_ms", positive("milliseconds")),
    _bound("AckMs", "ack_ms", positive("milliseconds")),
    _bound("CatchupS", "catchup_s", not_negative("seconds")),
    _bound("DrainMs", "drain_ms", not_negative("milliseconds")),
    _bound("GraceS", "grace_s", positive("seconds")),
    _bound("LostMs", "lost_ms", not_negative("milliseconds")),
    _bound("ConfigMs", "config_ms", not_negative("milliseconds")),
    _bound("DowngradeMs", "downgrade_ms", not_negative("milliseconds")),
    _bound("MaxSkewMs", "max_skew_ms", not_negative("milliseconds")),
    _bound("RecoverS", "recover_s", not_negative("seconds")),
    _bound("pass_ms", "pass_ms", not_negative("milliseconds")),
    _bound("again_s", "again_s", not_negative("seconds")),
    _bound("FinishS", "finish_s", not_negative("seconds")),
    _bound("SettleMs", "settle_ms", not_negative("milliseconds")),
)
