"""Estimates how often a late second response is taken as the response to the next request.

A trusted backend responds to a request twice, the second time within `REUSE_DELAY_S` of the first.  The
gateway has written the next request on that connection right after the first response.  The latencies are
drawn from one distribution, and the gateway's own `ReuseHistory` records them.  "before" counts the second
responses that arrive before the response to the next request, and so were accepted.  "now" counts those that
are still accepted although the gateway holds back an early response for `REUSE_DELAY_S`, and requests wait
until the connection of a slow backend is silent.

    python -m benchmarks.late_second_answers
"""

from __future__ import annotations

import random

from kestrelbend.gateway.net.connection_reuse import MAX_LATENCIES, REUSE_DELAY_S, ReuseHistory

DRAWS = 20_000
MEANS_S = (0.002, 0.005, 0.01, 0.02, 0.141)
SHAPES = {
    "exponential": lambda rng, mean: rng.expovariate(1 / mean),
    "log-normal, sigma 0.5": lambda rng, mean: mean * rng.lognormvariate(-0.125, 0.5),
    "even within a fifth": lambda rng, mean: mean * rng.uniform(0.8, 1.2),
}


def draw_history(rng, draw, mean):
    """Returns the history of a backend whose latest latencies were drawn from this distribution."""
    history = ReuseHistory()
    for _ in range(MAX_LATENCIES):
        history.record_latency(draw(rng, mean))
    return history


def simulate_once(rng, draw, mean):
    """Returns whether the second response arrived first, and whether the gateway accepted it."""
    history = draw_history(rng, draw, mean)
    second_arrival, latency = rng.uniform(0, REUSE_DELAY_S), draw(rng, mean)
    arrived_first = second_arrival < latency
    return arrived_first, arrived_first and not history.is_slow and latency > second_arrival + REUSE_DELAY_S


def main():
    for shape, draw in SHAPES.items():
        for mean in MEANS_S:
            rng = random.Random(f"{shape} {mean}")
            rows = [simulate_once(rng, draw, mean) for _ in range(DRAWS)]
            arrived_first, accepted = (sum(column) / DRAWS for column in zip(*rows, strict=True))
            print(f"{shape:>22}, mean {1000 * mean:4.0f} ms: before {arrived_first:.4f}, now {accepted:.4f}")


if __name__ == "__main__":
    main()
