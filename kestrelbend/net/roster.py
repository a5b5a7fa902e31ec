"""Discovery: asks for the whole list, then watches it for changes."""
from __future__ import annotations

import asyncio
import json
import logging

import aiohttp

from ..interface import State
from ..config.platform import Malformed
from .configuration import address
from .tally import counters

log = logging.getLogger(__name__)
STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}
WANTS = (State.GONE, State.DRAINING, State.READY)       # least first
WAIT_MS, SPARE_S, AGAIN_S = 2000, 1.0, 0.1


def entries(told):
    """(version, whole, entries, endpoints) of one answer in discovery's form.  An entry that cannot be read
    is left out: the rest of the list must not wait for its mending.  Of two entries for one backend the one
    that asks for less is taken (rule 3)."""
    try:
        version, whole, given = int(told["rev"]), bool(told["all"]), list(told["targets"])
    except (KeyError, TypeError, ValueError) as trouble:
        raise Malformed(f"discovery: {type(trouble).__name__}: {trouble}") from None
    rows, endpoints = {}, {}
    for row in given:
        try:
            uid, state = str(row["uid"]), STATES[row["state"]]
            weight = float(row.get("capacity_hint") or 1.0)
            started = round(1000 * float(row.get("boot_ms") or 0))
            endpoint = None
            if state is not State.GONE or row.get("endpoint"):
                endpoint = "%s:%d" % address(row["endpoint"], "endpoint")
        except (KeyError, TypeError, ValueError, OverflowError, AttributeError, Malformed):
            counters["unreadable_rows"] += 1
            continue
        if uid in rows:
            counters["doubled_rows"] += 1
            if WANTS.index(rows[uid][4]) <= WANTS.index(state):
                continue
        rows[uid] = (uid, str(row.get("az", "")), str(row.get("model", "")), row.get("pod_group", 0), state,
                     weight, started)
        endpoints.update({uid: endpoint} if endpoint else {})
    return version, whole, list(rows.values()), endpoints


class Roster:
    def __init__(self, queue, address):
        self.queue, self.base, self.version = queue, address, None
        self.session = self.watching = None
        self.faults = {"unreadable_rows": 0, "doubled_rows": 0}     # as last logged
        self.empty = False

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
            self.base, self.version = address, None
            if self.watching is not None:
                self.watching.cancel()
                self.watching = None
            self.watch()

    def watch(self):
        if self.watching is None or self.watching.done():
            self.watching = asyncio.create_task(self.follow())

    async def follow(self):
        """A watch goes on while the next call comes within 200 ms of the last answer; the answer is handed
        over first, which takes no time here."""
        failing = False
        self.session = self.session or aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=2, happy_eyeballs_delay=None), trust_env=False,
            cookie_jar=aiohttp.DummyCookieJar())
        while True:
            query = "" if self.version is None else f"?since={self.version}&timeout_ms={WAIT_MS}"
            try:
                async with asyncio.timeout(WAIT_MS / 1000 + SPARE_S):
                    async with self.session.get(f"http://{self.base}/catalog/members{query}") as response:
                        text = await response.read()
                if response.status != 200:
                    raise Malformed(f"discovery: status {response.status}")
                told = entries(json.loads(text))
            except (TimeoutError, aiohttp.ClientError, OSError, ValueError, Malformed) as trouble:
                counters["discovery_failed"] += 1
                if not failing:
                    failing = True
                    log.warning("discovery silent", extra={"why": f"{type(trouble).__name__}: {trouble}"})
                    self.queue.put_nowait(("unlisted",))
                await asyncio.sleep(AGAIN_S)
                continue
            if failing:
                log.info("discovery answers again")
            failing = False
            self.version = told[0]
            counters["discovery_answers"] += 1
            self.look(told)
            if told[1] or told[2]:
                self.queue.put_nowait(("listing", told))
