"""The measured figures put together for each role: what it takes a second at a size, and where it breaks.

Everything is in proportion to the gateways, as at the target: 390 gateways, 1,000 backends, 21 control nodes,
2,200 turns and 0.026 configuration changes a second.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from kestrelbend.tier.membership.placement import BUDGET_SHARDS
from kestrelbend.tier.membership.ring import MONITORS
from kestrelbend.tier.replication.host import COMPACT_ENTRIES
from kestrelbend.tier.roles.process import HEARTBEAT_S, MOST_CONTROL_LINKS, TICK_S

GATEWAYS = 390
BACKENDS = 1_000
CONTROL_NODES = 21
LEAST_CONTROL_NODES = 3
STORES = 3
TURNS_A_SECOND = 2_200
DAY_S = 86_400
CONFIGURATION_CHANGES_A_SECOND = 2_200 / DAY_S
MEMBER_CHANGES_A_SECOND = 2 * (23 + 78) / DAY_S  # each failure and restart: gone, and back
BEATS_A_SECOND = 1 / 1.2
STREAMED_A_SECOND = BEATS_A_SECOND / 2  # of each backend's beats every second one is streamed
GATEWAY_BYTES = 2_000
GATEWAY_MS = 39.0
CORE_MS = 1_000.0
ELECTION_MS = 450.0
TARGET_PROGRAMS_COLUMN = 1  # of the snapshots' sizes


@attrs.frozen
class Part:
    """What one mechanism takes of a process a second."""

    name: str
    bytes: float
    ms: float


class Target:
    """The rows of a run, read at any number of gateways."""

    def __init__(self, rows: dict, transport_us: float) -> None:
        self._rows = rows
        self.transport_ms = transport_us / 1000  # both ends of a frame, without coding

    def at(self, name: str, gateways: float) -> float:
        """A figure by its line; never below the least that was measured."""
        row = self._rows[name]
        slope, intercept = row.fit()
        x = gateways * (gateways + STORES) if max(row.x) > GATEWAYS else gateways
        scale = 0.001 if row.unit == "us" else 1.0
        return max(intercept + slope * x, min(row.values)) * scale

    def last(self, name: str) -> float:
        """A figure at the largest size that was measured."""
        return self._rows[name].values[-1]

    def gateway(self, gateways: float) -> list[Part]:
        """The control part of one gateway."""
        streams = min(MOST_CONTROL_LINKS, control_nodes(gateways))
        backends = gateways * BACKENDS / GATEWAYS
        updates = backends * STREAMED_A_SECOND * streams
        directories = (CONFIGURATION_CHANGES_A_SECOND + MEMBER_CHANGES_A_SECOND) * streams
        changes = CONFIGURATION_CHANGES_A_SECOND
        beats = 1 / HEARTBEAT_S
        frame = self.transport_ms / 2
        update_bytes = self.at("update to a gateway", gateways)
        update_bytes += self.at("acknowledgement of an update", gateways)
        return [
            Part(
                "heartbeats",
                beats * MONITORS * self.at("heartbeat", gateways),
                beats * (self.at("heartbeat, made by a gateway", gateways) + MONITORS * frame),
            ),
            Part(
                "backends' updates",
                updates * update_bytes,
                updates * (self.at("update taken by a gateway", gateways) + 2 * frame),
            ),
            Part(
                "directories",
                directories * self.at("directory", gateways),
                directories * (self.at("directory taken by a gateway", gateways) + frame),
            ),
            Part(
                "configurations",
                changes * streams * self.at("configuration of one route a tenant", gateways),
                changes * self.at("configuration put in force by a gateway", gateways),
            ),
        ]

    def control(self, gateways: float) -> list[Part]:
        """One of the control nodes that gateways are subscribed to."""
        streaming = min(MOST_CONTROL_LINKS, control_nodes(gateways))
        backends = gateways * BACKENDS / GATEWAYS
        members = gateways + STORES + control_nodes(gateways)
        frame = self.transport_ms / 2
        beats = members / HEARTBEAT_S * min(MONITORS, streaming) / streaming
        summaries = (streaming - 1) / HEARTBEAT_S
        updates = backends * STREAMED_A_SECOND * gateways
        directories = CONFIGURATION_CHANGES_A_SECOND + MEMBER_CHANGES_A_SECOND
        changes = CONFIGURATION_CHANGES_A_SECOND
        here = self.at("backend's beat here, streamed to all", gateways)
        told = self.at("backend's beat told by another, streamed to all", gateways)
        update_bytes = self.at("update to a gateway", gateways)
        update_bytes += self.at("acknowledgement of an update", gateways)
        changed = self.at("directory changed, sent to all gateways", gateways)
        summary = self.at("summary taken from one control node", gateways)
        summary += self.at("summary sent to one control node", gateways)
        return [
            Part(
                "heartbeats of members",
                beats * self.at("heartbeat", gateways),
                beats * (self.at("heartbeat, taken by a control node", gateways) + frame),
            ),
            Part(
                "summaries in and out",
                2 * summaries * self.at("summary", gateways),
                summaries * (summary + 2 * frame),
            ),
            Part(
                "directory, unchanged",
                0.0,
                self.at("directory built and compared, unchanged", gateways) / HEARTBEAT_S,
            ),
            Part(
                "directory, changed",
                directories * gateways * self.at("directory", gateways),
                directories * (changed + gateways * frame),
            ),
            Part(
                "backends' updates out",
                updates * self.at("update to a gateway", gateways),
                backends * BEATS_A_SECOND * (here + told) / 2 + updates * frame,
            ),
            Part(
                "their acknowledgements in",
                updates * self.at("acknowledgement of an update", gateways),
                updates * (self.at("acknowledgement taken by a control node", gateways) + frame),
            ),
            Part(
                "configurations",
                changes * gateways * self.at("configuration of one route a tenant", gateways),
                changes * self.at("configuration sent to all gateways", gateways),
            ),
            Part("ticks", 0.0, self.at("a tick that finds nothing to stream", gateways) / TICK_S),
        ]

    def store(self, gateways: float) -> list[Part]:
        """One of three stores."""
        turns = TURNS_A_SECOND * gateways / GATEWAYS
        measured = self.last("turns a second")
        work = self.last("three stores, processor time a second") / measured / STORES
        sent = self.last("three stores, bytes sent a second") / measured / STORES
        disk = self.last("one store, bytes to disk a second") / measured
        requests = self.last("requests to owners a turn")
        all_frames = self.last("frames a turn, all kinds")
        ends = 2 * all_frames - 2 * requests  # of requests and replies one end is a gateway's
        entries = turns * requests / BUDGET_SHARDS
        snapshots = BUDGET_SHARDS * entries / COMPACT_ENTRIES
        made = self._rows["snapshot made"].values[TARGET_PROGRAMS_COLUMN]
        size = self._rows["snapshot"].values[TARGET_PROGRAMS_COLUMN]
        return [
            Part("turns: coding, log, table", turns * sent, turns * work),
            Part("turns: links", 0.0, turns * ends / STORES * self.transport_ms / 2),
            Part("turns: disk", turns * disk, 0.0),
            Part("snapshots (six shards)", snapshots * size, snapshots * made),
        ]


def control_nodes(gateways: float) -> int:
    """Control nodes in proportion."""
    return max(LEAST_CONTROL_NODES, round(CONTROL_NODES * gateways / GATEWAYS))


def first_size(breaks: Callable[[int], bool]) -> int:
    """The least number of gateways at which something breaks; 0: not up to the target."""
    return next((size for size in range(1, GATEWAYS + 1) if breaks(size)), 0)


def print_target(rows: dict, transport_us: float) -> None:
    """The roles at the target, and the sizes at which each bound is met."""
    target = Target(rows, transport_us)
    print(f"\nAt {GATEWAYS} gateways, with {transport_us:.0f} us of both ends for a frame on the loopback")
    for role in (target.gateway, target.control, target.store):
        parts = role(GATEWAYS)
        for part in parts:
            print(f"{role.__name__:<10}{part.name:<32}{part.bytes:>16,.0f} bytes/s{part.ms:>12,.2f} ms/s")
        total = Part("together", sum(part.bytes for part in parts), sum(part.ms for part in parts))
        print(f"{role.__name__:<10}{total.name:<32}{total.bytes:>16,.0f} bytes/s{total.ms:>12,.2f} ms/s")
    changed = "directory changed, sent to all gateways"
    bounds = {
        "a gateway's control part above 2 KB/s": lambda size: _bytes(target.gateway(size)) > GATEWAY_BYTES,
        "a gateway's control part above 39 ms/s": lambda size: _ms(target.gateway(size)) > GATEWAY_MS,
        "a control node above one core": lambda size: _ms(target.control(size)) > CORE_MS,
        "a control node above one core, links left out": lambda size: (
            _ms(Target(rows, 0.0).control(size)) > CORE_MS
        ),
        "a changed directory holds it up for 0.45 s": lambda size: target.at(changed, size) > ELECTION_MS,
        "a store of three above one core": lambda size: _ms(target.store(size)) > CORE_MS,
        "a store of three above one core, links left out": lambda size: (
            _ms(Target(rows, 0.0).store(size)) > CORE_MS
        ),
    }
    for name, breaks in bounds.items():
        print(f"{name:<50}{first_size(breaks):>6} gateways")


def _bytes(parts: list[Part]) -> float:
    return sum(part.bytes for part in parts)


def _ms(parts: list[Part]) -> float:
    return sum(part.ms for part in parts)
