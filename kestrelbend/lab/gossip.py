"""Fleets of membership cores in simulated time: lost, doubled and late datagrams, stops, cuts and restarts.

For measurements and for tests; `gateway.decisions` has no part here.  A member's clock may be off, and
steps, since its core is handed whatever its machine says.
"""

from __future__ import annotations

import math
from collections import Counter
from random import Random

from ..gateway.gossip.addresses import pack_address
from ..gateway.gossip.codec import Codec
from ..gateway.gossip.errors import UnreadableMessage
from ..gateway.gossip.messages import MemberState
from ..gateway.gossip.parameters import SwimParameters
from ..gateway.gossip.swim import SwimNode
from .clock import SimClock

S = 1_000_000
KEYS = {1: b"a key for tests only"}


class Node:
    """A machine and, while it is up, its member."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.name = fleet, number, f"n{number}"
        self.address = pack_address((f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 7946))
        self.core, self.up, self.still, self.inbox, self.offset = None, False, False, [], 0
        self.alarm = None
        self.slow = 0

    def time(self):
        return self.fleet.clock.now + self.offset

    def start(self, peers):
        self.up, self.still, self.inbox = True, False, []
        generation = self.time() // 1000
        self.core = SwimNode(
            self.name,
            self.address,
            generation,
            self.fleet.parameters,
            Random(self.fleet.random()),
            self.time(),
            peers,
        )
        self.wake()

    def kill(self):
        self.up, self.core = False, None

    def stop(self, still):
        self.still = still
        if not still and self.up:
            waiting, self.inbox = self.inbox, []
            for source, data in waiting:
                self.got(source, data)
            self.wake()

    def got(self, source, data):
        if not self.up:
            return
        if self.still:
            if len(self.inbox) < 200:  # what a socket holds
                self.inbox.append((source, data))
            return
        try:
            message = self.fleet.codec.decode(data)
        except UnreadableMessage as error:
            self.fleet.counts[f"unreadable {error.reason}"] += 1
            return
        self.core.receive(self.time(), source, message)
        self.fleet.after(self)
        self.wake()

    def wake(self):
        if self.up and not self.still:
            self.flush()
            if self.alarm is not None:
                self.fleet.clock.cancel(self.alarm)
            left = max(1000, self.core.due_us() - self.time())
            self.alarm = self.fleet.clock.after(left, self.tick, self.core)

    def tick(self, core):
        self.alarm = None
        if core is self.core and self.up and not self.still:
            core.tick(self.time())
            self.fleet.after(self)
            self.wake()

    def flush(self):
        while self.core.outgoing:
            address, message = self.core.outgoing.popleft()
            self.fleet.carry(self, address, self.fleet.codec.encode(message))


class Fleet:
    """`loss`, `doubled` and `late` are chances for each datagram."""

    def __init__(self, count, seed=1, loss=0.0, doubled=0.0, late=0.0, parameters=None, seeds=3):
        self.clock, self.random = SimClock(), Random(seed).random
        self.loss, self.doubled, self.late = loss, doubled, late
        self.parameters, self.codec, self.counts = parameters or SwimParameters(), Codec(KEYS), Counter()
        self.nodes = [Node(self, n) for n in range(count)]
        self.by_address = {node.address: node for node in self.nodes}
        self.seeds = [node.address for node in self.nodes[:seeds]]
        self.cuts, self.changes = [], []

    def start(self, spread=S):
        for node in self.nodes:
            self.clock.after(int(self.random() * spread) + 1, node.start, self.seeds)

    def run(self, seconds):
        self.clock.run(self.clock.now + int(seconds * S))

    def carry(self, node, address, data):
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(data)
        other = self.by_address.get(address)
        if other is None or any(cut(node, other) for cut in self.cuts):
            return
        for _ in range(1 + (self.random() < self.doubled)):
            if self.random() < self.loss:
                self.counts["lost"] += 1
                continue
            delay = int(500 + 2000 * self.random())
            if self.random() < self.late:
                delay += int(S * self.random())
            self.clock.after(delay + other.slow, other.got, node.address, data)

    def after(self, node):
        while node.core.changes:
            change = node.core.changes.popleft()
            self.changes.append((self.clock.now, node, change))

    def live(self):
        return [node for node in self.nodes if node.up]

    def agree(self):
        """Whether all that are up see just those that are up."""
        names = sorted(node.name for node in self.live())
        return bool(names) and all(sorted(node.core.view.live_names()) == names for node in self.live())

    def until(self, held, seconds, step=0.1):
        """Seconds until it held, or infinity."""
        began = self.clock.now
        while self.clock.now - began < seconds * S:
            if held():
                return (self.clock.now - began) / S
            self.run(step)
        return math.inf

    def count(self, what):
        return sum(getattr(node.core.local.counters, what) for node in self.live())

    def deaths(self, since=0):
        """(when, who saw it, of whom) of deaths seen from then on."""
        return [
            (at, node, change.member.name)
            for at, node, change in self.changes
            if at >= since and change.state == MemberState.DEAD
        ]


def measured(count, seed, loss, quiet=60, deaths=10):
    """Figures of one fleet: how long it takes to agree, what it sends at rest, who is called dead wrongly,
    and how soon deaths are seen."""
    fleet = Fleet(count, seed=seed, loss=loss, seeds=count)
    fleet.start()
    fleet.run(1)
    agreed = 1 + fleet.until(fleet.agree, 120)
    fleet.run(5)
    began, sent, size = fleet.clock.now, fleet.counts["datagrams"], fleet.counts["bytes"]
    fleet.run(quiet)
    wrong = len({(node.name, name) for _, node, name in fleet.deaths(began)})
    rate = [
        (fleet.counts[what] - before) / quiet / count
        for what, before in (("datagrams", sent), ("bytes", size))
    ]
    suspected, dead, moved = [], [], []
    for number in range(min(deaths, count // 3)):
        victim = fleet.nodes[-1 - number]
        at = fleet.clock.now
        moved.append(share_moved(fleet, victim))
        victim.kill()
        rest = fleet.live()

        def all_of(least, rest=rest, name=victim.name):
            return all(node.core.members[name].state >= least for node in rest if name in node.core.members)

        suspected.append(fleet.until(lambda: all_of(MemberState.SUSPECT), 60, 0.05))
        fleet.until(lambda: all_of(MemberState.DEAD), 90, 0.25)
        dead.append((fleet.clock.now - at) / S)
    return {
        "gateways": count,
        "loss": loss,
        "seed": seed,
        "agree_s": round(agreed, 1),
        "datagrams_s": round(rate[0], 2),
        "bytes_s": round(rate[1]),
        "falsely_dead": wrong,
        "member_hours": round(count * quiet / 3600, 2),
        "suspected_s": sorted(round(x, 2) for x in suspected),
        "dead_s": sorted(round(x, 1) for x in dead),
        "duties_moved": round(max(moved, default=0.0), 3),
    }


def share_moved(fleet, victim):
    """The part of 500 singleton tasks that its death moves, beside what it had."""
    from ..gateway.singleton_tasks.rendezvous import RendezvousAssignment

    assignment, names = RendezvousAssignment(), [node.name for node in fleet.live()]
    assignment.set_members(dict.fromkeys(names, 1.0))
    for task in range(500):
        assignment.add(f"s{task}")
    had = len(assignment.tasks_of(victim.name))
    return (assignment.set_members({n: 1.0 for n in names if n != victim.name}) - had) / 500
