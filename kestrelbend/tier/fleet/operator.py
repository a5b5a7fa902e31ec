"""The operator: changes of the configuration, sent until they are answered, and the rules of the answers."""

from __future__ import annotations

import asyncio
import enum
import json
import random
from collections.abc import Iterator
from typing import Any

import attrs

from .answers import check_contact, check_emptied
from .fleet import Fleet
from .http import Failure, Reply

Json = dict[str, Any]  # an object of the operator's document

MARKER = "marker"  # the route whose prefix names the order that brought a configuration
CALL_TIMEOUT_S = 1.0  # of one call
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
ACK_S = 4.0  # AckMs: with a stable core a change is answered within this
GIVE_UP_S = 14.0  # until an order without an answer is sent no more
FINAL_STATUSES = (400, 409, 412, 413, 422)  # rejections that hold for ever
BASE_VERSION = b"x-kestrelbend-base-version"
READ_BACK_S = 15.0  # until a read without an answer is given up


class Mistake(enum.Enum):
    """What is wrong with an invalid order."""

    CUT_SHORT = enum.auto()
    UNKNOWN_SERVICE = enum.auto()
    OLD_VERSION = enum.auto()


@attrs.define(eq=False)
class Order:
    """One change; its `number` stands in the configuration that it brings."""

    number: int
    kind: str  # "Put" or "Patch"
    base: int
    version: int
    body: bytes
    valid: bool = True
    sent_at: float = 0.0
    acknowledged_at: float | None = None
    rejected_at: float | None = None
    undetermined: bool = False
    overdue: bool = False

    def was_acknowledged(self, by: float) -> bool:
        """Whether it was acknowledged up to a moment, in seconds of the loop."""
        return self.acknowledged_at is not None and self.acknowledged_at <= by

    def __str__(self) -> str:
        return f"order {self.number} ({self.kind} {self.base} to {self.version})"


def services() -> list[Json]:
    """A model service and a plain one."""
    engine = {"Slots": 16, "KvTokens": 160000, "Stride": 8, "Models": [{"Name": "m"}]}
    return [
        {"Name": "model", "HealthPath": "/healthz", "MaxConns": 190, "Engine": engine},
        {"Name": "tools", "HealthPath": "/healthz", "MaxConns": 120},
    ]


def route(name: str, prefix: str, service: str, kind: str) -> Json:
    """A route in the operator's terms."""
    return {
        "Name": name,
        "Hostname": "host.example",
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 4000,
        "SloMs": 250,
        "Retries": 2,
        "Upstream": service,
    }


def marker_route(number: int) -> Json:
    """The route that tells which order a configuration came by."""
    return route(MARKER, f"/order-{number}/", "tools", "idempotent")


