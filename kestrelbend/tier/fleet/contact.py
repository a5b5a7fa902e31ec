"""Which machines are in contact, as the rules count it: no fault, and a stable core, for `ContactMs`.

Times are in seconds of the loop.
"""

from __future__ import annotations

from collections.abc import Callable

CONTACT_S = 3.0  # ContactMs
NEVER = float("-inf")


class Contact:
    """Records faults of machines; those on machines with a disk make the core unstable."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._last_event: dict[str, float] = {}
        self._ongoing: dict[str, int] = {}
        self._core: set[str] = set()

    def add(self, machine: str, is_core: bool) -> None:
        """A machine starts."""
        if is_core:
            self._core.add(machine)
        self.record_event(machine)

    def record_event(self, machine: str) -> None:
        """Something has just happened to a machine."""
        self._last_event[machine] = self._now()

    def fault_began(self, machine: str) -> None:
        """A fault begins that lasts."""
        self._ongoing[machine] = self._ongoing.get(machine, 0) + 1
        self.record_event(machine)

    def fault_ended(self, machine: str) -> None:
        """It is over."""
        self._ongoing[machine] -= 1
        self.record_event(machine)

    def remove(self, machine: str) -> None:
        """The machine is gone for good."""
        self.record_event(machine)
        self._ongoing.pop(machine, None)

    def core_fault_free_since(self) -> float:
        """When the last fault of the core was over; infinite while there is one."""
        if any(self._ongoing.get(machine) for machine in self._core):
            return float("inf")
        return max((self._last_event[machine] for machine in self._core), default=NEVER)

    def core_stable_since(self) -> float:
        """Since when the core has been stable; infinite while it is not."""
        return self.core_fault_free_since() + CONTACT_S

    def in_contact_since(self, machine: str) -> float:
        """Since when the machine has been in contact; infinite while it is not."""
        if self._ongoing.get(machine):
            return float("inf")
        return max(self._last_event.get(machine, NEVER) + CONTACT_S, self.core_stable_since())

    def in_contact(self, machine: str) -> bool:
        """Whether the bounds of time hold for the machine now."""
        return self.in_contact_since(machine) <= self._now()
