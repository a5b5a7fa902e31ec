"""The one task that owns the decisions: events come in by its queue, effects go out to its peers.

Invariant: only `Owner.serve` handles events, one at a time and in the order of the queue, and the decisions'
clock is set before each. Whatever runs in a task of its own puts an event on the queue instead.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping, Set
from typing import TYPE_CHECKING, Any, Final, Protocol

from ..hosting import Host, Task
from ..interface import EndpointState, Invocation, Result
from . import events
from .metrics import check_invariant, counters

if TYPE_CHECKING:
    from ..decisions import BackendState
    from ..interface import Delivery
    from .backends import BackendClient
    from .clients import Clients
    from .counter import CounterClient
    from .endpoint_discovery import EndpointDiscovery, EndpointList
    from .peers import GatewayMembership
    from .requests import IncomingRequest
    from .usage_exchange import UsageExchangePeer

log = logging.getLogger(__name__)
MAX_LOGGED_FAULTS: Final = 20
SHARED_PROBES_INTERVAL_S: Final = 0.1  # between looks at which backends this gateway has to probe
MICROSECONDS_OF_SECOND: Final = 1e6
LATENESS_DECAY: Final = 32  # each alarm takes this part off the lateness that is known
MAX_LATENESS_PART: Final = 4  # of a request's time, that is taken off at most for late alarms


class RequestFront(Protocol):
    """Another way than the clients' listener by which requests come (`IncomingRequest.front`)."""

    def deliver(self, delivery: Delivery, request: Any, /) -> None:
        """A delivery was decided: the request is let in."""

    def cancel(self, delivery: Delivery, /) -> None:
        """Nobody waits for this delivery any more."""

    def throttled(self, request: Any, retry_after: int, /) -> None:
        """Answer a request: rejected, to come back after so many microseconds (0: no advice)."""

    def errored(self, request: Any, /) -> None:
        """Answer a request: errored."""


class AuthoriserChain(Protocol):
    """External authorisers, who stand before a request's first delivery."""

    def deliver(self, delivery: Delivery, request: Any, /) -> bool:
        """Whether the delivery waits for them; `DeliveryAuthorised` or `DeliveryNotSent` follows."""

    def cancel(self, delivery: Delivery, /) -> bool:
        """Whether the delivery waited for them; `DeliveryNotSent` follows."""

    async def end(self) -> None:
        """Close the connections to them."""


class CheckFront(RequestFront, Protocol):
    """The front that answers a proxy's external authorisation checks."""

    async def drain(self, seconds: float, /) -> None:
        """End after the open checks, in so many seconds at most."""


