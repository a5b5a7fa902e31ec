"""One gateway's end of usage sharing: what it saw of its customers since its last report, what the meter
announced, and whether it should be the meter itself. Events in, datagrams out; no I/O, clock or randomness.

Any gateway can be the meter. Whoever is heard stays it; after a silence the lowest number that hears nobody
begins, each waiting a little longer than the one before; of two that hear each other the lower stays. Who
never heard one reports to the first, which is asked to be the meter by that: a fleet that starts has shares a
period sooner. While nobody is heard, no share is known, and the gateway decides as it would without. Two
meters at once are no hazard: they cost datagrams, and each side of a partition has its own.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ..interface import Plan
from . import messages
from .messages import QuotaShare, UsageAnnouncement, UsageReport
from .meter import UsageMeter
from .pending import PendingUsage

SECOND_US = 1_000_000
MIN_PERIOD_US = 4 * SECOND_US // 5
REPORT_FRACTION = 0.75  # of the datagrams a second that a gateway accepts, those that reports may be
STALE_PERIODS = 2.5  # without an announcement: the meter is gone, and what it announced is too old
LISTEN_PERIODS = 1.2  # after a start, in which a meter that there is would be heard
TAKEOVER_STEP = 0.1  # periods that each next gateway waits longer before it takes over
MAX_PARTS = 2  # datagrams of one announcement
METER_ROWS = messages.MAX_USAGE_ROWS * 4  # of its own use that the meter takes in one period
CLEAR_EVERY = 4  # periods after which use is dropped while there is nobody to report it to
FULL_SHARE = QuotaShare(1.0, True)  # of a customer that the meter does not name
FIRST_GATEWAY = 0


class OutgoingDatagram(NamedTuple):
    """`gateway`: the number of its receiver; None for all."""

    gateway: int | None
    data: bytes


@dataclass(slots=True)
class _Assembly:
    """The parts of one announcement that came so far."""

    meter_number: int
    period: int
    rows: dict[int, QuotaShare] = field(default_factory=dict)
    parts: set[int] = field(default_factory=set)


class MeteredUsageExchange:
    """`number`: this gateway's; `plans` in the settings' order; `max_datagrams_per_s`: that it accepts.

    Invariant: `record_request` and `record_admission` are those of `pending`, which is never replaced; they
    are bound once, since every invocation calls them.
    """

    def __init__(
        self, gateways: int, number: int, plans: Sequence[Plan], max_datagrams_per_s: float, now_us: int
    ) -> None:
        self.number = number
        self.period_us = max(
            MIN_PERIOD_US, int(gateways / (REPORT_FRACTION * max_datagrams_per_s) * SECOND_US)
        )
        self.takeover_wait_us = int((STALE_PERIODS + TAKEOVER_STEP * number) * self.period_us)
        self.meter: UsageMeter | None = None  # while this gateway is the meter
        self.meter_number: int | None = None  # who was heard as the meter
        self.meter_heard_us = now_us - self.period_us
        self.pending = PendingUsage()
        self.record_request = self.pending.record_request
        self.record_admission = self.pending.record_admission
        self.shares: dict[int, QuotaShare] = {}
        self._plans = plans
        self._started_us = now_us
        self._assembly: _Assembly | None = None
        self._period_number = 0

    def quota_share(self, key: int, now_us: int) -> QuotaShare | None:
        """What is known of a customer; None where nothing recent is known of any."""
        if self.meter_number is None or now_us - self.meter_heard_us > STALE_PERIODS * self.period_us:
            return None
        return self.shares.get(key, FULL_SHARE)

    def close_period(self, now_us: int) -> list[OutgoingDatagram]:
        """To be called once a period: the datagrams to send."""
        self._period_number += 1
        silent_us = now_us - self.meter_heard_us
        if self.meter is None and silent_us > self.takeover_wait_us:
            self._become_meter(now_us)
        if self.meter is None:
            return self._report(silent_us)
        self.meter.add_usage(self.pending.take(METER_ROWS))
        self.shares = self.meter.close_period(now_us)
        self.meter_heard_us = now_us
        announced = dict(list(self.shares.items())[: MAX_PARTS * messages.MAX_SHARE_ROWS])
        datagrams = messages.encode_announcement(self._period_number, announced)
        return [OutgoingDatagram(None, data) for data in datagrams]

    def receive(self, number: int, data: bytes, now_us: int) -> None:
        """A datagram of the gateway with this number; raises UnreadableUsageDatagram."""
        message = messages.decode(data)
        if number == self.number:
            return
        match message:
            case UsageReport():
                self._receive_report(message, now_us)
            case UsageAnnouncement():
                self._receive_announcement(number, message, now_us)

    def _report(self, silent_us: int) -> list[OutgoingDatagram]:
        receiver = FIRST_GATEWAY if self.meter_number is None else self.meter_number
        is_stale = self.meter_number is not None and silent_us > STALE_PERIODS * self.period_us
        if receiver == self.number or is_stale:
            # Nobody to report to: what is old by the time that there is would only mislead.
            if self._period_number % CLEAR_EVERY == 0:
                self.pending.clear()
            return []
        rows = self.pending.take(messages.MAX_USAGE_ROWS)
        return [OutgoingDatagram(receiver, messages.encode_report(self._period_number, rows))]

    def _receive_report(self, report: UsageReport, now_us: int) -> None:
        has_listened = now_us - self._started_us > LISTEN_PERIODS * self.period_us
        if self.meter is None and self.meter_number is None and has_listened:
            self._become_meter(now_us)
        if self.meter is not None:
            self.meter.add_usage(report.rows)

    def _receive_announcement(self, number: int, announcement: UsageAnnouncement, now_us: int) -> None:
        if self.meter is not None:
            if number > self.number:
                return  # it will hear this one
            self.meter = None
        if (
            self.meter_number is not None
            and self.meter_number < number
            and now_us - self.meter_heard_us < STALE_PERIODS * self.period_us
        ):
            return
        assembly = self._assembly
        if assembly is not None and self._is_late(assembly, number, announcement, now_us):
            return
        if assembly is None or assembly.meter_number != number or assembly.period != announcement.period:
            assembly = self._assembly = _Assembly(number, announcement.period)
        assembly.rows.update(announcement.rows)
        assembly.parts.add(announcement.part)
        self.meter_number = number
        self.meter_heard_us = now_us
        # A lost part says nothing of who was in it: they keep what they had until all parts of a period came.
        is_complete = len(assembly.parts) == announcement.parts
        self.shares = assembly.rows if is_complete else self.shares | assembly.rows

    def _is_late(
        self, assembly: _Assembly, number: int, announcement: UsageAnnouncement, now_us: int
    ) -> bool:
        """Whether an announcement is of a period before the one that is known of the same meter.

        Numbers of periods wrap around (RFC 1982). A meter that starts anew counts from 1: its former process
        is no longer compared with once it has been silent for as long as its shares hold.
        """
        ahead = (announcement.period - assembly.period) & messages.PERIOD_MASK
        is_known = now_us - self.meter_heard_us < STALE_PERIODS * self.period_us
        return assembly.meter_number == number and ahead > messages.PERIOD_MASK // 2 and is_known

    def _become_meter(self, now_us: int) -> None:
        self.meter = UsageMeter(self._plans, now_us - self.period_us)
        self.meter_number = self.number
