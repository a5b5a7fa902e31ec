"""The single task that runs the decisions: it takes events from a queue and applies the resulting effects.

Invariant: only `Owner.serve` handles events, one at a time and in the order of the queue, and sets the
decisions' clock before each. Other tasks put events on the queue instead of calling the decisions.
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
MAX_LOGGED_EXCEPTIONS: Final = 20
SHARED_PROBES_INTERVAL_S: Final = 0.1  # between checks of which backends this gateway has to probe
MICROSECONDS_PER_SECOND: Final = 1e6
LATENESS_DECAY: Final = 32  # each timer event reduces the known lateness by 1/32
MAX_LATENESS_DIVISOR: Final = 4  # late timers shorten a request's timeout by a quarter at most


class RequestFront(Protocol):
    """A source of requests other than the clients' listener (`IncomingRequest.front`)."""

    def deliver(self, delivery: Delivery, request: Any, /) -> None:
        """Admit a request, as a delivery was decided for it."""

    def cancel(self, delivery: Delivery, /) -> None:
        """Cancel a delivery that nobody waits for any more."""

    def respond_throttled(self, request: Any, retry_after: int, /) -> None:
        """Respond with a rejection; `retry_after`: microseconds until a retry is advised, 0 for no advice."""

    def respond_error(self, request: Any, /) -> None:
        """Respond with an error."""


class AuthoriserChain(Protocol):
    """External authorisers, which must allow a request before its first delivery."""

    def deliver(self, delivery: Delivery, request: Any, /) -> bool:
        """Ask the authorisers if needed; return whether `DeliveryAuthorised` or `DeliveryNotSent` follows."""

    def cancel(self, delivery: Delivery, /) -> bool:
        """Cancel a delivery that waits for authorisers; return whether it did: `DeliveryNotSent` follows."""

    async def end(self) -> None:
        """Close the connections to the authorisers."""


class CheckFront(RequestFront, Protocol):
    """The front that responds to a proxy's external authorisation checks."""

    async def drain(self, seconds: float, /) -> None:
        """Stop after the open checks have ended, or after `seconds`."""


