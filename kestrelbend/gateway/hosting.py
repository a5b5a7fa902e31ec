"""Runs the decisions' generators; what every front end shares.

A front end (the gateway in service, the simulator's adapter, the emulator) derives from `Host`, turns its
protocol's ids into objects before it calls in here, and carries out each effect in the method of that name.

Invariant: one event is worked on at a time, and `Gateway.now` is set before it.  A generator is resumed only
by what it waits for: its alarm, the end of one of its deliveries, the reply to its counter call or its probe.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Hashable, Iterable, Mapping
from typing import Any, TypeAlias

from . import interface as i
from .decisions import BackendState, CustomerState, Gateway
from .keys import stable_hash

MIN_SWEEP_SIZE = 1024  # customers known before those that may be forgotten are first looked for

EndpointRow: TypeAlias = "tuple[Any, str, str, int, i.EndpointState, float, int | None]"
"""A backend as discovery tells it: (id, zone, kind, group, state, weight, start in microseconds or None)."""


class Task:
    """A running generator and the handle of the alarm that it waits for, if any."""

    __slots__ = ("generator", "inv", "timer")

    def __init__(self, generator: i.Effects[Any], inv: i.Invocation | None = None) -> None:
        self.generator = generator
        self.inv = inv  # that it serves; None for the generators beside invocations
        self.timer: Any = None


class Host:
    """One gateway: its decisions, its objects by the ids of the other side, its running tasks."""

    gateway_type: type[Gateway] = Gateway  # the emulator compares with others

    def __init__(self, settings: Mapping[str, Any], seed: int | str, now: int) -> None:
        self.settings = settings
        self.gateway = self.gateway_type(settings, seed, now)
        self.operations: dict[str, i.Operation] = {op.name: op for op in settings["operations"]}
        self.plans: dict[str, i.Plan] = {plan.name: plan for plan in settings["plans"]}
        self.backends: dict[Hashable, BackendState] = {}  # by id, also those no longer listed
        self.backend_ids: dict[BackendState, Any] = {}
        self.listed: dict[Hashable, BackendState] = {}  # what discovery lists, in any state
        self.customers: dict[tuple[str, str], CustomerState] = {}  # by plan and name
        self.sweep_at = MIN_SWEEP_SIZE
        self.tasks: dict[i.Invocation, Task] = {}
        self.pending_counter_calls: defaultdict[int, deque[Task]] = defaultdict(
            deque
        )  # counter calls in flight, by name
        self.pending_probes: defaultdict[i.Backend, deque[Task]] = defaultdict(deque)

    def start(self) -> None:
        """Start the background tasks; once."""
        for generator in self.gateway.background.tasks():
            self.run(Task(generator))

    def run(self, task: Task, value: Any = None) -> None:
        """Resume a task with the answer to its last effect, until it waits or ends."""
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
                case i.Count(name, amount, lifetime):
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
                    raise TypeError(f"not an effect: {effect!r}")

    def resume(self, inv: i.Invocation, value: i.Delivery | None = None) -> None:
        """Resume an invocation that pauses; one that waits for a count sees `inv.done` by itself."""
        task = self.tasks.get(inv)
        if task is not None and task.timer is not None:
            self.cancel_timer(task.timer)
            self.run(task, value)

    # Events, as the front end tells them.

    def start_invocation(self, inv: i.Invocation) -> None:
        """A request came in."""
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
        """A delivery ended after `took` microseconds; `final`: its client has its answer by it.

        `load`, `actual`, `used`: what the answer tells (`Outcomes.ended`).
        """
        delivery.result = result
        delivery.duration = duration
        inv = delivery.inv
        inv.done = inv.done or final
        self.run(Task(self.gateway.outcomes.ended(delivery, load, actual, used)))
        self.resume(inv, delivery)
        self.release_if_complete(inv)

    def client_disconnected(self, inv: i.Invocation) -> None:
        """Its client waits no longer."""
        if not inv.done:
            inv.done = True
            self.resume(inv)

    def counter_replied(self, name: int, result: i.Result, total: float) -> None:
        """The reply to a counter call; replies for one name come in the order of the calls."""
        if self.pending_counter_calls.get(name):
            task = self.pending_counter_calls[name].popleft()
            if not self.pending_counter_calls[name]:
                del self.pending_counter_calls[name]
            self.run(task, i.Counted(result, total))

    def probed(
        self, backend: i.Backend, result: i.Result, duration: int, load: dict[str, float] | None
    ) -> None:
        """The reply to a probe, after `took` microseconds."""
        if self.pending_probes.get(backend):
            self.run(self.pending_probes[backend].popleft(), i.Probed(result, duration, load))

    def endpoints_listed(self, entries: Iterable[EndpointRow], complete: bool) -> None:
        """What discovery told; `complete`: backends that are not among them are gone."""
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
        """A call to discovery failed, or its watch ended."""
        self.gateway.endpoints_changed(list(self.listed.values()), True)

    # Objects.

    def customer_state(self, plan: str, name: str, spread: int) -> CustomerState:
        """What is known of a customer; `spread`: how many gateways it may reach, 0: all."""
        customer = self.customers.get((plan, name))
        if customer is None:
            if len(self.customers) >= self.sweep_at:  # they would fill the memory in the end
                may_forget = self.gateway.may_forget
                self.customers = {k: known for k, known in self.customers.items() if not may_forget(known)}
                self.sweep_at = max(MIN_SWEEP_SIZE, 2 * len(self.customers))
            spread = spread or self.settings["gateways"]
            customer = self.customers[plan, name] = CustomerState(name, self.plans[plan], spread)
        return customer

    def _invocation_ended(self, inv: i.Invocation) -> None:
        """The generator has ended; ids stay while deliveries are in flight."""
        if not inv.done:
            raise RuntimeError("an invocation ended without an answer")
        self.tasks.pop(inv, None)
        self.release_if_complete(inv)

    def release_if_complete(self, inv: i.Invocation) -> None:
        """Nothing more can come of it: the front end may forget its ids."""
        if inv not in self.tasks and all(d.result is not None for d in inv.deliveries):
            self.released(inv)

    # Effects, which the front end carries out.

    def deliver(self, delivery: i.Delivery) -> None:
        """Send it to its backend; `delivery_ended` tells what became of it."""
        raise NotImplementedError

    def cancel(self, delivery: i.Delivery) -> None:
        """Stop waiting for it; `delivery_ended` follows."""
        raise NotImplementedError

    def throttle(self, inv: i.Invocation, retry_after: int) -> None:
        """Answer its client: rejected, to come back after so many microseconds (0: no advice)."""
        raise NotImplementedError

    def fail(self, inv: i.Invocation) -> None:
        """Answer its client: errored."""
        raise NotImplementedError

    def set_timer(self, task: Task, until: int) -> Any:
        """Run the task at a time in microseconds; a handle, never None."""
        raise NotImplementedError

    def cancel_timer(self, timer: Any) -> None:
        """The task of this handle was resumed by something else."""
        raise NotImplementedError

    def count(self, name: int, amount: float, lifetime: int) -> None:
        """Call the counter service; `counter_replied` follows, or its time-out."""
        raise NotImplementedError

    def probe(self, backend: Any) -> None:
        """Ask a backend for its load; `probed` follows."""
        raise NotImplementedError

    def subscribe(self) -> None:
        """Ask discovery for its changes from now on."""
        raise NotImplementedError

    def log(self, text: str, about: Any) -> None:
        """A line for staff about the backend of an id, the customer of a name, or "" for nothing."""
        raise NotImplementedError

    def released(self, inv: i.Invocation) -> None:
        """Forget an invocation's ids."""
        raise NotImplementedError
