"""The surroundings of a process: clocks, disk, signals, settings and listeners of the operating system.

A process reaches these only through its `Environment`, so that a fleet in memory can put others in their
place.  Connections need no part here: they are made by the running event loop.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import signal
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Protocol, TypeVar

from ..storage.disk import Disk
from ..storage.journal import DiskJournal
from ..storage.os_disk import OsDisk
from .settings import Settings

if TYPE_CHECKING:
    from ..http_server.server import CurrentLimits, Listener

IDENTITY_BYTES = 4  # of a disk
BROKEN_INVARIANT = 70  # the exit status of a process that must not go on

T = TypeVar("T")
Written = Callable[[list[int]], None]


def no_limits() -> None:
    """Before the first configuration, and where no operator's limits apply."""


class Environment(Protocol):
    """What a process asks of the machine that it runs on."""

    def now(self) -> float:
        """The steady clock, in seconds."""

    def new_incarnation(self) -> int:
        """A number for this run of the process, higher than those of its earlier runs."""

    def new_disk_identity(self) -> str:
        """A name for an emptied disk that no other disk has had."""

    def disk(self) -> Disk:
        """The disk that `DataDir` is on."""

    def journal(self, folder: str, capacity_bytes: int, written: Written) -> DiskJournal:
        """A journal that calls `written` on the event loop, and writes only once it is started."""

    async def close_journal(self, journal: DiskJournal, within: float) -> None:
        """Writes what waits, for a time in seconds at most."""

    async def run_off_loop(self, function: Callable[[], T]) -> T:
        """Runs a function that touches nothing of the process's state, while the event loop goes on."""

    def on_signals(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """What to call when the platform asks for an end, and when it has changed the settings."""

    def settings_changed_at(self, path: str) -> int:
        """When the settings file was changed last, 0 where there is none."""

    def read_settings(self, path: str) -> Settings:
        """The settings as they stand now; raises `SettingsError`."""

    async def serve(self, listeners: Sequence[Listener], limits: CurrentLimits = no_limits) -> None:
        """Serves until all listeners are shut down; `limits` gives those of the operator in force."""

    def abort(self) -> None:
        """Ends the process at once: an invariant is broken."""


class SystemEnvironment:
    """The operating system's, see `Environment`."""

    def now(self) -> float:
        """The operating system's steady clock."""
        return time.monotonic()

    def new_incarnation(self) -> int:
        """Microseconds of the day's clock: higher than before as long as that is not set back."""
        return time.time_ns() // 1000

    def new_disk_identity(self) -> str:
        """Drawn by chance."""
        return secrets.token_hex(IDENTITY_BYTES)

    def disk(self) -> Disk:
        """The operating system's files."""
        return OsDisk()

    def journal(self, folder: str, capacity_bytes: int, written: Written) -> DiskJournal:
        """A journal whose writer is a thread."""
        loop = asyncio.get_running_loop()
        return DiskJournal(folder, capacity_bytes, written, loop.call_soon_threadsafe)

    async def close_journal(self, journal: DiskJournal, within: float) -> None:
        """Waits for the writer's thread off the event loop."""
        await asyncio.to_thread(journal.close, within)

    async def run_off_loop(self, function: Callable[[], T]) -> T:
        """In a thread of its own."""
        return await asyncio.to_thread(function)

    def on_signals(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """SIGTERM and SIGINT, and SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop)
        loop.add_signal_handler(signal.SIGINT, stop)
        loop.add_signal_handler(signal.SIGHUP, reload)

    def settings_changed_at(self, path: str) -> int:
        """The file's time of change, in nanoseconds."""
        try:
            return os.stat(path).st_mtime_ns
        except OSError:
            return 0

    def read_settings(self, path: str) -> Settings:
        """The file's settings."""
        return Settings.read(path)

    async def serve(self, listeners: Sequence[Listener], limits: CurrentLimits = no_limits) -> None:
        """By hypercorn."""
        from ..http_server.server import serve_all  # stores serve nothing and don't load it

        await serve_all(listeners, limits)

    def abort(self) -> None:
        """Without any clean-up, with the status of a broken invariant."""
        os._exit(BROKEN_INVARIANT)
