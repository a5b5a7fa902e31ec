"""Membership within emulated gateways: the core and the duties of `net.peers`, on the emulator's wire."""

from __future__ import annotations

from random import Random

from ..gateway.singleton_tasks.probing import SharedProbing
from ..gateway.gossip.addresses import pack_address
from ..gateway.gossip.messages import MemberState
from ..gateway.gossip.parameters import SwimParameters
from ..gateway.gossip.swim import SwimNode

LOOK = 100_000  # microseconds between looks at which backends have to be probed


def address(index):
    return pack_address((f"10.0.{index >> 8}.{index & 255}", 7946))


def index_of(at):
    return at[2] << 8 | at[3]


class Attached:
    """The member of one life of a gateway."""

    def __init__(self, life):
        self.life, self.world, stated = life, life.world, life.world.scenario.members
        self.clock, self.chance = life.clock, life.world.chance("datagrams")
        count = self.world.scenario.fleet.gateways
        parameters = SwimParameters(int(stated.period), max_datagrams_per_s=stated.most_per_s)
        seed = life.plant.seed(life.index, -life.number)
        started = life.plant.time(life.index) // 1000
        self.core = SwimNode(
            f"n{life.index}",
            address(life.index),
            started,
            parameters,
            Random(seed),
            self.now(),
            [address(n) for n in range(count)],
        )
        self.probing = SharedProbing(self.core.local.name) if life.shares else None
        self.timer = None
        self.after()
        if self.probing is not None:
            life.post(self.look)

    def now(self):
        """A monotonic clock: this machine's steps are not seen."""
        return self.clock.now

    def got(self, source, message):
        self.core.receive(self.now(), source, message)
        self.after()

    def due(self):
        self.core.tick(self.now())
        self.after()

    def after(self):
        core, tally = self.core, self.world.tally
        while core.changes:
            change = core.changes.popleft()
            if change.state == MemberState.DEAD:
                other = self.life.plant.lives[index_of(change.member.address)]
                alive = other is not None and other.member.core.local.generation == change.member.generation
                tally.counts["members falsely dead" if alive else "members seen dead"] += 1
        if self.probing is not None:
            tally.counts["reports shared"] += self.probing.receive(
                core, self.life.gateway.background.load_reported
            )
        while core.outgoing:
            to, message = core.outgoing.popleft()
            tally.counts["datagrams"] += 1
            self.carry(index_of(to), message)
        if self.timer is not None:
            self.clock.cancel(self.timer)
        left = max(1000, core.due_us() - self.now())
        self.timer = self.clock.after(left, self.life.post, self.due)

    def carry(self, index, message):
        """One datagram; a life that has ended meanwhile, or that stands still for long, never reads it."""
        plant = self.life.plant
        if self.world.scenario.members.loss and self.chance.random() < self.world.scenario.members.loss:
            return
        self.world.network.send(self.life.party, plant.parties[index], self.arrives, index, message)

    def arrives(self, index, message):
        other = self.life.plant.lives[index]
        if other is not None:
            other.post(other.member.got, address(self.life.index), message)

    # Probes as duties.

    def look(self):
        life = self.life
        for backend in self.probing.due_backends(
            life.listed, life.gateway.slow_start.is_warming_up, self.now()
        ):
            life.probe(backend)
        self.clock.after(LOOK, life.post, self.look)

    def probed(self, backend, load):
        self.probing.publish(self.core, self.now(), self.life.backend_ids.get(backend), load)
        self.after()
