"""Which of two reports on one incarnation of a backend is newer.

Invariants: a backend that said it drains is never ready again; one that said it left (sequence
`DEPARTURE_SEQUENCE`) stays gone.  A backend that is only presumed gone (silent, or another answered at its
address) carries the sequence of its last report, and any later report of its own takes that back.
"""

from __future__ import annotations

import attrs

from kestrelbend.tier.discovery.messages import Backend, BackendState

DEPARTURE_SEQUENCE = 2**62


def supersedes(new: Backend, old: Backend) -> bool:
    """Whether `new` says more than `old` about the same incarnation."""
    if old.state == BackendState.DEPARTED:
        return new.sequence > old.sequence
    if new.state == BackendState.DEPARTED:
        return new.sequence >= old.sequence
    return (new.state, new.sequence) > (old.state, old.sequence)


def presumed_departed(backend: Backend) -> Backend:
    """`backend` as it counts until it reports again."""
    return attrs.evolve(backend, state=int(BackendState.DEPARTED))


def as_departed(backend: Backend) -> Backend:
    """`backend` after its own word that it ends."""
    return attrs.evolve(backend, state=int(BackendState.DEPARTED), sequence=DEPARTURE_SEQUENCE)


def differs(new: Backend, old: Backend) -> bool:
    """Whether a change matters at once; counters that only run on can wait."""
    if (new.warming_up_ms > 0) != (old.warming_up_ms > 0):
        return True
    return attrs.evolve(new, sequence=old.sequence, warming_up_ms=old.warming_up_ms) != old
