"""A whole installation in one TOML file: a gateway's terms, where everything is, and its optional parts."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

from ..fronts.asking import Authoriser
from ..fronts.attributes import Checks
from .model import MS, PositiveFloat, S, PositiveInt, Terms
from .units import Address, Microseconds, ByteSize


class Logs(Struct):
    form: Literal["key-value", "json"] = "key-value"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Limits(Struct):
    sockets: PositiveInt = 1024  # descriptors that the process may hold
    memory: ByteSize = ByteSize(0)  # 0: not told


class Members(Struct):
    """Where this gateway meets the others, by UDP."""

    listen: Address
    seen_at: Address | None = None  # where others reach it, if that is another address
    peers: list[Address] = field(default_factory=list)  # some of the others, or all with this one
    keys: dict[str, str] = field(default_factory=dict)  # by number, 1 to 255: 16 bytes, hexadecimal
    period: Microseconds = Microseconds(300 * MS)  # between pings
    most_per_s: PositiveFloat = 40.0  # datagrams sent; never more
    share_probes: bool = True  # cold backends are probed by one gateway for all

    def faults(self):
        if not self.keys:
            yield "keys", "at least one is needed: gateways that share none do not know each other"
        for number, text in self.keys.items():
            try:
                usable = number.isdecimal() and 0 < int(number) < 256 and len(bytes.fromhex(text)) >= 16
            except ValueError:
                usable = False
            if not usable:
                yield ("keys", number), "expected a number, 1 to 255, and 32 hexadecimal digits or more"
        for at, address in enumerate(self.peers):
            if not ipv4(address):
                yield ("peers", at), f"expected an IPv4 address and port, got {str(address)!r}"
        for key in ("listen", "seen_at"):
            if getattr(self, key) is not None and not ipv4(getattr(self, key)):
                yield key, f"expected an IPv4 address and port, got {str(getattr(self, key))!r}"
        if not 50 * MS <= self.period <= 60 * S:
            yield "period", "lies between 50ms and 1m"
        if self.most_per_s < 4:
            yield "most_per_s", "less than 4 leaves no room for pings and their answers"

    def resolved(self, name):
        """What `net.peers` is made of."""
        listen = self.listen.pair
        return MembershipSettings(
            name,
            listen,
            self.seen_at.pair if self.seen_at else listen,
            [address.pair for address in self.peers],
            {int(number): bytes.fromhex(text) for number, text in self.keys.items()},
            int(self.period),
            float(self.most_per_s),
            self.share_probes,
        )


class MembershipSettings(Struct):
    name: str
    listen: tuple[str, int]
    seen_at: tuple[str, int]
    peers: list[tuple[str, int]]
    keys: dict[int, bytes]
    period: int
    most_per_s: float
    share_probes: bool


def ipv4(address):
    parts = address.rpartition(":")[0].split(".")
    return len(parts) == 4 and all(part.isdecimal() and int(part) < 256 for part in parts)


class Installation(Terms, kw_only=True):
    """One gateway: its terms, and where everything is."""

    name: str
    listen: Address
    discovery: Address
    counter_at: Address | None = None
    seed: str = "0"  # hexadecimal; chance is drawn from it
    limits: Limits = field(default_factory=Limits)
    logs: Logs = field(default_factory=Logs)
    members: Members | None = None
    checks: Checks | None = None  # answering external authorisation over gRPC
    authorisers: list[Authoriser] = field(default_factory=list)  # asked before the first delivery

    def faults(self):
        try:
            int(self.seed, 16)
        except ValueError:
            yield "seed", f"not a hexadecimal number: {self.seed!r}"
        for what in ("operations", "plans"):
            names = [each.name for each in getattr(self, what)]
            if not names:
                yield what, "at least one is needed"
            for at, name in enumerate(names):
                if name in names[:at]:
                    yield (what, at, "name"), f"{name!r} is named twice"
        for at, op in enumerate(self.operations):
            if op.timeout < op.objective:
                yield ("operations", at, "timeout"), "is shorter than the objective"
        for at, plan in enumerate(self.plans):
            if not plan.rate and not plan.most_out:
                yield ("plans", at), "needs a rate, or most_out, or both"
            if plan.rate and plan.burst <= 0:
                yield ("plans", at, "burst"), "with a rate, some units have to be usable at once"
            if plan.ceiling_rate and plan.ceiling_burst <= 0:
                yield ("plans", at, "ceiling_burst"), "with a ceiling, some units have to be usable at once"
        known = {"operations": {op.name for op in self.operations}, "plans": {p.name for p in self.plans}}
        for at, each in enumerate(self.authorisers):
            if each.name in [other.name for other in self.authorisers[:at]]:
                yield ("authorisers", at, "name"), f"{each.name!r} is named twice"
            for what, names in known.items():
                for name in getattr(each, what):
                    if name not in names:
                        yield ("authorisers", at, what), f"none is named {name!r}"
        for at, op in enumerate(self.operations):
            budget = sum(a.budget for a in self.authorisers if not a.operations or op.name in a.operations)
            if budget * S > op.objective / 2:
                yield (
                    ("operations", at, "objective"),
                    (f"its authorisers may take {budget:g} s of it together, more than half"),
                )
        if self.fleet.number >= self.fleet.gateways:
            yield ("fleet", "number"), f"there are {self.fleet.gateways} gateways, numbered from 0"
        if self.counter.allowed and self.counter_at is None:
            yield "counter_at", "the counter may be used, but nothing says where it is"
        if not self.backends.idle_close:
            yield ("backends", "idle_close"), "has to be told: connections are closed before it"
