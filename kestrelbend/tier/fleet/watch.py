"""The watch over a day: looks at the rules between the steps of the fleet, and at its end.

What each rule states is said in `rules`.
"""

from __future__ import annotations

import asyncio

from .backends import Backends
from .fleet import Fleet
from .operator import Operator
from .programs import Programs
from .rules.calm import CalmCheck
from .rules.contact import ContactRules
from .rules.gateways import GatewayRules
from .rules.groups import GroupRules, replica_processes
from .rules.violations import Violations

CHECK_S = 0.05  # between two looks


class Watch:
    """Looks at every process every `CHECK_S` until it is stopped."""

    def __init__(self, fleet: Fleet, operator: Operator, backends: Backends, programs: Programs) -> None:
        self._fleet = fleet
        violations = Violations(fleet)
        self._groups = GroupRules(fleet, violations)
        self._contact = ContactRules(fleet, operator, violations)
        self._gateways = GatewayRules(fleet, operator, backends, violations)
        self._calm = CalmCheck(fleet, operator, backends, programs)
        self._task = asyncio.create_task(self._look_always())

    async def _look_always(self) -> None:
        while True:
            self._look()
            await asyncio.sleep(CHECK_S)

    def stop(self) -> None:
        """The day is over."""
        self._task.cancel()

    def _look(self) -> None:
        for process in replica_processes(self._fleet):
            self._groups.check_owners(process)
        for process in self._fleet.processes("control"):
            self._contact.check(process)
        self._groups.check_groups()
        self._groups.check_lag()
        drained = self._gateways.drained_backends()
        for process in self._fleet.processes("gateway"):
            self._gateways.check_configuration(process)
            if self._fleet.contact.in_contact(process.machine.name):
                self._gateways.check_backends(process, drained)

    async def check_calm(self) -> None:
        """The rules of a day's end, see `rules.calm`; breaks of them are failures of the day."""
        await self._calm.check()
