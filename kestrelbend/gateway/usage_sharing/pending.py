"""The use of its customers that one gateway has not reported yet."""

from __future__ import annotations

from .messages import CustomerUsage

MAX_CUSTOMERS = 512  # with use that is not reported; that of others is not counted


class PendingUsage:
    """Use by customer; what does not fit into a report, and fractions of units, wait for the next one."""

    def __init__(self) -> None:
        self.rows: dict[int, CustomerUsage] = {}

    def record_request(self, key: int, plan: int, units: float, retry: bool) -> None:
        """An attempt asked for its customer's quota: units of a first one, or a marked retry."""
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
        """An attempt was sent to a backend."""
        self.record_request(key, plan, 0.0, False)
        if key in self.rows:
            self.rows[key].admitted += units

    def take(self, max_rows: int) -> dict[int, CustomerUsage]:
        """Removes the rows of a report, those with the largest use first."""
        rows = sorted(
            self.rows.items(), key=lambda row: max(row[1].requested, row[1].admitted), reverse=True
        )[:max_rows]
        for key, usage in rows:
            rest = CustomerUsage(
                usage.plan,
                usage.requested - int(usage.requested),
                usage.admitted - int(usage.admitted),
            )
            if rest.requested or rest.admitted:
                self.rows[key] = rest
            else:
                del self.rows[key]
        return dict(rows)

    def clear(self) -> None:
        """Drops everything."""
        self.rows.clear()
