"""Accepts connections during startup, while the rest of the program is still being imported.

On a fraction of a core the imports take most of a second. The kernel accepts connections from the start, so
clients with short timeouts would get their response too late (four requests were lost when 144 gateways
restarted at once). A thread therefore starts listening before any slow import. It records when each request
arrived, rejects at once those that cannot wait, and hands over the others with the bytes read so far. This
module must import only what loads quickly.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import select
import socket
import sys
import threading
import time

TYPE_CHECKING = False  # type checkers take it as True; importing typing would slow the start
if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any, Final

MAX_HELD: Final = 64  # connections; further ones wait in the kernel's listen queue
DESCRIPTORS_PER_HELD: Final = 4  # held connections take at most a quarter of the process's descriptors
MIN_TIMEOUT_S: Final = 0.5  # requests with a shorter timeout are rejected at once
MAX_WAITED_FRACTION: Final = 0.4  # other requests are rejected after this fraction of their timeout
POLL_MS: Final = 20
CLOSE_TIMEOUT_S: Final = 0.5  # a rejected connection is closed by then if its client has not closed it
MAX_HEAD_BYTES: Final = 1 << 14
BACKLOG: Final = 1024
NANOSECONDS_PER_MICROSECOND: Final = 1000
NANOSECONDS_PER_SECOND: Final = 1e9
TCP_INFO_BYTES: Final = 56  # Linux's struct tcp_info, up to and including tcpi_last_data_recv
LAST_DATA_RECEIVED: Final = slice(52, 56)  # tcpi_last_data_recv, in milliseconds
REJECTION: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
TIMEOUT_HEADER: Final = re.compile(rb"\r\nX-Timeout:[ \t]*([0-9.]{1,16})[ \t]*\r\n", re.IGNORECASE)


def read_listen_address(env: Mapping[str, str], path: str | None = None) -> tuple[str, int] | None:
    """Read the host and port to listen on from the TOML file at `path` or from the platform's environment.

    Returns None if they cannot be read. `configuration` reads all settings later and reports the errors.
    """
    try:
        text = env.get("ROUTER_LISTEN") if path is None else None
        if not text:
            text = _read_configuration(path or env["ROUTER_CONFIG"])["listen"]
        host, _, port = str(text).rpartition(":")
        return host, int(port)
    except (KeyError, TypeError, ValueError, OSError):
        return None


def read_max_held(env: Mapping[str, str], path: str | None = None) -> int:
    """Read the maximum number of held connections, which depends on the configured descriptor limit."""
    try:
        descriptors = int(_read_configuration(path or env["ROUTER_CONFIG"])["limits"]["sockets"])
        return max(1, min(MAX_HELD, descriptors // DESCRIPTORS_PER_HELD))
    except (KeyError, TypeError, ValueError, OSError):
        return MAX_HELD


def _read_configuration(path: str) -> Any:
    with open(path, "rb") as file:
        if path.endswith(".toml"):
            import tomllib  # slow to import, and needed for TOML files only

            return tomllib.load(file)
        return json.load(file)


def microseconds_since_last_data(connection: Any) -> int:
    """Return the microseconds since a socket last received data; 0 where the system does not report it.

    A request's timeout starts when its bytes arrive, not when a gateway short of CPU reads them. Linux
    reports the arrival in TCP_INFO (tcpi_last_data_recv).
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (AttributeError, OSError):
        return 0
    return 1000 * int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder)


