"""Hosts instances: ids become objects here, generators are run, and effects become wire lines."""
from __future__ import annotations

import sys
import traceback
from collections import defaultdict, deque

from .. import interface as i
from ..choice import Account, Gateway, Target
from . import codec


class Task:
    """A running generator and what it waits for."""
    __slots__ = ("work", "inv", "alarm")

    def __init__(self, work, inv=None):
        self.work, self.inv, self.alarm = work, inv, None


class Instance:
    """One gateway: its module, its objects by id, its running tasks."""

    def __init__(self, name, seed, settings, now, out):
        self.name, self.out, self.settings = name, out, settings
        self.gateway = Gateway(settings, seed, now)
        self.operations = {op.name: op for op in settings["operations"]}
        self.plans = {plan.name: plan for plan in settings["plans"]}
        self.backends, self.backend_ids, self.listed = {}, {}, {}
        self.customers, self.invs, self.inv_ids, self.tasks = {}, {}, {}, {}
        self.alarms, self.handles = {}, 0
        self.counts, self.probes = defaultdict(deque), defaultdict(deque)
        for work in self.gateway.chores():
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
                    number, backend = self.inv_ids[d.inv], self.backend_ids[d.backend]
                    self.out.append(codec.deliver(self.name, number, backend, d.until))
                case i.Cancel(d):
                    self.out.append(codec.cancel(self.name, self.inv_ids[d.inv], d.number))
                case i.Throttle(inv, retry_after):
                    self.out.append(codec.throttle(self.name, self.inv_ids[inv], retry_after))
                    inv.done = True
                case i.Fail(inv):
                    self.out.append(codec.fail(self.name, self.inv_ids[inv]))
                    inv.done = True
                case i.Pause(until):
                    self.handles += 1
                    task.alarm = self.handles
                    self.alarms[self.handles] = task, until
                    self.out.append(codec.alarm(self.name, self.handles, max(0, until - self.gateway.now)))
                    return
                case i.Count(name, add, life):
                    self.out.append(codec.count(self.name, name, add, life))
                    self.counts[name].append(task)
                    return
                case i.Probe(backend):
                    self.out.append(codec.probe(self.name, self.backend_ids[backend]))
                    self.probes[backend].append(task)
                    return
                case i.Spawn(work):
                    self.run(Task(work))
                case i.Wake(inv):
                    self.resume(inv)
                case i.Subscribe():
                    self.out.append(codec.subscribe(self.name))
                case i.Log(text, about):
                    about = self.backend_ids.get(about, getattr(about, "name", ""))
                    self.out.append(codec.log(self.name, f"{text} {about}".strip()))
                case _:
                    raise TypeError(f"not an effect: {effect!r}")

    def resume(self, inv, value=None):
        """Resume an invocation that pauses; one that waits for a count sees `inv.done` by itself."""
        task = self.tasks.get(inv)
        if task is not None and task.alarm is not None:
            self.alarms.pop(task.alarm, None)
            self.run(task, value)

    def over(self, inv):
        """The generator has ended; ids stay while deliveries are out."""
        if not inv.done:
            raise RuntimeError("an invocation ended without an answer")
        self.tasks.pop(inv, None)
        self.forget(inv)

    def forget(self, inv):
        if inv not in self.tasks and all(d.result is not None for d in inv.deliveries):
            self.invs.pop(self.inv_ids.pop(inv, None), None)

    # Events, by their wire names.

    def roster_change(self, entries, _version, kind, _count):
        if kind != "broken":
            if kind != "patch":
                for target in self.listed.values():
                    target.state = i.State.GONE
                self.listed = {}
            for number, zone, machine, group, state, weight, started in entries:
                target = self.backends.get(number)
                if target is None:
                    target = self.backends[number] = Target()
                    self.backend_ids[target] = number
                target.zone, target.kind, target.group, target.state = zone, machine, group, state
                target.weight, target.started = weight if weight > 0 else 1.0, started or None
                if state is i.State.GONE:
                    self.listed.pop(number, None)
                else:
                    self.listed[number] = target
        self.gateway.roster(list(self.listed.values()), kind == "broken")

    def accept(self, _, number, operation, plan, name, until, units, spread, _first, flags):
        op, contract = self.operations.get(operation), self.plans.get(plan)
        if op is None or contract is None:
            raise codec.Malformed(f"'accept': unknown operation or plan: {operation!r}, {plan!r}")
        customer = self.customers.get((plan, name))
        if customer is None:
            spread = spread or self.settings["gateways"]
            customer = self.customers[plan, name] = Account(name, contract, spread)
        inv = i.Invocation(op, customer, self.gateway.now, until, units, bool(flags & codec.RETRY_FLAG))
        self.invs[number], self.inv_ids[inv] = inv, number
        self.tasks[inv] = task = Task(self.gateway.invocation(inv), inv)
        self.run(task)

    def returned(self, _, number, trial, _backend, result, took, ended, _used, actual, load):
        inv = self.invs.get(number)
        if inv is None or trial >= len(inv.deliveries) or inv.deliveries[trial].result is not None:
            return
        delivery = inv.deliveries[trial]
        delivery.result, delivery.took = result, took
        inv.done = inv.done or ended
        self.run(Task(self.gateway.ended(delivery, self.load(load), actual)))
        self.resume(inv, delivery)
        self.forget(inv)

    def streaming(self, _, number, _backend, _took, _trial):
        inv = self.invs.get(number)
        if inv is not None:
            inv.done = inv.streaming = True
            self.resume(inv)

    def withdrawn(self, _, number):
        inv = self.invs.get(number)
        if inv is not None and not inv.done:
            inv.done = True
            self.resume(inv)

    def reminder(self, _, handle):
        task, _ = self.alarms.pop(handle, (None, 0))
        if task is not None and task.alarm == handle:
            self.run(task)

    def counter_reply(self, _, name, _took, result, total):
        if self.counts.get(name):
            task = self.counts[name].popleft()
            if not self.counts[name]:
                del self.counts[name]
            self.run(task, i.Counted(result, total))

    def probe_result(self, _, backend, result, took, load):
        waiting = self.probes.get(self.backends.get(backend))
        if waiting:
            self.run(waiting.popleft(), i.Probed(result, took, self.load(load)))

    def peer(self, _, sender, data):
        """The module has no messages for its siblings yet."""

    def load(self, row):
        if row is None:
            return None
        named = zip(self.settings["load_fields"], row, strict=False)
        return {name: value for name, value in named if value is not None}


def serve(source, sink):
    instances = {}
    for now, events in codec.batches(source):
        out = []
        for message, name, values, entries in events:
            try:
                if message == "init":
                    instances[name] = Instance(name, values[0], codec.settings(values[1]), now, out)
                elif message == "destroy":
                    instances.pop(name, None)
                elif name in instances:
                    instance = instances[name]
                    instance.out, instance.gateway.now = out, now
                    getattr(instance, message)(entries, *values)
            except codec.Malformed:
                raise
            except Exception as trouble:
                traceback.print_exc(file=sys.stderr)
                out.append(codec.fault(name, f"{type(trouble).__name__}: {trouble}"))
        out.append("done\n")
        sink.write("\n".join(out).encode())
        sink.flush()
