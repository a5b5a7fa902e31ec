"""One control node's parts against hollow gateways: heartbeats, backends, directory, configuration.

The control node is made of the real parts and joins them as `roles/control.py` does; it has no disk, no
sockets and no HTTP.  Every gateway is subscribed and is sent everything; `SAMPLE` of them decode what comes
and acknowledge it, as a gateway's process does, and their figures stand for the others.
"""

from __future__ import annotations

import json

import attrs

from benchmarks.hollow_meter import Meter, Wire, Wires, connect
from kestrelbend.tier.configuration.document import read_accepted
from kestrelbend.tier.configuration.routing import RoutingTable
from kestrelbend.tier.configuration.stream import ConfigStream
from kestrelbend.tier.discovery.exchange import BackendExchange
from kestrelbend.tier.discovery.messages import BackendAck, BackendUpdate
from kestrelbend.tier.discovery.registry import BackendRegistry
from kestrelbend.tier.discovery.view import BackendView
from kestrelbend.tier.membership.directory import DirectoryView
from kestrelbend.tier.membership.messages import (
    ConfigAck,
    ConfigUpdate,
    Directory,
    Heartbeat,
    Member,
    MemberSummary,
    ShardPlacement,
    ShardReport,
)
from kestrelbend.tier.membership.placement import budget_shards
from kestrelbend.tier.membership.table import MemberTable, merge

SAMPLE = 10
ZONES = 13
MODELS = 8
STORES = 3
STORE_NAMES = tuple(f"10.0.1.{number}:7002#first" for number in range(STORES))


def member(number: int, role: str = "gateway") -> Member:
    """A process of the tier."""
    address = f"10.{number // 200}.2.{number % 200}:7001"
    replica = f"{address}#first" if role == "store" else ""
    front = role == "gateway"
    return Member(
        f"machine-{number:04d}",
        role,
        address,
        "",
        f"zone-{number % ZONES}",
        replica,
        False,
        not front,
        front,
        7,
    )


def report_of(number: int, sequence: int) -> dict:
    """A backend's heartbeat."""
    return {
        "Upstream": f"model-{number % MODELS}",
        "Address": f"10.{100 + number // 200}.3.{number % 200}:9000",
        "Zone": f"zone-{number % ZONES}",
        "Ver": "v1",
        "Slots": 64,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": sequence,
    }


def shard_reports() -> tuple[ShardReport, ...]:
    """What a store's heartbeat tells of six shards."""
    return tuple(
        ShardReport(name, STORE_NAMES[0], 3, STORE_NAMES[0], STORE_NAMES, 9_000, 9_000)
        for name in budget_shards()
    )


def configuration(version: int, routes: int) -> bytes:
    """A document with this many routes to the models' services."""
    rows = [
        {
            "Name": f"tenant-{number:05d}",
            "Hostname": f"tenant-{number:05d}.example",
            "PathPrefix": "/v1/turns/",
            "RouteType": "streaming",
            "TimeoutMs": 4000,
            "Upstream": f"model-{number % MODELS}",
        }
        for number in range(routes)
    ]
    services = [
        {"Name": f"model-{number}", "HealthPath": "/healthz", "MaxConns": 9} for number in range(MODELS)
    ]
    return json.dumps({"Ver": version, "Routes": rows, "Services": services, "Limits": {}}).encode()


class HollowGateway:
    """What a gateway does with the streams of one control node."""

    party = "gateway"

    def __init__(self, number: int) -> None:
        self.member = member(number)
        self.view = BackendView()
        self.directory = DirectoryView()
        self.table: RoutingTable | None = None
        self.now = 0.0
        self._beat = 0

    def heartbeat(self) -> Heartbeat:
        """The next heartbeat."""
        self._beat += 1
        return Heartbeat(self.member, self._beat, 1, False, ())

    def on_message(self, link: Wire, message, sequence: int) -> None:
        """As the gateway's process takes it."""
        if isinstance(message, BackendUpdate):
            self.view.take(message, self.now)
            link.send(BackendAck(message.sender, message.number))
        elif isinstance(message, Directory):
            self.directory.take("control", message)
        elif isinstance(message, ConfigUpdate):
            if message.body:
                self.table = RoutingTable.from_document(message.version, read_accepted(message.body).values)
            link.send(ConfigAck(message.version))


