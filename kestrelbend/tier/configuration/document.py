"""Reading and checking the operator's documents.

Invariant: a `Document` that leaves this module is valid as a whole, and its `body` is either the very bytes
that the operator sent or, after a patch, the merged document under the patch's version.
"""

from __future__ import annotations

import json
import math
from typing import Any

import attrs
import schema

MOST_VERSION = 2**62
MOST_TEXT = 1024
MOST_NUMBER = 1e15
ITEM_LISTS = ("Routes", "Services")


@attrs.frozen
class ConfigRejected:
    """Why a document isn't taken; `code` is one word for counting, `reason` a sentence for the operator."""

    code: str
    reason: str


@attrs.frozen(eq=False)
class Document:
    """One valid configuration; `values` is `body` decoded and must not be changed."""

    version: int
    body: bytes
    values: dict[str, Any]

    @property
    def routes(self) -> list[dict[str, Any]]:
        return self.values["Routes"]

    @property
    def services(self) -> list[dict[str, Any]]:
        return self.values["Services"]

    @property
    def limits(self) -> dict[str, Any]:
        return self.values.get("Limits") or {}


@attrs.frozen(eq=False)
class Patch:
    """A patch whose own form is right; whether the merged document is valid is asked by `apply_patch`."""

    version: int
    values: dict[str, Any]


