"""Defines which of two reports on one incarnation of a backend is newer.

    READY ---> DRAINING ---> DEPARTED (reported by the backend itself: final)
      |            |
      +------------+-------> presumed departed ---> READY or DRAINING by any later report of the backend

Invariants: a backend that has reported DRAINING is never ready again; one that has reported its end (sequence
`DEPARTURE_SEQUENCE`) stays departed.  A backend that is only presumed departed (it is unresponsive, or
another backend replied at its address) keeps the sequence of its last report, so any later report of its own
supersedes the presumption.
"""

from __future__ import annotations

import attrs

from .messages import Backend, BackendState

DEPARTURE_SEQUENCE = 2**62  # greater than any sequence that a heartbeat may carry


def supersedes(new: Backend, old: Backend) -> bool:
    """Whether `new` is newer than `old`; both describe the same incarnation."""
    if old.state == BackendState.DEPARTED:
        return new.sequence > old.sequence
    if new.state == BackendState.DEPARTED:
        return new.sequence >= old.sequence
    return (new.state, new.sequence) > (old.state, old.sequence)


def presumed_departed(backend: Backend) -> Backend:
    """Returns the backend as departed, until it reports again."""
    return attrs.evolve(backend, state=int(BackendState.DEPARTED))


def as_departed(backend: Backend) -> Backend:
    """Returns the backend as departed for good, after its own report that it ends."""
    return attrs.evolve(backend, state=int(BackendState.DEPARTED), sequence=DEPARTURE_SEQUENCE)


def as_draining(backend: Backend) -> Backend:
    """Returns the backend as draining."""
    return attrs.evolve(backend, state=int(BackendState.DRAINING))


def is_significant_change(new: Backend, old: Backend) -> bool:
    """Whether a change must be published at once.

    Progress of `sequence` and of the warm-up alone can wait; the end of the warm-up cannot.
    """
    if (new.warming_up_ms > 0) != (old.warming_up_ms > 0):
        return True
    return attrs.evolve(new, sequence=old.sequence, warming_up_ms=old.warming_up_ms) != old