class Owner(Host):
    """The host of the decisions in a running gateway.

    `clock`: returns the current time in microseconds and never steps back. `requests`: open requests by
    invocation. `departed_at`: when each backend that is no longer listed was removed. `timer_lateness`:
    microseconds by which timers were recently late, as the gateway was short of CPU. The other components
    are set before `serve` runs; those that may be None are optional.
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
        self.requests: dict[Invocation, Any] = {}  # `IncomingRequest`s; the subclass depends on the front
        self.departed_at: dict[Any, int] = {}
        self.timer_lateness = 0
        self.membership: GatewayMembership | None = None
        self.usage_exchange: UsageExchangePeer | None = None
        self.checks: CheckFront | None = None
        self.authorisers: AuthoriserChain | None = None
        self.handlers = self._handlers()

    def _handlers(self) -> dict[type[events.Event], Callable[[Any], None]]:
        """Return the handlers of events by the events' class."""
        return {
            events.RequestTaken: self.on_request_taken,
            events.ClientLeft: self.on_client_left,
            events.DeliveryEnded: self.on_delivery_ended,
            events.DeliveryAuthorised: self.on_delivery_authorised,
            events.DeliveryNotSent: self.on_delivery_not_sent,
            events.TimerDue: self.on_timer_due,
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
        """Handle events forever; an exception ends only the invocation that the event concerns."""
        self.gateway.now = self.clock()
        self.start()
        while True:
            event = await self.queue.get()
            self.gateway.now = self.clock()
            try:
                self.handlers[type(event)](event)
            except Exception:  # noqa: BLE001  a bug must not end the service
                self.handle_exception(event.label, event.invocation())

    def run(self, task: Task, value: Any = None) -> None:
        """Resume a task; an exception affects only this task, not the event whose handler resumed it."""
        try:
            super().run(task, value)
        except Exception:  # noqa: BLE001  a bug must not end the service
            self.handle_exception("run", task.inv)

    def handle_exception(self, where: str, inv: Invocation | None) -> None:
        """Log an unexpected exception and end the invocation that it concerns.

        The client gets an error, which does not say whether the request was executed. `where`: the label of
        the event.
        """
        counters["faults"] += 1
        if counters["faults"] <= MAX_LOGGED_EXCEPTIONS:
            log.exception("fault", extra={"on": where})
        if inv is None:
            return
        if not inv.done:
            inv.done = True
            self.front_of(inv).respond_error(self.requests[inv])
        self.tasks.pop(inv, None)
        self.release_if_complete(inv)

    def front_of(self, inv: Invocation) -> RequestFront | Clients:
        """Return the front that received an invocation's request and responds to it."""
        front: RequestFront | None = self.requests[inv].front
        return front or self.clients

    # Events of requests and deliveries.

    def on_request_taken(self, event: events.RequestTaken) -> None:
        """Start an invocation.

        If timers were late recently, its deadline is earlier than the client's, as its last timer may be late
        as well.
        """
        request = event.request
        operation = self.operations[request.operation]
        customer = self.customer_state(request.plan, request.customer, request.spread)
        timeout = (
            operation.timeout
            if request.timeout_s is None
            else round(request.timeout_s * MICROSECONDS_PER_SECOND)
        )
        deadline = request.received_at + timeout - min(self.timer_lateness, timeout // MAX_LATENESS_DIVISOR)
        inv = Invocation(operation, customer, request.received_at, deadline, request.units, request.retry)
        request.inv = inv
        self.requests[inv] = request
        if request.response_future.cancelled():
            inv.done = True
        self.start_invocation(inv)

    def on_client_left(self, event: events.ClientLeft) -> None:
        """Tell the decisions that a client has disconnected."""
        if event.request.inv is not None:
            self.client_disconnected(event.request.inv)

    def on_delivery_ended(self, event: events.DeliveryEnded) -> None:
        """Respond to the client if this is its first successful delivery, and tell the decisions."""
        delivery = event.delivery
        inv = delivery.inv
        request = self.requests.get(inv)
        if request is not None and request.front is not None:
            inv.done = True  # the front has responded by admitting it
        final = event.result is Result.SUCCEEDED and not inv.done
        if final:
            assert event.response is not None  # because the delivery succeeded
            self.clients.respond_success(self.requests[inv], *event.response)
        self.delivery_ended(
            delivery,
            event.result,
            event.duration,
            final,
            event.load,
            event.charged_units,
            event.used_fraction,
        )

    def on_delivery_authorised(self, event: events.DeliveryAuthorised) -> None:
        """Send a delivery that its authorisers allow, unless its invocation has ended meanwhile."""
        delivery = event.delivery
        if delivery.inv.done or delivery.inv not in self.requests:
            self.delivery_ended(delivery, Result.VOID, 0, False, None, 0)
        else:
            delivery.sent_at = self.gateway.now  # the authorisers' time must not count as the backend's
            self.backend_client.deliver(delivery, self.requests[delivery.inv])

    def on_delivery_not_sent(self, event: events.DeliveryNotSent) -> None:
        """End a delivery that its authorisers deny, or that was cancelled while it waited for them."""
        delivery = event.delivery
        if event.denial is not None and not delivery.inv.done:
            delivery.inv.done = True
            self.clients.respond_denied(self.requests[delivery.inv], event.denial)
        self.delivery_ended(delivery, event.result, 0, False, None, 0)

    def on_timer_due(self, event: events.TimerDue) -> None:
        """Resume the task, unless it was resumed otherwise since the timer was set."""
        decayed = self.timer_lateness - self.timer_lateness // LATENESS_DECAY
        self.timer_lateness = max(self.gateway.now - event.due_at, decayed)
        timer: events.TimerDue | None = event.task.timer
        if timer is not None and timer.due_at == event.due_at:
            self.run(event.task)

    def on_counter_replied(self, event: events.CounterReplied) -> None:
        """Tell the decisions the outcome of a counter call."""
        self.counter_replied(event.name, event.result, event.total)

    def on_backend_probed(self, event: events.BackendProbed) -> None:
        """Tell the decisions the outcome of a probe, and the other gateways if the probe was made for all."""
        self.probed(event.backend, event.result, event.duration, event.load)
        if self.membership is not None and self.membership.probing is not None:
            # The probe was a singleton task, so no task of the decisions waits for it.
            self.gateway.background.load_reported(event.backend, event.load)
            self.membership.publish_probe(event.backend, event.load)

    # Events between gateways.

    def on_datagram_received(self, event: events.DatagramReceived) -> None:
        """Pass a datagram to the usage exchange or the membership, whichever has a UDP socket."""
        receiver = self.usage_exchange or self.membership
        assert receiver is not None  # one of them has received the datagram
        receiver.receive_datagram(event.source, event.data)

    def on_usage_period_due(self, _: events.UsagePeriodDue) -> None:
        """End the current period of the usage exchange."""
        assert self.usage_exchange is not None  # its timer put the event on the queue
        self.usage_exchange.close_period()

    def on_membership_due(self, _: events.MembershipDue) -> None:
        """Run the next step of the membership."""
        assert self.membership is not None  # its timer put the event on the queue
        self.membership.on_timer()

    def on_shared_probes_due(self, _: events.SharedProbesDue) -> None:
        """Probe the backends that this gateway probes for all, and schedule the next check."""
        assert self.membership is not None  # the event occurs only with a membership
        for backend in self.membership.backends_to_probe():
            self.backend_client.probe(backend)
        loop = asyncio.get_running_loop()
        loop.call_later(SHARED_PROBES_INTERVAL_S, self.queue.put_nowait, events.SharedProbesDue())

    # Events of discovery.

    def block_changed_backends(self, received: EndpointList) -> None:
        """Block the backends that a received list removes or moves until its event is handled.

        No request to them is started from now on. Discovery calls this before it puts the list's event on the
        queue.
        """
        client = self.backend_client
        ready = {row.uid for row in received.rows if row.state is EndpointState.READY}
        affected: Set[Any] = self.listed.keys() if received.complete else {row.uid for row in received.rows}
        for uid in affected & self.backends.keys():
            backend = self.backends[uid]
            is_moved = uid in received.endpoints and client.endpoints.get(backend) != received.endpoints[uid]
            if uid not in ready or is_moved:
                client.blocked[backend] = received

    def on_endpoints_received(self, event: events.EndpointsReceived) -> None:
        """Apply the addresses and states of a received endpoint list."""
        received = event.endpoints
        listed_before = set(self.listed)
        self._unblock_backends(received)
        self.endpoints_listed(received.rows, received.complete)
        endpoints: Mapping[Any, str] = received.endpoints
        for uid in self.listed.keys() & endpoints.keys():
            self.backend_client.set_endpoint(self.backends[uid], endpoints[uid])
        for uid in listed_before - set(self.listed):
            self.backend_client.remove_endpoint(self.backends[uid])
            self.departed_at[uid] = self.gateway.now
        self._forget_departed()

    def _unblock_backends(self, received: EndpointList) -> None:
        """Unblock the backends that this list blocked, as it is being applied now."""
        blocking_lists = self.backend_client.blocked
        for backend in [
            backend for backend, endpoint_list in blocking_lists.items() if endpoint_list is received
        ]:
            del blocking_lists[backend]

    def _forget_departed(self) -> None:
        """Remove the state of backends that departed long ago.

        The state matters if a backend returns while it is still warming up; kept longer, it only uses memory.
        """
        for uid, removed_at in list(self.departed_at.items()):
            if uid not in self.listed and self.gateway.now - removed_at <= self.settings["cold"]:
                continue
            del self.departed_at[uid]
            if uid not in self.listed:
                self.pending_probes.pop(self.backends[uid], None)
                del self.backend_ids[self.backends.pop(uid)]

    def on_discovery_failed(self, _: events.DiscoveryFailed) -> None:
        """Tell the decisions that the endpoint list may be out of date."""
        self.discovery_failed()

    # Effects.

    def deliver(self, delivery: Delivery) -> None:
        """Send a delivery through its front, after its authorisers' verdict, or at once."""
        check_invariant(not delivery.inv.done, "nothing_sent_after_the_answer")
        request = self.requests[delivery.inv]
        if request.front is not None:
            request.front.deliver(delivery, request)
        elif self.authorisers is None or not self.authorisers.deliver(delivery, request):
            self.backend_client.deliver(delivery, request)

    def cancel(self, delivery: Delivery) -> None:
        """Cancel a delivery at its front, authorisers or backend; an event reports its end."""
        request: IncomingRequest | None = self.requests.get(delivery.inv)
        if request is not None and request.front is not None:
            request.front.cancel(delivery)
        elif self.authorisers is None or not self.authorisers.cancel(delivery):
            self.backend_client.cancel(delivery)

    def throttle(self, inv: Invocation, retry_after: int) -> None:
        """Reject a request; `retry_after`: microseconds until a retry is advised, 0 for no advice."""
        self.front_of(inv).respond_throttled(self.requests[inv], retry_after)

    def fail(self, inv: Invocation) -> None:
        """Respond to a request with an error."""
        self.front_of(inv).respond_error(self.requests[inv])

    def set_timer(self, task: Task, until: int) -> events.TimerDue:
        """Set a timer that resumes the task at `until`; return the event that it will put on the queue."""
        remaining_s = max(0, until - self.gateway.now) / MICROSECONDS_PER_SECOND
        timer = events.TimerDue(task, until)
        timer.handle = asyncio.get_running_loop().call_later(remaining_s, self.queue.put_nowait, timer)
        return timer

    def cancel_timer(self, timer: events.TimerDue) -> None:
        """Cancel a timer; if its event is in the queue already, `on_timer_due` ignores it."""
        assert timer.handle is not None  # set by `set_timer`
        timer.handle.cancel()

    def count(self, name: int, amount: float, lifetime: int) -> None:
        """Call the counter service; `CounterReplied` follows."""
        self.counter.add(name, amount, lifetime)

    def probe(self, backend: BackendState) -> None:
        """Probe a backend; `BackendProbed` follows."""
        self.backend_client.probe(backend)

    def subscribe(self) -> None:
        """Start to follow discovery, unless it is followed already."""
        self.discovery.watch()

    def log(self, text: str, about: Any) -> None:
        """Log a line of the decisions, with its subject if there is one."""
        log.info(text, extra={"about": about} if about != "" else None)

    def released(self, inv: Invocation) -> None:
        """Remove the request of an invocation for which no further event can occur."""
        self.requests.pop(inv, None)
