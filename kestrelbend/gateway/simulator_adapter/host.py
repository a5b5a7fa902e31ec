"""Runs gateway instances on the simulator's line protocol: maps its ids to objects and effects to lines.

Invariant: an instance's clock and its output list are set before each event (`serve`), so that the lines of a
batch are in the order in which their effects were yielded.
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

    `name`: its name in the protocol.  `out`: its output lines.  `invs`: invocations by their protocol ids;
    `inv_ids`: the reverse.  `timers`: task and time in microseconds, by handle.
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
        """Forget a timer; the simulator still sends its `reminder`, which is then ignored."""
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
        """Forget the protocol id of an invocation."""
        invocation = self.inv_ids.pop(inv, None)
        if invocation is not None:
            self.invs.pop(invocation, None)

    # Events.

    def handle(self, event: codec.Event) -> None:
        """Handle one event; raises `Malformed` for errors that can be detected only with the settings."""
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
                self._client_gave_up(*values)
            case "streaming":
                self._stream_began(*values)
            case "roster_change":
                _version, kind, _count = values
                self._endpoints_changed(event.endpoints, kind)
            case "peer":
                pass  # the decisions exchange no messages between instances
            case _:
                raise TypeError(f"unknown event: {event.message!r}")

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
        deadline: int,
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
            deadline,
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
        """A delivery ended; ignored if it had ended before or its invocation was released."""
        inv = self.invs.get(number)
        if inv is None or delivery_number >= len(inv.deliveries):
            return
        delivery = inv.deliveries[delivery_number]
        if delivery.result is not None:
            return
        used_fraction = (used - 1) / 100 if used else None  # percent plus 1; 0: not stated
        self.delivery_ended(delivery, result, duration, final, self._load_report(load), actual, used_fraction)

    def _stream_began(self, number: int, _backend: int | None, _took: int, _delivery_number: int) -> None:
        """The first byte of a streamed answer went to the client, which makes it the final answer."""
        inv = self.invs.get(number)
        if inv is not None:
            inv.done = True
            inv.streaming = True
            self.resume(inv)

    def _backend_probed(
        self, number: int, result: i.Result, duration: int, load: list[float | None] | None
    ) -> None:
        """A probe ended; ignored for a backend that was never listed, since no task waits for it."""
        backend = self.backends.get(number)
        if backend is not None:
            self.probed(backend, result, duration, self._load_report(load))

    def _client_gave_up(self, number: int) -> None:
        inv = self.invs.get(number)
        if inv is not None:
            self.client_disconnected(inv)

    def _timer_fired(self, handle: int) -> None:
        """Run the timer's task, unless another event has resumed it in the meantime."""
        armed = self.timers.pop(handle, None)
        if armed is not None and armed[0].timer == handle:
            self.run(armed[0])

    def _load_report(self, row: list[float | None] | None) -> dict[str, float] | None:
        """A load report by the field names in the settings; None if there is none."""
        if row is None:
            return None
        named = zip(self.settings["load_fields"], row, strict=False)
        return {name: value for name, value in named if value is not None}


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch of the simulator until its stream ends; raises `MalformedLine`.

    An exception in the decisions is reported (a `bug` line, and a traceback on standard error), and the other
    instances continue.
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
            except Exception as error:  # noqa: BLE001  any exception has to be reported to the simulator
                traceback.print_exc(file=sys.stderr)
                out.append(codec.fault(event.instance, f"{type(error).__name__}: {error}"))
        out.append("done\n")
        sink.write("\n".join(out).encode())
        sink.flush()


def _handle(event: codec.Event, instances: dict[str, Instance], now: int, out: list[str]) -> None:
    """Handle one event; events of unknown instances are ignored."""
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
