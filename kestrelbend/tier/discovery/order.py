"""Which of two reports on one incarnation of a backend is newer.

    READY ---> DRAINING ---> DEPARTED (by its own report: for good)
      |            |
      +------------+-------> presumed departed ---> READY or DRAINING by any later report of its own

Invariants: a backend that reported that it drains is never ready again; one that reported its end (sequence
`DEPARTURE_SEQUENCE`) stays departed.  A backend that is only presumed departed (it is unresponsive, or
another one replied at its address) carries the sequence of its last report, and any later report of its own
reverts that.
"""

from __future__ import annotations

import attrs

from .messages import Backend, BackendState

DEPARTURE_SEQUENCE = 2**62  # above every sequence that a report may have


def supersedes(new: Backend, old: Backend) -> bool:
    """Whether `new` is newer than `old`, both of the same incarnation."""
    if old.state == BackendState.DEPARTED:
        return new.sequence > old.sequence
    if new.state == BackendState.DEPARTED:
        return new.sequence >= old.sequence
    return (new.state, new.sequence) > (old.state, old.sequence)


def presumed_departed(backend: Backend) -> Backend:
    """`backend` as it counts until it reports again."""
    return attrs.evolve(backend, state=int(BackendState.DEPARTED))


def as_departed(backend: Backend) -> Backend:
    """`backend` after its own report that it ends."""
    return attrs.evolve(backend, state=int(BackendState.DEPARTED), sequence=DEPARTURE_SEQUENCE)


def as_draining(backend: Backend) -> Backend:
    """`backend` as one that takes nothing new."""
    return attrs.evolve(backend, state=int(BackendState.DRAINING))


def differs(new: Backend, old: Backend) -> bool:
    """Whether a change matters at once; counters that only run on can wait."""
    if (new.warming_up_ms > 0) != (old.warming_up_ms > 0):
        return True
    return attrs.evolve(new, sequence=old.sequence, warming_up_ms=old.warming_up_ms) != old