class Owner(Host):
    """The host of one gateway in service.

    `clock`: now, in microseconds, never going back. `requests`: the open ones by their invocations.
    `departed_at`: backends off the list, and since when. `alarm_lateness`: microseconds by which alarms came
    late recently; the gateway is short of CPU. The peers are set before `serve` runs; those that may be None
    are optional.
    """

    clients: Clients
    backend_client: BackendClient
    discovery: EndpointDiscovery
    counter: CounterClient

    def __init__(
        self,
        settings: Mapping[str, Any],
        seed: int | str,
        clock: Callable[[], int],
        queue: asyncio.Queue[events.Event],
    ) -> None:
        super().__init__(settings, seed, clock())
        self.clock = clock
        self.queue = queue
        self.requests: dict[Invocation, Any] = {}  # an `IncomingRequest`, whose kind its front knows
        self.departed_at: dict[Any, int] = {}
        self.alarm_lateness = 0
        self.membership: GatewayMembership | None = None
        self.usage_exchange: UsageExchangePeer | None = None
        self.checks: CheckFront | None = None
        self.authorisers: AuthoriserChain | None = None
        self.handlers = self._handlers()

    def _handlers(self) -> dict[type[events.Event], Callable[[Any], None]]:
        """What handles an event, by the event's class."""
        return {
            events.RequestTaken: self.on_request_taken,
            events.ClientLeft: self.on_client_left,
            events.DeliveryEnded: self.on_delivery_ended,
            events.DeliveryAuthorised: self.on_delivery_authorised,
            events.DeliveryNotSent: self.on_delivery_not_sent,
            events.AlarmDue: self.on_alarm_due,
            events.CounterReplied: self.on_counter_replied,
            events.BackendProbed: self.on_backend_probed,
            events.DatagramReceived: self.on_datagram_received,
            events.UsagePeriodDue: self.on_usage_period_due,
            events.MembershipDue: self.on_membership_due,
            events.SharedProbesDue: self.on_shared_probes_due,
            events.EndpointsReceived: self.on_endpoints_received,
            events.DiscoveryFailed: self.on_discovery_failed,
        }

    async def serve(self) -> None:
        """Handle events for ever; a fault ends none but the invocation that the event concerns."""
        self.gateway.now = self.clock()
        self.start()
        while True:
            event = await self.queue.get()
            self.gateway.now = self.clock()
            try:
                self.handlers[type(event)](event)
            except Exception:  # noqa: BLE001  a fault of the program, which must not end the service
                self.fault(event.label, event.invocation())

    def run(self, task: Task, value: Any = None) -> None:
        """Resume a task; a fault stays in its own task, whichever event led there."""
        try:
            super().run(task, value)
        except Exception:  # noqa: BLE001  a fault of the program, which must not end the service
            self.fault("run", task.inv)

    def fault(self, where: str, inv: Invocation | None) -> None:
        """Log a fault of the program, and leave nobody waiting.

        The invocation errors at once, which promises nothing. `where`: the label of the event.
        """
        counters["faults"] += 1
        if counters["faults"] <= MAX_LOGGED_FAULTS:
            log.exception("fault", extra={"on": where})
        if inv is None:
            return
        if not inv.done:
            inv.done = True
            self.front_of(inv).errored(self.requests[inv])
        self.tasks.pop(inv, None)
        self.release_if_complete(inv)

    def front_of(self, inv: Invocation) -> RequestFront | Clients:
        """The front that an invocation came by; it answers it."""
        front: RequestFront | None = self.requests[inv].front
        return front or self.clients

    # Events of requests and deliveries.

    def on_request_taken(self, event: events.RequestTaken) -> None:
        """Begin an invocation.

        It ends earlier than its client's time where alarms come late: its last alarm will be late, too.
        """
        request = event.request
        operation = self.operations[request.operation]
        customer = self.customer_state(request.plan, request.customer, request.spread)
        wait = operation.timeout if request.wait is None else round(request.wait * MICROSECONDS_OF_SECOND)
        until = request.came + wait - min(self.alarm_lateness, wait // MAX_LATENESS_PART)
        inv = Invocation(operation, customer, request.came, until, request.units, request.retry)
        request.inv = inv
        self.requests[inv] = request
        if request.answer.cancelled():
            inv.done = True
        self.start_invocation(inv)

    def on_client_left(self, event: events.ClientLeft) -> None:
        """Nobody waits for the answer any more."""
        if event.request.inv is not None:
            self.client_disconnected(event.request.inv)

    def on_delivery_ended(self, event: events.DeliveryEnded) -> None:
        """Answer the client by the delivery if it succeeded first, and tell the decisions."""
        delivery = event.delivery
        inv = delivery.inv
        request = self.requests.get(inv)
        if request is not None and request.front is not None:
            inv.done = True  # its answer was that it was let in
        final = event.result is Result.SUCCEEDED and not inv.done
        if final:
            assert event.answer is not None  # by its result
            self.clients.succeeded(self.requests[inv], *event.answer)
        self.delivery_ended(delivery, event.result, event.took, final, event.load, event.actual, event.used)

    def on_delivery_authorised(self, event: events.DeliveryAuthorised) -> None:
        """Send a delivery that its authorisers allow; whatever happened meanwhile goes before."""
        delivery = event.delivery
        if delivery.inv.done or delivery.inv not in self.requests:
            self.delivery_ended(delivery, Result.VOID, 0, False, None, 0)
        else:
            delivery.sent_at = self.gateway.now  # their time is not the backend's
            self.backend_client.deliver(delivery, self.requests[delivery.inv])

    def on_delivery_not_sent(self, event: events.DeliveryNotSent) -> None:
        """End a delivery that its authorisers deny, or that was given up while it waited for them."""
        delivery = event.delivery
        if event.denial is not None and not delivery.inv.done:
            delivery.inv.done = True
            self.clients.denied(self.requests[delivery.inv], event.denial)
        self.delivery_ended(delivery, event.result, 0, False, None, 0)

    def on_alarm_due(self, event: events.AlarmDue) -> None:
        """Resume the task, unless something else has resumed it since."""
        decayed = self.alarm_lateness - self.alarm_lateness // LATENESS_DECAY
        self.alarm_lateness = max(self.gateway.now - event.until, decayed)
        alarm: events.AlarmDue | None = event.task.timer
        if alarm is not None and alarm.until == event.until:
            self.run(event.task)

    def on_counter_replied(self, event: events.CounterReplied) -> None:
        """Tell the decisions of a counter call's end."""
        self.counter_replied(event.name, event.result, event.total)

    def on_backend_probed(self, event: events.BackendProbed) -> None:
        """Tell the decisions of a probe's end, and the other gateways where it was made for all."""
        self.probed(event.backend, event.result, event.took, event.load)
        if self.membership is not None and self.membership.probing is not None:
            # Probed as a singleton task: no generator of the decisions waits for it.
            self.gateway.background.load_reported(event.backend, event.load)
            self.membership.publish_probe(event.backend, event.load)

    # Events between gateways.

    def on_datagram_received(self, event: events.DatagramReceived) -> None:
        """Hand a datagram to the one peer that has a UDP socket."""
        receiver = self.usage_exchange or self.membership
        assert receiver is not None  # who else could have received it
        receiver.receive_datagram(event.source, event.data)

    def on_usage_period_due(self, _: events.UsagePeriodDue) -> None:
        """Close the period of the usage exchange."""
        assert self.usage_exchange is not None  # its timer made the event
        self.usage_exchange.close_period()

    def on_membership_due(self, _: events.MembershipDue) -> None:
        """Let the membership take its next step."""
        assert self.membership is not None  # its timer made the event
        self.membership.on_timer()

    def on_shared_probes_due(self, _: events.SharedProbesDue) -> None:
        """Probe the backends that are this gateway's singleton tasks, and look again soon."""
        assert self.membership is not None  # the event is made only with it
        for backend in self.membership.backends_to_probe():
            self.backend_client.probe(backend)
        loop = asyncio.get_running_loop()
        loop.call_later(SHARED_PROBES_INTERVAL_S, self.queue.put_nowait, events.SharedProbesDue())

    # Events of discovery.

    def list_received(self, received: EndpointList) -> None:
        """Bar the backends that a list takes off or moves, while the list stands in the queue.

        From now on they get no first byte any more. Called by discovery, before the list's event.
        """
        client = self.backend_client
        ready = {row.uid for row in received.rows if row.state is EndpointState.READY}
        concerned: Set[Any] = self.listed.keys() if received.complete else {row.uid for row in received.rows}
        for uid in concerned & self.backends.keys():
            backend = self.backends[uid]
            moves = uid in received.endpoints and client.endpoints.get(backend) != received.endpoints[uid]
            if uid not in ready or moves:
                client.blocked[backend] = received

    def on_endpoints_received(self, event: events.EndpointsReceived) -> None:
        """Take a list in: the backends' addresses and states hold from now on."""
        received = event.endpoints
        listed_before = set(self.listed)
        self._lift_bars(received)
        self.endpoints_listed(received.rows, received.complete)
        endpoints: Mapping[Any, str] = received.endpoints
        for uid in self.listed.keys() & endpoints.keys():
            self.backend_client.set_endpoint(self.backends[uid], endpoints[uid])
        for uid in listed_before - set(self.listed):
            self.backend_client.remove_endpoint(self.backends[uid])
            self.departed_at[uid] = self.gateway.now
        self._forget_departed()

    def _lift_bars(self, received: EndpointList) -> None:
        """What this list barred is decided by the list itself now."""
        barred = self.backend_client.blocked
        for backend in [backend for backend, barred_by in barred.items() if barred_by is received]:
            del barred[backend]

    def _forget_departed(self) -> None:
        """Forget backends that departed long ago.

        What is known of one counts while it could come back warming up; later it would only fill the memory.
        """
        for uid, since in list(self.departed_at.items()):
            if uid not in self.listed and self.gateway.now - since <= self.settings["cold"]:
                continue
            del self.departed_at[uid]
            if uid not in self.listed:
                self.pending_probes.pop(self.backends[uid], None)
                del self.backend_ids[self.backends.pop(uid)]

    def on_discovery_failed(self, _: events.DiscoveryFailed) -> None:
        """Tell the decisions that the list may be old."""
        self.discovery_failed()

    # Effects.

    def deliver(self, delivery: Delivery) -> None:
        """Send a delivery, by its front, its authorisers or at once."""
        check_invariant(not delivery.inv.done, "nothing_sent_after_the_answer")
        request = self.requests[delivery.inv]
        if request.front is not None:
            request.front.deliver(delivery, request)
        elif self.authorisers is None or not self.authorisers.deliver(delivery, request):
            self.backend_client.deliver(delivery, request)

    def cancel(self, delivery: Delivery) -> None:
        """Stop waiting for a delivery, wherever it is; its end follows as an event."""
        request: IncomingRequest | None = self.requests.get(delivery.inv)
        if request is not None and request.front is not None:
            request.front.cancel(delivery)
        elif self.authorisers is None or not self.authorisers.cancel(delivery):
            self.backend_client.cancel(delivery)

    def throttle(self, inv: Invocation, retry_after: int) -> None:
        """Reject a request; it may come back after so many microseconds (0: no advice)."""
        self.front_of(inv).throttled(self.requests[inv], retry_after)

    def fail(self, inv: Invocation) -> None:
        """Answer a request: errored."""
        self.front_of(inv).errored(self.requests[inv])

    def set_timer(self, task: Task, until: int) -> events.AlarmDue:
        """Put an alarm of this task on the queue at `until`; the handle is the event itself."""
        remaining_s = max(0, until - self.gateway.now) / MICROSECONDS_OF_SECOND
        alarm = events.AlarmDue(task, until)
        alarm.timer = asyncio.get_running_loop().call_later(remaining_s, self.queue.put_nowait, alarm)
        return alarm

    def cancel_timer(self, alarm: events.AlarmDue) -> None:
        """Stop an alarm's timer; the event may stand in the queue already, and says nothing then."""
        assert alarm.timer is not None  # by `set_timer`
        alarm.timer.cancel()

    def count(self, name: int, amount: float, lifetime: int) -> None:
        """Call the counter service; `CounterReplied` follows."""
        self.counter.add(name, amount, lifetime)

    def probe(self, backend: BackendState) -> None:
        """Probe a backend; `BackendProbed` follows."""
        self.backend_client.probe(backend)

    def subscribe(self) -> None:
        """Follow discovery, if that is not done already."""
        self.discovery.watch()

    def log(self, text: str, about: Any) -> None:
        """A line for staff, about whatever the decisions name."""
        log.info(text, extra={"about": about} if about != "" else None)

    def released(self, inv: Invocation) -> None:
        """Forget the request of an invocation of which nothing more can come."""
        self.requests.pop(inv, None)
