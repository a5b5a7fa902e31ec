"""The one task that owns the module: events come in by its queue, effects go out to the peers."""

from __future__ import annotations

import asyncio
import logging

from ..hosting import Host
from ..interface import Invocation, Result, State
from .metrics import counters, must

log = logging.getLogger(__name__)
FAULTS_LOGGED = 20
PROBES_S = 0.1  # between looks at which backends this gateway has to probe


class Owner(Host):
    """The decisions of this gateway with their peers; all of it runs in the task of `serve`.

    An event is a tuple on `queue`: its name and its values.  `serve` calls the method `on_` + name, so these
    methods have no caller by name.  Who puts which:

    - `taken`, `left`: `Clients.invocation`, `Clients.drain`, `Checks` (a request came; its client left)
    - `ended`: `Backends.ended`, `Checks`; `probed`: `Backends`
    - `authorised`, `refused`: `Authorisers`
    - `counted`: `CounterCall.end`
    - `listing`, `unlisted`: `EndpointDiscovery`
    - `alarm`: `set_alarm`
    - `datagram`: `DatagramReceiver`; `news_due`: `NewsPeer.later`; `members_due`: `Peers`
    - `probes_due`: `on_probes_due` itself, first `gateway.start`

    `heard` alone is no event: `EndpointDiscovery` calls it when a list goes into the queue, ahead of
    `on_listing` for the same list.  `roster` is the `EndpointDiscovery`, `requests` the open ones by
    invocation.
    """

    def __init__(self, settings, seed, clock, queue):
        super().__init__(settings, seed, clock())
        self.clock, self.queue, self.requests = clock, queue, {}
        self.gone = {}  # backends off the list, and since when
        self.late = 0  # how late alarms came of late: the gateway is short of CPU
        self.clients = self.backend_peer = self.roster = self.counter = self.peers = self.news = None
        self.checks = self.authorisers = None

    async def serve(self):
        self.gateway.now = self.clock()
        self.start()
        while True:
            what, *values = await self.queue.get()
            self.gateway.now = self.clock()
            try:
                getattr(self, "on_" + what)(*values)
            except Exception:
                self.fault(what, getattr(values[0], "inv", None) if values else None)

    def run(self, task, value=None):
        """A fault stays in its own task, whichever event led there."""
        try:
            super().run(task, value)
        except Exception:
            self.fault("run", task.inv)

    def fault(self, where, inv):
        """A fault of the program leaves nobody waiting: its invocation errors at once, which promises
        nothing."""
        counters["faults"] += 1
        if counters["faults"] <= FAULTS_LOGGED:
            log.exception("fault", extra={"on": where})
        if inv is not None:
            if not inv.done:
                inv.done = True
                self.home(inv).errored(self.requests[inv])
            self.tasks.pop(inv, None)
            self.release_if_complete(inv)

    def home(self, inv):
        """The front that an invocation came by."""
        return self.requests[inv].front or self.clients

    # Events.

    def on_taken(self, request):
        op = self.operations[request.operation]
        customer = self.customer_state(request.plan, request.customer, request.spread)
        wait = op.timeout if request.wait is None else round(request.wait * 1e6)
        until = request.came + wait - min(self.late, wait // 4)  # its last alarm will be late, too
        inv = request.inv = Invocation(op, customer, request.came, until, request.units, request.retry)
        self.requests[inv] = request
        if request.answer.cancelled():
            inv.done = True
        self.start_invocation(inv)

    def on_left(self, request):
        if request.inv is not None:
            self.client_gone(request.inv)

    def on_ended(self, d, result, took, answer, load, actual, used=None):
        request = self.requests.get(d.inv)
        if request is not None and request.front is not None:
            d.inv.done = True  # its answer was that it was let in
        final = result is Result.SUCCEEDED and not d.inv.done
        if final:
            self.clients.succeeded(self.requests[d.inv], *answer)
        self.delivery_ended(d, result, took, final, load, actual, used)

    def on_authorised(self, d):
        """Its authorisers let it go on; whatever happened meanwhile goes before."""
        if d.inv.done or d.inv not in self.requests:
            self.delivery_ended(d, Result.VOID, 0, False, None, 0)
        else:
            d.sent = self.gateway.now  # their time is not the backend's
            self.backend_peer.deliver(d, self.requests[d.inv])

    def on_refused(self, d, result, denial):
        """It is not sent: denied, or given up while it waited."""
        if denial is not None and not d.inv.done:
            d.inv.done = True
            self.clients.denied(self.requests[d.inv], denial)
        self.delivery_ended(d, result, 0, False, None, 0)

    def on_alarm(self, task, until):
        self.late = max(self.gateway.now - until, self.late - self.late // 32)
        if task.alarm is not None and task.alarm[1] == until:
            self.run(task)

    def on_counted(self, name, result, total):
        self.counter_replied(name, result, total)

    def on_probed(self, backend, result, took, load):
        self.probed(backend, result, took, load)
        if self.peers is not None and self.peers.probing is not None:
            self.gateway.background.load_reported(
                backend, load
            )  # asked as a duty: no generator of the module waits for it
            self.peers.probed(backend, load)

    def on_datagram(self, source, data):
        (self.news or self.peers).got(source, data)

    def on_news_due(self):
        self.news.due()

    def on_members_due(self):
        self.peers.due()

    def on_probes_due(self):
        """Duties of this gateway: backends that it probes for all."""
        for backend in self.peers.probes_due():
            self.backend_peer.probe(backend)
        asyncio.get_running_loop().call_later(PROBES_S, self.queue.put_nowait, ("probes_due",))

    def heard(self, told):
        """A list that stands in the queue: what it takes off or moves gets no first byte any more."""
        _, whole, rows, endpoints = told
        peer, wanted = self.backend_peer, {row[0] for row in rows if row[4] is State.READY}
        for uid in (self.listed.keys() if whole else {row[0] for row in rows}) & self.backends.keys():
            target = self.backends[uid]
            if uid not in wanted or uid in endpoints and peer.endpoints.get(target) != endpoints[uid]:
                peer.barred[target] = told

    def on_listing(self, told):
        _, whole, rows, endpoints = told
        before, barred = set(self.listed), self.backend_peer.barred
        for target in [target for target, by in barred.items() if by is told]:
            del barred[target]
        self.endpoints_listed(rows, whole)
        for uid in self.listed.keys() & endpoints.keys():
            self.backend_peer.listed(self.backends[uid], endpoints[uid])
        for uid in before - set(self.listed):
            self.backend_peer.unlisted(self.backends[uid])
            self.gone[uid] = self.gateway.now
        # What is known of one counts while it could come back cold; after that it would only fill the memory.
        for uid, since in list(self.gone.items()):
            if uid in self.listed or self.gateway.now - since > self.settings["cold"]:
                del self.gone[uid]
                if uid not in self.listed:
                    self.probes.pop(self.backends[uid], None)
                    del self.backend_ids[self.backends.pop(uid)]

    def on_unlisted(self):
        self.discovery_failed()

    # Effects.

    def deliver(self, d):
        must(not d.inv.done, "nothing_sent_after_the_answer")
        request = self.requests[d.inv]
        if request.front is not None:
            request.front.deliver(d, request)
        elif self.authorisers is None or not self.authorisers.deliver(d, request):
            self.backend_peer.deliver(d, request)

    def cancel(self, d):
        request = self.requests.get(d.inv)
        if request is not None and request.front is not None:
            request.front.cancel(d)
        elif self.authorisers is None or not self.authorisers.cancel(d):
            self.backend_peer.cancel(d)

    def throttle(self, inv, retry_after):
        self.home(inv).throttled(self.requests[inv], retry_after)

    def fail(self, inv):
        self.home(inv).errored(self.requests[inv])

    def set_alarm(self, task, until):
        left, event = max(0, until - self.gateway.now) / 1e6, ("alarm", task, until)
        return asyncio.get_running_loop().call_later(left, self.queue.put_nowait, event), until

    def cancel_alarm(self, alarm):
        alarm[0].cancel()

    def count(self, name, add, life):
        self.counter.add(name, add, life)

    def probe(self, backend):
        self.backend_peer.probe(backend)

    def subscribe(self):
        self.roster.watch()

    def log(self, text, about):
        log.info(text, extra={"about": about} if about != "" else None)

    def released(self, inv):
        self.requests.pop(inv, None)