class HeldConnection:
    """An accepted connection that waits until the gateway is loaded.

    `data`: the bytes of its request read so far. `received_at`: when the last byte arrived, `rejected_at`:
    when the request was rejected, both in monotonic nanoseconds. `timeout_s`: the client's X-Timeout in
    seconds; None until the request head is complete, 0 if the client sent none and can wait.
    """

    __slots__ = ("socket", "data", "received_at", "timeout_s", "rejected_at")

    def __init__(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        self.socket = connection
        self.data = b""
        self.received_at = time.monotonic_ns()
        self.timeout_s: float | None = None
        self.rejected_at: int | None = None

    def read(self, earliest_at: int) -> bool:
        """Read the available bytes; return False once the client has disconnected.

        `earliest_at`: the earliest time, in monotonic nanoseconds, at which the bytes may have arrived;
        it is used where the system does not report their age.
        """
        try:
            more = self.socket.recv(MAX_HEAD_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if self.rejected_at is not None:  # closing with unread bytes would reset it and lose the response
            return bool(more)
        waited = NANOSECONDS_PER_MICROSECOND * microseconds_since_last_data(self.socket)
        self.data += more
        self.received_at = time.monotonic_ns() - waited if waited else earliest_at
        if self.timeout_s is None and b"\r\n\r\n" in self.data:
            self.timeout_s = self._read_timeout()
        return bool(more)

    def _read_timeout(self) -> float:
        header = TIMEOUT_HEADER.search(self.data)
        try:
            return float(header[1]) if header else 0.0
        except ValueError:
            return 0.0

    def is_overdue(self) -> bool:
        """Whether the client's timeout is too short to wait until the gateway is loaded."""
        if not self.timeout_s:
            return False
        waited = time.monotonic_ns() - self.received_at
        return (
            self.timeout_s < MIN_TIMEOUT_S
            or waited > MAX_WAITED_FRACTION * self.timeout_s * NANOSECONDS_PER_SECOND
        )

    def reject(self) -> None:
        """Respond with 503 and shut down the sending side."""
        self.rejected_at = time.monotonic_ns()
        try:
            self.socket.send(REJECTION)
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass


class AcceptQueue:
    """The listening socket and the thread that accepts connections until `hand_over`.

    `held`: held connections by descriptor. `closing`: rejected connections by descriptor, until they are
    closed. `rejected_count`: number of rejected requests. `last_empty_at`: when the kernel's listen queue was
    last seen empty, in monotonic nanoseconds. `max_connections`: maximum number of held connections.
    """

    def __init__(self, listener: socket.socket, max_connections: int | None = None) -> None:
        self.listener = listener
        self.held: dict[int, HeldConnection] = {}
        self.rejected_count = 0
        self.max_connections = MAX_HELD if max_connections is None else max_connections
        self.closing: dict[int, HeldConnection] = {}
        self.last_empty_at = time.monotonic_ns()
        self.wake_read, self.wake_write = os.pipe()
        self.poll = select.poll()
        listener.setblocking(False)
        for fd in (self.wake_read, listener.fileno()):
            self.poll.register(fd, select.POLLIN)
        self.thread = threading.Thread(target=self.serve, name="accept-queue", daemon=True)
        self.thread.start()

    @classmethod
    def open(cls, env: Mapping[str, str], path: str | None = None) -> AcceptQueue | None:
        """Listen on the configured address; return None if that fails.

        The gateway then waits for the address itself once it is loaded, or reports the error.
        """
        at = read_listen_address(env, path)
        if at is None:
            return None
        try:
            return cls(socket.create_server(at, backlog=BACKLOG), read_max_held(env, path))
        except (OSError, OverflowError):
            return None

    def serve(self) -> None:
        """Accept, read and reject in the thread until `hand_over` wakes it."""
        last_polled_at = self.last_empty_at
        while True:
            for fd, _ in self.poll.poll(POLL_MS):
                if fd == self.wake_read:
                    return
                if fd != self.listener.fileno():
                    self._read(fd, last_polled_at)
            last_polled_at = time.monotonic_ns()
            self._accept()
            self._reject_overdue()
            self._close_rejected(last_polled_at)

    def _read(self, fd: int, last_polled_at: int) -> None:
        if fd in self.closing:
            if not self.closing[fd].read(last_polled_at):
                self._close(fd)
        elif not self.held[fd].read(last_polled_at):
            self._discard(fd)
        elif len(self.held[fd].data) >= MAX_HEAD_BYTES:
            self.poll.unregister(fd)  # the gateway reads the rest

    def _reject_overdue(self) -> None:
        for fd in [fd for fd, held in self.held.items() if held.is_overdue()]:
            held = self.closing[fd] = self._release(fd)
            held.reject()
            self.rejected_count += 1

    def _close_rejected(self, now: int) -> None:
        """Close rejected connections that are overdue, or else the oldest ones beyond the limit."""
        timeout = CLOSE_TIMEOUT_S * NANOSECONDS_PER_SECOND
        late = [fd for fd, held in self.closing.items() if now - (held.rejected_at or 0) > timeout]
        for fd in late or list(self.closing)[: max(0, len(self.closing) - self.max_connections)]:
            self._close(fd)

    def _accept(self) -> None:
        """Accept all waiting connections, up to the limit."""
        while len(self.held) < self.max_connections:
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                self.last_empty_at = time.monotonic_ns()
                return
            except OSError:
                return
            held = self.held[connection.fileno()] = HeldConnection(connection)
            self.poll.register(connection.fileno(), select.POLLIN)
            if len(self.held) == self.max_connections:
                self.poll.unregister(self.listener.fileno())
            if not held.read(self.last_empty_at):
                self._discard(connection.fileno())

    def _release(self, fd: int) -> HeldConnection:
        """Remove a connection from the held ones, so that another one can be accepted."""
        if len(self.held) == self.max_connections:
            self.poll.register(self.listener.fileno(), select.POLLIN)
        return self.held.pop(fd)

    def _discard(self, fd: int) -> None:
        self.closing[fd] = self._release(fd)
        self._close(fd)

    def _close(self, fd: int) -> None:
        with contextlib.suppress(KeyError):
            self.poll.unregister(fd)
        self.closing.pop(fd).socket.close()

    def hand_over(self) -> tuple[socket.socket, list[HeldConnection]]:
        """Stop the thread; return the listening socket and the held connections.

        The thread may have had no CPU time for long during the imports, so waiting connections are accepted
        here.
        """
        os.write(self.wake_write, b"x")
        self.thread.join()
        self._accept()
        os.close(self.wake_read)
        os.close(self.wake_write)
        for fd in list(self.closing):
            self.closing[fd].read(0)
            self._close(fd)
        return self.listener, list(self.held.values())
