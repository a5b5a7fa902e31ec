"""A scenario on loopback sockets in real time: gateway processes between emulated servers and clients.

The models, the failures, the clients and the oracle are those of simulated time.  What differs: gateways are
processes of their own, started, stopped, killed and paused by signals; and a run whose own calls came late
is void, since its figures would be those of the emulator.
"""

from __future__ import annotations

import asyncio
import ctypes
import gc
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from resource import RUSAGE_CHILDREN, RUSAGE_SELF, getrusage

import aiohttp
import uvloop

from ..gateway.decisions import Gateway
from ..gateway.settings.platform import flatten, settings
from . import failures
from .addresses import AddressReservations
from .clock import LATE, LoopClock, NotOnSockets
from .network import Party
from .plant import LINGER, SWEEP
from .scenario import Clocks
from .settings import stated
from .stands import OPEN, AgentStand, BackendDoor, CounterStand
from .world import World

LOOK_S = 0.015  # between looks of the stand-ins at their models; the rules' slack is 50 ms
LATE_NOTE_S = 0.08  # a client that gave up still notes an answer for so long
READY_S = 20.0  # for a gateway to serve
MOST_PAIRS = 4000  # gateways times backends: an address for each
LATE_PART = 0.002  # more calls late than that part of all: void
KILLED_WITH_PARENT = 1  # PR_SET_PDEATHSIG


class ProcessLife:
    """One life of a gateway process."""

    def __init__(self, index, number, process):
        self.index, self.number, self.process = index, number, process
        self.told, self.backends, self.draining, self.serving = set(), {}, False, False


def with_parent():
    """Runs in the child: a run that is killed leaves no gateway behind."""
    ctypes.CDLL(None).prctl(KILLED_WITH_PARENT, signal.SIGKILL)


