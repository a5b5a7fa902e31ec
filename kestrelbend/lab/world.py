"""The emulated world: everything the gateways meet, put together from a scenario on one clock."""

from __future__ import annotations

import math

from .backends import DRAINING, GONE, READY, Backend
from .clients import Clients
from .counter import CounterModel
from .discovery import DiscoveryModel
from .network import Network
from .oracle import Oracle
from .streams import Drawn, Streams
from .tally import Tally


AFTER = 1_000_000  # microseconds that a run goes on after the last client's time


class World:
    """`plant` makes the gateways: simulated ones or processes on loopback."""

    def __init__(self, scenario, clock, plant, seed=None):
        self.scenario, self.clock = scenario, clock
        self.streams, self.chances = Streams(scenario.seed if seed is None else seed), {}
        self.began = clock.now
        self.tally, self.oracle = Tally(scenario, clock), Oracle(scenario, clock)
        self.network = Network(scenario.network, clock, self.chance("network"))
        zones, sizes = scenario.fleet.zones, scenario.backends.weights
        self.backends = [
            Backend(self, n, f"s-{n:04x}", zones[n % len(zones)], sizes[n % len(sizes)])
            for n in range(scenario.backends.count)
        ]
        self.by_uid, self.made = {b.uid: b for b in self.backends}, len(self.backends)
        self.counter = CounterModel(self) if scenario.counter else None
        self.discovery = DiscoveryModel(self)
        self.works = self.chance("work")
        self.plant = plant(self)
        self.clients = Clients(self)

    def starts_now(self):
        """On sockets the servers and gateways are there before the scenario begins."""
        self.began = self.tally.start = self.oracle.start = self.clock.now

    def ends(self):
        """When the last client's time is over, and a little more."""
        return self.began + self.scenario.lasts + max(op.timeout for op in self.scenario.operations) + AFTER

    def figures(self):
        """Those of the run, with what the oracle saw."""
        return self.tally.figures() | {
            "broken": [str(each) for each in self.oracle.broken[:3]],
            "rules_broken": len(self.oracle.broken),
        }

    def chance(self, name):
        """Single draws by the name of what draws."""
        if name not in self.chances:
            self.chances[name] = Drawn(self.streams.of(name))
        return self.chances[name]

    def work(self, asking):
        """Core time of an invocation, microseconds: lognormal about the mean, larger with its units."""
        terms, plan = self.scenario.backends, asking.request.customer.plan
        spread = terms.work_spread
        size = asking.request.units / (sum(plan.units) / 2)
        return terms.work * (0.5 + 0.5 * size) * math.exp(spread * self.works.normal() - spread * spread / 2)

    # Backends come and go.

    def drain(self, backend):
        backend.state = DRAINING
        self.discovery.changed((backend, DRAINING))

    def take_down(self, backend, silent=False, tell=True):
        backend.stop(silent)
        if tell:
            backend.state = GONE
            self.discovery.changed((backend, GONE))

    def bring_up(self, backend, renewed=False):
        """It starts, cold; `renewed`: as another one, in the place of the old."""
        if renewed:
            fresh = Backend(self, self.made, f"s-{self.made:04x}", backend.zone, backend.weight)
            self.made += 1
            self.backends[self.backends.index(backend)] = fresh
            self.by_uid[fresh.uid] = backend = fresh
        backend.start()
        self.discovery.changed((backend, READY))
        return backend
