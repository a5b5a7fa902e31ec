"""A running gateway: assembles its components, reloads on SIGHUP, shuts down gracefully on SIGTERM.

Invariants of the startup: the gateway has the list of backends before it serves requests, and it imports no
optional component that is off.
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

ACCEPT_AFTER_SIGTERM_S: Final = 0.5  # clients may still open new connections for this time
MICROSECONDS_PER_SECOND: Final = 1e6
NANOSECONDS_PER_MICROSECOND: Final = 1000
APPLIED_AT_NEXT_START: Final = (
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
"""Fields of the configuration that SIGHUP does not change; `known_endpoints` is used only at startup."""
UPSTREAM_BACKEND: Final = EndpointRow("upstream", "", "", 0, EndpointState.READY, 1.0, 0)
"""The only backend if a proxy routes the admitted requests."""


def make_clock() -> Callable[[], int]:
    """Return a clock of Unix time in whole microseconds that never steps back.

    It is Unix time because gateways derive the names of counters from it.
    """
    base = time.time_ns() - time.monotonic_ns()
    return lambda: (base + time.monotonic_ns()) // NANOSECONDS_PER_MICROSECOND


def max_duration_s(config: GatewayConfiguration) -> float:
    """Return the maximum duration of an invocation: the longest timeout of an operation."""
    timeouts = (operation.timeout for operation in config.settings["operations"])
    return float(max(timeouts, default=0) / MICROSECONDS_PER_SECOND)


async def start(
    config: GatewayConfiguration, accept_queue: AcceptQueue | None = None, loading_us: int = 0
) -> tuple[Owner, asyncio.Task[None]]:
    """Start a gateway; return its owner and the task that serves.

    `accept_queue`: has accepted connections during startup. `loading_us`: microseconds since the process
    started. Raises `OSError` if an address is not available, `Malformed` if an optional package is missing.
    """
    share_probes = config.members is not None and probes_shared(config.settings, config.members.share_probes)
    owner = _make_owner(config, share_probes, loading_us)
    if config.known_endpoints:
        owner.on_endpoints_received(EndpointsReceived(parse_endpoint_list(config.known_endpoints)))
    serving = asyncio.create_task(owner.serve())
    await _await_endpoints(config, owner)
    await owner.clients.start(config.listen, accept_queue)
    if config.checks is not None or config.authorisers:
        await _start_external_authorization(config, owner)
    await _start_usage_exchange(config, owner)
    await _start_membership(config, owner, share_probes)
    return owner, serving


def _make_owner(config: GatewayConfiguration, share_probes: bool, loading_us: int) -> Owner:
    """Create the owner and the components that are not optional.

    With shared probes, one gateway probes each backend for all, on request of `Owner`; the decisions then
    start no probes.
    """
    clock = make_clock()
    queue: asyncio.Queue[Event] = asyncio.Queue()
    may_probe = config.settings["may_probe"] and not share_probes
    owner = Owner({**config.settings, "may_probe": may_probe}, config.seed, clock, queue)
    owner.gateway.context.started_at -= loading_us
    limits = metrics.DescriptorLimits(config.descriptor_limit)
    backends = BackendClient(queue, clock, config.settings, limits)
    owner.backend_client = backends
    owner.clients = Clients(
        queue, clock, config.settings, limits, backends.retire_pools, max_duration_s(config)
    )
    owner.counter = CounterClient(queue, config.counter, config.settings, owner.gateway.counter.timeout)
    owner.discovery = EndpointDiscovery(queue, config.discovery, owner.block_changed_backends)
    return owner


async def _await_endpoints(config: GatewayConfiguration, owner: Owner) -> None:
    """Wait for the list of backends before any request is served.

    The known list may be out of date, and the gateway must respect discovery's list from its first request.
    """
    if config.checks is not None and config.checks.upstream:
        owner.endpoints_listed([UPSTREAM_BACKEND], True)
    else:
        owner.discovery.watch()
        await owner.discovery.wait_for_first_response()


async def _start_external_authorization(config: GatewayConfiguration, owner: Owner) -> None:
    """Start the configured external authorisation; raises `Malformed` if gRPC is not installed.

    gRPC is imported only here, as it takes about 20 MB of memory.
    """
    try:
        if config.authorisers:
            from ..external_authorization.grpc.authorisers import Authorisers

            owner.authorisers = Authorisers(config.authorisers, owner.queue, owner.clock)
        if config.checks is not None:
            from ..external_authorization.grpc.check import Checks

            checks = Checks(config.checks, owner.settings, owner.queue, owner.clock)

            def backend_name(backend: Any) -> str:
                return str(owner.backend_ids.get(backend, ""))

            checks.backend_name = backend_name  # type: ignore[method-assign]  # only the owner has the ids
            owner.checks = checks
            await checks.start()
    except ImportError as error:
        raise Malformed(f"gRPC is not installed: pip install 'kestrelbend[grpc]' ({error})") from None


async def _start_usage_exchange(config: GatewayConfiguration, owner: Owner) -> None:
    """Start the usage exchange with the other gateways if the platform has addresses for it."""
    if config.news is None:
        return
    from .usage_exchange import UsageExchangePeer  # optional

    owner.usage_exchange = UsageExchangePeer(config.news, owner.queue, owner)
    await owner.usage_exchange.start(owner.gateway.context.random.random())


async def _start_membership(config: GatewayConfiguration, owner: Owner, share_probes: bool) -> None:
    """Join the membership of gateways if it is on; with shared probes, start to check for this gateway's."""
    if config.members is None:
        return
    from .peers import GatewayMembership  # optional

    owner.membership = GatewayMembership(config.members, owner.queue, owner, config.seed, share_probes)
    await owner.membership.start()
    owner.clients.member_view = owner.membership.view
    if share_probes:
        owner.queue.put_nowait(SharedProbesDue())


