"""The intervals and limits of the protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

MILLISECOND_US = 1000
SECOND_US = 1_000_000


@dataclass(slots=True)
class SwimParameters:
    """How often members are probed and how long answers are awaited; times in microseconds."""

    probe_interval_us: int = 300 * MILLISECOND_US  # SWIM's protocol period
    ack_timeout_us: int = field(init=False)  # three tenths of the period
    indirect_probes: int = 3  # members asked to ping for one; SWIM's k
    max_datagrams_per_s: float = 40.0
    max_message_bytes: int = 244  # in MessagePack
    max_results: int = 512  # shared results kept
    max_local_health: int = 8  # Lifeguard's limit of the local health multiplier
    # Suspicion timeouts in periods, times log10 of the members (Lifeguard 2018, section 4.2); the second is
    # the factor by which a suspicion that nobody confirms waits longer.
    suspicion_multiplier: float = 5.0
    max_suspicion_factor: float = 4.0
    max_confirmations: int = 3
    retransmit_multiplier: float = 2.0  # an update is sent so often, times log2 of the members
    sync_interval_us: int = 2 * SECOND_US  # between digests to one member whose view differs
    startup_us: int = 10 * SECOND_US  # a member that began more recently compares views more often
    reconnect_interval_us: int = 4 * SECOND_US  # between pings to a dead or never heard member
    forget_dead_after_us: int = 120 * SECOND_US  # unless its address is configured

    def __post_init__(self) -> None:
        self.ack_timeout_us = self.probe_interval_us * 3 // 10