class SocketPlant:
    def __init__(self, world):
        self.world, self.clock, self.fleet = world, world.clock, world.scenario.fleet
        count = self.fleet.gateways
        if count * world.scenario.backends.count > MOST_PAIRS:
            raise NotOnSockets(f"gateways times backends: at most {MOST_PAIRS}, an address for each")
        if any(isinstance(f, Clocks) for f in world.scenario.failures):
            raise NotOnSockets(
                'failures: the clock of this machine is not stepped; leave out kind = "clocks"'
            )
        self.parties = [Party("gateways", self.fleet.zones[n % len(self.fleet.zones)]) for n in range(count)]
        self.lives, self.numbers, self.steps = [None] * count, [0] * count, [0] * count
        self.places, self.askings, self.tasks = [None] * count, {}, set()
        self.doors, self.agents, self.counters = {}, [], []
        self.folder, self.ended, self.text = None, False, None
        self.counter_wait = Gateway(settings(dict(flatten(stated(world.scenario, 0)))), 0, 0).counter.timeout
        self.lost_before, self.failed = False, []
        self.reservations = AddressReservations()
        self.datagrams = [self.reservations.reserve(n) for n in range(count)]

    def keep(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # The stand-ins.

    async def open(self):
        self.folder = Path(tempfile.mkdtemp(prefix="kestrelbend-lab-"))
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, happy_eyeballs_delay=None),
            trust_env=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            trace_configs=[self.trace()],
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        for index, party in enumerate(self.parties):
            self.world.discovery.agent(index, party)
            self.agents.append(AgentStand(self, index))
            await self.agents[-1].listening.become(OPEN)
            if self.world.counter is not None:
                self.counters.append(CounterStand(self, index))
                await self.counters[-1].listening.become(OPEN)
        await self.look()
        for index in range(self.fleet.gateways):
            self.start(index)
        async with asyncio.timeout(READY_S):
            while not all(life and life.serving for life in self.lives):
                if self.failed:
                    raise RuntimeError(self.failed[0])
                await asyncio.sleep(0.02)
        self.keep(self.follow())

    async def follow(self):
        while True:
            await asyncio.sleep(LOOK_S)
            await self.look()

    async def look(self):
        world = self.world
        for backend in world.backends:
            for index in range(self.fleet.gateways):
                await self.door(index, backend).look()
        for pair in [pair for pair in self.doors if pair[1] not in world.backends]:
            self.doors.pop(pair).close()  # replaced by another
        if world.counter is not None:
            if self.lost_before and not world.counter.lost:
                for stand in self.counters:
                    stand.lost()
            self.lost_before = world.counter.lost

    def door(self, index, backend):
        pair = index, backend
        if pair not in self.doors:
            self.doors[pair] = BackendDoor(self, index, backend)
        return self.doors[pair]

    def row(self, index, entry):
        """One entry of the list, with the address that this gateway has for it."""
        at = self.door(index, self.world.by_uid[entry.uid]).listening
        return {
            "uid": entry.uid,
            "endpoint": at.address,
            "az": entry.zone,
            "model": "m",
            "pod_group": entry.group,
            "state": entry.state,
            "capacity_hint": entry.weight,
            "boot_ms": entry.started // 1000,
        }

    # Gateways.

    def begin(self):
        self.clock.after(SWEEP, self.sweep)

    def sweep(self):
        self.world.oracle.overdue()
        before = self.clock.now - 5_000_000
        for number in [n for n, asking in self.askings.items() if asking.over and asking.until < before]:
            del self.askings[number]
        for index, life in enumerate(self.lives):
            process = life.process if life is not None else None
            if process is not None and process.returncode is not None and not life.draining:
                self.failed.append(f"gateway {index} ended by itself: {self.last_lines(index)}")
                self.lives[index] = None
                self.world.oracle.breaks(1, self.failed[-1])
        if not self.ended:
            self.clock.after(SWEEP, self.sweep)

    def last_lines(self, index):
        text = (self.folder / f"{index}.log").read_text(errors="replace")
        return " / ".join(text.splitlines()[-3:])

    def start(self, index):
        if self.lives[index] is None and not self.ended:
            self.lives[index] = ProcessLife(index, self.numbers[index] + 1, None)  # its place is taken
            self.numbers[index] += 1
            self.keep(self.starting(index, self.lives[index]))

    async def starting(self, index, life):
        if self.places[index] is None:
            self.places[index] = self.reservations.reserve(index)
        seed = int(self.world.streams.of(f"gateway {index} life {life.number}").integers(0, 2**62))
        given = {
            "name": f"n{index}",
            "listen": "%s:%d" % self.places[index],
            "seed": f"{seed:x}",
            "discovery": self.agents[index].listening.address,
            "limits": {"sockets": self.fleet.descriptors},
            "known": {"rev": 1, "all": True, "targets": self.agents[index].targets()},
            "settings": stated(self.world.scenario, index),
        }
        if self.counters:
            given["counter"] = self.counters[index].listening.address
        env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        if self.world.scenario.members is not None:
            env |= self.met(index, given)
        path = self.folder / f"{index}.json"
        path.write_text(json.dumps(given))
        with open(self.folder / f"{index}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "kestrelbend",
                env={**env, "ROUTER_CONFIG": str(path)},
                cwd=self.text,
                stdout=log,
                stderr=log,
                preexec_fn=with_parent,
            )
        life.process = process
        if self.lives[index] is not life or self.ended:  # killed meanwhile
            process.kill()
            await process.wait()
            return
        end = time.monotonic() + READY_S
        while time.monotonic() < end and process.returncode is None and self.lives[index] is life:
            try:
                async with self.session.get("http://%s:%d/_health" % self.places[index]) as answer:
                    if answer.status == 200:
                        life.serving = True
                        self.world.clients.front.serving(index)
                        return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.01)
        if self.lives[index] is life and not self.ended and not life.draining:
            self.failed.append(f"gateway {index} did not start: {self.last_lines(index)}")

    def met(self, index, given):
        """Where the gateways meet; what is cut off between them by a scenario is not cut here."""
        terms, keys = self.world.scenario.members, self.folder / "members.toml"
        keys.write_text(
            f'period = "{int(terms.period)}us"\nmost_per_s = {terms.most_per_s}\n'
            f"share_probes = {str(terms.share_probes).lower()}\n"
            f'keys = {{1 = "{self.world.streams.seed & (1 << 64) - 1:032x}"}}\n'
        )
        given["peer_listen"] = "%s:%d" % self.datagrams[index]
        given["peers"] = ["%s:%d" % at for at in self.datagrams]
        given["settings"]["policyLimits"]["peers"] = True
        return {"KESTRELBEND_MEMBERS": str(keys)}

    def kill(self, index):
        life = self.lives[index]
        if life is None:
            return
        self.lives[index] = None
        self.world.oracle.died(index, life)
        self.world.clients.front.died(index)
        if life.process is not None:
            self.keep(self.reap(life.process))

    @staticmethod
    async def reap(process):
        if process.returncode is None:
            process.kill()
        await process.wait()

    def stop(self, index, after):
        life = self.lives[index]
        if life is None or life.process is None or not life.serving:
            after()
            return
        life.draining = True
        life.process.send_signal(signal.SIGTERM)
        self.clock.after(LINGER, self.world.clients.front.left, index)
        self.keep(self.ending(life, after))

    async def ending(self, life, after):
        longest = max(op.timeout for op in self.world.scenario.operations) / 1e6
        try:
            await asyncio.wait_for(life.process.wait(), max(3.0, longest) + 0.7)
        except TimeoutError:
            await self.reap(life.process)
        if self.lives[life.index] is life:
            self.world.oracle.overdue()
            self.world.oracle.died(life.index, life)
            self.lives[life.index] = None
            after()

    def pause(self, index, still):
        life = self.lives[index]
        if life is not None and life.process is not None and life.process.returncode is None:
            self.world.oracle.paused(index, still)
            life.process.send_signal(signal.SIGSTOP if still else signal.SIGCONT)

    def serves(self, index):
        return self.lives[index] is not None and self.lives[index].serving and not self.lives[index].draining

    def running(self):
        return [index for index, life in enumerate(self.lives) if life is not None]

    # Clients.

    def trace(self):
        """A request is taken once its last byte is written."""

        async def written(_session, context, _params):
            asking = context.trace_request_ctx
            if asking is not None:
                life = self.lives[asking.gateway]
                if life is not None and asking.number not in self.world.oracle.cases:
                    self.world.oracle.took(asking, asking.gateway, life)

        config = aiohttp.TraceConfig()
        config.on_request_headers_sent.append(written)
        return config

    def ask(self, asking):
        self.askings[asking.number] = asking
        if self.world.network.open(self.world.clients.party, self.parties[asking.gateway]):
            asking.handle = self.keep(self.asking(asking))

    async def asking(self, asking):
        request, customer, world = asking.request, asking.request.customer, self.world
        headers = {
            "X-Request-ID": f"{asking.number}",
            "X-Priority-Class": request.op.name,
            "Api-Plan": customer.plan.name,
            "X-Timeout": f"{(asking.until - self.clock.now) / 1e6:.4f}",
            "Api-Terms": f"units={request.units:g},spread={customer.spread},first={customer.first}",
        }
        if asking.retry:
            headers["X-Retried"] = "1"
        safe = request.op.effect == "idempotent"
        url = "http://%s:%d/%s/%s" % (*self.places[asking.gateway], request.op.name, customer.name)
        try:
            async with self.session.request(
                "GET" if safe else "POST",
                url,
                headers=headers,
                data=None if safe else b"order",
                trace_request_ctx=asking,
            ) as answer:
                await answer.read()
        except asyncio.CancelledError:
            return
        except aiohttp.ClientPayloadError:
            self.settle(asking, "errored", 0)
            return
        except (aiohttp.ClientError, OSError):
            world.clients.unreachable(asking)
            return
        what = {200: "succeeded", 429: "throttled", 503: "throttled"}.get(answer.status, "errored")
        try:
            told = int(float(answer.headers.get("Retry-After", 0)) * 1e6)
        except ValueError:
            told = 0
        self.settle(asking, what, told)

    def settle(self, asking, what, told):
        world, party = self.world, self.parties[asking.gateway]
        world.oracle.answered(asking.number, what)
        if world.network.open(party, world.clients.party):
            world.clients.answered(asking, what, told)

    def left(self, asking):
        """It gave up: at its time, where an answer may be on its way, or before."""
        if asking.handle is None:
            return
        if self.clock.now < asking.until:
            self.world.oracle.left(asking.number)
            asking.handle.cancel()
        else:
            asyncio.get_running_loop().call_later(LATE_NOTE_S, asking.handle.cancel)

    # The end.

    async def close(self):
        """Gateways are told to leave, and end whatever they do."""
        self.ended = True
        processes = [life.process for life in self.lives if life is not None and life.process is not None]
        for process in processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        await asyncio.gather(*(self.ends(process) for process in processes))
        for stand in (*self.doors.values(), *self.agents, *self.counters):
            stand.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if hasattr(self, "session"):
            await self.session.close()
        self.reservations.close()
        self.broken = self.said_broken()
        if self.folder is not None and not self.failed and not self.broken:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def ends(self, process):
        try:
            await asyncio.wait_for(process.wait(), 5.0)
        except TimeoutError:
            await self.reap(process)

    def said_broken(self):
        """What the gateways themselves say must hold and did not, and their faults."""
        found = []
        for path in sorted(self.folder.glob("*.log")) if self.folder else ():
            for line in path.read_text(errors="replace").splitlines():
                if "event=fault" in line or "broken_" in line:
                    found.append(f"gateway {path.stem}: {line[:300]}")
        return found


