"""The accept queue at the start: takes connections in while the rest of the program is still being loaded.

A gateway that comes back on part of a core is loaded for the better part of a second. Its machine takes
connections from the first moment, and clients that have little time left, or whose time began while they
waited, would be answered too late (seen: four lost at the return of 144 gateways at once). So a thread
listens before anything heavy is imported, notes when each request came, refuses at once what cannot wait, and
hands the rest over with the bytes read so far. It imports nothing that takes time, and decides nothing else.
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

TYPE_CHECKING = False  # without loading typing, which takes time; the type checker takes it as true
if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any, Final

MAX_HELD: Final = 64  # connections held at most, and no more than a quarter of the descriptors that the
DESCRIPTORS_PER_HELD: Final = 4  # process may hold; others wait in the kernel's queue
MIN_WAIT_S: Final = 0.5  # a client that waits no longer is refused at once
MAX_WAITED_FRACTION: Final = 0.4  # and any other once so much of its time has passed
POLL_MS: Final = 20
CLOSE_TIMEOUT_S: Final = 0.5  # one refused is closed when its client has read that, or after so long
MAX_HEAD_BYTES: Final = 1 << 14
BACKLOG: Final = 1024
NANOSECONDS_OF_MICROSECOND: Final = 1000
NANOSECONDS_OF_SECOND: Final = 1e9
TCP_INFO_BYTES: Final = 56  # of Linux's struct tcp_info, up to and with tcpi_last_data_recv
LAST_DATA_RECEIVED: Final = slice(52, 56)  # tcpi_last_data_recv: milliseconds
REFUSAL: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
TIMEOUT: Final = re.compile(rb"\r\nX-Timeout:[ \t]*([0-9.]{1,16})[ \t]*\r\n", re.IGNORECASE)


def listen_address(env: Mapping[str, str], path: str | None = None) -> tuple[str, int] | None:
    """Host and port to listen at, by the installation's file at `path` or by the platform's environment.

    None: it cannot be told. What is wrong with a configuration is said by those who read all of it.
    """
    try:
        text = env.get("ROUTER_LISTEN") if path is None else None
        if not text:
            text = _read_configuration(path or env["ROUTER_CONFIG"])["listen"]
        host, _, port = str(text).rpartition(":")
        return host, int(port)
    except (KeyError, TypeError, ValueError, OSError):
        return None


def max_held(env: Mapping[str, str], path: str | None = None) -> int:
    """How many connections to hold, by the descriptors that the configuration allows."""
    try:
        descriptors = int(_read_configuration(path or env["ROUTER_CONFIG"])["limits"]["sockets"])
        return max(1, min(MAX_HELD, descriptors // DESCRIPTORS_PER_HELD))
    except (KeyError, TypeError, ValueError, OSError):
        return MAX_HELD


def _read_configuration(path: str) -> Any:
    with open(path, "rb") as file:
        if path.endswith(".toml"):
            import tomllib  # only an installation's own file needs it

            return tomllib.load(file)
        return json.load(file)


def age(connection: Any) -> int:
    """Microseconds since the last byte came on a socket; 0 where the machine tells none.

    The client's time runs from then, not from when a gateway short of CPU got round to reading it
    (tcpi_last_data_recv of Linux's TCP_INFO).
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (AttributeError, OSError):
        return 0
    return 1000 * int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder)