class _Invalid(Exception):
    """Carries a rejection from a check to the module's public functions; never leaves the module."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(reason)
        self.rejected = ConfigRejected(code, reason)


def parse_put(body: bytes) -> Document | ConfigRejected:
    """Reads a whole configuration and checks it."""
    try:
        values = _decode(body)
        _check_document(values)
    except _Invalid as invalid:
        return invalid.rejected
    return Document(version=values["Ver"], body=bytes(body), values=values)


def parse_patch(body: bytes) -> Patch | ConfigRejected:
    """Reads a patch and checks its own form, whatever the document that it is meant for."""
    try:
        values = _decode(body)
        _validate(_PATCH, values, "patch")
        for name, items in (values.get("Upsert") or {}).items():
            if isinstance(items, list):
                _check_names(name, items)
    except _Invalid as invalid:
        return invalid.rejected
    return Patch(version=values["Ver"], values=values)


def apply_patch(current: Document, body: bytes | Patch) -> Document | ConfigRejected:
    """Merges a patch into `current` and checks the result as a whole."""
    patch = body if isinstance(body, Patch) else parse_patch(body)
    if isinstance(patch, ConfigRejected):
        return patch
    try:
        merged = _merge(current.values, patch.values)
        _check_document(merged)
    except _Invalid as invalid:
        return invalid.rejected
    encoded = json.dumps(merged, separators=(",", ":")).encode()
    return Document(version=patch.version, body=encoded, values=merged)


def read_accepted(body: bytes) -> Document:
    """Reads a document that the shard has accepted, without checking it again."""
    values = json.loads(body)
    return Document(version=values["Ver"], body=bytes(body), values=values)


def is_text(value: object) -> bool:
    """A short non-empty string of printable characters (so that it can be encoded everywhere)."""
    return isinstance(value, str) and 0 < len(value) <= MOST_TEXT and value.isprintable()


def is_number(value: object) -> bool:
    """A finite number of reasonable size, not a truth value."""
    kind = type(value)
    return (kind is int or kind is float) and -MOST_NUMBER <= value <= MOST_NUMBER


def is_whole(value: object) -> bool:
    """A whole number of reasonable size, not a truth value."""
    return type(value) is int and -MOST_NUMBER <= value <= MOST_NUMBER


def is_positive(value: object) -> bool:
    return is_number(value) and value > 0


def is_not_negative(value: object) -> bool:
    return is_number(value) and value >= 0


def _is_count(value: object) -> bool:
    return is_whole(value) and value >= 0


def _is_positive_count(value: object) -> bool:
    return is_whole(value) and value > 0


def _is_version(value: object) -> bool:
    return type(value) is int and 0 < value < MOST_VERSION


def _is_flag(value: object) -> bool:
    return isinstance(value, bool)


def _is_prefix(value: object) -> bool:
    return is_text(value) and value[0] == "/" and value[-1] == "/"


def _is_path(value: object) -> bool:
    return is_text(value) and value[0] == "/"


class Fields:
    """Checks an object's known fields; unknown ones pass.  A stand-in for a `schema` dictionary, which takes
    many times as long on documents of hundreds of items."""

    def __init__(self, required: dict[str, Any], optional: dict[str, Any]) -> None:
        self._required = tuple(required.items())
        self._optional = tuple(optional.items())

    def validate(self, data: Any, **_: Any) -> Any:
        """Returns `data`, or raises `schema.SchemaError`; the method that `schema` asks of its parts."""
        if not isinstance(data, dict):
            raise schema.SchemaError("is not an object")
        for name, check in self._required:
            if name not in data:
                raise schema.SchemaError(f"{name} is missing")
            _check_field(name, check, data[name])
        for name, check in self._optional:
            value = data.get(name)
            if value is not None:
                _check_field(name, check, value)
        return data


class ListOf:
    """Checks that the data is a list and each of its items."""

    def __init__(self, item: Any) -> None:
        self._item = item

    def validate(self, data: Any, **_: Any) -> Any:
        """Returns `data`, or raises `schema.SchemaError` that names the first wrong item."""
        if not isinstance(data, list):
            raise schema.SchemaError("is not a list")
        for index, item in enumerate(data):
            _check_field(str(index), self._item, item)
        return data


def _check_field(name: str, check: Any, value: Any) -> None:
    if hasattr(check, "validate"):
        try:
            check.validate(value)
        except schema.SchemaError as error:
            raise schema.SchemaError(f"{name}: {error.code}") from None
    elif not check(value):
        raise schema.SchemaError(f"{name}: {_shown(value)} is not allowed")


_TARGET = Fields(required={"Upstream": is_text, "Weight": is_not_negative}, optional={})
_ROUTE = Fields(
    required={
        "Name": is_text,
        "Hostname": is_text,
        "PathPrefix": _is_prefix,
        "RouteType": is_text,
        "TimeoutMs": is_positive,
    },
    optional={
        "Upstream": is_text,
        "Split": ListOf(_TARGET),
        "SloMs": is_not_negative,
        "Prio": is_whole,
        "Retries": _is_count,
        "Stored": _is_flag,
        "RetainS": is_not_negative,
        "Sticky": _is_flag,
        "Resumable": _is_flag,
        "gap_aim_ms": is_not_negative,
    },
)
_ENGINE = Fields(
    required={},
    optional={"Slots": _is_positive_count, "KvTokens": _is_count, "Stride": _is_positive_count},
)
_SERVICE = Fields(
    required={"Name": is_text},
    optional={"HealthPath": _is_path, "MaxConns": _is_positive_count, "Engine": _ENGINE},
)
_LIMITS = Fields(
    required={},
    optional={
        "MaxHeaderBytes": _is_positive_count,
        "MaxBodyBytes": _is_count,
        "HeaderTimeoutMs": is_positive,
        "IdleTimeoutMs": is_positive,
    },
)
_DOCUMENT = schema.Schema(
    Fields(
        required={"Ver": _is_version, "Routes": ListOf(_ROUTE), "Services": ListOf(_SERVICE)},
        optional={"Limits": _LIMITS},
    )
)
_NAMED = Fields(required={"Name": is_text}, optional={})
_PATCH = schema.Schema(
    Fields(
        required={"Ver": _is_version},
        optional={
            "Upsert": schema.Schema({schema.Optional(str): schema.Or(ListOf(_NAMED), dict)}),
            "Remove": schema.Schema({schema.Optional(str): ListOf(is_text)}),
            "Limits": dict,
        },
    )
)


def _validate(form: schema.Schema, values: Any, what: str) -> None:
    try:
        form.validate(values)
    except schema.SchemaError as error:
        raise _Invalid("wrong_form", f"{what}: {error.code}") from None


def _shown(value: object) -> str:
    text = ascii(value) if not isinstance(value, int) else "the number"
    return text if len(text) <= 60 else text[:57] + "..."


def _decode(body: bytes) -> dict[str, Any]:
    """The body as an object; a body that is cut short, names a key twice or holds no number for NaN fails."""
    try:
        values = json.loads(
            bytes(body).decode("utf-8"), object_pairs_hook=_unique, parse_constant=_no_constant
        )
    except (ValueError, RecursionError) as error:
        raise _Invalid("unreadable", f"cannot be read whole: {ascii(str(error))[:120]}") from None
    if not isinstance(values, dict):
        raise _Invalid("unreadable", "is not an object")
    return values


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) != len(pairs):
        raise ValueError("an object names a key twice")
    return values


def _no_constant(name: str) -> float:
    raise ValueError(f"{name} is not a number")


def _check_document(values: dict[str, Any]) -> None:
    _validate(_DOCUMENT, values, "configuration")
    for name, items in values.items():
        if isinstance(items, list):
            _check_names(name, items)
    _check_routes(values["Routes"], {service["Name"] for service in values["Services"]})


def _check_names(kind: str, items: list[Any]) -> None:
    """Two items of a list never share a name."""
    seen: set[str] = set()
    for item in items:
        name = item.get("Name") if isinstance(item, dict) else None
        if not isinstance(name, str):
            continue
        if name in seen:
            raise _Invalid("same_name", f"{ascii(kind)[:60]}: two items share the name {_shown(name)}")
        seen.add(name)


def _check_routes(routes: list[dict[str, Any]], services: set[str]) -> None:
    places: set[tuple[str, str]] = set()
    for route in routes:
        name = _shown(route["Name"])
        place = (host_key(route["Hostname"]), route["PathPrefix"])
        if place in places:
            raise _Invalid("same_place", f"route {name}: another route has its host and prefix")
        places.add(place)
        _check_targets(name, route, services)


def _check_targets(name: str, route: dict[str, Any], services: set[str]) -> None:
    split = route.get("Split")
    upstream = route.get("Upstream")
    if split is None and upstream is None:
        raise _Invalid("no_service", f"route {name}: names no service")
    named = [target["Upstream"] for target in split or ()]
    if upstream is not None:
        named.append(upstream)
    for service in named:
        if service not in services:
            raise _Invalid("unknown_service", f"route {name}: service {_shown(service)} is unknown")
    if split is None:
        return
    total = math.fsum(target["Weight"] for target in split)
    if total <= 0:
        raise _Invalid("no_weight", f"route {name}: its weights add up to {total:g}")


def host_key(host: str) -> str:
    """A host as it is compared: without its port and in lower case."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


