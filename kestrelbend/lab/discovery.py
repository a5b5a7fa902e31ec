"""Emulated discovery: one list of backends, and an agent on each gateway's machine that hears of changes
late."""

from __future__ import annotations

from .backends import GONE, READY
from .network import Party

AGAIN = 200_000  # microseconds between attempts to reach an agent that is cut off


class Entry:
    __slots__ = ("uid", "number", "zone", "group", "state", "weight", "started")

    def __init__(self, backend, state):
        self.uid, self.number = backend.uid, backend.number
        self.zone, self.group = backend.zone, backend.group
        self.state, self.weight, self.started = state, backend.weight, backend.started


class Agent:
    """What one gateway's machine has been sent, in order; `told(entries, whole)` is called with what is
    new."""

    def __init__(self, discovery, index, party):
        self.discovery, self.index, self.party = discovery, index, party
        self.entries, self.rev, self.due = {}, 1, 0
        self.told = None

    def hear(self, entries):
        network = self.discovery.world.network
        if not network.open(self.discovery.party, self.party):
            self.discovery.clock.after(AGAIN, self.hear, entries)
            return
        self.rev += 1
        for entry in entries:
            if entry.state == GONE:
                self.entries.pop(entry.uid, None)
            else:
                self.entries[entry.uid] = entry
        if self.told is not None:
            self.told(entries, False)


class DiscoveryModel:
    def __init__(self, world):
        self.world, self.terms, self.clock = world, world.scenario.discovery, world.clock
        self.chance, self.extra = world.chance("discovery"), 0
        self.party, self.agents, self.missed = Party("discovery"), [], {}

    def agent(self, index, party):
        made = Agent(self, index, party)
        made.entries = {b.uid: Entry(b, READY) for b in self.world.backends if b.state == READY}
        self.agents.append(made)
        return made

    def changed(self, *pairs):
        """(backend, state) of all that changed now, told to each agent in its own time."""
        entries = [Entry(backend, state) for backend, state in pairs]
        for agent in self.agents:
            if self.terms.lost and self.chance.random() < self.terms.lost:
                self.missed.setdefault(agent, []).extend(entries)
                continue
            spread = 1 + self.terms.delay_spread * (2 * self.chance.random() - 1)
            agent.due = max(agent.due, self.clock.now + int(self.terms.delay * spread) + self.extra)
            self.clock.at(agent.due, agent.hear, self.missed.pop(agent, []) + entries)
