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
STATES_BY_DEMAND: Final = (
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
MICROSECONDS_OF_MS: Final = 1000
DEFAULT_WEIGHT: Final = 1.0
FAULT_COUNTERS: Final = ("unreadable_rows", "doubled_rows")
HTTP_OK: Final = 200


class EndpointRow(NamedTuple):
    """One backend of a list, in the order of fields that the gateway's decisions take."""

    uid: str
    zone: str
    model: str
    group: Any  # as given: a number that means the same backends' group
    state: EndpointState
    weight: float  # relative capacity
    started: int  # Unix time in microseconds; 0: not stated


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


def entries(answer: Any) -> EndpointList:
    """One answer in discovery's form, decoded from JSON; raises `Malformed` where it is not a list at all.

    An entry that cannot be read is left out and counted: the rest of the list must not wait for its repair.
    But that a backend drains or is gone holds, whatever else its entry lacks. Of two entries for one backend
    the one that asks for less is taken (rule 3).
    """
    try:
        version = int(answer["rev"])
        complete = bool(answer["all"])
        given = list(answer["targets"])
    except (KeyError, TypeError, ValueError) as error:
        raise Malformed(f"discovery: {type(error).__name__}: {error}") from None
    rows: dict[str, EndpointRow] = {}
    endpoints: dict[str, str] = {}
    for entry in given:
        read = _read_entry(entry)
        if read is None:
            continue
        row, endpoint = read
        if row.uid in rows:
            counters["doubled_rows"] += 1
            if STATES_BY_DEMAND.index(rows[row.uid].state) <= STATES_BY_DEMAND.index(row.state):
                continue
        rows[row.uid] = row
        if endpoint:
            endpoints[row.uid] = endpoint
    return EndpointList(version, complete, list(rows.values()), endpoints)


def _read_entry(entry: Any) -> KnownBackend | None:
    """One entry of a list; None: of no use, which is counted."""
    try:
        uid = str(entry["uid"])
        state = STATES[entry["state"]]
    except (KeyError, TypeError):
        counters["unreadable_rows"] += 1
        return None
    endpoint = None
    weight = DEFAULT_WEIGHT
    started = 0
    try:
        weight = float(entry.get("capacity_hint") or DEFAULT_WEIGHT)
        started = round(MICROSECONDS_OF_MS * float(entry.get("boot_ms") or 0))
        if state is not EndpointState.GONE or entry.get("endpoint"):
            host, port = address(entry["endpoint"], "endpoint")
            endpoint = f"{host}:{port}"
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError, Malformed):
        counters["unreadable_rows"] += 1
        if state is EndpointState.READY:
            return None
    zone = str(entry.get("az", ""))
    model = str(entry.get("model", ""))
    row = EndpointRow(uid, zone, model, entry.get("pod_group", 0), state, weight, started)
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
        self.base = address
        self.on_received = on_received
        self.session: aiohttp.ClientSession | None = None
        self.watching: asyncio.Task[None] | None = None
        self.contacted = asyncio.Event()  # discovery has answered once, or does not
        self._forget()
        self.logged_faults = dict.fromkeys(FAULT_COUNTERS, 0)
        self.is_empty = False

    def _forget(self) -> None:
        """Know nothing of the list: the next call asks for all of it."""
        self.version: int | None = None
        self.since: int | None = None  # changes since this version are asked for; None: the complete list
        self.complete_at: float | None = None  # loop time of the last complete list
        self.known: dict[str, KnownBackend] = {}
        self.saw_older = False  # a complete list of an older version came just now

    def _log_faults(self, received: EndpointList) -> None:
        """Say once what is odd about a list; it is served on with the rest, and with what was known."""
        for name, logged in self.logged_faults.items():
            if counters[name] and not logged:
                log.warning("discovery lists what cannot be used", extra={name: counters[name]})
            self.logged_faults[name] = counters[name]
        if received.complete and self.is_empty != (not received.rows):
            self.is_empty = not received.rows
            log.warning("discovery lists no backend" if self.is_empty else "discovery lists backends again")

    def move(self, address: str) -> None:
        """Discovery is at another address now: its complete list is asked for at once."""
        if address != self.base:
            self.base = address
            self._forget()
            if self.watching is not None:
                self.watching.cancel()  # with its calls; what one of them answers now is not taken
                self.watching = None
            self.watch()

    def watch(self) -> None:
        """Follow discovery, if that is not done already."""
        if self.watching is None or self.watching.done():
            self.watching = asyncio.create_task(self._follow())

    async def _follow(self) -> None:
        """Ask again and again, for ever.

        A watch goes on while the next call comes within 200 ms of the last answer; the answer is handed over
        first, which takes no time here.
        """
        if self.session is None:
            self.session = _open_session()
        is_failing = False
        loop = asyncio.get_running_loop()
        while True:
            asked_at = loop.time()
            try:
                received = await self._ask(self.session)
            except Exception as error:  # noqa: BLE001  whatever discovery says, it is asked again
                counters["discovery_failed"] += 1
                self.contacted.set()
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
            self._log_faults(received)
            is_new = self.take(received)
            self.contacted.set()
            if not is_new and loop.time() - asked_at < RETRY_INTERVAL_S:
                await asyncio.sleep(RETRY_INTERVAL_S)  # an answer at once that says nothing, perhaps for ever

    async def first(self) -> None:
        """Wait until discovery has told its list, or says nothing; `FIRST_LIST_TIMEOUT_S` at most."""
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.contacted.wait()
        except TimeoutError:
            pass

    async def _ask(self, session: aiohttp.ClientSession) -> EndpointList:
        """The first answer to any call; raises what the first failed call raised, once none is out any more.

        A call without answer in its time is hedged by one on another connection, and so on, so that no call
        holds up what the next one would tell. (Seen in the code: a silent watch and a silent connect, one
        after the other, took 6.1 s.)
        """
        calls: list[asyncio.Task[EndpointList]] = []
        hedge_after = HEDGE_AFTER_S
        try:
            while True:
                is_watch = not calls and self.since is not None
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
        query = "" if self.since is None else f"?since={self.since}&timeout_ms={wait_ms}"
        url = f"http://{self.base}/catalog/members{query}"
        async with asyncio.timeout(CALL_TIMEOUT_S):
            async with session.get(url, allow_redirects=False) as response:
                text = await response.read()
        if response.status != HTTP_OK:
            raise Malformed(f"discovery: status {response.status}")
        return entries(json.loads(text))

    def take(self, received: EndpointList) -> bool:
        """Hand a list on, in the order of versions; False: it says nothing new.

        Changes up to a version before the last are none: the complete list is asked for. A complete list of
        such a version may be that of a part of discovery that lags; it is taken when it is told again, since
        its numbers may begin anew. A watch may lose what it watches and say nothing of it: now and then the
        complete list is asked for.
        """
        version = received.version
        complete = received.complete
        if self.version is not None and version < self.version and not (complete and self.saw_older):
            counters["discovery_went_back"] += 1
            self.saw_older = complete
            self.since = None
            return False
        known = _merge({} if complete else self.known, received)
        has_news = version != self.version and (complete or bool(received.rows))
        is_new = known != self.known or has_news
        now = asyncio.get_running_loop().time()
        if complete or self.complete_at is None:
            self.complete_at = now
        self.version = version
        self.known = known
        self.saw_older = False
        self.since = version if now - self.complete_at < COMPLETE_INTERVAL_S else None
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
