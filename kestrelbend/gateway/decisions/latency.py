"""Histogram of answer times relative to the latency target of their operation."""

from __future__ import annotations

BIN_COUNT = 24  # the last bin also takes all slower answers
BINS_PER_TARGET = 12
HALVED_AT = 256  # answers; then all bins are halved, so that older answers weigh less


class LatencyHistogram:
    """Answer times as fractions of the latency target (1.0: exactly on target)."""

    __slots__ = ("bins", "count", "sum", "_median")

    def __init__(self) -> None:
        self.bins = [0] * BIN_COUNT
        self.count = 0  # answers in the bins
        self.sum = 0.0  # of the answers' bin midpoints, in bins
        self._median: float | None = 0.0  # None: to be recomputed

    def add(self, fraction: float) -> None:
        """Add an answer that took `fraction` of its latency target."""
        i = min(BIN_COUNT - 1, int(fraction * BINS_PER_TARGET))
        self.bins[i] += 1
        self.count += 1
        self.sum += i + 0.5
        self._median = None
        if self.count >= HALVED_AT:
            self.bins = [n // 2 for n in self.bins]
            self.count = sum(self.bins)
            self.sum = sum((i + 0.5) * n for i, n in enumerate(self.bins))

    def median(self) -> float:
        """Median as a fraction of the latency target; 0 before the first answer."""
        if self._median is None:
            self._median = self._interpolated_median()
        return self._median

    def _interpolated_median(self) -> float:
        below = 0
        half = self.count / 2
        for i, n in enumerate(self.bins):
            if n and below + n >= half:
                return (i + (half - below) / n) / BINS_PER_TARGET
            below += n
        raise AssertionError("median of an empty histogram")

    def mean(self, prior: float) -> float:
        """Mean fraction of the latency target; one answer at `prior` is added to steady the mean of a few."""
        return (self.sum / BINS_PER_TARGET + prior) / (self.count + 1)
