"""The accept queue at the start: takes connections in while the rest of the program is still being loaded.

A gateway that comes back on part of a core is loaded for the better part of a second.  Its machine takes
connections from the first moment, and clients that have little time left, or whose time began while they
waited, would be answered too late (seen: four lost at the return of 144 gateways at once).  So a thread
listens before anything heavy is imported, notes when each request came, refuses at once what cannot wait, and
hands the rest over with the bytes read so far.  It imports nothing that takes time, and decides nothing else.
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

MOST = 64  # connections held at most, and no more than a quarter of the descriptors that the
SHARE = 4  # process may hold; others wait in the kernel's line
SHORTEST_S = 0.5  # a client that waits no longer is refused at once
PART = 0.4  # and any other once so much of its time has passed
TURN_MS = 20
BOUND_S = 0.5  # one refused is closed when its client has read that, or after so long
LONGEST_HEAD = 1 << 14
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
TIMEOUT = re.compile(rb"\r\nX-Timeout:[ \t]*([0-9.]{1,16})[ \t]*\r\n", re.IGNORECASE)


def place(env, path=None):
    """Where to listen, or None: what is wrong with a configuration is said by those who read all of it."""
    try:
        text = env.get("ROUTER_LISTEN") if path is None else None
        if not text:
            text = stated(path or env["ROUTER_CONFIG"])["listen"]
        host, _, port = str(text).rpartition(":")
        return host, int(port)
    except (KeyError, TypeError, ValueError, OSError):
        return None


def most_held(env, path=None):
    """How many connections to hold, by the descriptors that the configuration allows."""
    try:
        return max(1, min(MOST, int(stated(path or env["ROUTER_CONFIG"])["limits"]["sockets"]) // SHARE))
    except (KeyError, TypeError, ValueError, OSError):
        return MOST


def stated(path):
    with open(path, "rb") as file:
        if path.endswith(".toml"):
            import tomllib

            return tomllib.load(file)
        return json.load(file)


def age(connection):
    """Microseconds since the last byte came: the client's time runs from then, not from when a gateway short
    of CPU got round to reading it (tcpi_last_data_recv of Linux's TCP_INFO)."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 56)
    except (AttributeError, OSError):
        return 0
    return 1000 * int.from_bytes(info[52:56], sys.byteorder)


class Held:
    """A connection whose request, as far as it has come, waits for the gateway."""

    __slots__ = ("socket", "data", "came", "wait", "refused")

    def __init__(self, connection):
        connection.setblocking(False)
        self.socket, self.data, self.came, self.wait = connection, b"", time.monotonic_ns(), None
        self.refused = None  # monotonic nanoseconds

    def read(self, looked):
        """False once its client has left.  What the machine tells no age of may have come at any time
        since the last look (monotonic nanoseconds)."""
        try:
            more = self.socket.recv(LONGEST_HEAD)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if self.refused is not None:  # a close over unread bytes would reset it, and the refusal with it
            return bool(more)
        waited = 1000 * age(self.socket)
        self.data, self.came = self.data + more, time.monotonic_ns() - waited if waited else looked
        if self.wait is None and b"\r\n\r\n" in self.data:
            told = TIMEOUT.search(self.data)
            try:
                self.wait = float(told[1]) if told else 0.0  # 0: none told, it can wait
            except ValueError:
                self.wait = 0.0
        return bool(more)

    def over(self):
        if not self.wait:
            return False
        return self.wait < SHORTEST_S or time.monotonic_ns() - self.came > PART * self.wait * 1e9

    def refuse(self):
        self.refused = time.monotonic_ns()
        try:
            self.socket.send(REFUSAL)
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass


class AcceptQueue:
    def __init__(self, listener, most=None):
        self.listener, self.held, self.refused, self.most = listener, {}, 0, MOST if most is None else most
        self.ending = {}  # those refused
        self.empty = time.monotonic_ns()  # when no connection waited to be taken in, last
        self.wake_read, self.wake_write = os.pipe()
        self.poll = select.poll()
        listener.setblocking(False)
        for fd in (self.wake_read, listener.fileno()):
            self.poll.register(fd, select.POLLIN)
        self.thread = threading.Thread(target=self.serve, name="accept-queue", daemon=True)
        self.thread.start()

    @classmethod
    def open(cls, env, path=None):
        """None where it cannot listen: the gateway, once loaded, waits for its address or says why."""
        at = place(env, path)
        if at is None:
            return None
        try:
            return cls(socket.create_server(at, backlog=1024), most_held(env, path))
        except (OSError, OverflowError):
            return None

    def serve(self):
        looked = self.empty
        while True:
            for fd, _ in self.poll.poll(TURN_MS):
                if fd == self.wake_read:
                    return
                if fd == self.listener.fileno():
                    continue
                if fd in self.ending:
                    if not self.ending[fd].read(looked):
                        self.end(fd)
                elif not self.held[fd].read(looked):
                    self.drop(fd)
                elif len(self.held[fd].data) >= LONGEST_HEAD:
                    self.poll.unregister(fd)  # the rest is for the gateway to read
            looked = time.monotonic_ns()
            self.accept()
            for fd in [fd for fd, held in self.held.items() if held.over()]:
                held = self.ending[fd] = self.leave(fd)
                held.refuse()
                self.refused += 1
            late = [fd for fd, held in self.ending.items() if looked - held.refused > BOUND_S * 1e9]
            for fd in late or list(self.ending)[: max(0, len(self.ending) - self.most)]:
                self.end(fd)

    def accept(self):
        """All that wait, as far as there is room."""
        while len(self.held) < self.most:
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                self.empty = time.monotonic_ns()
                return
            except OSError:
                return
            held = self.held[connection.fileno()] = Held(connection)
            self.poll.register(connection.fileno(), select.POLLIN)
            if len(self.held) == self.most:
                self.poll.unregister(self.listener.fileno())
            if not held.read(self.empty):
                self.drop(connection.fileno())

    def leave(self, fd):
        """One that is held no longer."""
        if len(self.held) == self.most:
            self.poll.register(self.listener.fileno(), select.POLLIN)
        return self.held.pop(fd)

    def drop(self, fd):
        self.ending[fd] = self.leave(fd)
        self.end(fd)

    def end(self, fd):
        with contextlib.suppress(KeyError):
            self.poll.unregister(fd)
        self.ending.pop(fd).socket.close()

    def hand_over(self):
        """(the listening socket, what is held); the thread has ended.  It may not have had a turn for long
        while others were loading, so what waits is taken in here."""
        os.write(self.wake_write, b"x")
        self.thread.join()
        self.accept()
        os.close(self.wake_read)
        os.close(self.wake_write)
        for fd in list(self.ending):
            self.ending[fd].read(0)
            self.end(fd)
        return self.listener, list(self.held.values())
