"""The UDP side: carries membership between gateways and the duties that rest on it."""

from __future__ import annotations

import asyncio
import logging
import time
from random import Random

from ..singleton_tasks.leases import HolderId, LeaseHolder, Voter, voters_for
from ..singleton_tasks.probing import SharedProbing
from ..gossip.addresses import pack_address, unpack_address
from ..gossip.codec import Codec
from ..gossip.errors import UnreadableMessage
from ..gossip.messages import LeaseMessage, LeaseVerdict, MemberState
from ..gossip.parameters import SwimParameters
from ..gossip.swim import SwimNode
from .datagrams import DatagramReceiver
from .events import MembershipDue
from .metrics import counters

log = logging.getLogger(__name__)
MS = 1000


class Peers:
    """Belongs to the owner's task.  Its clock is monotonic: leases rest on it."""

    def __init__(self, told, queue, owner, seed, shares):
        self.told, self.queue, self.owner = told, queue, owner
        self.codec, self.timer, self.heard = Codec(told.keys), None, 0
        generation = time.time_ns() // 1_000_000
        self.address = pack_address(told.seen_at)
        parameters = SwimParameters(
            told.period,
            max_datagrams_per_s=told.most_per_s,
            max_message_bytes=self.codec.message_bytes(),
        )
        rng = Random(seed)
        peers = [pack_address(pair) for pair in told.peers]
        self.core = SwimNode(told.name, self.address, generation, parameters, rng, self.now(), peers)
        self.static = [f"{host}:{port}" for host, port in told.peers]
        self.voter, self.holders = Voter(self.now()), {}
        self.probing = SharedProbing(told.name) if shares else None

    @staticmethod
    def now():
        return time.monotonic_ns() // 1000

    async def start(self):
        loop = asyncio.get_running_loop()
        _, self.carrier = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.queue), local_addr=self.told.listen
        )
        self.after()

    # Events, in the owner's task.

    def got(self, source, data):
        try:
            message, at = self.codec.decode(data), pack_address(source)
        except (UnreadableMessage, OSError) as error:
            why = error.reason if isinstance(error, UnreadableMessage) else "address"
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
                    "at": "%s:%d" % unpack_address(change.member.address),
                },
            )
        if core.local.name_conflict is not None:
            self.give_way(core.local.name_conflict)
        if self.probing is not None:
            counters["reports_shared"] += self.probing.receive(
                core, self.owner.gateway.background.load_reported
            )
        while core.received_leases:
            self.leased(*core.received_leases.popleft())
        self.flush()
        if self.timer is not None:
            self.timer.cancel()
        left = max(1000, core.due_us() - self.now()) / 1e6
        self.timer = asyncio.get_running_loop().call_later(left, self.queue.put_nowait, MembershipDue())

    def flush(self):
        while self.core.outgoing:
            to, message = self.core.outgoing.popleft()
            counters["peer_datagrams"] += 1
            self.carrier.transport.sendto(self.codec.encode(message), unpack_address(to))

    def give_way(self, other):
        """Another one serves under this name: this one goes on under a name of its own."""
        own = f"{self.told.name[:24]}~{self.core.local.generation & 0xFFFFFF:x}"
        log.error(
            "two gateways have one name; this one takes another",
            extra={
                "name_": self.core.local.name,
                "other": "%s:%d" % unpack_address(other.address),
                "now": own,
            },
        )
        old = self.core
        self.core = SwimNode(
            own,
            self.address,
            old.local.generation + 1,
            old.parameters,
            Random(old.local.generation),
            self.now(),
            [pack_address(pair) for pair in self.told.peers],
        )
        for member in old.members.values():
            if member.state <= MemberState.SUSPECT:
                self.core.rules.apply(member.update(), disseminate=False)
        self.core.rules.apply(other, disseminate=False)
        if self.probing is not None:
            self.probing.rename(own)
            self.probing.receive(self.core, self.owner.gateway.background.load_reported)

    # Probes as singleton tasks.

    def probes_due(self):
        """Backends that this gateway should probe now, of those that are cold."""
        return self.probing.due_backends(
            self.owner.listed, self.owner.gateway.slow_start.is_warming_up, self.now()
        )

    def probed(self, backend, load):
        self.probing.publish(self.core, self.now(), self.owner.backend_ids.get(backend), load)

    # Singleton tasks under a lease.

    def hold(self, task):
        """Try to hold a singleton task from now on; `holds` says whether this gateway does."""
        voters = [pack_address(split(peer)) for peer in voters_for(task, self.static)]
        identity = HolderId(self.core.local.name, self.core.local.generation)
        self.holders[task] = LeaseHolder(task, identity, voters)
        return self.holders[task]

    def holds(self, task):
        """Its fencing token, or None."""
        holder = self.holders.get(task)
        return holder.fencing_token if holder is not None and holder.holds(self.now()) else None

    def claim(self, holder):
        now = self.now()
        if not holder.voters or not holder.is_request_due(now):
            return
        token = holder.begin_request(now, time.time_ns() // 1_000_000)
        asked = LeaseMessage(holder.task, token, *holder.identity, requested_at=now)
        for voter in holder.voters:
            if voter == self.address:
                granted, highest, wait = self.voter.request(now, holder.task, token, holder.identity)
                self.answered(holder, voter, granted, highest, wait, now)
            else:
                self.core.send_lease(voter, asked)

    def leased(self, member, lease):
        """A lease's message: a question to this voter, or an answer to this holder."""
        now, who = self.now(), HolderId(lease.holder, lease.generation)
        if lease.verdict in (LeaseVerdict.GRANTED, LeaseVerdict.DENIED):
            holder = self.holders.get(lease.task)
            if holder is not None and holder.identity == who:
                self.answered(
                    holder,
                    member.address,
                    lease.verdict == LeaseVerdict.GRANTED,
                    lease.fencing_token,
                    lease.wait_ms * MS,
                    lease.requested_at,
                )
        elif (lease.holder, lease.generation) == (member.name, member.generation):
            if lease.verdict == LeaseVerdict.RELEASED:
                self.voter.release(lease.task, lease.fencing_token, who)
                return
            granted, token, wait = self.voter.request(now, lease.task, lease.fencing_token, who)
            verdict = LeaseVerdict.GRANTED if granted else LeaseVerdict.DENIED
            self.core.send_lease(
                member.address,
                LeaseMessage(lease.task, token, *who, int(verdict), wait // MS, lease.requested_at),
            )

    def answered(self, holder, voter, granted, token, wait, requested_at):
        if granted:
            holder.record_grant(voter, token, requested_at)
        else:
            holder.record_denial(self.now(), token, wait)

    # The view, and the end.

    def view(self):
        """Rows of name, state, life, incarnation, address, seconds since its last change, duties."""
        now, core, local = self.now(), self.core, self.core.local
        duties = {}
        if self.probing is not None:
            for task in self.probing.assignment.assignments:
                duties.setdefault(self.probing.assignment.owner(task), []).append(task)
        rows = [
            {
                "name": local.name,
                "state": local.state().name.lower(),
                "life": local.generation,
                "incarnation": local.incarnation,
                "address": "%s:%d" % unpack_address(local.address),
                "since_s": None,
                "duties": sorted(duties.get(local.name, ())),
                "self": True,
                "doubt": local.local_health,
                "leases": {d: h.fencing_token for d, h in self.holders.items() if h.holds(now)},
            }
        ]
        for m in sorted(core.members.values(), key=lambda m: m.name):
            rows.append(
                {
                    "name": m.name,
                    "state": m.state.name.lower(),
                    "life": m.generation,
                    "incarnation": m.incarnation,
                    "address": "%s:%d" % unpack_address(m.address),
                    "since_s": round((now - m.changed_at_us) / 1e6, 1),
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
                given = LeaseMessage(
                    holder.task, holder.release(), *holder.identity, int(LeaseVerdict.RELEASED)
                )
                for voter in holder.voters:
                    self.core.send_lease(voter, given)
        self.core.leave(self.now())
        self.flush()
        if self.timer is not None:
            self.timer.cancel()


def split(text):
    host, _, port = text.rpartition(":")
    return host, int(port)
