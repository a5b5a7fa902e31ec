"""Discovery: asks for the whole list, then watches it for changes."""

from __future__ import annotations

import asyncio
import json
import logging

import aiohttp

from ..interface import State
from ..gateway_settings.platform import Malformed
from .configuration import address
from .tally import counters

log = logging.getLogger(__name__)
STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}
WANTS = (State.GONE, State.DRAINING, State.READY)  # least first
WAIT_MS = 2000  # a watch waits so long at discovery
PATIENCE_S = 0.75  # beyond that, until a call that says nothing is joined by another; then twice as long
GIVEN_UP_S = 3.0  # a call, whatever it says by then
AGAIN_S = 0.1  # between failed calls
FIRST_S = 0.3  # a start waits so long for the first list
WHOLE_AFTER_S = 4.0  # after a whole list, the next one is asked for, whatever the watch tells


def entries(told):
    """(version, whole, entries, endpoints) of one answer in discovery's form.  An entry that cannot be read
    is left out: the rest of the list must not wait for its mending.  But that a backend drains or is gone
    holds, whatever else its entry lacks.  Of two entries for one backend the one
    that asks for less is taken (rule 3)."""
    try:
        version, whole, given = int(told["rev"]), bool(told["all"]), list(told["targets"])
    except (KeyError, TypeError, ValueError) as trouble:
        raise Malformed(f"discovery: {type(trouble).__name__}: {trouble}") from None
    rows, endpoints = {}, {}
    for row in given:
        try:
            uid, state = str(row["uid"]), STATES[row["state"]]
        except (KeyError, TypeError):
            counters["unreadable_rows"] += 1
            continue
        endpoint, weight, started = None, 1.0, 0
        try:
            weight = float(row.get("capacity_hint") or 1.0)
            started = round(1000 * float(row.get("boot_ms") or 0))
            if state is not State.GONE or row.get("endpoint"):
                endpoint = "%s:%d" % address(row["endpoint"], "endpoint")
        except (KeyError, TypeError, ValueError, OverflowError, AttributeError, Malformed):
            counters["unreadable_rows"] += 1
            if state is State.READY:
                continue
        if uid in rows:
            counters["doubled_rows"] += 1
            if WANTS.index(rows[uid][4]) <= WANTS.index(state):
                continue
        rows[uid] = (
            uid,
            str(row.get("az", "")),
            str(row.get("model", "")),
            row.get("pod_group", 0),
            state,
            weight,
            started,
        )
        endpoints.update({uid: endpoint} if endpoint else {})
    return version, whole, list(rows.values()), endpoints


