"""Background tasks of a gateway: load reports of backends that warm up, and the subscription at discovery."""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import BackgroundTask, Effects, Pause, Probe, Probed, Spawn, Subscribe
from ..routing.pool import Pool
from .context import SECOND, Context
from .slow_start import SlowStart
from .state import BackendState

PROBE_INTERVAL = SECOND // 2  # of a backend that warms up, by all gateways together
SATURATED_BUSY_FRACTION = 0.9  # the busy share that leaves no capacity
CHECKS_PER_DEADLINE = 8  # looks at the subscription in the time within which discovery is to be asked


@dataclass(slots=True, eq=False)
class BackgroundTasks:
    """Started once; they run as long as the gateway."""

    context: Context
    pool: Pool
    slow_start: SlowStart
    subscribed: bool = False

    def tasks(self) -> list[BackgroundTask]:
        """Generators, to be run beside the invocations."""
        settings, tasks = self.context.settings, []
        if settings.may_probe and settings.load_reports == "probe":
            tasks.append(self._probe_warming_up())
        if settings.must_subscribe:
            tasks.append(self._keep_subscribed())
        return tasks

    def _probe_warming_up(self) -> Effects[None]:
        """Where load reports come by probes alone.  All gateways together probe about as often as one alone
        would, drawn here by chance: else probes grow with gateways times backends."""
        while True:
            for backend in filter(self.slow_start.is_warming_up, list(self.pool.members)):
                if self.context.random.random() * self.pool.sharing_gateways() < 1:
                    yield Spawn(self._probe(backend))
            yield Pause(self.context.now + PROBE_INTERVAL)

    def _probe(self, backend: BackendState) -> Effects[None]:
        probed: Probed = yield Probe(backend)
        self.load_reported(backend, probed.load)

    def load_reported(self, backend: BackendState, load: dict[str, float] | None) -> None:
        """A backend told of its load (None: it did not)."""
        if load:
            backend.saturated = load.get("queued", 0) >= 1 or load.get("busy", 0) > SATURATED_BUSY_FRACTION

    def _keep_subscribed(self) -> Effects[None]:
        while True:
            if not self.subscribed:
                self.subscribed = True
                yield Subscribe()
            yield Pause(self.context.now + self.context.settings.subscribe_within // CHECKS_PER_DEADLINE)