def _merge(current: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """`current` with the patch's changes; items keep their places and new ones come last."""
    merged = dict(current)
    merged["Ver"] = patch["Ver"]
    for kind, names in (patch.get("Remove") or {}).items():
        merged[kind] = _without(_items(merged, kind), set(names))
    for kind, items in (patch.get("Upsert") or {}).items():
        if isinstance(items, dict):
            merged[kind] = _overlaid(merged.get(kind), items)
        else:
            merged[kind] = _with(_items(merged, kind), items)
    if patch.get("Limits") is not None:
        merged["Limits"] = _overlaid(merged.get("Limits"), patch["Limits"])
    return merged


def _items(values: dict[str, Any], kind: str) -> list[Any]:
    items = values.get(kind)
    if items is None:
        return []
    if not isinstance(items, list):
        raise _Invalid("wrong_form", f"patch: {ascii(kind)[:60]} is no list of items")
    return items


def _overlaid(present: Any, changes: dict[str, Any]) -> dict[str, Any]:
    if present is not None and not isinstance(present, dict):
        raise _Invalid("wrong_form", "patch: an object cannot replace a list of items")
    return {**(present or {}), **changes}


def _name_of(item: Any) -> Any:
    return item.get("Name") if isinstance(item, dict) else None


def _without(items: list[Any], names: set[str]) -> list[Any]:
    return [item for item in items if not (isinstance(item, dict) and item.get("Name") in names)]


def _with(items: list[Any], changes: list[dict[str, Any]]) -> list[Any]:
    waiting = {item["Name"]: item for item in changes}
    merged = []
    for item in items:
        name = _name_of(item)
        replaces = isinstance(name, str) and name in waiting
        merged.append(waiting.pop(name) if replaces else item)
    return merged + list(waiting.values())
