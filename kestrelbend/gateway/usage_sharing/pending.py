"""Accumulates the usage that one gateway has not reported to the meter yet."""

from __future__ import annotations

from .messages import CustomerUsage

MAX_CUSTOMERS = 512  # with unreported usage; the usage of further customers is not counted


class PendingUsage:
    """Unreported usage by customer key.

    Rows that do not fit into a report, and fractions of units, are kept for the next report.
    """

    def __init__(self) -> None:
        self.rows: dict[int, CustomerUsage] = {}

    def record_request(self, key: int, plan: int, units: float, retry: bool) -> None:
        """Record the units of a first attempt, or count a marked retry, before its admission is decided."""
        usage = self.rows.get(key)
        if usage is None:
            if len(self.rows) >= MAX_CUSTOMERS:
                return
            usage = self.rows[key] = CustomerUsage(plan)
        if retry:
            usage.retries += 1
        else:
            usage.requested += units

    def record_admission(self, key: int, plan: int, units: float) -> None:
        """Record the units of an attempt that was sent to a backend."""
        self.record_request(key, plan, 0.0, False)
        if key in self.rows:
            self.rows[key].admitted += units

    def take(self, max_rows: int) -> dict[int, CustomerUsage]:
        """Remove and return the rows for a report, at most `max_rows`, those with the most usage first.

        The fractions of units in these rows stay pending.
        """
        rows = sorted(
            self.rows.items(), key=lambda row: max(row[1].requested, row[1].admitted), reverse=True
        )[:max_rows]
        for key, usage in rows:
            remainder = CustomerUsage(
                usage.plan,
                usage.requested - int(usage.requested),
                usage.admitted - int(usage.admitted),
            )
            if remainder.requested or remainder.admitted:
                self.rows[key] = remainder
            else:
                del self.rows[key]
        return dict(rows)

    def clear(self) -> None:
        """Discard all pending usage."""
        self.rows.clear()
