"""What is known of one backend, and how control nodes and gateways notify each other of it.

Fields travel by their position (see `protocol.wire_names`): new ones are added at the end alone.
"""

from __future__ import annotations

import enum

import attrs


class BackendState(enum.IntEnum):
    """A backend's state by its own reports; a later state never goes back (see `order`)."""

    READY = 0  # takes requests
    DRAINING = 1  # ends what it has, and takes nothing new
    DEPARTED = 2  # has ended, or is presumed to have


@attrs.frozen
class Backend:
    """One incarnation of a backend.  (`state`, `sequence`) tells which of two reports is newer."""

    identity: str
    service: str
    address: str  # "ip:port"
    zone: str
    software: str  # version, or ""
    slots: int  # requests that it takes at once
    state: int  # a `BackendState`
    warming_up_ms: int  # that its slow start still takes; 0 once it is warm
    sequence: int  # rises with each of its reports
    models: str = ""  # the report's Models, as JSON


@attrs.frozen
class BackendUpdate:
    """Backends that changed, streamed; a `complete` one replaces all that the sender sent before."""

    sender: str
    number: int  # rises by one on a connection; acknowledged by it
    complete: bool
    backends: tuple[Backend, ...]


@attrs.frozen
class BackendAck:
    """The receiver holds all of the sender's updates up to `number`."""

    sender: str
    number: int
