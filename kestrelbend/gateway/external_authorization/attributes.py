"""Who asks for what: read from what a proxy tells of a request, by rules that the configuration states.

No I/O and no protocol: `Told` is a plain view of the attributes, `read` gives an `Asked` or says in few words
what is wrong.
"""

from __future__ import annotations

import math
import re
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from ..settings.units import Address

LONGEST = 256  # characters of a value
FIELDS = ("customer", "plan", "operation", "units", "spread", "retry", "wait")


class Bad(Exception):
    """What was told cannot be used: `why` is one of a few words, `about` the field."""

    def __init__(self, about, why):
        self.about, self.why = about, why
        super().__init__(f"{about}: {why}")


class Told(Struct):
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

    def faults(self):
        if self.source in ("header", "query", "extension", "metadata", "constant") and not self.name:
            yield "name", f"has to be told for a {self.source}"
        try:
            if self.pattern and re.compile(self.pattern).groups != 1:
                yield "pattern", "needs one group in brackets: the value"
        except re.error as trouble:
            yield "pattern", f"not a regular expression: {trouble}"

    def read(self, told):
        """The value, or None."""
        if self.source == "header":
            value = told.headers.get(self.name.lower())
        elif self.source == "path":
            value = told.path.partition("?")[0]
        elif self.source == "query":
            pairs = (part.partition("=")[::2] for part in told.path.partition("?")[2].split("&"))
            value = next((v for k, v in pairs if k == self.name), None)
        elif self.source == "principal":
            value = told.principal or None
        elif self.source == "extension":
            value = told.extensions.get(self.name)
        elif self.source == "metadata":
            value = told.metadata.get(self.name)
        elif self.source == "method":
            value = told.method or None
        else:
            value = self.name
        if value is None or not self.pattern:
            return value
        found = re.search(self.pattern, value[:4096])
        return found[1] if found else None


class Rules(Struct):
    """Of each field the places where it may stand: all that are there must agree."""

    customer: list[Source]
    plan: list[Source]
    operation: list[Source]
    units: list[Source] = field(default_factory=list)  # 1 where none is told
    spread: list[Source] = field(default_factory=list)  # all gateways
    retry: list[Source] = field(default_factory=list)  # "1", "true": marked
    wait: list[Source] = field(default_factory=list)  # the client's time, in `wait_unit`
    wait_unit: Literal["s", "ms"] = "s"

    def faults(self):
        for name in ("customer", "plan", "operation"):
            if not getattr(self, name):
                yield name, "at least one place is needed"


class Asked(Struct):
    customer: str
    plan: str
    operation: str
    units: float
    spread: int
    retry: bool
    wait: float | None  # seconds


def value(name, sources, told):
    found = {got for source in sources if (got := source.read(told)) is not None}
    if len(found) > 1:
        raise Bad(name, "contradictory")
    got = found.pop() if found else None
    if got is not None and (not got or len(got) > LONGEST or not got.isprintable()):
        raise Bad(name, "not usable")
    return got


def number(name, text, otherwise, least, most, kind=float):
    if text is None:
        return otherwise
    try:
        got = kind(text)
    except ValueError:
        raise Bad(name, "not a number") from None
    if not math.isfinite(got) or not least <= got <= most:
        raise Bad(name, "out of range")
    return got


def read(told, rules, operations, plans, gateways, most_units):
    """An `Asked`; raises `Bad`."""
    got = {name: value(name, getattr(rules, name), told) for name in FIELDS}
    for name, known in (("customer", None), ("plan", plans), ("operation", operations)):
        if got[name] is None:
            raise Bad(name, "missing")
        if known is not None and got[name] not in known:
            raise Bad(name, "unknown")
    scale = 1.0 if rules.wait_unit == "s" else 0.001
    wait = number("wait", got["wait"], None, 1e-6 / scale, 1e6 / scale)
    return Asked(
        got["customer"],
        got["plan"],
        got["operation"],
        number("units", got["units"], 1.0, 1e-6, most_units or 1e9),
        number("spread", got["spread"], gateways, 1, gateways, int),
        (got["retry"] or "").lower() in ("1", "true", "yes"),
        None if wait is None else wait * scale,
    )


class Checks(Struct):
    """Answering `envoy.service.auth.v3.Authorization/Check`."""

    listen: Address
    rules: Rules
    on_bad: Literal["deny", "allow"] = "deny"
    settle: Annotated[float, Meta(gt=0)] = 0.3  # seconds after which an admitted one counts as served
    reports: bool = False  # the proxy's access log tells of its end
    report_wait: Annotated[float, Meta(gt=0)] = 10.0  # seconds in which a report may come
    upstream: bool = False  # there is no list of backends: what is let in goes to one
    backend_header: str = ""  # the chosen backend, for the proxy's routing
    add: dict[str, str] = field(default_factory=dict)  # headers for the upstream
    remove: list[str] = field(default_factory=list)
    most_open: Annotated[int, Meta(ge=1)] = 10_000
    longest: Annotated[int, Meta(ge=1024)] = 65_536  # bytes of one message
