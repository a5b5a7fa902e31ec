"""The UDP side of membership between gateways, and the singleton tasks that rest on it."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from random import Random
from typing import TYPE_CHECKING, Any, Final

from ..gossip.addresses import pack_address, unpack_address
from ..gossip.codec import Codec
from ..gossip.errors import UnreadableMessage
from ..gossip.messages import LeaseMessage, LeaseVerdict, MembershipUpdate, MemberState
from ..gossip.parameters import SwimParameters
from ..gossip.swim import SwimNode
from ..singleton_tasks.leases import HolderId, LeaseHolder, Voter, voters_for
from ..singleton_tasks.probing import SharedProbing
from .configuration import format_address
from .datagrams import DatagramReceiver
from .events import MembershipDue
from .metrics import counters

if TYPE_CHECKING:
    from ..decisions import BackendState
    from ..gossip.member import Member
    from ..settings.installation import MembershipSettings
    from .owner import Owner

log = logging.getLogger(__name__)
MICROSECONDS_PER_MS: Final = 1000
MICROSECONDS_PER_SECOND: Final = 1e6
NANOSECONDS_PER_MICROSECOND: Final = 1000
NANOSECONDS_PER_MS: Final = 1_000_000
MIN_TIMER_US: Final = 1000
MAX_NAME_PREFIX: Final = 24  # of a gateway's name, in the one that it takes where another has its own
GENERATION_MASK: Final = 0xFFFFFF  # of the generation, in that name


class GatewayMembership:
    """Belongs to the owner's task.

    Hazard: its clock is monotonic, in microseconds, since leases rest on it; a generation is Unix time in
    milliseconds. `core`: the membership. `voter`, `holders`: leases as this gateway grants them, and the ones
    that it wants, by task. `probing`: shared probes; None where each gateway probes for itself. `static`: the
    peers of the configuration, as host:port.
    """

    datagrams: DatagramReceiver

    def __init__(
        self,
        settings: MembershipSettings,
        queue: asyncio.Queue[Any],
        owner: Owner,
        seed: int | str,
        share_probes: bool,
    ) -> None:
        self.settings = settings
        self.queue = queue
        self.owner = owner
        self.codec = Codec(settings.keys)
        self.timer: asyncio.TimerHandle | None = None
        generation = time.time_ns() // NANOSECONDS_PER_MS
        self.address = pack_address(settings.seen_at)
        parameters = SwimParameters(
            settings.period,
            max_datagrams_per_s=settings.most_per_s,
            max_message_bytes=self.codec.message_bytes(),
        )
        rng = Random(seed)
        peers = [pack_address(pair) for pair in settings.peers]
        self.core = SwimNode(settings.name, self.address, generation, parameters, rng, self.now(), peers)
        self.configured_peers = [f"{host}:{port}" for host, port in settings.peers]
        self.voter = Voter(self.now())
        self.holders: dict[str, LeaseHolder[bytes]] = {}
        self.probing: SharedProbing[BackendState] | None = (
            SharedProbing(settings.name) if share_probes else None
        )

    @staticmethod
    def now() -> int:
        """Monotonic time in microseconds."""
        return time.monotonic_ns() // NANOSECONDS_PER_MICROSECOND

    async def start(self) -> None:
        """Open the socket and join; raises `OSError` where its address cannot be had."""
        loop = asyncio.get_running_loop()
        _, self.datagrams = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.queue), local_addr=self.settings.listen
        )
        self._apply_output()

    # Events, in the owner's task.

    def receive_datagram(self, source: tuple[str | Any, int], data: bytes) -> None:
        """Take a datagram in; one that is no member's is counted, the first one of a reason logged."""
        try:
            message = self.codec.decode(data)
            at = pack_address(source)
        except (UnreadableMessage, OSError) as error:
            why = error.reason if isinstance(error, UnreadableMessage) else "address"
            counters[f"peer_unreadable_{why}"] += 1
            if counters[f"peer_unreadable_{why}"] == 1:
                extra = {"why": why, "source": format_address(source)}
                log.warning("a datagram that is no member's", extra=extra)
            return
        self.core.receive(self.now(), at, message)
        self._apply_output()

    def on_timer(self) -> None:
        """The membership's next step, or a lease's, is due."""
        self.timer = None
        self.core.tick(self.now())
        for holder in self.holders.values():
            self._request_lease(holder)
        self._apply_output()

    def _apply_output(self) -> None:
        """Carry out whatever the core has to say, to others and to this gateway."""
        core = self.core
        while core.changes:
            change = core.changes.popleft()
            log.info(
                "member",
                extra={
                    "name_": change.member.name,
                    "state": change.state.name.lower(),
                    "at": format_address(unpack_address(change.member.address)),
                },
            )
        if core.local.name_conflict is not None:
            self._resolve_name_conflict(core.local.name_conflict)
        if self.probing is not None:
            counters["reports_shared"] += self.probing.receive(core, self._load_report_callback())
        while core.received_leases:
            self._take_lease_message(*core.received_leases.popleft())
        self._flush()
        if self.timer is not None:
            self.timer.cancel()
        remaining_s = max(MIN_TIMER_US, core.due_us() - self.now()) / MICROSECONDS_PER_SECOND
        self.timer = asyncio.get_running_loop().call_later(
            remaining_s, self.queue.put_nowait, MembershipDue()
        )

    def _load_report_callback(self) -> Callable[[BackendState, Any], None]:
        """Whom the decisions let know of a load report."""
        return self.owner.gateway.background.load_reported

    def _flush(self) -> None:
        """Send what the core has to send."""
        transport = self.datagrams.transport
        assert transport is not None  # open since the start
        while self.core.outgoing:
            to, message = self.core.outgoing.popleft()
            counters["peer_datagrams"] += 1
            transport.sendto(self.codec.encode(message), unpack_address(to))

    def _resolve_name_conflict(self, other: MembershipUpdate) -> None:
        """Another one serves under this name: this one goes on under a name of its own."""
        new_name = f"{self.settings.name[:MAX_NAME_PREFIX]}~{self.core.local.generation & GENERATION_MASK:x}"
        log.error(
            "two gateways have one name; this one takes another",
            extra={
                "name_": self.core.local.name,
                "other": format_address(unpack_address(other.address)),
                "now": new_name,
            },
        )
        old = self.core
        self.core = SwimNode(
            new_name,
            self.address,
            old.local.generation + 1,
            old.parameters,
            Random(old.local.generation),
            self.now(),
            [pack_address(pair) for pair in self.settings.peers],
        )
        for member in old.members.values():
            if member.state <= MemberState.SUSPECT:
                self.core.rules.apply(member.update(), disseminate=False)
        self.core.rules.apply(other, disseminate=False)
        if self.probing is not None:
            self.probing.rename(new_name)
            self.probing.receive(self.core, self._load_report_callback())

    # Probes as singleton tasks.

    def backends_to_probe(self) -> list[BackendState]:
        """Backends that this gateway should probe now, of those that are warming up."""
        assert self.probing is not None  # asked only with shared probes
        listed: Mapping[Any, BackendState] = self.owner.listed
        return self.probing.due_backends(listed, self.owner.gateway.slow_start.is_warming_up, self.now())

    def publish_probe(self, backend: BackendState, load: dict[str, float] | None) -> None:
        """Share the result of a probe with the other gateways."""
        assert self.probing is not None  # asked only with shared probes
        self.probing.publish(self.core, self.now(), self.owner.backend_ids.get(backend), load)

    # Singleton tasks under a lease.

    def contend_for(self, task: str) -> LeaseHolder[bytes]:
        """Try to hold a singleton task from now on; `holds` says whether this gateway does."""
        voters = [pack_address(_parse_address(peer)) for peer in voters_for(task, self.configured_peers)]
        self.holders[task] = LeaseHolder(task, self._identity(), voters)
        return self.holders[task]

    def _identity(self) -> HolderId:
        """As whom this gateway holds tasks now: the core may have taken another name or generation."""
        return HolderId(self.core.local.name, self.core.local.generation)

    def held_token(self, task: str) -> int | None:
        """Its fencing token, or None."""
        holder = self.holders.get(task)
        return holder.fencing_token if holder is not None and holder.holds(self.now()) else None

    def _request_lease(self, holder: LeaseHolder[bytes]) -> None:
        """Ask the voters for a lease, or for more of it, if it is time."""
        now = self.now()
        holder.identify(self._identity())
        if not holder.voters or not holder.is_request_due(now):
            return
        token = holder.begin_request(now, time.time_ns() // NANOSECONDS_PER_MS)
        request = LeaseMessage(holder.task, token, *holder.identity, requested_at=now)
        for voter in holder.voters:
            if voter == self.address:
                granted, highest, wait = self.voter.request(now, holder.task, token, holder.identity)
                self._record_answer(holder, voter, granted, highest, wait, now)
            else:
                self.core.send_lease(voter, request)

    def _take_lease_message(self, member: Member, lease: LeaseMessage) -> None:
        """A lease's message: a request to this voter, or an answer to this holder."""
        now = self.now()
        identity = HolderId(lease.holder, lease.generation)
        if lease.verdict in (LeaseVerdict.GRANTED, LeaseVerdict.DENIED):
            holder = self.holders.get(lease.task)
            if holder is not None and holder.identity == identity:
                self._record_answer(
                    holder,
                    member.address,
                    lease.verdict == LeaseVerdict.GRANTED,
                    lease.fencing_token,
                    lease.wait_ms * MICROSECONDS_PER_MS,
                    lease.requested_at,
                )
        elif (lease.holder, lease.generation) == (member.name, member.generation):
            if lease.verdict == LeaseVerdict.RELEASED:
                self.voter.release(lease.task, lease.fencing_token, identity)
                return
            granted, token, wait = self.voter.request(now, lease.task, lease.fencing_token, identity)
            verdict = LeaseVerdict.GRANTED if granted else LeaseVerdict.DENIED
            self.core.send_lease(
                member.address,
                LeaseMessage(
                    lease.task,
                    token,
                    *identity,
                    int(verdict),
                    wait // MICROSECONDS_PER_MS,
                    lease.requested_at,
                ),
            )

    def _record_answer(
        self,
        holder: LeaseHolder[bytes],
        voter: bytes,
        granted: bool,
        token: int,
        wait: int,
        requested_at: int,
    ) -> None:
        """A voter's answer; `wait`: microseconds until it may grant, where it does not now."""
        if granted:
            holder.record_grant(voter, token, requested_at)
        else:
            holder.record_denial(self.now(), token, wait)

    # The view, and the end.

    def view(self) -> list[dict[str, Any]]:
        """This gateway's row, then those of the others by their names.

        The keys are those of `kestrelbend members`; `since_s`: seconds since a member's last change.
        """
        owned = self._owned_tasks()
        members = sorted(self.core.members.values(), key=lambda member: member.name)
        return [self._local_row(owned), *(self._member_row(member, owned) for member in members)]

    def _owned_tasks(self) -> dict[str | None, list[str]]:
        """The singleton tasks by the names of those who have them."""
        owned: dict[str | None, list[str]] = {}
        if self.probing is not None:
            assignment = self.probing.assignment
            for task in assignment.assignments:
                owned.setdefault(assignment.owner(task), []).append(task)
        return owned

    def _local_row(self, owned: dict[str | None, list[str]]) -> dict[str, Any]:
        now = self.now()
        local = self.core.local
        return {
            "name": local.name,
            "state": local.state().name.lower(),
            "life": local.generation,
            "incarnation": local.incarnation,
            "address": format_address(unpack_address(local.address)),
            "since_s": None,
            "duties": sorted(owned.get(local.name, ())),
            "self": True,
            "doubt": local.local_health,
            "leases": {
                task: holder.fencing_token for task, holder in self.holders.items() if holder.holds(now)
            },
        }

    def _member_row(self, member: Member, owned: dict[str | None, list[str]]) -> dict[str, Any]:
        age_us = self.now() - member.changed_at_us
        return {
            "name": member.name,
            "state": member.state.name.lower(),
            "life": member.generation,
            "incarnation": member.incarnation,
            "address": format_address(unpack_address(member.address)),
            "since_s": round(age_us / MICROSECONDS_PER_SECOND, 1),
            "duties": sorted(owned.get(member.name, ())),
        }

    def log_members(self) -> None:
        """Log the view, a line for each member."""
        for row in self.view():
            log.info(
                "member",
                extra={
                    "name_": row["name"],
                    **{k: v for k, v in row.items() if k != "name"},
                    "duties": len(row["duties"]),
                },
            )

    def leave(self) -> None:
        """Give leases back and tell the others that this gateway leaves; nothing is due any more."""
        for holder in self.holders.values():
            if holder.holds(self.now()):
                release = LeaseMessage(
                    holder.task, holder.release(), *holder.identity, int(LeaseVerdict.RELEASED)
                )
                for voter in holder.voters:
                    self.core.send_lease(voter, release)
        self.holders.clear()  # who has left asks for none, though datagrams still come while it drains
        self.core.leave(self.now())
        self._flush()
        if self.timer is not None:
            self.timer.cancel()


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