def reload(config: GatewayConfiguration, owner: Owner) -> None:
    """Apply a replaced configuration file on SIGHUP.

    Addresses and limits take effect now, all other settings at the next start; a log line names each changed
    key of the latter. An invalid file changes nothing.
    """
    counters["reloads"] += 1
    assert config.reread is not None  # set when the configuration was read
    try:
        new_config = config.reread()
    except Malformed as error:
        logging.error("configuration not taken", extra={"why": str(error)})
        return
    owner.discovery.set_address(new_config.discovery)
    owner.counter.set_address(new_config.counter)
    owner.clients.descriptor_limits.max_descriptors = new_config.descriptor_limit
    for key in APPLIED_AT_NEXT_START:
        if repr(getattr(new_config, key)) != repr(getattr(config, key)):
            logging.warning("changed, holds from the next start", extra={"key": key})
    counter = configuration.format_address(new_config.counter) if new_config.counter else "none"
    logging.info("configuration taken", extra={"discovery": new_config.discovery, "counter": counter})


def report(owner: Owner) -> None:
    """Log the counters and this gateway's view of the members on SIGUSR1."""
    metrics.log_counters()
    if owner.membership is not None:
        owner.membership.log_members()


async def run_gateway(
    config: GatewayConfiguration, early: EarlySignals, accept_queue: AcceptQueue | None
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    `early`: the signals that arrived during the imports; they are handled as if they arrived now.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    reload_event = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_event.set)
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, metrics.log_counters)
    if early.stop_requested:
        stop.set()
    if early.reload_requested:
        reload_event.set()
    loading_us = (time.monotonic_ns() - early.started_at) // NANOSECONDS_PER_MICROSECOND
    owner, serving = await start(config, accept_queue, loading_us)
    loop.add_signal_handler(signal.SIGHUP, reload, config, owner)
    if reload_event.is_set():
        reload(config, owner)
    loop.add_signal_handler(signal.SIGUSR1, report, owner)
    gc.freeze()
    gc.enable()
    listen = configuration.format_address(config.listen)
    logging.info("serving", extra={"gateway": config.name, "listen": listen})
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if serving.done():
        serving.result()  # raises, as the task ends only with an exception
    await _drain(config, owner)


async def _drain(config: GatewayConfiguration, owner: Owner) -> None:
    """Leave the membership, respond to all open requests and close all connections."""
    logging.info("draining")
    if owner.membership is not None:
        owner.membership.leave()
    draining = [owner.clients.drain(ACCEPT_AFTER_SIGTERM_S)]
    if owner.checks is not None:
        draining.append(owner.checks.drain(max_duration_s(config)))
    await asyncio.gather(*draining)
    if owner.authorisers is not None:
        await owner.authorisers.end()
    metrics.log_counters()


def serve(early: EarlySignals, accept_queue: AcceptQueue | None, path: str | None = None) -> None:
    """Serve until SIGTERM; an invalid configuration ends the process with a one-line error message.

    `path`: a standalone installation's TOML file, used instead of the platform's environment.
    """
    key_value_logging.configure()
    try:
        config = configuration.read(os.environ) if path is None else configuration.read_file(path)
        key_value_logging.configure(*config.logs)
        uvloop.run(run_gateway(config, early, accept_queue))
    except (Malformed, OSError) as error:
        sys.exit(f"kestrelbend: {error}")
