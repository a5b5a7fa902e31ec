"""Runs the generators of the gateway's decisions; shared by all front ends.

A front end (the network gateway, the simulator adapter, the emulator) derives from `Host`.  It translates the
ids of its protocol into objects before it calls the event methods, and implements one method per effect.

Invariant: events are handled one at a time, and `Gateway.now` is set before each.  A generator is resumed
only by what it waits for: its timer, the end of one of its deliveries, or the reply to its counter call or
its probe.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Hashable, Iterable, Mapping
from typing import Any, TypeAlias

from . import interface as i
from .decisions import BackendState, CustomerState, Gateway
from .keys import stable_hash

MIN_SWEEP_SIZE = 1024  # customers held before the first sweep for those that can be dropped

EndpointRow: TypeAlias = "tuple[Any, str, str, int, i.EndpointState, float, int | None]"
"""A backend as discovery reports it: (id, zone, kind, group, state, weight, start time in us or None)."""


class Task:
    """A running generator and the handle of the timer that it waits for, if any."""

    __slots__ = ("generator", "inv", "timer")

    def __init__(self, generator: i.Effects[Any], inv: i.Invocation | None = None) -> None:
        self.generator = generator
        self.inv = inv  # the invocation it serves; None for background generators
        self.timer: Any = None


class Host:
    """One gateway instance: its decisions, its objects by their external ids, and its running tasks."""

    gateway_type: type[Gateway] = Gateway  # the emulator substitutes other implementations to compare

    def __init__(self, settings: Mapping[str, Any], seed: int | str, now: int) -> None:
        self.settings = settings
        self.gateway = self.gateway_type(settings, seed, now)
        self.operations: dict[str, i.Operation] = {op.name: op for op in settings["operations"]}
        self.plans: dict[str, i.Plan] = {plan.name: plan for plan in settings["plans"]}
        self.backends: dict[Hashable, BackendState] = {}  # by id, including those no longer listed
        self.backend_ids: dict[BackendState, Any] = {}
        self.listed: dict[Hashable, BackendState] = {}  # those that discovery lists, in any state
        self.customers: dict[tuple[str, str], CustomerState] = {}  # by plan and customer name
        self.sweep_at = MIN_SWEEP_SIZE
        self.tasks: dict[i.Invocation, Task] = {}
        self.pending_counter_calls: defaultdict[int, deque[Task]] = defaultdict(deque)  # by counter name
        self.pending_probes: defaultdict[i.Backend, deque[Task]] = defaultdict(deque)

    def start(self) -> None:
        """Start the background tasks; call once."""
        for generator in self.gateway.background.tasks():
            self.run(Task(generator))

    def run(self, task: Task, value: Any = None) -> None:
        """Resume a task with the result of its last effect, and run it until it waits or ends."""
        task.timer = None
        while True:
            try:
                effect = task.generator.send(value)
            except StopIteration:
                if task.inv is not None:
                    self._invocation_ended(task.inv)
                return
            value = None
            match effect:
                case i.Deliver(delivery):
                    self.deliver(delivery)
                case i.Cancel(delivery):
                    self.cancel(delivery)
                case i.Throttle(inv, retry_after):
                    self.throttle(inv, retry_after)
                    inv.done = True
                case i.Fail(inv):
                    self.fail(inv)
                    inv.done = True
                case i.Pause(until):
                    task.timer = self.set_timer(task, until)
                    return
                case i.AddToCounter(name, amount, lifetime):
                    self.pending_counter_calls[name].append(task)
                    self.count(name, amount, lifetime)
                    return
                case i.Probe(backend):
                    self.pending_probes[backend].append(task)
                    self.probe(backend)
                    return
                case i.Spawn(generator):
                    self.run(Task(generator))
                case i.Wake(inv):
                    self.resume(inv)
                case i.Subscribe():
                    self.subscribe()
                case i.Log(text, about):
                    self.log(text, self.backend_ids.get(about, getattr(about, "name", "")))
                case _:
                    raise TypeError(f"unknown effect: {effect!r}")

    def resume(self, inv: i.Invocation, value: i.Delivery | None = None) -> None:
        """Resume an invocation that is paused.

        One that waits for a counter reply is left alone; it checks `inv.done` when the reply arrives.
        """
        task = self.tasks.get(inv)
        if task is not None and task.timer is not None:
            self.cancel_timer(task.timer)
            self.run(task, value)

    # Events, called by the front end.

    def start_invocation(self, inv: i.Invocation) -> None:
        """A request arrived."""
        self.tasks[inv] = task = Task(self.gateway.invocation(inv), inv)
        self.run(task)

    def delivery_ended(
        self,
        delivery: i.Delivery,
        result: i.Result,
        duration: int,
        final: bool,
        load: dict[str, float] | None,
        actual: float,
        used: float | None = None,
    ) -> None:
        """A delivery ended after `duration` microseconds; `final`: it gave the client its final answer.

        For `load`, `actual` and `used`, which the answer may carry, see `Outcomes.ended`.
        """
        delivery.result = result
        delivery.duration = duration
        inv = delivery.inv
        inv.done = inv.done or final
        self.run(Task(self.gateway.outcomes.ended(delivery, load, actual, used)))
        self.resume(inv, delivery)
        self.release_if_complete(inv)

    def client_disconnected(self, inv: i.Invocation) -> None:
        """The client of an invocation disconnected or gave up."""
        if not inv.done:
            inv.done = True
            self.resume(inv)

    def counter_replied(self, name: int, result: i.Result, total: float) -> None:
        """A counter call was answered; replies for one name arrive in the order of the calls."""
        if self.pending_counter_calls.get(name):
            task = self.pending_counter_calls[name].popleft()
            if not self.pending_counter_calls[name]:
                del self.pending_counter_calls[name]
            self.run(task, i.CounterReply(result, total))

    def probed(
        self, backend: i.Backend, result: i.Result, duration: int, load: dict[str, float] | None
    ) -> None:
        """A probe ended after `duration` microseconds."""
        if self.pending_probes.get(backend):
            self.run(self.pending_probes[backend].popleft(), i.ProbeReply(result, duration, load))

    def endpoints_listed(self, entries: Iterable[EndpointRow], complete: bool) -> None:
        """Discovery reported backends; `complete`: those not in `entries` no longer exist."""
        if complete:
            for backend in self.listed.values():
                backend.state = i.EndpointState.GONE
            self.listed = {}
        for uid, zone, kind, group, state, weight, started in entries:
            backend = self.backends.get(uid) or self._new_backend(uid)
            backend.zone = zone
            backend.kind = kind
            backend.group = group
            backend.state = state
            backend.weight = weight if weight > 0 else 1.0
            backend.started = started or None
            if state is i.EndpointState.GONE:
                self.listed.pop(uid, None)
            else:
                self.listed[uid] = backend
        self.gateway.endpoints_changed(list(self.listed.values()), False)

    def _new_backend(self, uid: Hashable) -> BackendState:
        backend = self.backends[uid] = BackendState()
        backend.key = stable_hash(str(uid))
        self.backend_ids[backend] = uid
        return backend

    def discovery_failed(self) -> None:
        """A call to discovery failed, or its watch stream ended."""
        self.gateway.endpoints_changed(list(self.listed.values()), True)

    # State lookup.

    def customer_state(self, plan: str, name: str, spread: int) -> CustomerState:
        """The state of a customer, created if new; `spread`: gateways that its requests may reach, 0: all."""
        customer = self.customers.get((plan, name))
        if customer is None:
            if len(self.customers) >= self.sweep_at:  # bounds memory use
                may_forget = self.gateway.may_forget
                self.customers = {k: known for k, known in self.customers.items() if not may_forget(known)}
                self.sweep_at = max(MIN_SWEEP_SIZE, 2 * len(self.customers))
            spread = spread or self.settings["gateways"]
            customer = self.customers[plan, name] = CustomerState(name, self.plans[plan], spread)
        return customer

    def _invocation_ended(self, inv: i.Invocation) -> None:
        """The generator of an invocation ended; its ids are kept while deliveries are in flight."""
        if not inv.done:
            raise RuntimeError("the generator of an invocation ended without a final answer")
        self.tasks.pop(inv, None)
        self.release_if_complete(inv)

    def release_if_complete(self, inv: i.Invocation) -> None:
        """Release an invocation's ids once its generator and all its deliveries have ended."""
        if inv not in self.tasks and all(d.result is not None for d in inv.deliveries):
            self.released(inv)

    # Effects, implemented by the front end.

    def deliver(self, delivery: i.Delivery) -> None:
        """Send a delivery to its backend; the front end calls `delivery_ended` when it ends."""
        raise NotImplementedError

    def cancel(self, delivery: i.Delivery) -> None:
        """Stop waiting for a delivery; `delivery_ended` follows."""
        raise NotImplementedError

    def throttle(self, inv: i.Invocation, retry_after: int) -> None:
        """Answer the client: rejected, retry after `retry_after` microseconds (0: not stated)."""
        raise NotImplementedError

    def fail(self, inv: i.Invocation) -> None:
        """Answer the client with an error."""
        raise NotImplementedError

    def set_timer(self, task: Task, until: int) -> Any:
        """Run the task at `until`, in microseconds; returns a handle, never None."""
        raise NotImplementedError

    def cancel_timer(self, timer: Any) -> None:
        """Cancel a timer whose task was resumed by another event."""
        raise NotImplementedError

    def count(self, name: int, amount: float, lifetime: int) -> None:
        """Call the counter service; `counter_replied` follows, also after a timeout."""
        raise NotImplementedError

    def probe(self, backend: Any) -> None:
        """Request a load report from a backend; `probed` follows."""
        raise NotImplementedError

    def subscribe(self) -> None:
        """Subscribe to changes at discovery."""
        raise NotImplementedError

    def log(self, text: str, about: Any) -> None:
        """Log a line for operators; `about`: a backend's id, a customer's name, or "" if general."""
        raise NotImplementedError

    def released(self, inv: i.Invocation) -> None:
        """Drop the ids of an invocation that has completed."""
        raise NotImplementedError
