"""What is known of one backend, and how control nodes and gateways tell each other."""

from __future__ import annotations

import enum

import attrs


class BackendState(enum.IntEnum):
    """A backend's state by its own words; a later state never goes back."""

    READY = 0
    DRAINING = 1
    DEPARTED = 2


@attrs.frozen
class Backend:
    """One incarnation of a backend.  (`state`, `sequence`) tells which of two reports is newer."""

    identity: str
    service: str
    address: str
    zone: str
    software: str
    slots: int
    state: int
    warming_up_ms: int
    sequence: int
    models: str = ""  # the report's Models, as JSON


@attrs.frozen
class BackendUpdate:
    """Backends that changed, streamed; `complete` replaces what the sender told before."""

    sender: str
    number: int  # rises by one on a connection; acknowledged by it
    complete: bool
    backends: tuple[Backend, ...]


@attrs.frozen
class BackendAck:
    """The receiver holds all of the sender's updates up to `number`."""

    sender: str
    number: int
