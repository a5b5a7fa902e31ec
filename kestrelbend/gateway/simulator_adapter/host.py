"""Hosts instances on the simulator's wire: its ids become objects here, and effects become its lines."""

from __future__ import annotations

import sys
import traceback

from .. import interface as i
from ..hosting import Host
from ..settings.platform import Malformed, settings
from . import codec


class Instance(Host):
    """One gateway, its invocations by their wire ids, its alarms by their handles."""

    def __init__(self, name, seed, settings, now, out):
        super().__init__(settings, seed, now)
        self.name, self.out = name, out
        self.invs, self.inv_ids, self.alarms, self.handles = {}, {}, {}, 0
        self.start()

    # Effects.

    def deliver(self, d):
        number, backend = self.inv_ids[d.inv], self.backend_ids[d.backend]
        self.out.append(codec.deliver(self.name, number, backend, d.until))

    def cancel(self, d):
        self.out.append(codec.cancel(self.name, self.inv_ids[d.inv], d.number))

    def throttle(self, inv, retry_after):
        self.out.append(codec.throttle(self.name, self.inv_ids[inv], retry_after))

    def fail(self, inv):
        self.out.append(codec.fail(self.name, self.inv_ids[inv]))

    def set_alarm(self, task, until):
        self.handles += 1
        self.alarms[self.handles] = task, until
        self.out.append(codec.alarm(self.name, self.handles, max(0, until - self.gateway.now)))
        return self.handles

    def cancel_alarm(self, alarm):
        self.alarms.pop(alarm, None)

    def count(self, name, add, life):
        self.out.append(codec.count(self.name, name, add, life))

    def probe(self, backend):
        self.out.append(codec.probe(self.name, self.backend_ids[backend]))

    def subscribe(self):
        self.out.append(codec.subscribe(self.name))

    def log(self, text, about):
        self.out.append(codec.log(self.name, f"{text} {about}".strip()))

    def released(self, inv):
        self.invs.pop(self.inv_ids.pop(inv, None), None)

    # Events, by their wire names.

    def roster_change(self, entries, _version, kind, _count):
        if kind == "broken":
            self.discovery_failed()
        else:
            self.endpoints_listed(entries, kind != "patch")

    def accept(self, _, number, operation, plan, name, until, units, spread, _first, flags):
        op = self.operations.get(operation)
        if op is None or plan not in self.plans:
            raise Malformed(f"'accept': unknown operation or plan: {operation!r}, {plan!r}")
        inv = i.Invocation(
            op,
            self.customer_state(plan, name, spread),
            self.gateway.now,
            until,
            units,
            bool(flags & codec.RETRY_FLAG),
        )
        self.invs[number], self.inv_ids[inv] = inv, number
        self.start_invocation(inv)

    def returned(self, _, number, trial, _backend, result, took, ended, used, actual, load):
        inv = self.invs.get(number)
        if inv is None or trial >= len(inv.deliveries) or inv.deliveries[trial].result is not None:
            return
        used = (used - 1) / 100 if used else None  # 1 more than the percent, so that 0 is none told
        self.delivery_ended(inv.deliveries[trial], result, took, ended, self.load(load), actual, used)

    def streaming(self, _, number, _backend, _took, _trial):
        inv = self.invs.get(number)
        if inv is not None:
            inv.done = inv.streaming = True
            self.resume(inv)

    def withdrawn(self, _, number):
        if number in self.invs:
            self.client_gone(self.invs[number])

    def reminder(self, _, handle):
        task, _ = self.alarms.pop(handle, (None, 0))
        if task is not None and task.alarm == handle:
            self.run(task)

    def counter_reply(self, _, name, _took, result, total):
        self.counter_replied(name, result, total)

    def probe_result(self, _, backend, result, took, load):
        self.probed(self.backends.get(backend), result, took, self.load(load))

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
                    instances[name] = Instance(name, values[0], settings(values[1]), now, out)
                elif message == "destroy":
                    instances.pop(name, None)
                elif name in instances:
                    instance = instances[name]
                    instance.out, instance.gateway.now = out, now
                    getattr(instance, message)(entries, *values)
            except Malformed as trouble:
                named = str(trouble) if message in str(trouble) else f"{message!r}: {trouble}"
                raise Malformed(named) from None
            except Exception as trouble:
                traceback.print_exc(file=sys.stderr)
                out.append(codec.fault(name, f"{type(trouble).__name__}: {trouble}"))
        out.append("done\n")
        sink.write("\n".join(out).encode())
        sink.flush()
