"""The contents of a gateway's TOML file: decision settings, addresses, and optional parts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Literal

from msgspec import Struct, field

from ..external_authorization.attributes import CheckSettings
from ..external_authorization.authoriser import AuthoriserSettings
from .model import MILLISECOND, SECOND, DecisionSettings, Plan, PositiveFloat, PositiveInt
from .units import Address, ByteSize, Microseconds

MIN_PERIOD = 50 * MILLISECOND
MAX_PERIOD = 60 * SECOND
MIN_DATAGRAMS_PER_S = 4
MIN_KEY_BYTES = 16
MAX_KEY_NUMBER = 255

KeyFault = tuple[str | tuple[str | int, ...], str]
"""A key, or its path below the struct, and a description of the error."""


class Logs(Struct):
    """The format of log lines, and the level from which they are written."""

    form: Literal["key-value", "json"] = "key-value"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Limits(Struct):
    """The resources of its machine that the process may use."""

    sockets: PositiveInt = 1024  # maximum of open file descriptors
    memory: ByteSize = ByteSize(0)  # 0: unknown


class Members(Struct):
    """The gateways' membership protocol, over UDP."""

    listen: Address
    seen_at: Address | None = None  # address at which other gateways reach this one, if it differs
    peers: list[Address] = field(default_factory=list)  # some or all gateways; may include this one
    keys: dict[str, str] = field(default_factory=dict)  # by number, 1 to 255: 16 bytes or more, hexadecimal
    period: Microseconds = Microseconds(300 * MILLISECOND)  # between pings
    most_per_s: PositiveFloat = 40.0  # maximum of datagrams sent per second
    share_probes: bool = True  # whether one gateway probes cold backends on behalf of all

    def faults(self) -> Iterator[KeyFault]:
        """Yields (key, text) for invalid values and for fields that contradict each other."""
        if not self.keys:
            yield "keys", "at least one is needed: gateways without a common key ignore each other"
        for number, text in self.keys.items():
            if not _is_valid_key(number, text):
                yield ("keys", number), "expected a number, 1 to 255, and 32 hexadecimal digits or more"
        for position, peer in enumerate(self.peers):
            if not is_ipv4(peer):
                yield ("peers", position), f"expected an IPv4 address and port, got {str(peer)!r}"
        for key, address in (("listen", self.listen), ("seen_at", self.seen_at)):
            if address is not None and not is_ipv4(address):
                yield key, f"expected an IPv4 address and port, got {str(address)!r}"
        if not MIN_PERIOD <= self.period <= MAX_PERIOD:
            yield "period", "must be between 50ms and 1m"
        if self.most_per_s < MIN_DATAGRAMS_PER_S:
            yield "most_per_s", "must be at least 4, for pings and their replies"

    def to_membership_settings(self, name: str) -> MembershipSettings:
        """Converts it to the settings that `net.peers` takes, for the gateway of this name."""
        listen = self.listen.host_and_port
        return MembershipSettings(
            name=name,
            listen=listen,
            seen_at=self.seen_at.host_and_port if self.seen_at else listen,
            peers=[address.host_and_port for address in self.peers],
            keys={int(number): bytes.fromhex(text) for number, text in self.keys.items()},
            period=int(self.period),
            most_per_s=float(self.most_per_s),
            share_probes=self.share_probes,
        )


class MembershipSettings(Struct):
    """The settings of the membership protocol, with all addresses and keys parsed."""

    name: str
    listen: tuple[str, int]
    seen_at: tuple[str, int]
    peers: list[tuple[str, int]]
    keys: dict[int, bytes]
    period: int  # microseconds
    most_per_s: float  # maximum of datagrams sent
    share_probes: bool


def _is_valid_key(number: str, text: str) -> bool:
    """Whether a key's number and its hexadecimal text are valid."""
    try:
        is_number = number.isdecimal() and 0 < int(number) <= MAX_KEY_NUMBER
        return is_number and len(bytes.fromhex(text)) >= MIN_KEY_BYTES
    except ValueError:
        return False