class Operator:
    """Sends orders to control nodes as the platform's list names them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.orders: dict[int, Order] = {}
        self.acknowledgement_loss = 0.0  # the share of answers that get lost
        self.acknowledged_by: str = ""  # the machine that acknowledged last
        self.version = 0  # the newest that is known to be in force
        self._random = random.Random(f"operator {fleet.seed}")
        self._number = 0

    # Making orders

    def put(self, base: int | None = None) -> Order:
        """A whole configuration."""
        self._number += 1
        version = self._next_version(base)
        routes = [
            route("turns", "/turns/", "model", "streaming"),
            route("calls", "/calls/", "tools", "non_idempotent"),
            marker_route(self._number),
        ]
        document = {"Ver": version, "Routes": routes, "Services": services()}
        return self._order("Put", base, version, document)

    def patch(self, base: int | None = None) -> Order:
        """A change of one route."""
        self._number += 1
        version = self._next_version(base)
        return self._order(
            "Patch", base, version, {"Ver": version, "Upsert": {"Routes": [marker_route(self._number)]}}
        )

    def invalid(self) -> Order:
        """An order that must be refused."""
        order = self.put()
        order.valid = False
        mistake = self._random.choice((Mistake.CUT_SHORT, Mistake.UNKNOWN_SERVICE, Mistake.OLD_VERSION))
        if mistake == Mistake.CUT_SHORT:
            order.body = order.body[: len(order.body) // 2]
        elif mistake == Mistake.UNKNOWN_SERVICE:
            order.body = order.body.replace(b'"Upstream": "tools"', b'"Upstream": "nobody"')
        else:
            order.version = self.version
            order.body = json.dumps(json.loads(order.body) | {"Ver": max(1, self.version)}).encode()
        return order

    def _next_version(self, base: int | None) -> int:
        return (self.version if base is None else base) + self._random.randint(1, 3)

    def _order(self, kind: str, base: int | None, version: int, document: Json) -> Order:
        base = self.version if base is None else base
        order = Order(self._number, kind, base, version, json.dumps(document).encode())
        self.orders[order.number] = order
        return order

    # Sending them

    async def change(self) -> Order:
        """One change, sent until it is answered."""
        can_patch = self.version > 0
        order = self.patch() if can_patch and self._random.random() < 0.5 else self.put()
        return await self.send(order)

    async def race(self) -> list[Order]:
        """Two changes on the same version at once."""
        return list(await asyncio.gather(self.send(self.put()), self.send(self.put())))

    def rivals(self) -> list[Order]:
        """Two operators' changes on the same version, under one number."""
        first, second = self.put(), self.put()
        second.version = first.version
        second.body = json.dumps(json.loads(second.body) | {"Ver": first.version}).encode()
        return [first, second]

    async def send_everywhere(self, order: Order) -> None:
        """Sends an order to every control node without an answer, and then until one comes."""
        order.sent_at = order.sent_at or self.fleet.now()
        order.undetermined = True
        addresses = list(self.fleet.published_control_addresses())
        self._random.shuffle(addresses)
        for address in addresses:
            await self._call(address, order)
        await self.send(order)

    async def send(self, order: Order) -> Order:
        """Sends an order until it is answered, to another node after each failure."""
        order.sent_at = order.sent_at or self.fleet.now()
        begun = self.fleet.now()
        backoff = INITIAL_BACKOFF_S
        for address in self._addresses():
            reply = await self._call(address, order)
            if isinstance(reply, Reply) and (reply.status == 200 or reply.status in FINAL_STATUSES):
                self._answered(order, reply, address)
                return order
            order.undetermined = True
            self._check_time(order, begun)
            if self.fleet.now() - begun > GIVE_UP_S:
                self.fleet.log(f"{order} is given up")
                return order
            await asyncio.sleep(backoff * self._random.uniform(0.7, 1.3))
            backoff = min(2 * backoff, MAX_BACKOFF_S)
        return order

    async def _call(self, address: str, order: Order) -> Reply | Failure:
        headers = [(BASE_VERSION, str(order.base).encode())]
        path = f"/api/Config.{order.kind}"
        requested_at = self.fleet.now()
        reply = await self.fleet.http.call(address, "POST", path, headers, order.body, CALL_TIMEOUT_S)
        check_contact(self.fleet, address, requested_at, reply)
        if self._random.random() < self.acknowledgement_loss:
            return Failure.NO_ANSWER
        return reply

    def _addresses(self) -> Iterator[str]:
        """Control addresses without end, in any order; those of now come in with the platform's list."""
        while True:
            addresses = list(self.fleet.published_control_addresses())
            self._random.shuffle(addresses)
            yield from addresses

    def _check_time(self, order: Order, begun: float) -> None:
        stable_since = max(begun, self.fleet.contact.core_stable_since())
        late = self.fleet.now() - stable_since > ACK_S
        if late and order.valid and not order.overdue and not self.acknowledgement_loss:
            order.overdue = True
            self.fleet.report_violation(f"{order} has no answer after AckMs with a stable core")

    def _answered(self, order: Order, reply: Reply, address: str) -> None:
        if reply.status == 200:
            self._acknowledged(order, address)
        else:
            self._rejected(order, reply)

    def _acknowledged(self, order: Order, address: str) -> None:
        now = self.fleet.now()
        self.fleet.log(f"{order} is acknowledged")
        self.acknowledged_by = address.partition(":")[0]
        if not order.valid:
            self.fleet.report_violation(f"{order} is invalid and acknowledged")
        if order.rejected_at is not None:
            self.fleet.report_violation(f"{order} was refused and then acknowledged")
        if order.acknowledged_at is None:
            order.acknowledged_at = now
        for other in self.orders.values():
            if other is not order and other.acknowledged_at is not None and other.base == order.base:
                self.fleet.report_violation(f"{order} and {other} are both acknowledged")
        self.version = max(self.version, order.version)

    def _rejected(self, order: Order, reply: Reply) -> None:
        self.fleet.log(f"{order} is refused with {reply.status}: {reply.body.decode()[:80]}")
        order.rejected_at = self.fleet.now()
        if not order.valid:
            return
        if order.acknowledged_at is not None and self.newest_acknowledged() is order:
            self.fleet.report_violation(f"{order} was acknowledged and is refused with {reply.status}")
        elif order.acknowledged_at is None and not self.rivals_of(order):
            self.fleet.report_violation(f"{order} is refused with {reply.status}, and nothing else was sent")

    def rivals_of(self, order: Order) -> list[Order]:
        """Other changes that may have been taken on the same version or a later one."""
        rivals = (other for other in self.orders.values() if other is not order and other.valid)
        return [other for other in rivals if other.version > order.base and other.sent_at]

    async def retire(self, node: str, within: float) -> bool:
        """Asks for a storage machine to be emptied; whether it may be taken away."""
        body = json.dumps({"DeadlineS": within}).encode()
        reply = await self._call_until_determined("POST", f"/api/Retire.Start/{node}", body, ACK_S)
        self.fleet.log(f"retire {node}: {reply and reply.status}")
        if reply is None or reply.status != 200:
            return False
        ends = self.fleet.now() + within
        while self.fleet.now() < ends:
            reply = await self._call_until_determined("GET", f"/api/Retire.Get/{node}", b"", ACK_S)
            if reply is not None and reply.status == 200 and json.loads(reply.body)["State"] == "complete":
                check_emptied(self.fleet, node)
                return True
            await asyncio.sleep(0.3)
        self.fleet.report_violation(f"{node} is not emptied within {within:.0f} s")
        return False

    async def _call_until_determined(
        self, method: str, path: str, body: bytes, within: float
    ) -> Reply | None:
        ends = self.fleet.now() + within
        for address in self._addresses():
            requested_at = self.fleet.now()
            reply = await self.fleet.http.call(address, method, path, (), body, CALL_TIMEOUT_S)
            check_contact(self.fleet, address, requested_at, reply)
            if isinstance(reply, Reply) and (reply.status == 200 or 400 <= reply.status < 500):
                return reply
            if self.fleet.now() > ends:
                return None
            await asyncio.sleep(INITIAL_BACKOFF_S)
        return None

    # What must be in force

    def newest_acknowledged(self) -> Order | None:
        """The acknowledged order of the highest version."""
        taken = [order for order in self.orders.values() if order.acknowledged_at is not None]
        return max(taken, key=lambda order: order.version, default=None)

    def required_version(self, by: float) -> int:
        """The highest version acknowledged up to a moment."""
        versions = (order.version for order in self.orders.values() if order.was_acknowledged(by))
        return max(versions, default=0)

    def learn(self, version: int) -> None:
        """A version was read back."""
        self.version = max(self.version, version)

    async def read(self, within: float = READ_BACK_S) -> Json | None:
        """The configuration as `Config.Get` answers it."""
        ends = self.fleet.now() + within
        for address in self._addresses():
            reply = await self.fleet.http.call(address, "GET", "/api/Config.Get", timeout=CALL_TIMEOUT_S)
            if isinstance(reply, Reply) and reply.status == 200:
                document: Json = json.loads(reply.body)
                return document
            if self.fleet.now() > ends:
                return None
            await asyncio.sleep(0.2)
        return None

    async def read_back(self) -> None:
        """What is read at the end is the newest acknowledged configuration or a later one that was sent."""
        newest = self.newest_acknowledged()
        document = await self.read()
        if document is None:
            if newest is not None:
                self.fleet.report_violation("the configuration can't be read back")
            return
        if newest is not None and document["Ver"] < newest.version:
            self.fleet.report_violation(f"version {document['Ver']} is read back, {newest} was acknowledged")
        self.check_in_force(document["Ver"], order_number(document["Routes"]), "read back")
        self.learn(document["Ver"])

    def check_in_force(self, version: int, number: int, where: str) -> None:
        """A configuration that was refused, or that nobody sent, must not be in force."""
        order = self.orders.get(number)
        if order is None or order.version != version:
            self.fleet.report_violation(f"{where}: version {version} with the routes of order {number}")
        elif not order.valid:
            self.fleet.report_violation(f"{where}: {order} is invalid and in force")
        elif order.rejected_at is not None and order.acknowledged_at is None:
            self.fleet.report_violation(f"{where}: {order} was refused and is in force")


def order_number(routes: list[Json]) -> int:
    """The order that a document's routes came by."""
    return order_number_of_prefix(next(item["PathPrefix"] for item in routes if item["Name"] == MARKER))


def order_number_of_prefix(prefix: str) -> int:
    """The order that a marker's prefix names."""
    return int(prefix.strip("/").rpartition("-")[2])
