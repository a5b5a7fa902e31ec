"""Protocol of usage sharing on one gateway: reports its usage, applies announcements, elects the meter.

The code is sans-I/O: it takes events and returns datagrams, and reads no clock or random numbers.

Any gateway can be the meter. A meter stays in office while the others receive its announcements. After a
silence a gateway takes over; the takeover wait grows with the gateway's number, so that normally the lowest
number that hears no meter takes over. Of two meters that hear each other, the lower number stays.

A gateway that has never heard a meter reports to the first gateway, and the report makes that gateway the
meter: after a start of all gateways, shares are known one period sooner. While no meter is heard, no share is
known, and the gateway decides as it would without usage sharing. Two meters at once are safe: they only cost
datagrams, and each side of a network partition has its own meter.
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
REPORT_FRACTION = 0.75  # part of the datagrams per second accepted by a gateway that reports may use
STALE_PERIODS = 2.5  # periods without an announcement until the meter counts as gone and its shares expire
LISTEN_PERIODS = 1.2  # periods after a start within which an existing meter would have been heard
TAKEOVER_STEP_PERIODS = 0.1  # periods added to the takeover wait for each higher gateway number
MAX_PARTS = 2  # maximum datagrams per announcement
MAX_METER_ROWS = messages.MAX_USAGE_ROWS * 4  # rows of its own usage that the meter adds in one period
CLEAR_PERIODS = 4  # periods between discards of pending usage while there is no meter to report to
FULL_SHARE = QuotaShare(1.0, True)  # of a customer that the announcement does not list
FIRST_GATEWAY = 0


class OutgoingDatagram(NamedTuple):
    """A datagram to send; `gateway`: number of the receiver, None: broadcast to all gateways."""

    gateway: int | None
    data: bytes


@dataclass(slots=True)
class _PartialAnnouncement:
    """The parts of one announcement that have arrived so far."""

    meter_number: int
    period: int
    rows: dict[int, QuotaShare] = field(default_factory=dict)
    parts: set[int] = field(default_factory=set)


class MeteredUsageExchange:
    """Usage exchange of one gateway.

    `gateways`: number of gateways. `number`: number of this gateway. `plans`: in the order of the settings.
    `max_datagrams_per_s`: rate at which a gateway accepts datagrams.

    Invariant: `record_request` and `record_admission` are methods of `pending`, which is never replaced. They
    are bound once because every invocation calls them.
    """

    def __init__(
        self, gateways: int, number: int, plans: Sequence[Plan], max_datagrams_per_s: float, now_us: int
    ) -> None:
        self.number = number
        self.period_us = max(
            MIN_PERIOD_US, int(gateways / (REPORT_FRACTION * max_datagrams_per_s) * SECOND_US)
        )
        self.takeover_wait_us = int((STALE_PERIODS + TAKEOVER_STEP_PERIODS * number) * self.period_us)
        self.meter: UsageMeter | None = None  # set while this gateway is the meter
        self.meter_number: int | None = None  # number of the last known meter, which may be this gateway
        self.meter_heard_us = now_us - self.period_us
        self.pending = PendingUsage()
        self.record_request = self.pending.record_request
        self.record_admission = self.pending.record_admission
        self.shares: dict[int, QuotaShare] = {}
        self._plans = plans
        self._started_us = now_us
        self._partial: _PartialAnnouncement | None = None
        self._period_number = 0

    def quota_share(self, key: int, now_us: int) -> QuotaShare | None:
        """Return the share of a customer; None if no recent announcement of a meter is known."""
        if self.meter_number is None or now_us - self.meter_heard_us > STALE_PERIODS * self.period_us:
            return None
        return self.shares.get(key, FULL_SHARE)

    def close_period(self, now_us: int) -> list[OutgoingDatagram]:
        """Close the period and return the datagrams to send; must be called once per period."""
        self._period_number += 1
        silent_us = now_us - self.meter_heard_us
        if self.meter is None and silent_us > self.takeover_wait_us:
            self._become_meter(now_us)
        if self.meter is None:
            return self._report(silent_us)
        self.meter.add_usage(self.pending.take(MAX_METER_ROWS))
        self.shares = self.meter.close_period(now_us)
        self.meter_heard_us = now_us
        announced = dict(list(self.shares.items())[: MAX_PARTS * messages.MAX_SHARE_ROWS])
        datagrams = messages.encode_announcement(self._period_number, announced)
        return [OutgoingDatagram(None, data) for data in datagrams]

    def receive(self, number: int, data: bytes, now_us: int) -> None:
        """Process a datagram from gateway `number`; raises `UnreadableUsageDatagram` if it is invalid."""
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
            # There is no meter to report to. Usage that is old when a meter appears would distort its sums.
            if self._period_number % CLEAR_PERIODS == 0:
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
                return  # the sender resigns when it receives an announcement of this gateway
            self.meter = None
        if (
            self.meter_number is not None
            and self.meter_number < number
            and now_us - self.meter_heard_us < STALE_PERIODS * self.period_us
        ):
            return
        partial = self._partial
        if partial is not None and self._is_outdated(partial, number, announcement, now_us):
            return
        if partial is None or partial.meter_number != number or partial.period != announcement.period:
            partial = self._partial = _PartialAnnouncement(number, announcement.period)
        partial.rows.update(announcement.rows)
        partial.parts.add(announcement.part)
        self.meter_number = number
        self.meter_heard_us = now_us
        # The customers of a missing part are unknown: older shares hold until all parts of a period arrived.
        is_complete = len(partial.parts) == announcement.parts
        self.shares = partial.rows if is_complete else self.shares | partial.rows

    def _is_outdated(
        self, partial: _PartialAnnouncement, number: int, announcement: UsageAnnouncement, now_us: int
    ) -> bool:
        """Whether an announcement is older than the latest known one of the same meter.

        Period numbers wrap around and are compared by serial number arithmetic (RFC 1982). A restarted meter
        counts from 1 again, so the comparison ends once the meter has been silent for `STALE_PERIODS`.
        """
        ahead = (announcement.period - partial.period) & messages.PERIOD_MASK
        is_known = now_us - self.meter_heard_us < STALE_PERIODS * self.period_us
        return partial.meter_number == number and ahead > messages.PERIOD_MASK // 2 and is_known

    def _become_meter(self, now_us: int) -> None:
        self.meter = UsageMeter(self._plans, now_us - self.period_us)
        self.meter_number = self.number
