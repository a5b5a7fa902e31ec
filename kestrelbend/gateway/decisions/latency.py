"""A histogram of answer times, relative to the latency target of their operation."""

from __future__ import annotations

BIN_COUNT = 24  # the last one takes all that is slower
BINS_PER_TARGET = 12
HALVED_AT = 256  # answers; then each bin is halved, so that older ones weigh less


class LatencyHistogram:
    """Answer times as fractions of the latency target (1.0: just in time)."""

    __slots__ = ("bins", "count", "sum", "_median")

    def __init__(self) -> None:
        self.bins = [0] * BIN_COUNT
        self.count = 0  # of answers in the bins
        self.sum = 0.0  # of the bins' middles, in bins
        self._median: float | None = 0.0  # None: not known since the last answer

    def add(self, fraction: float) -> None:
        """Count an answer that took this fraction of its latency target."""
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
        """Fraction of the latency target; 0 before the first answer."""
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
        raise AssertionError("no answer was counted")

    def mean(self, prior: float) -> float:
        """Fraction of the latency target, with one answer at `prior` added: a few answers say little."""
        return (self.sum / BINS_PER_TARGET + prior) / (self.count + 1)
