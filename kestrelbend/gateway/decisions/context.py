"""State shared by all decision modules of a gateway: settings, clock, random source, usage exchange."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from ..interface import GatewaySettings, UsageExchange

SECOND = 1_000_000  # microseconds


@dataclass(slots=True)
class Context:
    """Settings, clock, random source and usage exchange of one gateway."""

    settings: GatewaySettings
    random: Random  # the only random source; the order of draws determines the behaviour
    now: int  # microseconds on the host's clock, set by the host before each event
    started_at: int  # microseconds on the same clock
    usage: UsageExchange | None = None  # exchanges customers' usage between gateways
