"""Fleets of gateways: many simulated ones in one process, and several real processes on loopback."""

import asyncio
import json
import os
import random
import sys
import time

import pytest

from kestrelbend.gateway.interface import Result, EndpointState

from .helpers import MS, Front, StubServices, connect, reserve_address, run
from .test_net import nest_settings


@pytest.mark.parametrize("gateways", [2, 20, 200])
def test_probes_slow_start_and_connections_are_independent_of_gateway_count(gateways):
    """Guards against probes and connections that grow with the number of gateways: 200 gateways once made 66
    probes a second each and had 15,846 connections open.  The load is always 200 invocations a second for six
    seconds, to 60 backends of which 20 have just started."""
    backends, rate_per_s, seconds, fronts = 60, 200, 6, []
    started = Front().now
    for n in range(gateways):
        f = Front(
            seed=n,
            instances=gateways,
            index=n,
            contracts__0__storeSize=10**6,
            contracts__0__refill=10**5,
            familyInfo__mayCount="false",
            policyLimits__probing="true",
            feedback__how="probe",
            feedback__fields="pending,busy_reqs",
        )
        f.roster(*[(b, EndpointState.READY, started if b < 20 else 0) for b in range(backends)])
        fronts.append(f)
    rng, probes, sent, pending_ends = random.Random(4), 0, [], []
    pairs = set()
    for step in range(rate_per_s * seconds):
        now = started + step * 1000 * MS // rate_per_s
        # Run due timers of some gateways.
        for f in fronts[step % max(1, gateways // 20) :: max(1, gateways // 20)]:
            f.now = f.gateway.now = now
            f.pass_time(0)
        f = rng.choice(fronts)
        f.now = f.gateway.now = now
        f.accept(step, spread=gateways, customer=str(step % 50))
        pending_ends.append((now + 100 * MS, f, step))
        while pending_ends and pending_ends[0][0] <= now:
            _, g, number = pending_ends.pop(0)
            g.now = g.gateway.now = now
            if number in g.inst.invs and g.inst.invs[number].deliveries:
                g.returned(number, 0, Result.SUCCEEDED)
        for f in fronts:
            for line in f.take("sound_out", "pass_on"):
                if line[0] == "sound_out":
                    probes += 1
                    f.tell("probe_result", [], int(line[2]), Result.SUCCEEDED, 1000, [0.0, 1.0])
                else:
                    sent.append(int(line[3]))
                    pairs.add((f, sent[-1]))
    assert len(sent) > 0.9 * rate_per_s * seconds
    assert 0.5 < probes / (20 * 2 * seconds) < 2  # per warming backend two a second, by all gateways
    cold = sum(b < 20 for b in sent)
    assert 0.02 * len(sent) < cold < 0.5 * len(sent)  # warming backends get some load, but are not overloaded
    assert len({b for b in sent if b >= 20}) > 30  # most warm backends are used
    assert len(pairs) < 60 * 24  # gateway and backend pairs: one connection each


def test_clients_get_answers_while_three_of_four_gateways_are_killed_and_restarted(tmp_path):
    """Three of four gateways are killed at once and restarted; live gateways answer every request in time."""

    async def test():
        async with StubServices(2) as world:
            addresses, running, answers = [reserve_address(n) for n in range(4)], {}, []

            async def start_gateway(n):
                config = {
                    "name": f"n{n}",
                    "listen": "%s:%d" % addresses[n],
                    "discovery": world.discovery.address,
                    "counter": world.counter.address,
                    "seed": str(n),
                    "limits": {"sockets": 256},
                    "settings": nest_settings(world.pairs | {"instances": 4, "index": n}),
                    "known": {"rev": 1, "all": True, "targets": world.rows},
                }
                path = tmp_path / f"{n}.json"
                path.write_text(json.dumps(config))
                running[n] = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-O",
                    "-m",
                    "kestrelbend",
                    env={**os.environ, "ROUTER_CONFIG": str(path)},
                    stderr=asyncio.subprocess.DEVNULL,
                )

            async def client(number, wait):
                """Sends requests to the gateways in turn; only a killed gateway may leave one unanswered."""
                at = 0
                while len(answers) < 400 or answers.count(200) <= 60:  # slow start rejects more
                    n, at = (number + at) % 4, at + 1
                    asked_process, asked_at = running[n], time.monotonic()
                    try:
                        connection = await connect(*addresses[n])
                    except OSError:
                        await asyncio.sleep(0.02)
                        continue
                    try:
                        status = (await world.ask(f"/op/{number:016x}", wait=wait, on=connection))[0]
                        connection[1].close()
                    except (OSError, asyncio.IncompleteReadError):
                        await asyncio.sleep(0.1)
                        assert asked_process.returncode is not None or asked_process is not running[n]
                        continue
                    assert status in (200, 429, 502, 503)
                    assert time.monotonic() - asked_at < float(wait) + 0.5
                    answers.append(status)
                    await asyncio.sleep(0.005)

            try:
                for n in range(4):
                    await start_gateway(n)
                waits = ["0.05", "0.4", "1", "2"] * 3
                clients = [asyncio.create_task(client(n, wait)) for n, wait in enumerate(waits)]
                await asyncio.sleep(1.0)
                before = len(answers)
                for n in (1, 2, 3):
                    running[n].kill()
                await asyncio.gather(*(running[n].wait() for n in (1, 2, 3)))
                for n in (1, 2, 3):
                    await start_gateway(n)
                await asyncio.gather(*clients)
                assert before and answers.count(200) > 40
                assert all(process.returncode is None for process in running.values())
            finally:  # leave no process behind when the test fails
                for process in running.values():
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    run(test())
