"""Who asks for what: read from the attributes of a request by rules that the configuration states.

No I/O and no protocol: `RequestAttributes` is a plain view of the attributes of Envoy's ext_authz v3
(`envoy.service.auth.v3.AttributeContext`).  `read_invocation` gives a `RequestedInvocation`, or raises
`UnusableAttribute`, which says in a few words what is wrong.

Invariant: a field is read only if all of its sources that have a value agree.  Otherwise a client could
name another customer in one header while the proxy has authenticated it by another.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Collection, Iterator
from typing import Annotated, Literal, TypeVar

from msgspec import Meta, Struct, field

from ..settings.units import Address
from .errors import UnusableAttribute

MAX_VALUE_CHARACTERS = 256
MAX_SEARCHED_CHARACTERS = 4096  # of a value that a pattern is searched in: regular expressions may be slow
MIN_UNITS = 1e-6
MAX_UNITS = 1e9  # where the settings state no limit
MIN_WAIT_S = 1e-6
MAX_WAIT_S = 1e6
SECONDS_OF_UNIT = {"s": 1.0, "ms": 0.001}
MARKED_RETRY = ("1", "true", "yes")
NAMED_SOURCES = ("header", "query", "extension", "metadata", "constant")
FIELDS = ("customer", "plan", "operation", "units", "spread", "retry", "wait")
REQUIRED_FIELDS = ("customer", "plan", "operation")
Number = TypeVar("Number", int, float)


class RequestAttributes(Struct):
    """Attributes of one request; header names in lower case."""

    method: str = ""
    path: str = ""  # with its query
    headers: dict[str, str] = field(default_factory=dict)
    principal: str = ""
    extensions: dict[str, str] = field(default_factory=dict)
    metadata: dict[str, str] = field(default_factory=dict)  # "namespace.key": value


class Source(Struct):
    """Where a value stands.  `pattern`: its one group is the value; without a match the value is missing."""

    source: Literal["header", "path", "query", "principal", "extension", "metadata", "method", "constant"]
    name: str = ""  # of the header, the query's key, ...; a constant's value
    pattern: str = ""

    def faults(self) -> Iterator[tuple[str, str]]:
        """(key, text) for what is wrong with the fields together."""
        if self.source in NAMED_SOURCES and not self.name:
            yield "name", f"has to be told for a {self.source}"
        try:
            if self.pattern and re.compile(self.pattern).groups != 1:
                yield "pattern", "needs one group in brackets: the value"
        except re.error as error:
            yield "pattern", f"not a regular expression: {error}"

    def read(self, attributes: RequestAttributes) -> str | None:
        """The value, or None where it is missing."""
        value = self._read_complete(attributes)
        if value is None or not self.pattern:
            return value
        match = re.search(self.pattern, value[:MAX_SEARCHED_CHARACTERS])
        return match[1] if match else None

    def _read_complete(self, attributes: RequestAttributes) -> str | None:
        """The value before its pattern is applied."""
        match self.source:
            case "header":
                return attributes.headers.get(self.name.lower())
            case "path":
                return attributes.path.partition("?")[0]
            case "query":
                return query_value(attributes.path, self.name)
            case "principal":
                return attributes.principal or None
            case "extension":
                return attributes.extensions.get(self.name)
            case "metadata":
                return attributes.metadata.get(self.name)
            case "method":
                return attributes.method or None
            case "constant":
                return self.name


def query_value(path: str, key: str) -> str | None:
    """The first value of a key in the query of a path, as it stands there; None where it is missing."""
    for parameter in path.partition("?")[2].split("&"):
        name, _, value = parameter.partition("=")
        if name == key:
            return value
    return None


class Rules(Struct):
    """Of each field the sources that it may be read from: all that have a value must agree."""

    customer: list[Source]
    plan: list[Source]
    operation: list[Source]
    units: list[Source] = field(default_factory=list)  # 1 where none is told
    spread: list[Source] = field(default_factory=list)  # all gateways
    retry: list[Source] = field(default_factory=list)  # "1", "true": marked
    wait: list[Source] = field(default_factory=list)  # the client's time, in `wait_unit`
    wait_unit: Literal["s", "ms"] = "s"

    def faults(self) -> Iterator[tuple[str, str]]:
        """(key, text) for what is wrong with the fields together."""
        for name in REQUIRED_FIELDS:
            if not getattr(self, name):
                yield name, "at least one place is needed"


class RequestedInvocation(Struct):
    """What a check asks for, and in whose name."""

    customer: str
    plan: str
    operation: str
    units: float  # its size
    spread: int  # how many gateways the customer's requests reach
    retry: bool  # marked by the client as a retry
    wait: float | None  # seconds that the client waits; None where it does not say


def read_invocation(
    attributes: RequestAttributes,
    rules: Rules,
    operations: Collection[str],
    plans: Collection[str],
    gateways: int,
    max_units: float,
) -> RequestedInvocation:
    """What a request asks for; raises `UnusableAttribute`.

    `operations`, `plans`: the names that are known.  `gateways`: how many serve together, the most that
    `spread` may say.  `max_units`: the settings' limit on a request's size; 0: they state none.
    """
    values = {name: agreed_value(name, getattr(rules, name), attributes) for name in FIELDS}
    customer = _required("customer", values, None)
    plan = _required("plan", values, plans)
    operation = _required("operation", values, operations)
    wait = values["wait"]
    wait_s = None
    if wait is not None:
        unit_s = SECONDS_OF_UNIT[rules.wait_unit]
        wait_s = bounded_number("wait", wait, MIN_WAIT_S / unit_s, MAX_WAIT_S / unit_s, float) * unit_s
    units = values["units"]
    spread = values["spread"]
    return RequestedInvocation(
        customer=customer,
        plan=plan,
        operation=operation,
        units=1.0
        if units is None
        else bounded_number("units", units, MIN_UNITS, max_units or MAX_UNITS, float),
        spread=gateways if spread is None else bounded_number("spread", spread, 1, gateways, int),
        retry=(values["retry"] or "").lower() in MARKED_RETRY,
        wait=wait_s,
    )


def agreed_value(name: str, sources: list[Source], attributes: RequestAttributes) -> str | None:
    """The value that all sources of a field agree on; None where none has one.

    Raises `UnusableAttribute` where they differ, and for a value that is empty, too long or not printable.
    """
    found = {value for source in sources if (value := source.read(attributes)) is not None}
    if len(found) > 1:
        raise UnusableAttribute(name, "contradictory")
    if not found:
        return None
    value = found.pop()
    if not value or len(value) > MAX_VALUE_CHARACTERS or not value.isprintable():
        raise UnusableAttribute(name, "not usable")
    return value


def _required(name: str, values: dict[str, str | None], known: Collection[str] | None) -> str:
    """The value of a field that must be there and, unless `known` is None, be one of these."""
    value = values[name]
    if value is None:
        raise UnusableAttribute(name, "missing")
    if known is not None and value not in known:
        raise UnusableAttribute(name, "unknown")
    return value


def bounded_number(
    name: str, text: str, minimum: float, maximum: float, convert: Callable[[str], Number]
) -> Number:
    """The finite number that `text` is, within its bounds; raises `UnusableAttribute`."""
    try:
        number = convert(text)
    except ValueError:
        raise UnusableAttribute(name, "not a number") from None
    if not math.isfinite(number) or not minimum <= number <= maximum:
        raise UnusableAttribute(name, "out of range")
    return number


class CheckSettings(Struct):
    """How checks are answered (`envoy.service.auth.v3.Authorization/Check`)."""

    listen: Address
    rules: Rules
    on_bad: Literal["deny", "allow"] = "deny"
    settle: Annotated[float, Meta(gt=0)] = 0.3  # seconds after which an admitted one counts as served
    reports: bool = False  # the proxy's access log tells of its end
    report_wait: Annotated[float, Meta(gt=0)] = 10.0  # seconds in which a report may come
    upstream: bool = False  # there is no list of backends: what is admitted goes to one
    backend_header: str = ""  # the chosen backend, for the proxy's routing
    add: dict[str, str] = field(default_factory=dict)  # headers for the upstream
    remove: list[str] = field(default_factory=list)
    most_open: Annotated[int, Meta(ge=1)] = 10_000
    longest: Annotated[int, Meta(ge=1024)] = 65_536  # bytes of one message
