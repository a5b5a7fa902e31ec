"""Endpoint discovery: requests the complete list of the discovery service, then watches it for changes.

A response is JSON: `rev` (the version), `all` (whether the list is complete; if not, it holds the changes
since a version) and `targets` (the backends). Responses are ordered by version; changes of an older version
are never applied, since they could bring back a departed backend.

Invariant: `on_received` is called with a list before the list's event is queued, so that no new request is
written to a backend that a list already received removes or moves.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import aiohttp

from ..interface import EndpointState
from ..settings.platform import Malformed
from .configuration import address
from .events import DiscoveryFailed, EndpointsReceived
from .metrics import counters

log = logging.getLogger(__name__)

STATES: Final = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.GONE}
# Of two entries for one backend, the one whose state comes first here is applied.
STATES_BY_PRECEDENCE: Final = (
    EndpointState.GONE,
    EndpointState.DRAINING,
    EndpointState.READY,
)
WATCH_MS: Final = 2000  # how long a watch may wait for changes at the discovery service
HEDGE_AFTER_S: Final = (
    0.75  # first hedge, this long after the wait of a watch; later ones after twice as long
)
CALL_TIMEOUT_S: Final = 3.0  # limit of a call, even if data still arrives
RETRY_INTERVAL_S: Final = 0.1  # delay after a failed call
FIRST_LIST_TIMEOUT_S: Final = 0.3  # how long startup waits for the first list
COMPLETE_INTERVAL_S: Final = 4.0  # a complete list is requested this often, whatever a watch reports
MICROSECONDS_PER_MS: Final = 1000
DEFAULT_WEIGHT: Final = 1.0
LIST_FAULT_COUNTERS: Final = ("unreadable_rows", "doubled_rows")
HTTP_OK: Final = 200


class EndpointRow(NamedTuple):
    """One backend of a list; the order of the fields is that of `hosting.EndpointRow`."""

    uid: str
    zone: str
    model: str
    group: Any  # as received; equal values denote one group of backends
    state: EndpointState
    weight: float  # relative capacity
    started_at: int  # start of its process, Unix time in microseconds; 0 if not stated


class EndpointList(NamedTuple):
    """One response of discovery: all backends if `complete`, otherwise those that changed."""

    version: int
    complete: bool
    rows: list[EndpointRow]
    endpoints: dict[str, str]  # host:port by backend, if stated


class KnownBackend(NamedTuple):
    """The latest entry for a backend that is not gone."""

    row: EndpointRow
    endpoint: str | None


def parse_endpoint_list(decoded: Any) -> EndpointList:
    """Parse a decoded JSON response of discovery; raises `Malformed` if it is not a list at all.

    An invalid entry is skipped and counted, so that it does not block the rest of the list. A state of
    draining or gone is applied even if other fields of the entry are invalid. Of two entries for one backend
    the one with the more restrictive state is applied (rule 3).
    """
    try:
        version = int(decoded["rev"])
        complete = bool(decoded["all"])
        raw_entries = list(decoded["targets"])
    except (KeyError, TypeError, ValueError) as error:
        raise Malformed(f"discovery: {type(error).__name__}: {error}") from None
    rows: dict[str, EndpointRow] = {}
    endpoints: dict[str, str] = {}
    for entry in raw_entries:
        parsed = _parse_entry(entry)
        if parsed is None:
            continue
        row, endpoint = parsed
        if row.uid in rows:
            counters["doubled_rows"] += 1
            if STATES_BY_PRECEDENCE.index(rows[row.uid].state) <= STATES_BY_PRECEDENCE.index(row.state):
                continue
        rows[row.uid] = row
        if endpoint:
            endpoints[row.uid] = endpoint
    return EndpointList(version, complete, list(rows.values()), endpoints)


def _parse_entry(entry: Any) -> KnownBackend | None:
    """Parse one entry of a list; return None if it is unusable. Invalid entries are counted."""
    try:
        uid = str(entry["uid"])
        state = STATES[entry["state"]]
    except (KeyError, TypeError):
        counters["unreadable_rows"] += 1
        return None
    endpoint = None
    weight = DEFAULT_WEIGHT
    started_at = 0
    try:
        weight = float(entry.get("capacity_hint") or DEFAULT_WEIGHT)
        started_at = round(MICROSECONDS_PER_MS * float(entry.get("boot_ms") or 0))
        if state is not EndpointState.GONE or entry.get("endpoint"):
            host, port = address(entry["endpoint"], "endpoint")
            endpoint = f"{host}:{port}"
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError, Malformed):
        counters["unreadable_rows"] += 1
        if state is EndpointState.READY:
            return None
    zone = str(entry.get("az", ""))
    model = str(entry.get("model", ""))
    row = EndpointRow(uid, zone, model, entry.get("pod_group", 0), state, weight, started_at)
    return KnownBackend(row, endpoint)


class EndpointDiscovery:
    """Watches the discovery service at `address` (host:port) and reports changes on the owner's queue.

    The events are `EndpointsReceived` and, when discovery stops responding, `DiscoveryFailed`. `on_received`
    is called with each list before its event is queued.
    """

    def __init__(
        self,
        queue: asyncio.Queue[Any],
        address: str,
        on_received: Callable[[EndpointList], None] = lambda received: None,
    ) -> None:
        self.queue = queue
        self.service_address = address
        self.on_received = on_received
        self.session: aiohttp.ClientSession | None = None
        self.watch_task: asyncio.Task[None] | None = None
        self.first_call_done = asyncio.Event()  # set once the first call has succeeded or failed
        self._reset()
        self.logged_faults = dict.fromkeys(LIST_FAULT_COUNTERS, 0)
        self.is_empty = False

    def _reset(self) -> None:
        """Forget the list; the next call requests the complete list."""
        self.version: int | None = None
        self.query_since: int | None = None  # version to request changes since; None: the complete list
        self.last_complete_at: float | None = None  # loop time of the last complete list
        self.known: dict[str, KnownBackend] = {}
        self.received_older = False  # the last response was a complete list of an older version

    def _log_list_faults(self, received: EndpointList) -> None:
        """Log new faults of a list once; the valid entries and the earlier ones stay in use."""
        for name, logged in self.logged_faults.items():
            if counters[name] and not logged:
                log.warning("discovery lists what cannot be used", extra={name: counters[name]})
            self.logged_faults[name] = counters[name]
        if received.complete and self.is_empty != (not received.rows):
            self.is_empty = not received.rows
            log.warning("discovery lists no backend" if self.is_empty else "discovery lists backends again")

    def set_address(self, address: str) -> None:
        """Use another address of discovery, and request its complete list at once."""
        if address != self.service_address:
            self.service_address = address
            self._reset()
            if self.watch_task is not None:
                self.watch_task.cancel()  # cancels its calls too; their responses are ignored
                self.watch_task = None
            self.watch()

    def watch(self) -> None:
        """Start watching discovery, unless it is being watched."""
        if self.watch_task is None or self.watch_task.done():
            self.watch_task = asyncio.create_task(self._watch_forever())

    async def _watch_forever(self) -> None:
        """Call discovery again and again, without end.

        Discovery keeps a watch alive if the next call arrives within 200 ms of the last response; passing the
        response on first takes a negligible time.
        """
        if self.session is None:
            self.session = _open_session()
        is_failing = False
        loop = asyncio.get_running_loop()
        while True:
            called_at = loop.time()
            try:
                received = await self._call_hedged(self.session)
            except Exception as error:  # noqa: BLE001  any error is retried
                counters["discovery_failed"] += 1
                self.first_call_done.set()
                if not is_failing:
                    is_failing = True
                    log.warning("discovery silent", extra={"why": f"{type(error).__name__}: {error}"})
                    self.queue.put_nowait(DiscoveryFailed())
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if is_failing:
                log.info("discovery answers again")
            is_failing = False
            counters["discovery_answers"] += 1
            self._log_list_faults(received)
            is_new = self.apply(received)
            self.first_call_done.set()
            if not is_new and loop.time() - called_at < RETRY_INTERVAL_S:
                # Discovery responded at once without changes, and may go on doing so.
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def wait_for_first_response(self) -> None:
        """Wait until the first call has succeeded or failed, `FIRST_LIST_TIMEOUT_S` at most."""
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.first_call_done.wait()
        except TimeoutError:
            pass

    async def _call_hedged(self, session: aiohttp.ClientSession) -> EndpointList:
        """Return the first response to any call; raise an error of the last calls once all have failed.

        A call without a timely response is hedged by a call on another connection, and so on, so that no
        stuck call delays the next one. (Without hedging, a stuck watch followed by a stuck connect delayed a
        change by 6.1 s.)
        """
        calls: list[asyncio.Task[EndpointList]] = []
        hedge_after = HEDGE_AFTER_S
        try:
            while True:
                is_watch = not calls and self.query_since is not None
                calls.append(asyncio.create_task(self._call(session, WATCH_MS if is_watch else 1)))
                wait = hedge_after + is_watch * WATCH_MS / 1000
                done, _ = await asyncio.wait(calls, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
                errors = [task.exception() for task in done]
                for task, error in zip(done, errors, strict=True):
                    if error is None:
                        return task.result()
                    calls.remove(task)
                if not calls:
                    assert errors[0] is not None  # a success was returned above
                    raise errors[0]
                if done:
                    await asyncio.sleep(RETRY_INTERVAL_S)
                else:
                    hedge_after = 2 * HEDGE_AFTER_S
        finally:
            for task in calls:  # their responses are no longer needed
                if not task.cancel() and not task.cancelled():
                    task.exception()  # marks the error as retrieved

    async def _call(self, session: aiohttp.ClientSession, wait_ms: int) -> EndpointList:
        """Make one call; discovery waits for changes up to `wait_ms` milliseconds."""
        query = "" if self.query_since is None else f"?since={self.query_since}&timeout_ms={wait_ms}"
        url = f"http://{self.service_address}/catalog/members{query}"
        async with asyncio.timeout(CALL_TIMEOUT_S):
            async with session.get(url, allow_redirects=False) as response:
                text = await response.read()
        if response.status != HTTP_OK:
            raise Malformed(f"discovery: status {response.status}")
        return parse_endpoint_list(json.loads(text))

    def apply(self, received: EndpointList) -> bool:
        """Pass a list on if its version is not older than the last one; return False if nothing changed.

        Changes of an older version are ignored, and the complete list is requested. A complete list of an
        older version may come from a discovery instance that lags behind. It is applied if a second one
        follows, since discovery may have restarted its version numbers. Since a watch may stop reporting
        changes without an error, a complete list is requested every `COMPLETE_INTERVAL_S`.
        """
        version = received.version
        complete = received.complete
        if self.version is not None and version < self.version and not (complete and self.received_older):
            counters["discovery_went_back"] += 1
            self.received_older = complete
            self.query_since = None
            return False
        known = _merge({} if complete else self.known, received)
        has_changes = version != self.version and (complete or bool(received.rows))
        is_new = known != self.known or has_changes
        now = asyncio.get_running_loop().time()
        if complete or self.last_complete_at is None:
            self.last_complete_at = now
        self.version = version
        self.known = known
        self.received_older = False
        self.query_since = version if now - self.last_complete_at < COMPLETE_INTERVAL_S else None
        if is_new:
            self.on_received(received)
            self.queue.put_nowait(EndpointsReceived(received))
        return is_new


def _open_session() -> aiohttp.ClientSession:
    # A connection that is idle beside a stuck watch may be dead as well: idle connections are closed early.
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=HEDGE_AFTER_S, happy_eyeballs_delay=None)
    return aiohttp.ClientSession(connector=connector, trust_env=False, cookie_jar=aiohttp.DummyCookieJar())


def _merge(known: Mapping[str, KnownBackend], received: EndpointList) -> dict[str, KnownBackend]:
    """Apply a list to the known backends, without those that are gone."""
    updates = {row.uid: KnownBackend(row, received.endpoints.get(row.uid)) for row in received.rows}
    merged = {**known, **updates}
    return {uid: backend for uid, backend in merged.items() if backend.row.state is not EndpointState.GONE}
