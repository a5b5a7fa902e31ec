"""Suspicions and their timeout (Lifeguard 2018, section 4.2)."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .parameters import SwimParameters


@dataclass(slots=True)
class Suspicion:
    """A member that missed its probes; it is declared dead at `deadline_us` unless it refutes."""

    suspected_by: set[str]
    deadline_us: int


def suspicion_timeout_us(parameters: SwimParameters, live_count: int, confirmations: int) -> int:
    """How long a suspicion waits for its refutation when `confirmations` further members have it, too.

    It falls from the maximum to the minimum by the logarithm of the confirmations: many who suspect
    independently are wrong less often than one whose own connection may be at fault.
    """
    minimum = (
        parameters.suspicion_multiplier * max(1.0, math.log10(live_count)) * parameters.probe_interval_us
    )
    maximum = parameters.max_suspicion_factor * minimum
    fraction = math.log(confirmations + 1) / math.log(parameters.max_confirmations + 1)
    return int(max(minimum, maximum - (maximum - minimum) * fraction))
