"""Options of TCP sockets that several parts of the tier set alike."""

from __future__ import annotations

import socket

import attrs


@attrs.frozen
class SilenceLimits:
    """When the operating system breaks a connection whose peer says nothing any more."""

    unacknowledged_ms: int  # sent bytes may stay without an acknowledgement for this long
    probe_after_s: int  # of rest
    probe_interval_s: int
    probes: int  # without an answer, until the connection counts as broken


def configure_socket(sock: socket.socket, limits: SilenceLimits) -> None:
    """Sends small writes without delay, and breaks the connection to a machine that fell silent.

    Without the limits a peer that lost its power keeps its connection open for minutes.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.probe_after_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, limits.probe_interval_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, limits.probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.unacknowledged_ms)
