"""What all decisions of one gateway have in common: settings, time, chance and what peers tell of use."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from ..interface import GatewaySettings, UsageExchange

SECOND = 1_000_000  # microseconds


@dataclass(slots=True)
class Context:
    """Shared by the parts of one gateway's decisions."""

    settings: GatewaySettings
    random: Random  # the one source of chance: the order of draws is part of the behaviour
    now: int  # microseconds on the host's clock, set by the host before each event
    started_at: int  # microseconds on the same clock
    usage: UsageExchange | None = None  # where gateways tell each other of their customers' use
