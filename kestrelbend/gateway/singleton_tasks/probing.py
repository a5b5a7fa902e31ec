"""Shared probes of backends that warm up: one gateway probes a backend, and all use the reported load.

Each backend's probing is a singleton task. Two owners at once only cost a second probe, so a task is taken
over as soon as its owner is suspected of having failed. Old reports are misleading: a report older than
`MAX_REPORT_AGE_US` is neither used nor forwarded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Generic, NamedTuple, TypeVar

import msgspec

from ..gossip.messages import MemberState, SharedResult
from ..gossip.swim import SwimNode
from .rendezvous import RendezvousAssignment

MILLISECOND_US = 1000
PROBE_INTERVAL_US = 500 * MILLISECOND_US  # between probes of one backend, over all gateways
MAX_REPORT_AGE_US = 2 * PROBE_INTERVAL_US
RESULT_KIND = "probe"

BackendT = TypeVar("BackendT")
Load = Mapping[str, float]  # values by the field names of a load report


class BackendLoad(NamedTuple, Generic[BackendT]):
    """Load of a backend as reported by another gateway's probe."""

    backend: BackendT
    load: Load


class SharedProbing(Generic[BackendT]):
    """Selects the backends that this gateway probes and reads the reports of other gateways' probes.

    `name`: the membership name of this gateway. Times are in microseconds.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.assignment = RendezvousAssignment()
        self.assignment.set_members({name: 1.0})
        self.backends: dict[str, BackendT] = {}  # backends that warm up, by id
        self._probed_at_us: dict[str, int] = {}
        self._reported_at_us: dict[str, int] = {}  # latest probe by another gateway
        self._view_version: int | None = None  # of the membership view that the assignment follows

    def rename(self, name: str) -> None:
        """Set this gateway's new name; its membership core has been replaced too."""
        self.name = name
        self._view_version = None

    def set_members(self, names: Iterable[str]) -> None:
        """Set the members that are alive and not suspected; this gateway always counts as one."""
        self.assignment.set_members({**dict.fromkeys(names, 1.0), self.name: 1.0})

    def set_backends(self, warming_up: Mapping[str, BackendT]) -> None:
        """Set the backends that need probes, by id."""
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
        """Return the backends among `listed`, by id, that warm up and are due for a probe by this gateway."""
        warming_up = {key: backend for key, backend in listed.items() if is_warming_up(backend)}
        self.set_backends(warming_up)
        return [self.backends[backend_id] for backend_id in self.due_ids(now_us)]

    def due_ids(self, now_us: int) -> list[str]:
        """Return the ids of the backends that are due for a probe by this gateway, and count them as probed.

        The interval also counts from another gateway's last report, so that a new owner does not probe early.
        """
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
        """Apply the core's live members and shared results; returns the number of loads used.

        `node`: the membership core. `load_reported`: called with each usable load.
        """
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
        """Send the load that this gateway's probe reported to the other gateways."""
        body = self.encode_load(load)
        if backend_id is not None and body is not None:
            node.publish_result(now_us, RESULT_KIND, backend_id, body)
            node.results.forget_before(now_us - MAX_REPORT_AGE_US)

    @staticmethod
    def encode_load(load: Load | None) -> bytes | None:
        """Encode a load for the other gateways; None if there is no load."""
        return (
            msgspec.msgpack.encode({name: round(value, 3) for name, value in load.items()}) if load else None
        )

    def read(self, result: SharedResult, made_at_us: int, now_us: int) -> BackendLoad[BackendT] | None:
        """Decode another gateway's report.

        None if it is of another kind, invalid, too old, not newer than the last, or its backend unknown.
        """
        backend = self.backends.get(result.subject)
        is_stale = now_us - made_at_us > MAX_REPORT_AGE_US
        if result.kind != RESULT_KIND or backend is None or is_stale:
            return None
        if made_at_us <= self._reported_at_us.get(result.subject, 0):
            return None
        try:
            load = msgspec.msgpack.decode(result.body, type=dict[str, float])
        except msgspec.DecodeError:
            return None
        self._reported_at_us[result.subject] = made_at_us
        return BackendLoad(backend, load)
