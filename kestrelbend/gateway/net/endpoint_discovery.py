"""Endpoint discovery: asks the discovery service for its complete list, then watches it for changes.

An answer is JSON: `rev` (the version), `all` (whether it is complete, else the changes since a version) and
`targets` (the backends). Versions order the answers; changes of an older version are never taken, for they
may bring back a backend that has departed.

Invariant: whoever `on_received` names has seen a list before it stands in the queue, so that no first byte of
a request goes to a backend that a list already read takes off or moves.
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
STATES_BY_PRECEDENCE: Final = (
    EndpointState.GONE,
    EndpointState.DRAINING,
    EndpointState.READY,
)  # the least is asked of the first
WATCH_MS: Final = 2000  # a watch waits so long at discovery
HEDGE_AFTER_S: Final = 0.75  # beyond that, until a call without answer is hedged; then twice as long
CALL_TIMEOUT_S: Final = 3.0  # a call, whatever it says by then
RETRY_INTERVAL_S: Final = 0.1  # between failed calls
FIRST_LIST_TIMEOUT_S: Final = 0.3  # a start waits so long for the first list
COMPLETE_INTERVAL_S: Final = 4.0  # after a complete list, the next one is asked for, whatever the watch tells
MICROSECONDS_PER_MS: Final = 1000
DEFAULT_WEIGHT: Final = 1.0
LIST_FAULT_COUNTERS: Final = ("unreadable_rows", "doubled_rows")
HTTP_OK: Final = 200


class EndpointRow(NamedTuple):
    """One backend of a list, in the order of fields that the gateway's decisions take."""

    uid: str
    zone: str
    model: str
    group: Any  # as received: a number that means the same backends' group
    state: EndpointState
    weight: float  # relative capacity
    started_at: int  # Unix time in microseconds; 0: not stated


class EndpointList(NamedTuple):
    """One answer of discovery: all backends if `complete`, else those that changed."""

    version: int
    complete: bool
    rows: list[EndpointRow]
    endpoints: dict[str, str]  # host:port by backend, where it is stated


class KnownBackend(NamedTuple):
    """What was last said of a backend that is not gone."""

    row: EndpointRow
    endpoint: str | None


def parse_endpoint_list(answer: Any) -> EndpointList:
    """One answer in discovery's form, decoded from JSON; raises `Malformed` where it is not a list at all.

    An entry that cannot be read is left out and counted: the rest of the list must not wait for its repair.
    But that a backend drains or is gone holds, whatever else its entry lacks. Of two entries for one backend
    the one that asks for less is taken (rule 3).
    """
    try:
        version = int(answer["rev"])
        complete = bool(answer["all"])
        raw_entries = list(answer["targets"])
    except (KeyError, TypeError, ValueError) as error:
        raise Malformed(f"discovery: {type(error).__name__}: {error}") from None
    rows: dict[str, EndpointRow] = {}
    endpoints: dict[str, str] = {}
    for entry in raw_entries:
        read = _parse_entry(entry)
        if read is None:
            continue
        row, endpoint = read
        if row.uid in rows:
            counters["doubled_rows"] += 1
            if STATES_BY_PRECEDENCE.index(rows[row.uid].state) <= STATES_BY_PRECEDENCE.index(row.state):
                continue
        rows[row.uid] = row
        if endpoint:
            endpoints[row.uid] = endpoint
    return EndpointList(version, complete, list(rows.values()), endpoints)


