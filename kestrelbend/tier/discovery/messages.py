"""State of a backend, and the messages by which control nodes and gateways exchange it.

Fields are encoded by position (see `protocol.wire_names`), so new fields are added only at the end.
"""

from __future__ import annotations

import enum

import attrs


class BackendState(enum.IntEnum):
    """A backend's state; by its own reports it only moves forward (see `order`)."""

    READY = 0  # accepts requests
    DRAINING = 1  # completes its open requests and accepts no new ones
    DEPARTED = 2  # has ended, or is presumed to have ended


@attrs.frozen
class Backend:
    """One incarnation of a backend; `state` and `sequence` decide which of two reports is newer (`order`)."""

    identity: str
    service: str
    address: str  # "ip:port"
    zone: str
    software: str  # software version, or ""
    slots: int  # requests that it processes concurrently
    state: int  # a `BackendState`
    warming_up_ms: int  # remaining time of its slow start; 0 once it is warm
    sequence: int  # rises with each of its own reports
    models: str = ""  # the list `Models` of its report, as JSON


@attrs.frozen
class BackendUpdate:
    """Backends that changed; a `complete` update holds all and replaces the earlier ones of its sender."""

    sender: str
    number: int  # rises by one with each update on a connection; acknowledgements refer to it
    complete: bool
    backends: tuple[Backend, ...]


@attrs.frozen
class BackendAck:
    """Confirms that the receiver holds all updates of `sender` up to `number`."""

    sender: str
    number: int