async def running(scenario, seed, progress, text):
    began, spent = time.monotonic(), time.process_time()
    world = World(scenario, LoopClock(), SocketPlant, seed)
    plant, clock = world.plant, world.clock
    plant.text = text
    try:
        await plant.open()
        gc.collect()
        gc.freeze()
        world.starts_now()
        plant.begin()
        failures.schedule(world)
        world.clients.start(world.began + scenario.lasts)
        end = world.ends()
        while clock.now < end:
            await asyncio.sleep(min(0.5, max(0.0, (end - clock.now) / 1e6)))
            if progress is not None:
                progress(min(1.0, (clock.now - world.began) / (end - world.began)))
        world.oracle.overdue()
    finally:
        await plant.close()
        gc.unfreeze()
    for said in plant.broken:
        world.oracle.breaks(1, said)
    figures = world.figures()
    if clock.behind > LATE_PART * clock.calls:
        figures["void"] = (
            f"{clock.behind} of {clock.calls} calls of the emulator came more than "
            f"{LATE / 1000:.0f} ms late (at most {clock.late / 1000:.0f} ms): too little CPU"
        )
    took = time.process_time() - spent
    children = getrusage(RUSAGE_CHILDREN)
    figures["run"] = {
        "wall_s": round(time.monotonic() - began, 2),
        "cpu_s": round(took, 2),
        "gateways_cpu_s": round(children.ru_utime + children.ru_stime, 2),
        "calls": clock.calls,
        "tries_per_core_s": round(world.tally.counts["tries"] / took, 1),
        "late_ms": round(clock.late / 1000, 1),
        "memory_mb": getrusage(RUSAGE_SELF).ru_maxrss >> 10,
    }
    return world, figures


def run(scenario, seed=None, progress=None, text=None):
    """The world after the scenario, and the figures of the run.  `text`: another checkout, whose gateways
    are started instead."""
    return uvloop.run(running(scenario, seed, progress, text))