def _parse_entry(entry: Any) -> KnownBackend | None:
    """One entry of a list; None: of no use, which is counted."""
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
    """Follows the discovery service at `address` (host:port) and puts what is new on the owner's queue.

    The events are `EndpointsReceived` and, when discovery stops answering, `DiscoveryFailed`.
    `on_received` is called with each list before it stands in the queue.
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
        self.first_call_done = asyncio.Event()  # discovery has answered once, or does not
        self._reset()
        self.logged_faults = dict.fromkeys(LIST_FAULT_COUNTERS, 0)
        self.is_empty = False

    def _reset(self) -> None:
        """Know nothing of the list: the next call asks for all of it."""
        self.version: int | None = None
        self.query_since: int | None = None  # version to request changes since; None: the complete list
        self.last_complete_at: float | None = None  # loop time of the last complete list
        self.known: dict[str, KnownBackend] = {}
        self.received_older = False  # a complete list of an older version came just now

    def _log_list_faults(self, received: EndpointList) -> None:
        """Say once what is odd about a list; it is served on with the rest, and with what was known."""
        for name, logged in self.logged_faults.items():
            if counters[name] and not logged:
                log.warning("discovery lists what cannot be used", extra={name: counters[name]})
            self.logged_faults[name] = counters[name]
        if received.complete and self.is_empty != (not received.rows):
            self.is_empty = not received.rows
            log.warning("discovery lists no backend" if self.is_empty else "discovery lists backends again")

    def set_address(self, address: str) -> None:
        """Discovery is at another address now: its complete list is asked for at once."""
        if address != self.service_address:
            self.service_address = address
            self._reset()
            if self.watch_task is not None:
                self.watch_task.cancel()  # with its calls; what one of them answers now is not taken
                self.watch_task = None
            self.watch()

    def watch(self) -> None:
        """Follow discovery, if that is not done already."""
        if self.watch_task is None or self.watch_task.done():
            self.watch_task = asyncio.create_task(self._watch_forever())

    async def _watch_forever(self) -> None:
        """Ask again and again, for ever.

        A watch goes on while the next call comes within 200 ms of the last answer; the answer is handed over
        first, which takes no time here.
        """
        if self.session is None:
            self.session = _open_session()
        is_failing = False
        loop = asyncio.get_running_loop()
        while True:
            called_at = loop.time()
            try:
                received = await self._call_hedged(self.session)
            except Exception as error:  # noqa: BLE001  whatever discovery says, it is asked again
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
                await asyncio.sleep(RETRY_INTERVAL_S)  # an answer at once that says nothing, perhaps for ever

    async def wait_for_first_response(self) -> None:
        """Wait until discovery has told its list, or says nothing; `FIRST_LIST_TIMEOUT_S` at most."""
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.first_call_done.wait()
        except TimeoutError:
            pass

    async def _call_hedged(self, session: aiohttp.ClientSession) -> EndpointList:
        """The first answer to any call; raises what the first failed call raised, once none is out any more.

        A call without answer in its time is hedged by one on another connection, and so on, so that no call
        holds up what the next one would tell. (Seen in the code: a silent watch and a silent connect, one
        after the other, took 6.1 s.)
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
                    assert errors[0] is not None  # an answer was returned above
                    raise errors[0]
                if done:
                    await asyncio.sleep(RETRY_INTERVAL_S)
                else:
                    hedge_after = 2 * HEDGE_AFTER_S
        finally:
            for task in calls:  # what is overtaken says nothing new
                if not task.cancel() and not task.cancelled():
                    task.exception()  # nor how it failed

    async def _call(self, session: aiohttp.ClientSession, wait_ms: int) -> EndpointList:
        """One call, by which changes are waited for so many milliseconds."""
        query = "" if self.query_since is None else f"?since={self.query_since}&timeout_ms={wait_ms}"
        url = f"http://{self.service_address}/catalog/members{query}"
        async with asyncio.timeout(CALL_TIMEOUT_S):
            async with session.get(url, allow_redirects=False) as response:
                text = await response.read()
        if response.status != HTTP_OK:
            raise Malformed(f"discovery: status {response.status}")
        return parse_endpoint_list(json.loads(text))

    def apply(self, received: EndpointList) -> bool:
        """Hand a list on, in the order of versions; False: it says nothing new.

        Changes up to a version before the last are none: the complete list is asked for. A complete list of
        such a version may be that of a part of discovery that lags; it is taken when it is told again, since
        its numbers may begin anew. A watch may lose what it watches and say nothing of it: now and then the
        complete list is asked for.
        """
        version = received.version
        complete = received.complete
        if self.version is not None and version < self.version and not (complete and self.received_older):
            counters["discovery_went_back"] += 1
            self.received_older = complete
            self.query_since = None
            return False
        known = _merge({} if complete else self.known, received)
        has_news = version != self.version and (complete or bool(received.rows))
        is_new = known != self.known or has_news
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
    # What is kept idle beside the watch may have fallen silent with it: it goes soon.
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=HEDGE_AFTER_S, happy_eyeballs_delay=None)
    return aiohttp.ClientSession(connector=connector, trust_env=False, cookie_jar=aiohttp.DummyCookieJar())


def _merge(known: Mapping[str, KnownBackend], received: EndpointList) -> dict[str, KnownBackend]:
    """What is known after a list, without the backends that are gone."""
    entries_read = {row.uid: KnownBackend(row, received.endpoints.get(row.uid)) for row in received.rows}
    merged = {**known, **entries_read}
    return {uid: backend for uid, backend in merged.items() if backend.row.state is not EndpointState.GONE}
