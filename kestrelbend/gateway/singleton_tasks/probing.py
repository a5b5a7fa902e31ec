"""Probes of backends that warm up, as singleton tasks: one gateway probes, all use the reported load.

Two owners cost one probe, so a task is taken over as soon as its owner is suspected. A report is as good as
it is fresh: what is older than `MAX_REPORT_AGE_US` is neither used nor sent on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Generic, NamedTuple, TypeVar

import msgspec

from ..gossip.messages import MemberState, SharedResult
from ..gossip.swim import SwimNode
from .rendezvous import RendezvousAssignment

MILLISECOND_US = 1000
PROBE_INTERVAL_US = 500 * MILLISECOND_US  # between probes of one backend, by all gateways together
MAX_REPORT_AGE_US = 2 * PROBE_INTERVAL_US
RESULT_KIND = "probe"

BackendT = TypeVar("BackendT")
Load = Mapping[str, float]  # by the report's fields


class BackendLoad(NamedTuple, Generic[BackendT]):
    """What another gateway's probe reported."""

    backend: BackendT
    load: Load


class SharedProbing(Generic[BackendT]):
    """Which backends this gateway probes, and what others' probes report. Times in microseconds."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.assignment = RendezvousAssignment()
        self.assignment.set_members({name: 1.0})
        self.backends: dict[str, BackendT] = {}  # that warm up, by id
        self._probed_at_us: dict[str, int] = {}
        self._reported_at_us: dict[str, int] = {}  # by others
        self._view_version: int | None = None  # of the view that the tasks are assigned by

    def rename(self, name: str) -> None:
        """This gateway goes on under another name, with another membership core."""
        self.name = name
        self._view_version = None

    def set_members(self, names: Iterable[str]) -> None:
        """Those that live and are not suspected; this one always counts itself."""
        self.assignment.set_members({**dict.fromkeys(names, 1.0), self.name: 1.0})

    def set_backends(self, warming_up: Mapping[str, BackendT]) -> None:
        """The backends that have to be probed now, by their ids."""
        for backend_id in self.backends.keys() - warming_up.keys():
            self.assignment.remove(backend_id)
            self._probed_at_us.pop(backend_id, None)
            self._reported_at_us.pop(backend_id, None)
        for backend_id in warming_up.keys() - self.backends.keys():
            self.assignment.add(backend_id)
        self.backends = dict(warming_up)

    def due_backends(
        self, listed: Mapping[str, BackendT], is_warming_up: Callable[[BackendT], bool], now_us: int
    ) -> list[BackendT]:
        """Of the listed backends, by their ids, those that warm up and that this gateway probes now."""
        warming_up = {key: backend for key, backend in listed.items() if is_warming_up(backend)}
        self.set_backends(warming_up)
        return [self.backends[backend_id] for backend_id in self.due_ids(now_us)]

    def due_ids(self, now_us: int) -> list[str]:
        """Ids of the backends that this gateway probes now. A new owner waits after another's last report."""
        due = []
        for backend_id in self.backends:
            if self.assignment.owner(backend_id) != self.name:
                continue
            last_us = max(self._probed_at_us.get(backend_id, 0), self._reported_at_us.get(backend_id, 0))
            if now_us - last_us >= PROBE_INTERVAL_US:
                self._probed_at_us[backend_id] = now_us
                due.append(backend_id)
        return due

    def receive(self, node: SwimNode, load_reported: Callable[[BackendT, Load], object]) -> int:
        """Takes over what the core has learned: who lives, and loads for `load_reported`; their number."""
        if self._view_version != node.view.version:
            self._view_version = node.view.version
            self.set_members(m.name for m in node.members.values() if m.state == MemberState.ALIVE)
        used = 0
        while node.results.received:
            result, made_at_us = node.results.received.popleft()
            report = self.read(result, made_at_us, node.local.now_us)
            if report is not None:
                load_reported(report.backend, report.load)
                used += 1
        return used

    def publish(self, node: SwimNode, now_us: int, backend_id: str | None, load: Load | None) -> None:
        """Sends the others the load that this gateway's probe reported."""
        body = self.encode_load(load)
        if backend_id is not None and body is not None:
            node.publish_result(now_us, RESULT_KIND, backend_id, body)
            node.results.forget_before(now_us - MAX_REPORT_AGE_US)

    @staticmethod
    def encode_load(load: Load | None) -> bytes | None:
        """A load as others are sent it; None where there is none."""
        return (
            msgspec.msgpack.encode({name: round(value, 3) for name, value in load.items()}) if load else None
        )

    def read(self, result: SharedResult, made_at_us: int, now_us: int) -> BackendLoad[BackendT] | None:
        """Another's report; None where it is too old, not the latest, or of a backend that is not known."""
        backend = self.backends.get(result.subject)
        is_old = now_us - made_at_us > MAX_REPORT_AGE_US
        if result.kind != RESULT_KIND or backend is None or is_old:
            return None
        if made_at_us <= self._reported_at_us.get(result.subject, 0):
            return None
        try:
            load = msgspec.msgpack.decode(result.body, type=dict[str, float])
        except msgspec.DecodeError:
            return None
        self._reported_at_us[result.subject] = made_at_us
        return BackendLoad(backend, load)
