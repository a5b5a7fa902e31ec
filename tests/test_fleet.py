"""What many gateways come to together: many modules in one process, and a herd of real ones on loopback."""

import asyncio
import json
import os
import random
import sys
import time

import pytest

from kestrelbend.gateway.interface import Result, EndpointState

from .helpers import MS, Front, StandIns, connect, reserve_address, run
from .test_net import nested


@pytest.mark.parametrize("gateways", [2, 20, 200])
def test_probes_first_sends_and_backends_in_use_do_not_grow_with_the_fleet(gateways):
    """Seen with 200 gateways: 66 probes a second and gateway, 15,846 connections at once.  The same load, 200
    invocations a second for six seconds, over ever more gateways, to 60 backends of which 20 just started."""
    backends, pace, seconds, fronts = 60, 200, 6, []
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
    chance, probes, sent, ends = random.Random(4), 0, [], []
    pairs = set()
    for step in range(pace * seconds):
        now = started + step * 1000 * MS // pace
        for f in fronts[step % max(1, gateways // 20) :: max(1, gateways // 20)]:  # their turn for alarms
            f.now = f.gateway.now = now
            f.pass_time(0)
        f = chance.choice(fronts)
        f.now = f.gateway.now = now
        f.accept(step, spread=gateways, customer=str(step % 50))
        ends.append((now + 100 * MS, f, step))
        while ends and ends[0][0] <= now:
            _, g, number = ends.pop(0)
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
    assert len(sent) > 0.9 * pace * seconds
    assert 0.5 < probes / (20 * 2 * seconds) < 2  # each cold one twice a second, by all
    cold = sum(b < 20 for b in sent)
    assert 0.02 * len(sent) < cold < 0.5 * len(sent)  # warmed, not overrun
    assert len({b for b in sent if b >= 20}) > 30  # and all warm ones are of use
    assert len(pairs) < 60 * 24  # a connection each


def test_a_herd_of_real_gateways_killed_and_started_again_loses_nothing(tmp_path):
    """Three of four are killed at once under clients and come back; what a live one took is answered."""

    async def test():
        async with StandIns(2) as world:
            places, running, answers = [reserve_address(n) for n in range(4)], {}, []

            async def begin(n):
                given = {
                    "name": f"n{n}",
                    "listen": "%s:%d" % places[n],
                    "discovery": world.discovery.address,
                    "counter": world.counter.address,
                    "seed": str(n),
                    "limits": {"sockets": 256},
                    "settings": nested(world.pairs | {"instances": 4, "index": n}),
                    "known": {"rev": 1, "all": True, "targets": world.rows},
                }
                path = tmp_path / f"{n}.json"
                path.write_text(json.dumps(given))
                running[n] = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-O",
                    "-m",
                    "kestrelbend",
                    env={**os.environ, "ROUTER_CONFIG": str(path)},
                    stderr=asyncio.subprocess.DEVNULL,
                )

            async def client(number, wait):
                """Asks one gateway after the other; one that dies under a request is excused."""
                at = 0
                while len(answers) < 400 or answers.count(200) <= 60:  # a slow start refuses more
                    n, at = (number + at) % 4, at + 1
                    life, began = running[n], time.monotonic()
                    try:
                        on = await connect(*places[n])
                    except OSError:
                        await asyncio.sleep(0.02)
                        continue
                    try:
                        status = (await world.ask(f"/op/{number:016x}", wait=wait, on=on))[0]
                        on[1].close()
                    except (OSError, asyncio.IncompleteReadError):
                        await asyncio.sleep(0.1)
                        assert life.returncode is not None or life is not running[n]
                        continue
                    assert status in (200, 429, 502, 503)
                    assert time.monotonic() - began < float(wait) + 0.5
                    answers.append(status)
                    await asyncio.sleep(0.005)

            try:
                for n in range(4):
                    await begin(n)
                waits = ["0.05", "0.4", "1", "2"] * 3
                clients = [asyncio.create_task(client(n, wait)) for n, wait in enumerate(waits)]
                await asyncio.sleep(1.0)
                before = len(answers)
                for n in (1, 2, 3):
                    running[n].kill()
                await asyncio.gather(*(running[n].wait() for n in (1, 2, 3)))
                for n in (1, 2, 3):
                    await begin(n)
                await asyncio.gather(*clients)
                assert before and answers.count(200) > 40
                assert all(process.returncode is None for process in running.values())
            finally:  # a test that fails must leave none behind
                for process in running.values():
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    run(test())
