"""UDP transport of the membership between gateways, and the singleton tasks that are based on it."""

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
MAX_NAME_PREFIX: Final = 24  # characters of a gateway's name that are kept if a name conflict changes it
GENERATION_MASK: Final = 0xFFFFFF  # the part of the generation that is appended to that name


class GatewayMembership:
    """This gateway's membership, leases and shared probes; used only by the owner's task.

    Hazard: its clock is monotonic, in microseconds, since leases depend on it; a generation is Unix time in
    milliseconds.

    `core`: the membership protocol without I/O. `voter`: grants leases to other gateways. `holders`: the
    leases that this gateway contends for, by task. `probing`: shared probes; None if each gateway probes for
    itself. `configured_peers`: the peers of the configuration, as host:port.
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
        peers = [pack_address(address) for address in settings.peers]
        self.core = SwimNode(settings.name, self.address, generation, parameters, rng, self.now(), peers)
        self.configured_peers = [f"{host}:{port}" for host, port in settings.peers]
        self.voter = Voter(self.now())
        self.holders: dict[str, LeaseHolder[bytes]] = {}
        self.probing: SharedProbing[BackendState] | None = (
            SharedProbing(settings.name) if share_probes else None
        )

    @staticmethod
    def now() -> int:
        """The monotonic time in microseconds."""
        return time.monotonic_ns() // NANOSECONDS_PER_MICROSECOND

    async def start(self) -> None:
        """Open the socket and join the membership; raises `OSError` if the address cannot be bound."""
        loop = asyncio.get_running_loop()
        _, self.datagrams = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.queue), local_addr=self.settings.listen
        )
        self._apply_output()

    # Events, in the owner's task.

    def receive_datagram(self, source: tuple[str | Any, int], data: bytes) -> None:
        """Process a datagram; invalid ones are counted by reason, and the first of each reason is logged."""
        try:
            message = self.codec.decode(data)
            sender = pack_address(source)
        except (UnreadableMessage, OSError) as error:
            reason = error.reason if isinstance(error, UnreadableMessage) else "address"
            counters[f"peer_unreadable_{reason}"] += 1
            if counters[f"peer_unreadable_{reason}"] == 1:
                extra = {"why": reason, "source": format_address(source)}
                log.warning("ignoring an invalid membership datagram", extra=extra)
            return
        self.core.receive(self.now(), sender, message)
        self._apply_output()

    def on_timer(self) -> None:
        """Run the membership's timers and the lease requests that are due."""
        self.timer = None
        self.core.tick(self.now())
        for holder in self.holders.values():
            self._request_lease(holder)
        self._apply_output()

    def _apply_output(self) -> None:
        """Process the output of the core: log changes, handle messages, send datagrams and set the timer."""
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
            self._handle_lease_message(*core.received_leases.popleft())
        self._flush()
        if self.timer is not None:
            self.timer.cancel()
        remaining_s = max(MIN_TIMER_US, core.due_us() - self.now()) / MICROSECONDS_PER_SECOND
        self.timer = asyncio.get_running_loop().call_later(
            remaining_s, self.queue.put_nowait, MembershipDue()
        )

    def _load_report_callback(self) -> Callable[[BackendState, Any], None]:
        """The decisions' method that receives load reports."""
        return self.owner.gateway.background.load_reported

    def _flush(self) -> None:
        """Send the core's outgoing datagrams."""
        transport = self.datagrams.transport
        assert transport is not None  # opened by `start`
        while self.core.outgoing:
            receiver, message = self.core.outgoing.popleft()
            counters["peer_datagrams"] += 1
            transport.sendto(self.codec.encode(message), unpack_address(receiver))

    def _resolve_name_conflict(self, other: MembershipUpdate) -> None:
        """Continue under a new, unique name after another gateway was found to use this gateway's name."""
        new_name = f"{self.settings.name[:MAX_NAME_PREFIX]}~{self.core.local.generation & GENERATION_MASK:x}"
        log.error(
            "two gateways have one name; this one takes another",
            extra={
                "name_": self.core.local.name,
                "other": format_address(unpack_address(other.address)),
                "now": new_name,
            },
        )
        old_core = self.core
        self.core = SwimNode(
            new_name,
            self.address,
            old_core.local.generation + 1,
            old_core.parameters,
            Random(old_core.local.generation),
            self.now(),
            [pack_address(address) for address in self.settings.peers],
        )
        for member in old_core.members.values():
            if member.state <= MemberState.SUSPECT:
                self.core.rules.apply(member.update(), disseminate=False)
        self.core.rules.apply(other, disseminate=False)
        if self.probing is not None:
            self.probing.rename(new_name)
            self.probing.receive(self.core, self._load_report_callback())

    # Probes as singleton tasks.

    def backends_to_probe(self) -> list[BackendState]:
        """The backends in warm-up that this gateway has to probe now."""
        assert self.probing is not None  # asked only with shared probes
        listed: Mapping[Any, BackendState] = self.owner.listed
        return self.probing.due_backends(listed, self.owner.gateway.slow_start.is_warming_up, self.now())

    def publish_probe(self, backend: BackendState, load: dict[str, float] | None) -> None:
        """Publish the result of a probe to the other gateways."""
        assert self.probing is not None  # asked only with shared probes
        self.probing.publish(self.core, self.now(), self.owner.backend_ids.get(backend), load)

    # Singleton tasks under a lease.

    def contend_for(self, task: str) -> LeaseHolder[bytes]:
        """Contend for a singleton task from now on; `held_token` tells whether this gateway holds it."""
        voters = [pack_address(_parse_address(peer)) for peer in voters_for(task, self.configured_peers)]
        self.holders[task] = LeaseHolder(task, self._identity(), voters)
        return self.holders[task]

    def _identity(self) -> HolderId:
        """The identity under which this gateway holds tasks; the core may change its name or generation."""
        return HolderId(self.core.local.name, self.core.local.generation)

    def held_token(self, task: str) -> int | None:
        """Return the fencing token of a task that this gateway holds now, or None."""
        holder = self.holders.get(task)
        return holder.fencing_token if holder is not None and holder.holds(self.now()) else None

    def _request_lease(self, holder: LeaseHolder[bytes]) -> None:
        """Request a lease or its renewal from the voters, if a request is due."""
        now = self.now()
        holder.set_identity(self._identity())
        if not holder.voters or not holder.is_request_due(now):
            return
        token = holder.begin_request(now, time.time_ns() // NANOSECONDS_PER_MS)
        request = LeaseMessage(holder.task, token, *holder.identity, requested_at=now)
        for voter in holder.voters:
            if voter == self.address:
                granted, highest_token, wait = self.voter.request(now, holder.task, token, holder.identity)
                self._record_reply(holder, voter, granted, highest_token, wait, now)
            else:
                self.core.send_lease(voter, request)

    def _handle_lease_message(self, member: Member, lease: LeaseMessage) -> None:
        """Handle a lease message: a request or release for the voter, or a reply to one of the holders."""
        now = self.now()
        identity = HolderId(lease.holder, lease.generation)
        if lease.verdict in (LeaseVerdict.GRANTED, LeaseVerdict.DENIED):
            holder = self.holders.get(lease.task)
            if holder is not None and holder.identity == identity:
                self._record_reply(
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

    def _record_reply(
        self,
        holder: LeaseHolder[bytes],
        voter: bytes,
        granted: bool,
        token: int,
        wait: int,
        requested_at: int,
    ) -> None:
        """Record a voter's reply; `wait`: microseconds until a voter that denied the request may grant it."""
        if granted:
            holder.record_grant(voter, token, requested_at)
        else:
            holder.record_denial(self.now(), token, wait)

    # Member list and shutdown.

    def view(self) -> list[dict[str, Any]]:
        """Return the member list: this gateway's row, then the other members' rows, sorted by name.

        The keys are part of the output of `kestrelbend members`. `since_s`: seconds since a member's last
        change of state.
        """
        tasks_by_owner = self._tasks_by_owner()
        members = sorted(self.core.members.values(), key=lambda member: member.name)
        return [
            self._local_row(tasks_by_owner),
            *(self._member_row(member, tasks_by_owner) for member in members),
        ]

    def _tasks_by_owner(self) -> dict[str | None, list[str]]:
        """The singleton tasks of each member, by the member's name."""
        tasks_by_owner: dict[str | None, list[str]] = {}
        if self.probing is not None:
            assignment = self.probing.assignment
            for task in assignment.assignments:
                tasks_by_owner.setdefault(assignment.owner(task), []).append(task)
        return tasks_by_owner

    def _local_row(self, tasks_by_owner: dict[str | None, list[str]]) -> dict[str, Any]:
        now = self.now()
        local = self.core.local
        return {
            "name": local.name,
            "state": local.state().name.lower(),
            "life": local.generation,
            "incarnation": local.incarnation,
            "address": format_address(unpack_address(local.address)),
            "since_s": None,
            "duties": sorted(tasks_by_owner.get(local.name, ())),
            "self": True,
            "doubt": local.local_health,
            "leases": {
                task: holder.fencing_token for task, holder in self.holders.items() if holder.holds(now)
            },
        }

    def _member_row(self, member: Member, tasks_by_owner: dict[str | None, list[str]]) -> dict[str, Any]:
        age_us = self.now() - member.changed_at_us
        return {
            "name": member.name,
            "state": member.state.name.lower(),
            "life": member.generation,
            "incarnation": member.incarnation,
            "address": format_address(unpack_address(member.address)),
            "since_s": round(age_us / MICROSECONDS_PER_SECOND, 1),
            "duties": sorted(tasks_by_owner.get(member.name, ())),
        }

    def log_members(self) -> None:
        """Log the member list, one line for each member."""
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
        """Release the leases, announce to the other gateways that this one leaves, and stop the timer."""
        for holder in self.holders.values():
            if holder.holds(self.now()):
                release = LeaseMessage(
                    holder.task, holder.release(), *holder.identity, int(LeaseVerdict.RELEASED)
                )
                for voter in holder.voters:
                    self.core.send_lease(voter, release)
        self.holders.clear()  # datagrams still arrive while draining, but no lease is requested any more
        self.core.leave(self.now())
        self._flush()
        if self.timer is not None:
            self.timer.cancel()


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