class HeldConnection:
    """A connection whose request, as far as it has come (`data`), waits for the gateway.

    `came`: when the last byte came, `refused`: when it was refused, in monotonic nanoseconds. `wait`: the
    client's X-Timeout in seconds; None until the head is complete, 0 if there is none: it can wait.
    """

    __slots__ = ("socket", "data", "came", "wait", "refused")

    def __init__(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        self.socket = connection
        self.data = b""
        self.came = time.monotonic_ns()
        self.wait: float | None = None
        self.refused: int | None = None

    def read(self, looked: int) -> bool:
        """Read what has come; False once its client has left.

        What the machine tells no age of may have come at any time since the last look (`looked`, monotonic
        nanoseconds).
        """
        try:
            more = self.socket.recv(MAX_HEAD_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if self.refused is not None:  # a close over unread bytes would reset it, and the refusal with it
            return bool(more)
        waited = NANOSECONDS_OF_MICROSECOND * age(self.socket)
        self.data += more
        self.came = time.monotonic_ns() - waited if waited else looked
        if self.wait is None and b"\r\n\r\n" in self.data:
            self.wait = self._stated_wait()
        return bool(more)

    def _stated_wait(self) -> float:
        stated = TIMEOUT.search(self.data)
        try:
            return float(stated[1]) if stated else 0.0
        except ValueError:
            return 0.0

    def over(self) -> bool:
        """Whether its client cannot wait until the gateway is loaded."""
        if not self.wait:
            return False
        waited = time.monotonic_ns() - self.came
        return self.wait < MIN_WAIT_S or waited > MAX_WAITED_FRACTION * self.wait * NANOSECONDS_OF_SECOND

    def refuse(self) -> None:
        """Answer 503, and shut down the writing side."""
        self.refused = time.monotonic_ns()
        try:
            self.socket.send(REFUSAL)
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass


class AcceptQueue:
    """The listener and its thread, which serves until `hand_over`.

    `held`: connections by descriptor, `ending`: those refused. `refused`: how many were. `empty`: when no
    connection waited to be taken in, last, in monotonic nanoseconds. `most`: connections held at most.
    """

    def __init__(self, listener: socket.socket, most: int | None = None) -> None:
        self.listener = listener
        self.held: dict[int, HeldConnection] = {}
        self.refused = 0
        self.most = MAX_HELD if most is None else most
        self.ending: dict[int, HeldConnection] = {}
        self.empty = time.monotonic_ns()
        self.wake_read, self.wake_write = os.pipe()
        self.poll = select.poll()
        listener.setblocking(False)
        for fd in (self.wake_read, listener.fileno()):
            self.poll.register(fd, select.POLLIN)
        self.thread = threading.Thread(target=self.serve, name="accept-queue", daemon=True)
        self.thread.start()

    @classmethod
    def open(cls, env: Mapping[str, str], path: str | None = None) -> AcceptQueue | None:
        """None where it cannot listen: the gateway, once loaded, waits for its address or says why."""
        at = listen_address(env, path)
        if at is None:
            return None
        try:
            return cls(socket.create_server(at, backlog=BACKLOG), max_held(env, path))
        except (OSError, OverflowError):
            return None

    def serve(self) -> None:
        """The thread: take in, read and refuse until it is woken by `hand_over`."""
        looked = self.empty
        while True:
            for fd, _ in self.poll.poll(POLL_MS):
                if fd == self.wake_read:
                    return
                if fd != self.listener.fileno():
                    self._read(fd, looked)
            looked = time.monotonic_ns()
            self._accept()
            self._refuse_overdue()
            self._end_refused(looked)

    def _read(self, fd: int, looked: int) -> None:
        if fd in self.ending:
            if not self.ending[fd].read(looked):
                self._end(fd)
        elif not self.held[fd].read(looked):
            self._drop(fd)
        elif len(self.held[fd].data) >= MAX_HEAD_BYTES:
            self.poll.unregister(fd)  # the rest is for the gateway to read

    def _refuse_overdue(self) -> None:
        for fd in [fd for fd, held in self.held.items() if held.over()]:
            held = self.ending[fd] = self._leave(fd)
            held.refuse()
            self.refused += 1

    def _end_refused(self, now: int) -> None:
        """End those whose time to read the refusal is over; where none is, those beyond the bound on them."""
        timeout = CLOSE_TIMEOUT_S * NANOSECONDS_OF_SECOND
        late = [fd for fd, held in self.ending.items() if now - (held.refused or 0) > timeout]
        for fd in late or list(self.ending)[: max(0, len(self.ending) - self.most)]:
            self._end(fd)

    def _accept(self) -> None:
        """Take in all that wait, as far as there is room."""
        while len(self.held) < self.most:
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                self.empty = time.monotonic_ns()
                return
            except OSError:
                return
            held = self.held[connection.fileno()] = HeldConnection(connection)
            self.poll.register(connection.fileno(), select.POLLIN)
            if len(self.held) == self.most:
                self.poll.unregister(self.listener.fileno())
            if not held.read(self.empty):
                self._drop(connection.fileno())

    def _leave(self, fd: int) -> HeldConnection:
        """One that is held no longer; there is room for another one."""
        if len(self.held) == self.most:
            self.poll.register(self.listener.fileno(), select.POLLIN)
        return self.held.pop(fd)

    def _drop(self, fd: int) -> None:
        self.ending[fd] = self._leave(fd)
        self._end(fd)

    def _end(self, fd: int) -> None:
        with contextlib.suppress(KeyError):
            self.poll.unregister(fd)
        self.ending.pop(fd).socket.close()

    def hand_over(self) -> tuple[socket.socket, list[HeldConnection]]:
        """The listening socket and what is held; the thread has ended.

        It may not have had a turn for long while others were loading, so what waits is taken in here.
        """
        os.write(self.wake_write, b"x")
        self.thread.join()
        self._accept()
        os.close(self.wake_read)
        os.close(self.wake_write)
        for fd in list(self.ending):
            self.ending[fd].read(0)
            self._end(fd)
        return self.listener, list(self.held.values())
