"""Hosts instances on the simulator's wire: its ids become objects here, and effects become its lines.

Invariant: an instance's clock and the list that its lines go to are set before each event (`serve`), so that
the lines of a batch stand in the order in which their effects came about.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterable, Mapping
from typing import Any, BinaryIO

from .. import interface as i
from ..hosting import EndpointRow, Host, Task
from ..settings.platform import Malformed, settings
from . import codec
from .errors import MalformedLine


class Instance(Host):
    """One gateway of the simulator.

    `name`: on the wire.  `out`: where its lines go.  `invs`: invocations by their wire ids, `inv_ids` the
    other way round.  `alarms`: by their handles, the task and its time in microseconds.
    """

    def __init__(self, name: str, seed: int, settings: Mapping[str, Any], now: int, out: list[str]) -> None:
        super().__init__(settings, seed, now)
        self.name = name
        self.out = out
        self.invs: dict[int, i.Invocation] = {}
        self.inv_ids: dict[i.Invocation, int] = {}
        self.timers: dict[int, tuple[Task, int]] = {}
        self._latest_handle = 0
        self.start()

    # Effects.

    def deliver(self, delivery: i.Delivery) -> None:
        """Write `pass_on`."""
        invocation = self.inv_ids[delivery.inv]
        backend = self.backend_ids[delivery.backend]
        self.out.append(codec.deliver(self.name, invocation, backend, delivery.deadline))

    def cancel(self, delivery: i.Delivery) -> None:
        """Write `recall`."""
        self.out.append(codec.cancel(self.name, self.inv_ids[delivery.inv], delivery.number))

    def throttle(self, inv: i.Invocation, retry_after: int) -> None:
        """Write `deny`."""
        self.out.append(codec.throttle(self.name, self.inv_ids[inv], retry_after))

    def fail(self, inv: i.Invocation) -> None:
        """Write `lose`."""
        self.out.append(codec.fail(self.name, self.inv_ids[inv]))

    def set_timer(self, task: Task, until: int) -> int:
        """Write `arm`, under a new handle."""
        self._latest_handle += 1
        handle = self._latest_handle
        self.timers[handle] = (task, until)
        self.out.append(codec.arm_timer(self.name, handle, max(0, until - self.gateway.now)))
        return handle

    def cancel_timer(self, timer: int) -> None:
        """The simulator still sends its `reminder`, which then finds nothing."""
        self.timers.pop(timer, None)

    def count(self, name: int, amount: float, lifetime: int) -> None:
        """Write `incr`."""
        self.out.append(codec.count(self.name, name, amount, lifetime))

    def probe(self, backend: Any) -> None:
        """Write `sound_out`."""
        self.out.append(codec.probe(self.name, self.backend_ids[backend]))

    def subscribe(self) -> None:
        """Write `listen`."""
        self.out.append(codec.subscribe(self.name))

    def log(self, text: str, about: Any) -> None:
        """Write `trace`."""
        self.out.append(codec.log(self.name, f"{text} {about}".strip()))

    def released(self, inv: i.Invocation) -> None:
        """Forget its wire id."""
        invocation = self.inv_ids.pop(inv, None)
        if invocation is not None:
            self.invs.pop(invocation, None)

    # Events.

    def handle(self, event: codec.Event) -> None:
        """Work on one event; raises `Malformed` for what only shows beside the settings."""
        values = event.values
        match event.message:
            case "returned":
                self._delivery_returned(*values)
            case "accept":
                self._invocation_accepted(*values)
            case "reminder":
                self._timer_fired(*values)
            case "counter_reply":
                name, _took, result, total = values
                self.counter_replied(name, result, total)
            case "probe_result":
                self._backend_probed(*values)
            case "withdrawn":
                self._client_withdrew(*values)
            case "streaming":
                self._stream_began(*values)
            case "roster_change":
                _version, kind, _count = values
                self._endpoints_changed(event.endpoints, kind)
            case "peer":
                pass  # the decisions have no messages for other instances
            case _:
                raise TypeError(f"not an event: {event.message!r}")

    def _endpoints_changed(self, endpoints: Iterable[EndpointRow], kind: str) -> None:
        if kind == "broken":
            self.discovery_failed()
        else:
            self.endpoints_listed(endpoints, kind != "patch")

    def _invocation_accepted(
        self,
        number: int,
        operation: str,
        plan: str,
        customer: str,
        until: int,
        units: float,
        spread: int,
        _first_gateway: int,
        flags: int,
    ) -> None:
        op = self.operations.get(operation)
        if op is None or plan not in self.plans:
            raise MalformedLine(f"'accept': unknown operation or plan: {operation!r}, {plan!r}")
        inv = i.Invocation(
            op,
            self.customer_state(plan, customer, spread),
            self.gateway.now,
            until,
            units,
            bool(flags & codec.RETRY_FLAG),
        )
        self.invs[number] = inv
        self.inv_ids[inv] = number
        self.start_invocation(inv)

    def _delivery_returned(
        self,
        number: int,
        delivery_number: int,
        _backend: int | None,
        result: i.Result,
        duration: int,
        final: bool,
        used: int,
        actual: int,
        load: list[float | None] | None,
    ) -> None:
        """A delivery ended; a second end of one is passed over, and one of what was released."""
        inv = self.invs.get(number)
        if inv is None or delivery_number >= len(inv.deliveries):
            return
        delivery = inv.deliveries[delivery_number]
        if delivery.result is not None:
            return
        used_fraction = (used - 1) / 100 if used else None  # 1 more than the percent, so that 0 is none told
        self.delivery_ended(delivery, result, duration, final, self._load_report(load), actual, used_fraction)

    def _stream_began(self, number: int, _backend: int | None, _took: int, _delivery_number: int) -> None:
        """The first byte of a streamed answer went to the client: it is its final answer."""
        inv = self.invs.get(number)
        if inv is not None:
            inv.done = True
            inv.streaming = True
            self.resume(inv)

    def _backend_probed(
        self, number: int, result: i.Result, duration: int, load: list[float | None] | None
    ) -> None:
        """The reply to a probe; of a backend that was never listed nobody waits for one."""
        backend = self.backends.get(number)
        if backend is not None:
            self.probed(backend, result, duration, self._load_report(load))

    def _client_withdrew(self, number: int) -> None:
        inv = self.invs.get(number)
        if inv is not None:
            self.client_disconnected(inv)

    def _timer_fired(self, handle: int) -> None:
        """Run the alarm's task, unless something else has resumed it meanwhile."""
        armed = self.timers.pop(handle, None)
        if armed is not None and armed[0].timer == handle:
            self.run(armed[0])

    def _load_report(self, row: list[float | None] | None) -> dict[str, float] | None:
        """A report by the fields' names in the settings; None where there is none."""
        if row is None:
            return None
        named = zip(self.settings["load_fields"], row, strict=False)
        return {name: value for name, value in named if value is not None}


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch of the simulator until its stream ends; raises `MalformedLine`.

    A fault of the decisions is reported (`bug`, and a traceback on standard error), and the other instances
    go on.
    """
    instances: dict[str, Instance] = {}
    for now, events in codec.batches(source):
        out: list[str] = []
        for event in events:
            try:
                _handle(event, instances, now, out)
            except Malformed as error:
                text = str(error)
                named = text if event.message in text else f"{event.message!r}: {text}"
                raise MalformedLine(named) from None
            except Exception as error:  # noqa: BLE001  whatever it is, the simulator must be told of it
                traceback.print_exc(file=sys.stderr)
                out.append(codec.fault(event.instance, f"{type(error).__name__}: {error}"))
        out.append("done\n")
        sink.write("\n".join(out).encode())
        sink.flush()


def _handle(event: codec.Event, instances: dict[str, Instance], now: int, out: list[str]) -> None:
    """Work on one event; those of instances that are not there are passed over."""
    name = event.instance
    match event.message:
        case "init":
            seed, pairs = event.values
            instances[name] = Instance(name, seed, settings(pairs), now, out)
        case "destroy":
            instances.pop(name, None)
        case _ if name in instances:
            instance = instances[name]
            instance.out = out
            instance.gateway.now = now
            instance.handle(event)
