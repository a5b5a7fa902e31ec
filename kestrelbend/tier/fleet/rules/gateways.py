"""The rules of gateways: the configuration in force, and backends that drain."""

from __future__ import annotations

from ...configuration.routing import RoutingTable
from ..backends import DRAIN_S, Backend, Backends
from ..fleet import Fleet
from ..loop import Execution
from ..machines import Process
from ..operator import MARKER, Operator, order_number_of_prefix
from .violations import Violations

CONFIG_S = 2.0  # ConfigMs: from an acknowledgement until all gateways in contact serve by it


class GatewayRules:
    """Looks at what a gateway serves by, and at where it sends to."""

    def __init__(self, fleet: Fleet, operator: Operator, backends: Backends, violations: Violations) -> None:
        self._fleet = fleet
        self._operator = operator
        self._backends = backends
        self._violations = violations
        self._in_force: dict[Execution, int] = {}  # the version that each gateway served by last

    def check_configuration(self, process: Process) -> None:
        """Versions only rise, each is one that was sent and not refused, and none comes after `ConfigMs`."""
        table = process.gateway.routing.current()
        version = 0 if table is None else table.version
        before = self._in_force.get(process.current(), 0)
        if version < before:
            self._fleet.report_violation(f"{process.name} goes back from version {before} to {version}")
        if table is not None and version != before:
            self._in_force[process.current()] = version
            self._operator.check_in_force(version, _order_number(table), process.name)
        self._check_age(process, version)

    def _check_age(self, process: Process, version: int) -> None:
        now = self._fleet.now()
        since = self._fleet.contact.in_contact_since(process.machine.name)
        if since > now or not process.gateway.lifecycle.ready:
            return
        required = self._operator.required_version(now - CONFIG_S)
        if version < required:
            rule = f"{process.name} serves by version {version}, {required} is acknowledged"
            self._violations.report(f"{process.name} {required}", rule)

    def drained_backends(self) -> list[Backend]:
        """Backends whose end was acknowledged at least `DrainMs` ago."""
        latest = self._fleet.now() - DRAIN_S
        return [backend for backend in self._backends.all.values() if backend.is_drained(latest)]

    def check_backends(self, process: Process, drained: list[Backend]) -> None:
        """A gateway in contact sends to none of these any more."""
        for backend in drained:
            chosen = process.gateway.view.ready(backend.service)
            if any(one.identity == backend.identity for one in chosen):
                rule = f"{process.name} still sends to {backend.identity}, which drains"
                self._violations.report(f"{process.name} {backend.identity}", rule)


def _order_number(table: RoutingTable) -> int:
    return order_number_of_prefix(next(route.path_prefix for route in table.routes if route.name == MARKER))
