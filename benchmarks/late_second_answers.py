"""How often a late second answer is still taken for the next request's: drawn, with the gateway's own trust.

A trusted backend answers a request and, within the moment of a rest, answers it again; the next request was
written on that connection right after the first answer.  The answers' times are drawn from one distribution.
"Before": it came first and was taken.  "Now": it was taken although an early answer is in doubt for a moment
and requests wait for a slow backend's silence.

    python -m benchmarks.late_second_answers
"""

from __future__ import annotations

import random

from kestrelbend.gateway.net.connection_reuse import REUSE_DELAY_S, MAX_LATENCIES, ReuseHistory

DRAWS = 20_000
MEANS_S = (0.002, 0.005, 0.01, 0.02, 0.141)
SHAPES = {
    "exponential": lambda chance, mean: chance.expovariate(1 / mean),
    "log-normal, sigma 0.5": lambda chance, mean: mean * chance.lognormvariate(-0.125, 0.5),
    "even within a fifth": lambda chance, mean: mean * chance.uniform(0.8, 1.2),
}


def known_backend(chance, draw, mean):
    """The reuse history of a backend whose latest answers took so long."""
    history = ReuseHistory()
    for _ in range(MAX_LATENCIES):
        history.record_latency(draw(chance, mean))
    return history


def drawn_once(chance, draw, mean):
    """Whether the second answer came first, and whether it was taken all the same."""
    history = known_backend(chance, draw, mean)
    late, own = chance.uniform(0, REUSE_DELAY_S), draw(chance, mean)
    first = late < own
    return first, first and not history.is_slow and own > late + REUSE_DELAY_S


def main():
    for shape, draw in SHAPES.items():
        for mean in MEANS_S:
            chance = random.Random(f"{shape} {mean}")
            rows = [drawn_once(chance, draw, mean) for _ in range(DRAWS)]
            first, taken = (sum(column) / DRAWS for column in zip(*rows, strict=True))
            print(f"{shape:>22}, mean {1000 * mean:4.0f} ms: before {first:.4f}, now {taken:.4f}")


if __name__ == "__main__":
    main()
