"""Reading and checking the operator's documents.

Invariant: a `Document` that leaves this module is valid as a whole, and its `body` is either the very bytes
that the operator sent or, after a patch, the merged document under the patch's version.  The result depends
on the arguments alone, as replicas read the same document in different places.
"""

from __future__ import annotations

import json
import math
from typing import Any

import attrs
import schema

from kestrelbend.tier.configuration import forms
from kestrelbend.tier.configuration.fields import shown

MOST_DEPTH = 32  # of objects and lists in one another


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
        """The routes, as the operator wrote them."""
        return self.values["Routes"]

    @property
    def services(self) -> list[dict[str, Any]]:
        """The services, as the operator wrote them."""
        return self.values["Services"]

    @property
    def limits(self) -> dict[str, Any]:
        """The limits, as the operator wrote them; empty if there are none."""
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
        _validate(forms.PATCH, values, "patch")
        for kind, items in (values.get("Upsert") or {}).items():
            if isinstance(items, list):
                _check_names(kind, items)
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


def host_key(host: str) -> str:
    """A host as it is compared: without its port and in lower case."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


def _decode(body: bytes) -> dict[str, Any]:
    """The body as an object; fails if it is cut short, names a key twice or holds what is no JSON number."""
    try:
        values = json.loads(
            bytes(body).decode("utf-8"),
            object_pairs_hook=_unique,
            parse_constant=_finite,
            parse_float=_finite,
        )
    except (ValueError, RecursionError) as error:
        raise _Invalid("unreadable", f"cannot be read whole: {ascii(str(error))[:120]}") from None
    if not isinstance(values, dict):
        raise _Invalid("unreadable", "is not an object")
    _check_depth(values)
    return values


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) != len(pairs):
        raise ValueError("an object names a key twice")
    return values


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:20]} is not a finite number")
    return value


def _check_depth(values: dict[str, Any]) -> None:
    """A bound of its own, as the interpreter's depends on the depth of the caller."""
    level: list[Any] = [values]
    for _ in range(MOST_DEPTH):
        level = [inner for outer in level for inner in _containers(outer)]
        if not level:
            return
    raise _Invalid("too_deep", f"objects lie more than {MOST_DEPTH} deep in one another")


def _containers(outer: dict[str, Any] | list[Any]) -> list[Any]:
    parts = outer.values() if isinstance(outer, dict) else outer
    return [part for part in parts if isinstance(part, (dict, list))]


def _validate(form: schema.Schema, values: Any, what: str) -> None:
    try:
        form.validate(values)
    except schema.SchemaError as error:
        raise _Invalid("wrong_form", f"{what}: {error.code}") from None


def _check_document(values: dict[str, Any]) -> None:
    _validate(forms.DOCUMENT, values, "configuration")
    for kind, items in values.items():
        if isinstance(items, list):
            _check_names(kind, items)
    _check_routes(values["Routes"], {service["Name"] for service in values["Services"]})


def _check_names(kind: str, items: list[Any]) -> None:
    """Two items of a list never share a name."""
    seen: set[str] = set()
    for item in items:
        name = _name_of(item)
        if name is None:
            continue
        if name in seen:
            raise _Invalid("same_name", f"{shown(kind)}: two items share the name {shown(name)}")
        seen.add(name)


def _check_routes(routes: list[dict[str, Any]], services: set[str]) -> None:
    places: set[tuple[str, str]] = set()
    for route in routes:
        place = (host_key(route["Hostname"]), route["PathPrefix"])
        if place in places:
            name = shown(route["Name"])
            raise _Invalid("same_place", f"route {name}: another route has its host and prefix")
        places.add(place)
        _check_targets(route, services)


def _check_targets(route: dict[str, Any], services: set[str]) -> None:
    """A route names services that exist, one at least, and its weights add up to more than 0."""
    split = route.get("Split")
    upstream = route.get("Upstream")
    named = [target["Upstream"] for target in split or ()]
    if upstream is not None:
        named.append(upstream)
    for service in named:
        if service not in services:
            reason = f"route {shown(route['Name'])}: service {shown(service)} is unknown"
            raise _Invalid("unknown_service", reason)
    if split is not None and math.fsum(target["Weight"] for target in split) <= 0:
        raise _Invalid("no_weight", f"route {shown(route['Name'])}: its weights add up to 0")
    if not named:
        raise _Invalid("no_service", f"route {shown(route['Name'])}: names no service")


def _merge(current: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """`current` with the patch's changes; items keep their places and new ones come last."""
    merged = dict(current)
    merged["Ver"] = patch["Ver"]
    for kind, names in (patch.get("Remove") or {}).items():
        merged[kind] = _without(_items(merged, kind), set(names))
    for kind, changes in (patch.get("Upsert") or {}).items():
        if isinstance(changes, dict):
            merged[kind] = _overlaid(merged, kind, changes)
        else:
            merged[kind] = _with(_items(merged, kind), changes)
    if patch.get("Limits") is not None:
        merged["Limits"] = _overlaid(merged, "Limits", patch["Limits"])
    return merged


def _items(values: dict[str, Any], kind: str) -> list[Any]:
    items = values.get(kind)
    if items is None:
        return []
    if not isinstance(items, list):
        raise _Invalid("wrong_form", f"patch: {shown(kind)} is no list of items")
    return items


def _overlaid(values: dict[str, Any], kind: str, changes: dict[str, Any]) -> dict[str, Any]:
    present = values.get(kind) or {}
    if not isinstance(present, dict):
        raise _Invalid("wrong_form", f"patch: {shown(kind)} is no object")
    return {**present, **changes}


def _name_of(item: Any) -> str | None:
    name = item.get("Name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else None


def _without(items: list[Any], names: set[str]) -> list[Any]:
    return [item for item in items if _name_of(item) not in names]


def _with(items: list[Any], changes: list[dict[str, Any]]) -> list[Any]:
    waiting = {item["Name"]: item for item in changes}
    merged = [waiting.pop(_name_of(item), item) for item in items]
    return merged + list(waiting.values())
