"""Runs the module's generators; what both front ends share.

A front end derives from `Host`, turns its protocol's ids into objects before it calls in here, and carries
out each effect in the method of that name.
"""

from __future__ import annotations

from collections import defaultdict, deque

from . import interface as i
from .decisions import BackendState, CustomerState, Gateway
from .keys import stable_key

SWEEP = 1024  # customers held before those that the module is done with are first looked for


class Task:
    """A running generator and what it waits for."""

    __slots__ = ("work", "inv", "alarm")

    def __init__(self, work, inv=None):
        self.work, self.inv, self.alarm = work, inv, None


class Host:
    """One gateway: its module, its objects by the ids of the other side, its running tasks."""

    module = Gateway  # the laboratory puts baselines in its place

    def __init__(self, settings, seed, now):
        self.settings = settings
        self.gateway = self.module(settings, seed, now)
        self.operations = {op.name: op for op in settings["operations"]}
        self.plans = {plan.name: plan for plan in settings["plans"]}
        self.backends, self.backend_ids, self.listed = {}, {}, {}
        self.customers, self.tasks, self.sweep_at = {}, {}, SWEEP
        self.counts, self.probes = defaultdict(deque), defaultdict(deque)

    def start(self):
        for work in self.gateway.background.tasks():
            self.run(Task(work))

    def run(self, task, value=None):
        """Resume a task until it waits or ends."""
        task.alarm = None
        while True:
            try:
                effect = task.work.send(value)
            except StopIteration:
                if task.inv is not None:
                    self.over(task.inv)
                return
            value = None
            match effect:
                case i.Deliver(d):
                    self.deliver(d)
                case i.Cancel(d):
                    self.cancel(d)
                case i.Throttle(inv, retry_after):
                    self.throttle(inv, retry_after)
                    inv.done = True
                case i.Fail(inv):
                    self.fail(inv)
                    inv.done = True
                case i.Pause(until):
                    task.alarm = self.alarm(task, until)
                    return
                case i.Count(name, add, life):
                    self.counts[name].append(task)
                    self.count(name, add, life)
                    return
                case i.Probe(backend):
                    self.probes[backend].append(task)
                    self.probe(backend)
                    return
                case i.Spawn(work):
                    self.run(Task(work))
                case i.Wake(inv):
                    self.resume(inv)
                case i.Subscribe():
                    self.subscribe()
                case i.Log(text, about):
                    self.log(text, self.backend_ids.get(about, getattr(about, "name", "")))
                case _:
                    raise TypeError(f"not an effect: {effect!r}")

    def resume(self, inv, value=None):
        """Resume an invocation that pauses; one that waits for a count sees `inv.done` by itself."""
        task = self.tasks.get(inv)
        if task is not None and task.alarm is not None:
            self.quiet(task.alarm)
            self.run(task, value)

    def take(self, inv):
        self.tasks[inv] = task = Task(self.gateway.invocation(inv), inv)
        self.run(task)

    def account(self, plan, name, spread):
        customer = self.customers.get((plan, name))
        if customer is None:
            if len(self.customers) >= self.sweep_at:  # they would fill the memory in the end
                kept = {k: acc for k, acc in self.customers.items() if not self.gateway.may_forget(acc)}
                self.customers, self.sweep_at = kept, max(SWEEP, 2 * len(kept))
            spread = spread or self.settings["gateways"]
            customer = self.customers[plan, name] = CustomerState(name, self.plans[plan], spread)
        return customer

    def over(self, inv):
        """The generator has ended; ids stay while deliveries are out."""
        if not inv.done:
            raise RuntimeError("an invocation ended without an answer")
        self.tasks.pop(inv, None)
        self.forget(inv)

    def forget(self, inv):
        if inv not in self.tasks and all(d.result is not None for d in inv.deliveries):
            self.forgotten(inv)

    def listing(self, entries, whole):
        """What discovery told: entries are (id, zone, kind, group, state, weight, started or None)."""
        if whole:
            for target in self.listed.values():
                target.state = i.State.GONE
            self.listed = {}
        for number, zone, machine, group, state, weight, started in entries:
            target = self.backends.get(number)
            if target is None:
                target = self.backends[number] = BackendState()
                target.key = stable_key(str(number))
                self.backend_ids[target] = number
            target.zone, target.kind, target.group, target.state = zone, machine, group, state
            target.weight, target.started = weight if weight > 0 else 1.0, started or None
            if state is i.State.GONE:
                self.listed.pop(number, None)
            else:
                self.listed[number] = target
        self.gateway.endpoints_changed(list(self.listed.values()), False)

    def unlisted(self):
        """A call to discovery failed, or its watch ended."""
        self.gateway.endpoints_changed(list(self.listed.values()), True)

    def ended(self, delivery, result, took, final, load, actual, used=None):
        delivery.result, delivery.took = result, took
        inv = delivery.inv
        inv.done = inv.done or final
        self.run(Task(self.gateway.outcomes.ended(delivery, load, actual, used)))
        self.resume(inv, delivery)
        self.forget(inv)

    def left(self, inv):
        if not inv.done:
            inv.done = True
            self.resume(inv)

    def counted(self, name, result, total):
        """Answers for one name come in the order of the calls."""
        if self.counts.get(name):
            task = self.counts[name].popleft()
            if not self.counts[name]:
                del self.counts[name]
            self.run(task, i.Counted(result, total))

    def probed(self, backend, result, took, load):
        if self.probes.get(backend):
            self.run(self.probes[backend].popleft(), i.Probed(result, took, load))
