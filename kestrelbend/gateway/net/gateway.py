"""One gateway in service: puts its parts together, reloads at SIGHUP, shuts down gracefully at SIGTERM.

The order of the start is part of its promises: the list of backends goes before whatever clients ask, and no
optional part is loaded where it is off.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import uvloop

from ..interface import EndpointState
from ..settings.platform import Malformed
from ..singleton_tasks import probes_shared
from . import configuration, key_value_logging, metrics
from .backends import BackendClient
from .clients import Clients
from .counter import CounterClient
from .endpoint_discovery import EndpointDiscovery, EndpointRow, parse_endpoint_list
from .events import EndpointsReceived, Event, SharedProbesDue
from .metrics import counters
from .owner import Owner

if TYPE_CHECKING:
    from .accept_queue import AcceptQueue
    from .configuration import GatewayConfiguration
    from .signals import EarlySignals

ACCEPT_AFTER_SIGTERM_S: Final = 0.5  # new connections go on coming so long
MICROSECONDS_OF_SECOND: Final = 1e6
NANOSECONDS_OF_MICROSECOND: Final = 1000
HOLD_FROM_THE_NEXT_START: Final = (
    "name",
    "listen",
    "seed",
    "settings",
    "logs",
    "members",
    "news",
    "checks",
    "authorisers",
)
"""Parts of the configuration that SIGHUP leaves as they are; `known` is of use at a start alone."""
UPSTREAM: Final = EndpointRow("upstream", "", "", 0, EndpointState.READY, 1.0, 0)
"""The one backend where a proxy routes what is let in."""


def make_clock() -> Callable[[], int]:
    """Unix time in whole microseconds, that never steps back: gateways name counts by it."""
    base = time.time_ns() - time.monotonic_ns()
    return lambda: (base + time.monotonic_ns()) // NANOSECONDS_OF_MICROSECOND


def max_duration_s(given: GatewayConfiguration) -> float:
    """Seconds that an invocation may take: the longest time-out of an operation."""
    timeouts = (operation.timeout for operation in given.settings["operations"])
    return float(max(timeouts, default=0) / MICROSECONDS_OF_SECOND)


async def start(
    given: GatewayConfiguration, accept_queue: AcceptQueue | None = None, loading: int = 0
) -> tuple[Owner, asyncio.Task[None]]:
    """The owner with its peers, and the task in which it serves.

    `accept_queue`: what has taken connections so far. `loading`: microseconds that the process has taken so
    far. Raises `OSError` where an address cannot be had, `Malformed` where an extra is not installed.
    """
    share_probes = given.members is not None and probes_shared(given.settings, given.members.share_probes)
    owner = _make_owner(given, share_probes, loading)
    if given.known:
        owner.on_endpoints_received(EndpointsReceived(parse_endpoint_list(given.known)))
    serving = asyncio.create_task(owner.serve())
    await _await_endpoints(given, owner)
    await owner.clients.start(given.listen, accept_queue)
    if given.checks is not None or given.authorisers:
        await _start_external_authorization(given, owner)
    await _start_usage_exchange(given, owner)
    await _start_membership(given, owner, share_probes)
    return owner, serving


def _make_owner(given: GatewayConfiguration, share_probes: bool, loading: int) -> Owner:
    """The owner with the peers that it always has.

    Shared probes are asked by `Owner`, each by one gateway for all; the decisions then ask none of their own.
    """
    clock = make_clock()
    queue: asyncio.Queue[Event] = asyncio.Queue()
    may_probe = given.settings["may_probe"] and not share_probes
    owner = Owner({**given.settings, "may_probe": may_probe}, given.seed, clock, queue)
    owner.gateway.context.started_at -= loading
    limits = metrics.DescriptorLimits(given.sockets)
    backends = BackendClient(queue, clock, given.settings, limits)
    owner.backend_client = backends
    owner.clients = Clients(
        queue, clock, given.settings, limits, backends.retire_pools, max_duration_s(given)
    )
    owner.counter = CounterClient(queue, given.counter, given.settings, owner.gateway.counter.timeout)
    owner.discovery = EndpointDiscovery(queue, given.discovery, owner.list_received)
    return owner


async def _await_endpoints(given: GatewayConfiguration, owner: Owner) -> None:
    """Have the list of backends before any request.

    The list as it was known before may be old, and what discovery has counts as told from the first moment.
    """
    if given.checks is not None and given.checks.upstream:
        owner.endpoints_listed([UPSTREAM], True)
    else:
        owner.discovery.watch()
        await owner.discovery.wait_for_first_response()


async def _start_external_authorization(given: GatewayConfiguration, owner: Owner) -> None:
    """Start what external authorisation is given; raises `Malformed` where gRPC is not installed.

    Imported only here: gRPC takes some 20 MB.
    """
    try:
        if given.authorisers:
            from ..external_authorization.grpc.authorisers import Authorisers

            owner.authorisers = Authorisers(given.authorisers, owner.queue, owner.clock)
        if given.checks is not None:
            from ..external_authorization.grpc.check import Checks

            checks = Checks(given.checks, owner.settings, owner.queue, owner.clock)

            def backend_name(backend: Any) -> str:
                return str(owner.backend_ids.get(backend, ""))

            checks.backend_name = backend_name  # type: ignore[method-assign]  # the front knows no ids
            owner.checks = checks
            await checks.start()
    except ImportError as error:
        raise Malformed(f"gRPC is not installed: pip install 'kestrelbend[grpc]' ({error})") from None


async def _start_usage_exchange(given: GatewayConfiguration, owner: Owner) -> None:
    """Announce use to the other gateways, where the platform has addresses for that."""
    if given.news is None:
        return
    from .usage_exchange import UsageExchangePeer  # optional

    owner.usage_exchange = UsageExchangePeer(given.news, owner.queue, owner)
    await owner.usage_exchange.start(owner.gateway.context.random.random())


async def _start_membership(given: GatewayConfiguration, owner: Owner, share_probes: bool) -> None:
    """Join the other gateways, where they may speak; with shared probes, begin to look for this one's."""
    if given.members is None:
        return
    from .peers import GatewayMembership  # optional

    owner.membership = GatewayMembership(given.members, owner.queue, owner, given.seed, share_probes)
    await owner.membership.start()
    owner.clients.view = owner.membership.view
    if share_probes:
        owner.queue.put_nowait(SharedProbesDue())


