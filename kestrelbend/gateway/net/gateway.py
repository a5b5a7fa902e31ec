"""One real gateway: puts its parts together, reloads at SIGHUP, drains at SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time

import uvloop

from ..settings.platform import Malformed
from ..singleton_tasks import probes_shared
from ..interface import State
from . import configuration, key_value_logging, metrics
from .backends import Backends
from .clients import Clients
from .counter import CounterService
from .owner import Owner
from .endpoint_discovery import EndpointDiscovery, entries
from .events import EndpointsReceived, SharedProbesDue
from .metrics import counters

LINGER_S = 0.5  # new connections go on coming so long after SIGTERM


def make_clock():
    """Unix time in whole microseconds, that never steps back: gateways name counts by it."""
    base = time.time_ns() - time.monotonic_ns()
    return lambda: (base + time.monotonic_ns()) // 1000


def longest(told):
    """Seconds that an invocation may take: the longest integration timeout."""
    return max((op.timeout for op in told.settings["operations"]), default=0) / 1e6


async def start(told, accept_queue=None, loading=0):
    """The owner with its peers, and the task in which it serves; `loading`: microseconds that the process has
    taken so far."""
    clock, queue = make_clock(), asyncio.Queue()
    shares = told.members is not None and probes_shared(told.settings, told.members.share_probes)
    # `shares`: whether probes are shared (not use, as in docs/shares.md).  Probes that are a duty of one
    # gateway are asked by `Owner`; the decisions then ask none of their own.
    owner = Owner(
        {**told.settings, "may_probe": told.settings["may_probe"] and not shares}, told.seed, clock, queue
    )
    owner.gateway.context.started_at -= loading
    sockets = metrics.DescriptorLimits(told.sockets)
    owner.backend_client = Backends(queue, clock, told.settings, sockets)
    owner.clients = Clients(queue, clock, told.settings, sockets, owner.backend_client.renew, longest(told))
    owner.counter = CounterService(queue, told.counter, told.settings, owner.gateway.counter.timeout)
    owner.discovery = EndpointDiscovery(queue, told.discovery, owner.list_received)
    if told.known:
        owner.on_endpoints_received(EndpointsReceived(entries(told.known)))
    serving = asyncio.create_task(owner.serve())
    # The list as it was known before may be old, and what discovery has counts as told from the first moment:
    # its list goes before whatever clients ask.
    if told.checks is not None and told.checks.upstream:
        owner.endpoints_listed([("upstream", "", "", 0, State.READY, 1.0, None)], True)
    else:
        owner.discovery.watch()
        await owner.discovery.first()
    await owner.clients.start(told.listen, accept_queue)
    if told.checks is not None or told.authorisers:
        await grpc_fronts(told, owner, queue, clock)
    if told.news is not None:
        from .news import NewsPeer  # optional, as is what follows

        owner.usage_exchange = NewsPeer(told.news, queue, owner)
        await owner.usage_exchange.start(owner.gateway.context.random.random())
    if told.members is not None:
        from .peers import Peers  # optional: nothing of it is loaded where it is off

        owner.membership = Peers(told.members, queue, owner, told.seed, shares)
        await owner.membership.start()
        owner.clients.view = owner.membership.view
        if shares:
            queue.put_nowait(SharedProbesDue())
    return owner, serving


async def grpc_fronts(told, owner, queue, clock):
    """Optional: gRPC takes some 20 MB, and nothing of it is loaded where it is off."""
    try:
        if told.authorisers:
            from ..external_authorization.grpc.authorisers import Authorisers

            owner.authorisers = Authorisers(told.authorisers, queue, clock)
        if told.checks is not None:
            from ..external_authorization.grpc.check import Checks

            owner.checks = Checks(told.checks, owner.settings, queue, clock)
            owner.checks.backend_name = lambda backend: str(owner.backend_ids.get(backend, ""))
            await owner.checks.start()
    except ImportError as missing:
        raise Malformed(f"gRPC is not installed: pip install 'kestrelbend[grpc]' ({missing})") from None


def reload(told, owner):
    """SIGHUP: the configuration file was replaced.  Addresses and limits hold from now on; settings, by which
    customers and backends are already known, from the next start, and so does all else in the file, of which
    no line tells (`listen`, `logs`, members, news, checks, authorisers).  A file that cannot be used changes
    nothing."""
    counters["reloads"] += 1
    try:
        new = told.again()
    except Malformed as trouble:
        logging.error("configuration not taken", extra={"why": str(trouble)})
        return
    owner.discovery.move(new.discovery)
    owner.counter.move(new.counter)
    owner.clients.sockets.most = new.sockets
    if repr(new.settings) != repr(told.settings):
        logging.warning("settings changed: they hold from the next start")
    logging.info(
        "configuration taken",
        extra={"discovery": new.discovery, "counter": "%s:%d" % new.counter if new.counter else "none"},
    )


def tell(owner):
    """SIGUSR1."""
    metrics.report()
    if owner.membership is not None:
        owner.membership.report()


async def gateway(told, early, accept_queue):
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    replaced = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, replaced.set)
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, metrics.report)
    for happened, event in ((early.stopped, stop), (early.replaced, replaced)):
        if happened:
            event.set()
    owner, serving = await start(told, accept_queue, (time.monotonic_ns() - early.began) // 1000)
    loop.add_signal_handler(signal.SIGHUP, reload, told, owner)
    if replaced.is_set():
        reload(told, owner)
    loop.add_signal_handler(signal.SIGUSR1, tell, owner)
    gc.freeze()
    gc.enable()
    logging.info("serving", extra={"gateway": told.name, "listen": "%s:%d" % told.listen})
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if serving.done():
        serving.result()
    logging.info("draining")
    if owner.membership is not None:
        owner.membership.leave()
    leaving = [owner.clients.drain(LINGER_S)]
    if owner.checks is not None:
        leaving.append(owner.checks.drain(longest(told)))
    await asyncio.gather(*leaving)
    if owner.authorisers is not None:
        await owner.authorisers.end()
    metrics.report()


def serve(early, accept_queue, path=None):
    """Serves until SIGTERM; a wrong configuration ends it with a plain message.  `path`: an installation's
    own file, in place of the platform's environment."""
    key_value_logging.start()
    try:
        told = configuration.read(os.environ) if path is None else configuration.read_file(path)
        key_value_logging.start(*told.logs)
        uvloop.run(gateway(told, early, accept_queue))
    except (Malformed, OSError) as trouble:
        sys.exit(f"kestrelbend: {trouble}")
