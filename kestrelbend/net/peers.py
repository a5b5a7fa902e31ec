"""The UDP side: carries membership between gateways and the duties that rest on it."""

from __future__ import annotations

import asyncio
import logging
import time
from random import Random

from ..duties import leases, probing
from ..membership.messages import Codec, Lease, State, Unreadable, packed, unpacked
from ..membership.swim import Swim, Terms
from .datagrams import Carrier
from .tally import counters

log = logging.getLogger(__name__)
GRANTED, DENIED, BACK = 1, 2, 3
MS = 1000


class Peers:
    """Belongs to the owner's task.  Its clock is monotonic: leases rest on it."""

    def __init__(self, told, queue, owner, seed, shares):
        self.told, self.queue, self.owner = told, queue, owner
        self.codec, self.timer, self.heard = Codec(told.keys), None, 0
        life = time.time_ns() // 1_000_000
        self.address = packed(told.seen_at)
        terms = Terms(period=told.period, most_per_s=told.most_per_s, room=self.codec.room())
        rng = Random(seed)
        peers = [packed(pair) for pair in told.peers]
        self.core = Swim(told.name, self.address, life, terms, rng, self.now(), peers)
        self.static = [f"{host}:{port}" for host, port in told.peers]
        self.voter, self.holders = leases.Voter(self.now()), {}
        self.probing = probing.Probing(told.name) if shares else None

    @staticmethod
    def now():
        return time.monotonic_ns() // 1000

    async def start(self):
        loop = asyncio.get_running_loop()
        _, self.carrier = await loop.create_datagram_endpoint(
            lambda: Carrier(self.queue), local_addr=self.told.listen
        )
        self.after()

    # Events, in the owner's task.

    def got(self, source, data):
        try:
            message, at = self.codec.decode(data), packed(source)
        except (Unreadable, OSError) as trouble:
            why = getattr(trouble, "why", "address")
            counters[f"peer_unreadable_{why}"] += 1
            if counters[f"peer_unreadable_{why}"] == 1:
                log.warning("a datagram that is no member's", extra={"why": why, "source": "%s:%d" % source})
            return
        self.core.receive(self.now(), at, message)
        self.after()

    def due(self):
        self.timer = None
        self.core.tick(self.now())
        for holder in self.holders.values():
            self.claim(holder)
        self.after()

    def after(self):
        """Whatever the core has to say, to others and to this gateway."""
        core = self.core
        while core.changes:
            change = core.changes.popleft()
            log.info(
                "member",
                extra={
                    "name_": change.member.name,
                    "state": change.state.name.lower(),
                    "at": "%s:%d" % unpacked(change.member.address),
                },
            )
        if core.conflict is not None:
            self.give_way(core.conflict)
        if self.probing is not None:
            counters["reports_shared"] += self.probing.hear(core, self.owner.gateway.background.load_reported)
        while core.leases:
            self.leased(*core.leases.popleft())
        self.flush()
        if self.timer is not None:
            self.timer.cancel()
        left = max(1000, core.due() - self.now()) / 1e6
        self.timer = asyncio.get_running_loop().call_later(left, self.queue.put_nowait, ("members_due",))

    def flush(self):
        while self.core.out:
            to, message = self.core.out.popleft()
            counters["peer_datagrams"] += 1
            self.carrier.transport.sendto(self.codec.encode(message), unpacked(to))

    def give_way(self, rumour):
        """Another one serves under this name: this one goes on under a name of its own."""
        own = f"{self.told.name[:24]}~{self.core.life & 0xFFFFFF:x}"
        log.error(
            "two gateways have one name; this one takes another",
            extra={"name_": self.core.name, "other": "%s:%d" % unpacked(rumour.address), "now": own},
        )
        old = self.core
        self.core = Swim(
            own,
            self.address,
            old.life + 1,
            old.terms,
            Random(old.life),
            self.now(),
            [packed(pair) for pair in self.told.peers],
        )
        for member in old.members.values():
            if member.state <= State.SUSPECT:
                self.core.hear(member.rumour(), tell=False)
        self.core.hear(rumour, tell=False)
        if self.probing is not None:
            self.probing.me, self.probing.version = own, None
            self.probing.hear(self.core, self.owner.gateway.background.load_reported)

    # Probes as duties.

    def probes_due(self):
        """Backends that this gateway should probe now, of those that are cold."""
        return self.probing.wanted(self.owner.listed, self.owner.gateway.slow_start.is_warming_up, self.now())

    def probed(self, backend, load):
        self.probing.tell(self.core, self.now(), self.owner.backend_ids.get(backend), load)

    # Exclusive duties.

    def hold(self, duty):
        """Try to hold a duty from now on; `holds` says whether this gateway does."""
        chosen = [packed(pair) for pair in map(split, leases.voters(duty, self.static))]
        self.holders[duty] = leases.Holder(duty, (self.core.name, self.core.life), len(chosen))
        self.holders[duty].voters = chosen
        return self.holders[duty]

    def holds(self, duty):
        """Its fencing number, or None."""
        holder = self.holders.get(duty)
        return holder.fence if holder is not None and holder.holds(self.now()) else None

    def claim(self, holder):
        now = self.now()
        if not holder.voters or not holder.due(now):
            return
        fence = holder.ask(now, time.time_ns() // 1_000_000)
        asked = Lease(holder.duty, fence, *holder.me, asked=now)
        for voter in holder.voters:
            if voter == self.address:
                granted, highest, wait = self.voter.ask(now, holder.duty, fence, holder.me)
                self.answered(holder, voter, granted, highest, wait, now)
            else:
                self.core.ask_lease(voter, asked)

    def leased(self, member, lease):
        """A lease's message: a question to this voter, or an answer to this holder."""
        now, who = self.now(), (lease.holder, lease.life)
        if lease.verdict in (GRANTED, DENIED):
            holder = self.holders.get(lease.duty)
            if holder is not None and holder.me == who:
                self.answered(
                    holder,
                    member.address,
                    lease.verdict == GRANTED,
                    lease.fence,
                    lease.wait_ms * MS,
                    lease.asked,
                )
        elif (lease.holder, lease.life) == (member.name, member.life):
            if lease.verdict == BACK:
                self.voter.given_back(lease.duty, lease.fence, who)
                return
            granted, fence, wait = self.voter.ask(now, lease.duty, lease.fence, who)
            verdict = GRANTED if granted else DENIED
            self.core.ask_lease(
                member.address, Lease(lease.duty, fence, *who, verdict, wait // MS, lease.asked)
            )

    def answered(self, holder, voter, granted, fence, wait, asked):
        if granted:
            holder.granted(voter, fence, asked)
        else:
            holder.denied(self.now(), voter, fence, wait)

    # The view, and the end.

    def view(self):
        """Rows of name, state, life, incarnation, address, seconds since its last change, duties."""
        now, core = self.now(), self.core
        duties = {}
        if self.probing is not None:
            for duty, (_, owner) in self.probing.deal.best.items():
                duties.setdefault(owner, []).append(duty)
        rows = [
            {
                "name": core.name,
                "state": "left" if core.left else "alive",
                "life": core.life,
                "incarnation": core.incarnation,
                "address": "%s:%d" % unpacked(core.address),
                "since_s": None,
                "duties": sorted(duties.get(core.name, ())),
                "self": True,
                "doubt": core.doubt,
                "leases": {d: h.fence for d, h in self.holders.items() if h.holds(now)},
            }
        ]
        for m in sorted(core.members.values(), key=lambda m: m.name):
            rows.append(
                {
                    "name": m.name,
                    "state": m.state.name.lower(),
                    "life": m.life,
                    "incarnation": m.incarnation,
                    "address": "%s:%d" % unpacked(m.address),
                    "since_s": round((now - m.since) / 1e6, 1),
                    "duties": sorted(duties.get(m.name, ())),
                }
            )
        return rows

    def report(self):
        for row in self.view():
            log.info(
                "member",
                extra={
                    "name_": row["name"],
                    **{k: v for k, v in row.items() if k != "name"},
                    "duties": len(row["duties"]),
                },
            )

    def leave(self):
        for holder in self.holders.values():
            if holder.holds(self.now()):
                given = Lease(holder.duty, holder.give_back(), *holder.me, BACK)
                for voter in holder.voters:
                    self.core.ask_lease(voter, given)
        self.core.leave(self.now())
        self.flush()
        if self.timer is not None:
            self.timer.cancel()


def split(text):
    host, _, port = text.rpartition(":")
    return host, int(port)