class HollowControl:
    """A control node's tables and streams."""

    party = "control"

    def __init__(self, wires: Wires) -> None:
        self.members = MemberTable()
        self.registry = BackendRegistry()
        self.peer = Wire(wires)  # one other control node: its cost is that of each
        self.exchange = BackendExchange("10.0.0.1:7000", self.registry.all, lambda: [self.peer])
        self.stream = ConfigStream()
        self.directory = DirectoryView()
        self.applied = 1
        self.body = b""
        self.now = 0.0
        self._streamed = 0
        self._summary_at = 0.0
        self._links: dict[Wire, Directory | None] = {}
        self._placements = tuple(ShardPlacement(name, STORE_NAMES, STORE_NAMES) for name in budget_shards())

    def subscribe(self, link: Wire) -> None:
        """A gateway's three streams."""
        self._links[link] = None
        self.stream.subscribe(link, self.applied)
        self.exchange.subscribe(link)

    def on_message(self, link: Wire, message, sequence: int) -> None:
        """As the control process takes it."""
        if isinstance(message, Heartbeat):
            self.members.heard(message, self.now)
        elif isinstance(message, MemberSummary):
            merge(self.members, message.beats, self.now)
        elif isinstance(message, BackendAck):
            self.exchange.take_ack(link, message)
        elif isinstance(message, ConfigAck):
            self.stream.take_ack(link, message.version)
        elif isinstance(message, BackendUpdate):
            for backend in message.backends:
                self.registry.merge(backend, self.now)
            self.exchange.stream(self.take_changes())

    def beat(self, number: int, sequence: int) -> None:
        """A backend's heartbeat at this node."""
        self.registry.beat(f"backend-{number:05d}", report_of(number, sequence), self.now)
        changes = self.take_changes()
        self.exchange.stream(changes)
        self.exchange.tell_peers(changes)

    def tell_members(self) -> None:
        """The summary for other control nodes."""
        self.members.forget_old(self.now)
        beats = self.members.heard_since(self._summary_at)
        self._summary_at = self.now
        if beats:
            self.peer.send(MemberSummary("10.0.0.1:7000", tuple(beats)))

    def send_directory(self) -> None:
        """Builds the directory as often as the process does, and sends it where it differs."""
        self.directory.take("own", self._directory())
        directory = self._directory()
        for link, sent in list(self._links.items()):
            if sent != directory:
                link.send(directory)
                self._links[link] = directory

    def stream_configuration(self) -> None:
        """What each tick does."""
        self.stream.stream(self.applied, self.body, True)

    def take_changes(self) -> list:
        """What has changed in the registry since this was last asked."""
        changes = self.registry.changes_since(self._streamed)
        self._streamed = changes.number
        return list(changes.backends)

    def _directory(self) -> Directory:
        reports = sorted(self.members.reports().values(), key=lambda report: report.shard)
        owners = tuple(attrs.evolve(report, applied_index=0, commit_index=0) for report in reports)
        return Directory(self.applied, tuple(self.members.members(self.now)), self._placements, owners, ())


class ControlWorld:
    """A control node, its gateways, stores and backends."""

    def __init__(self, gateways: int, backends: int) -> None:
        self.meter = Meter()
        self.wires = Wires(self.meter)
        self.control = HollowControl(self.wires)
        self.backends = backends
        self.gateways = [HollowGateway(number) for number in range(gateways)]
        self.stores = [member(10_000 + number, "store") for number in range(STORES)]
        self.links = [connect(self.wires, gateway, self.control) for gateway in self.gateways]
        for _, downward in self.links[SAMPLE:]:
            downward.receiver = None
        self._peer_link = Wire(self.wires)
        self._beats = 0

    def at(self, now: float) -> None:
        """Sets everybody's clock."""
        self.control.now = now
        for gateway in self.gateways:
            gateway.now = now

    def member_beats(self) -> None:
        """All processes' heartbeats of one turn, and the other control node's summary of the same."""
        self._beats += 1
        beats = []
        for gateway, (upward, _) in zip(self.gateways, self.links, strict=True):
            beat = gateway.heartbeat()
            beats.append(beat)
            self.meter.run("gateway.heartbeat", upward.send, beat)
        for store in self.stores:
            beat = Heartbeat(store, self._beats, 0, False, shard_reports())
            beats.append(beat)
            self._from_outside(beat)
        self.wires.deliver()
        self._from_outside(MemberSummary("10.0.0.2:7000", tuple(beats)))
        self.wires.deliver()

    def turn(self) -> None:
        """What a control node does every 250 ms."""
        self.meter.run("control.summary", self.control.tell_members)
        self.meter.run("control.directory", self.control.send_directory)
        self.wires.deliver()

    def backend_beat(self, number: int, sequence: int) -> None:
        """A backend's heartbeat, at this control node for every second one, else at the other."""
        if number % 2 == 0:
            self.meter.run("control.beat", self.control.beat, number, sequence)
        else:
            told = BackendRegistry().beat(f"backend-{number:05d}", report_of(number, sequence), 0.0)
            self._from_outside(BackendUpdate("10.0.0.2:7000", 0, False, (told,)))
        self.wires.deliver()

    def _from_outside(self, message) -> None:
        """Something that a process which is no part of the measurement sends to the control node."""
        link = Wire(self.wires, self.control)
        link.other_end = self._peer_link
        self.meter.run("bench", link.send, message)