def is_ipv4(address: str) -> bool:
    """Whether the host of host:port is an IPv4 address."""
    parts = address.rpartition(":")[0].split(".")
    return len(parts) == 4 and all(part.isdecimal() and int(part) < 256 for part in parts)


class Installation(DecisionSettings, kw_only=True):
    """All settings of one gateway."""

    name: str
    listen: Address
    discovery: Address
    counter_at: Address | None = None
    seed: str = "0"  # of the random generators, hexadecimal
    limits: Limits = field(default_factory=Limits)
    logs: Logs = field(default_factory=Logs)
    members: Members | None = None
    checks: CheckSettings | None = None  # serving external authorisation over gRPC
    authorisers: list[AuthoriserSettings] = field(default_factory=list)  # called before the first delivery

    def faults(self) -> Iterator[KeyFault]:
        """Yields (key, text) for invalid values and for fields that contradict each other."""
        try:
            int(self.seed, 16)
        except ValueError:
            yield "seed", f"not a hexadecimal number: {self.seed!r}"
        yield from _list_faults("operations", [operation.name for operation in self.operations])
        yield from _list_faults("plans", [plan.name for plan in self.plans])
        for position, operation in enumerate(self.operations):
            if operation.timeout < operation.objective:
                yield ("operations", position, "timeout"), "is shorter than the objective"
        for position, plan in enumerate(self.plans):
            yield from _plan_faults(position, plan)
        yield from self._authoriser_faults()
        yield from self._objective_faults()
        if self.fleet.number >= self.fleet.gateways:
            yield ("fleet", "number"), f"there are {self.fleet.gateways} gateways, numbered from 0"
        if self.counter.allowed and self.counter_at is None:
            yield "counter_at", "the counter is allowed, but nothing says where it is"
        if not self.backends.idle_close:
            yield ("backends", "idle_close"), "has to be told: the gateway closes idle connections before it"

    def _authoriser_faults(self) -> Iterator[KeyFault]:
        """Checks that authorisers have unique names and refer to existing operations and plans."""
        operations = {operation.name for operation in self.operations}
        plans = {plan.name for plan in self.plans}
        names: list[str] = []
        for position, authoriser in enumerate(self.authorisers):
            if authoriser.name in names:
                yield ("authorisers", position, "name"), f"{authoriser.name!r} is named twice"
            names.append(authoriser.name)
            for name in authoriser.operations:
                if name not in operations:
                    yield ("authorisers", position, "operations"), f"none is named {name!r}"
            for name in authoriser.plans:
                if name not in plans:
                    yield ("authorisers", position, "plans"), f"none is named {name!r}"

    def _objective_faults(self) -> Iterator[KeyFault]:
        """Checks that an operation's authorisers together may take at most half of its latency objective."""
        for position, operation in enumerate(self.operations):
            called = [
                each for each in self.authorisers if not each.operations or operation.name in each.operations
            ]
            budget_s = sum(authoriser.budget for authoriser in called)
            if budget_s * SECOND > operation.objective / 2:
                text = f"its authorisers together may take {budget_s:g} s, more than half of it"
                yield ("operations", position, "objective"), text


def _list_faults(key: str, names: list[str]) -> Iterator[KeyFault]:
    """Checks that a list has at least one item and that names are unique."""
    if not names:
        yield key, "at least one is needed"
    for position, name in enumerate(names):
        if name in names[:position]:
            yield (key, position, "name"), f"{name!r} is named twice"


def _plan_faults(position: int, plan: Plan) -> Iterator[KeyFault]:
    """Checks that a plan has a quota, and that each of its rates has a burst."""
    if not plan.rate and not plan.most_out:
        yield ("plans", position), "needs a rate, or most_out, or both"
    if plan.rate and plan.burst <= 0:
        yield ("plans", position, "burst"), "must be positive: some units must be usable at once"
    if plan.ceiling_rate and plan.ceiling_burst <= 0:
        yield ("plans", position, "ceiling_burst"), "must be positive: some units must be usable at once"
