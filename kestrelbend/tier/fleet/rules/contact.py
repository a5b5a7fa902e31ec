"""The rules of control nodes: nothing is claimed out of contact, and nothing old counts as current."""

from __future__ import annotations

from ...membership.owner_contact import CONTACT_S, in_contact, is_current
from ..answers import SLACK_S
from ..fleet import Fleet
from ..machines import Process
from ..operator import Operator
from .violations import Violations


class ContactRules:
    """Looks at what a control node believes of itself."""

    def __init__(self, fleet: Fleet, operator: Operator, violations: Violations) -> None:
        self._fleet = fleet
        self._operator = operator
        self._violations = violations

    def check(self, process: Process) -> None:
        """Cut off for `ContactMs`, a node is out of contact; a current one has what was acknowledged then."""
        configuration = process.control.configuration
        if not configuration.is_open:
            return
        now = self._fleet.now()
        replica = configuration.replica
        cut_off = self._fleet.is_partitioned(process.machine.spec.ip, now - CONTACT_S - SLACK_S)
        if cut_off and in_contact(replica, now):
            self._violations.report(
                f"contact {process.name}", f"{process.name} is cut off and claims contact"
            )
        if is_current(replica, now):
            self._check_version(process, configuration.state.version, now)

    def _check_version(self, process: Process, version: int, now: float) -> None:
        required = self._operator.required_version(now - CONTACT_S)
        if version < required:
            rule = f"{process.name} is current by version {version}, not {required}"
            self._violations.report(f"current {process.name} {version}", rule)