class Roster:
    """`heard` is told of each list before it stands in the queue: no first byte may go by an older one."""

    def __init__(self, queue, address, heard=lambda told: None):
        self.queue, self.base, self.heard = queue, address, heard
        self.session = self.watching = None
        self.asked = asyncio.Event()  # discovery has answered once, or does not
        self.forget()
        self.faults = {"unreadable_rows": 0, "doubled_rows": 0}  # as last logged
        self.empty = False

    def forget(self):
        """Of the list: its version, and that of the changes to ask for (None: of the whole); its entries by
        their ids; when it was last told as a whole; whether one of an older version was told just now."""
        self.version = self.since = self.whole_at = None
        self.known, self.older = {}, False

    def look(self, told):
        """Say once what is odd about a list; it is served on with the rest, and with what was known."""
        for what, logged in self.faults.items():
            if counters[what] and not logged:
                log.warning("discovery lists what cannot be used", extra={what: counters[what]})
            self.faults[what] = counters[what]
        if told[1] and self.empty != (not told[2]):
            self.empty = not told[2]
            log.warning("discovery lists no backend" if self.empty else "discovery lists backends again")

    def move(self, address):
        """Discovery is at another address now: what it knows is asked for as a whole, at once."""
        if address != self.base:
            self.base = address
            self.forget()
            if self.watching is not None:
                self.watching.cancel()  # with its calls; what one of them answers now is not taken
                self.watching = None
            self.watch()

    def watch(self):
        if self.watching is None or self.watching.done():
            self.watching = asyncio.create_task(self.follow())

    async def follow(self):
        """A watch goes on while the next call comes within 200 ms of the last answer; the answer is handed
        over first, which takes no time here."""
        # What is kept idle beside the watch may have fallen silent with it: it goes soon.
        self.session = self.session or aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=PATIENCE_S, happy_eyeballs_delay=None),
            trust_env=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        failing, loop = False, asyncio.get_running_loop()
        while True:
            at = loop.time()
            try:
                told = await self.answer()
            except Exception as trouble:  # whatever discovery says, it is asked again
                counters["discovery_failed"] += 1
                self.asked.set()
                if not failing:
                    failing = True
                    log.warning("discovery silent", extra={"why": f"{type(trouble).__name__}: {trouble}"})
                    self.queue.put_nowait(("unlisted",))
                await asyncio.sleep(AGAIN_S)
                continue
            if failing:
                log.info("discovery answers again")
            failing = False
            counters["discovery_answers"] += 1
            self.look(told)
            new = self.take(told)
            self.asked.set()
            if not new and loop.time() - at < AGAIN_S:
                await asyncio.sleep(AGAIN_S)  # an answer at once that says nothing, perhaps for ever

    async def first(self):
        """Until discovery has told its list, or says nothing."""
        try:
            async with asyncio.timeout(FIRST_S):
                await self.asked.wait()
        except TimeoutError:
            pass

    async def answer(self):
        """The first answer to any call.  One that says nothing in its time is joined by a call on another
        connection, and so on, so that no call holds up what the next one would tell.  (Seen in the code: a
        silent watch and a silent connect, one after the other, took 6.1 s.)"""
        calls, patience = [], PATIENCE_S
        try:
            while True:
                watch = not calls and self.since is not None
                calls.append(asyncio.create_task(self.call(WAIT_MS if watch else 1)))
                wait = patience + watch * WAIT_MS / 1000
                done, _ = await asyncio.wait(calls, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
                troubles = [task.exception() for task in done]
                for task, trouble in zip(done, troubles, strict=True):
                    if trouble is None:
                        return task.result()
                    calls.remove(task)
                if not calls:
                    raise troubles[0]
                if done:
                    await asyncio.sleep(AGAIN_S)
                else:
                    patience = 2 * PATIENCE_S
        finally:
            for task in calls:  # what is overtaken says nothing new
                if not task.cancel() and not task.cancelled():
                    task.exception()  # nor how it failed

    async def call(self, wait):
        """One call, by which changes are waited for so many milliseconds."""
        query = "" if self.since is None else f"?since={self.since}&timeout_ms={wait}"
        async with asyncio.timeout(GIVEN_UP_S):
            async with self.session.get(
                f"http://{self.base}/catalog/members{query}", allow_redirects=False
            ) as response:
                text = await response.read()
        if response.status != 200:
            raise Malformed(f"discovery: status {response.status}")
        return entries(json.loads(text))

    def take(self, told):
        """Hand a list on, in the order of versions; False: it says nothing new.  Changes up to a version
        before the last are none: the whole list is asked for.  A whole list of such a version may be that of
        a part of discovery that lags; it is taken when it is told again, since its numbers may begin anew.
        A watch may lose what it watches and say nothing of it: now and then the whole list is asked for."""
        version, whole, rows, endpoints = told
        if self.version is not None and version < self.version and not (whole and self.older):
            counters["discovery_went_back"] += 1
            self.older, self.since = whole, None
            return False
        entries = {row[0]: (row, endpoints.get(row[0])) for row in rows}
        known = entries if whole else {**self.known, **entries}
        known = {uid: entry for uid, entry in known.items() if entry[0][4] is not State.GONE}
        new = known != self.known or version != self.version and (whole or bool(rows))
        now = asyncio.get_running_loop().time()
        if whole or self.whole_at is None:
            self.whole_at = now
        self.version, self.known, self.older = version, known, False
        self.since = version if now - self.whole_at < WHOLE_AFTER_S else None
        if new:
            self.heard(told)
            self.queue.put_nowait(("listing", told))
        return new
