"""Background tasks of a gateway: load probes of backends that warm up, and the discovery subscription."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import BackgroundTask, Effects, Pause, Probe, ProbeReply, Spawn, Subscribe
from ..routing.pool import Pool
from .context import SECOND, Context
from .slow_start import SlowStart
from .state import BackendState

PROBE_INTERVAL = SECOND // 2  # per warming backend, by all gateways together
SATURATED_BUSY_FRACTION = 0.9  # above this busy fraction a backend has no spare capacity
CHECKS_PER_DEADLINE = 8  # checks of the subscription within the time allowed to subscribe


@dataclass(slots=True, eq=False)
class BackgroundTasks:
    """Tasks that are started once and run as long as the gateway."""

    context: Context
    pool: Pool
    slow_start: SlowStart
    subscribed: bool = False

    def tasks(self) -> list[BackgroundTask]:
        """The generators to run concurrently with the invocations."""
        settings, tasks = self.context.settings, []
        if settings.may_probe and settings.load_reports == "probe":
            tasks.append(self._probe_warming_up())
        if settings.must_subscribe:
            tasks.append(self._keep_subscribed())
        return tasks

    def _probe_warming_up(self) -> Effects[None]:
        """Probe warming backends, where load reports come by probes alone.  Each gateway probes at random, so
        that all together probe as often as one would: else probes grow as gateways times backends."""
        while True:
            for backend in filter(self.slow_start.is_warming_up, list(self.pool.members)):
                if self.context.random.random() * self.pool.sharing_gateways() < 1:
                    yield Spawn(self._probe(backend))
            yield Pause(self.context.now + PROBE_INTERVAL)

    def _probe(self, backend: BackendState) -> Effects[None]:
        probed: ProbeReply = yield Probe(backend)
        self.load_reported(backend, probed.load)

    def load_reported(self, backend: BackendState, load: dict[str, float] | None) -> None:
        """Record a backend's load report (None: it sent none)."""
        if load:
            backend.saturated = load.get("queued", 0) >= 1 or load.get("busy", 0) > SATURATED_BUSY_FRACTION

    def _keep_subscribed(self) -> Effects[None]:
        while True:
            if not self.subscribed:
                self.subscribed = True
                yield Subscribe()
            yield Pause(self.context.now + self.context.settings.subscribe_within // CHECKS_PER_DEADLINE)
