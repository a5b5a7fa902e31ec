"""Which of two reports on one incarnation of a backend is newer.

Invariants: a backend that said it drains is never ready again; one that said it left (sequence
`LEFT_SEQUENCE`) stays gone.  A backend that is only presumed gone (silent, or another answered at its
address) carries the sequence of its last report, and any later report of its own takes that back.
"""

from __future__ import annotations

import attrs

from kestrelbend.tier.discovery.messages import Backend, BackendState

LEFT_SEQUENCE = 2**62


def supersedes(new: Backend, old: Backend) -> bool:
    """Whether `new` says more than `old` about the same incarnation."""
    if old.state == BackendState.GONE:
        return new.sequence > old.sequence
    if new.state == BackendState.GONE:
        return new.sequence >= old.sequence
    return (new.state, new.sequence) > (old.state, old.sequence)


def presumed_gone(backend: Backend) -> Backend:
    """`backend` as it counts until it reports again."""
    return attrs.evolve(backend, state=int(BackendState.GONE))


def has_left(backend: Backend) -> Backend:
    """`backend` after its own word that it ends."""
    return attrs.evolve(backend, state=int(BackendState.GONE), sequence=LEFT_SEQUENCE)


def differs(new: Backend, old: Backend) -> bool:
    """Whether a change matters at once; counters that only run on can wait."""
    if (new.cold_left_ms > 0) != (old.cold_left_ms > 0):
        return True
    return attrs.evolve(new, sequence=old.sequence, cold_left_ms=old.cold_left_ms) != old