def reload(given: GatewayConfiguration, owner: Owner) -> None:
    """SIGHUP: the configuration file was replaced.

    Addresses and limits hold from now on; all else from the next start, and a line names each such key that
    changed. A file that cannot be used changes nothing.
    """
    counters["reloads"] += 1
    assert given.again is not None  # whoever read the configuration has set it
    try:
        new = given.again()
    except Malformed as error:
        logging.error("configuration not taken", extra={"why": str(error)})
        return
    owner.discovery.set_address(new.discovery)
    owner.counter.set_address(new.counter)
    owner.clients.sockets.max_descriptors = new.sockets
    for key in HOLD_FROM_THE_NEXT_START:
        if repr(getattr(new, key)) != repr(getattr(given, key)):
            logging.warning("changed, holds from the next start", extra={"key": key})
    counter = configuration.format_address(new.counter) if new.counter else "none"
    logging.info("configuration taken", extra={"discovery": new.discovery, "counter": counter})


def report(owner: Owner) -> None:
    """SIGUSR1: log the counters, and the members as this gateway knows them."""
    metrics.log_counters()
    if owner.membership is not None:
        owner.membership.log_members()


async def run_gateway(
    given: GatewayConfiguration, early: EarlySignals, accept_queue: AcceptQueue | None
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    `early`: the signals that came while the program was being loaded; they hold as if they came now.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    replaced = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, replaced.set)
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, metrics.log_counters)
    if early.stopped:
        stop.set()
    if early.replaced:
        replaced.set()
    loading = (time.monotonic_ns() - early.began) // NANOSECONDS_OF_MICROSECOND
    owner, serving = await start(given, accept_queue, loading)
    loop.add_signal_handler(signal.SIGHUP, reload, given, owner)
    if replaced.is_set():
        reload(given, owner)
    loop.add_signal_handler(signal.SIGUSR1, report, owner)
    gc.freeze()
    gc.enable()
    listen = configuration.format_address(given.listen)
    logging.info("serving", extra={"gateway": given.name, "listen": listen})
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if serving.done():
        serving.result()  # it never returns: this raises
    await _drain(given, owner)


async def _drain(given: GatewayConfiguration, owner: Owner) -> None:
    """Leave the other gateways, answer what is open, end all connections."""
    logging.info("draining")
    if owner.membership is not None:
        owner.membership.leave()
    draining = [owner.clients.drain(ACCEPT_AFTER_SIGTERM_S)]
    if owner.checks is not None:
        draining.append(owner.checks.drain(max_duration_s(given)))
    await asyncio.gather(*draining)
    if owner.authorisers is not None:
        await owner.authorisers.end()
    metrics.log_counters()


def serve(early: EarlySignals, accept_queue: AcceptQueue | None, path: str | None = None) -> None:
    """Serve until SIGTERM; an unusable configuration ends the process with a plain message.

    `path`: an installation's own file, in place of the platform's environment.
    """
    key_value_logging.configure()
    try:
        given = configuration.read(os.environ) if path is None else configuration.read_file(path)
        key_value_logging.configure(*given.logs)
        uvloop.run(run_gateway(given, early, accept_queue))
    except (Malformed, OSError) as error:
        sys.exit(f"kestrelbend: {error}")
