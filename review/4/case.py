"""A zone loses its disks in a deployment that tolerates the loss of one zone; see claim.txt."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys

from tier_2 import actors, http
from tier_2.deployment import Deployment, Machine, Record, play

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TOLERATE = {"Nodes": 0, "Zones": 1, "Regions": 0}
DOWN_S = 1.0  # until the machines of the zone start again
READ_S = 30.0  # the operator reads for ContactMs (3 s) at least; RecoverS is 12 s
HELD, BROKEN, NOT_RUN = 0, 1, 2


async def run(record: Record) -> int:
    """Plays the case; returns the exit status."""
    with Deployment(record, tolerate=TOLERATE) as deployment:
        deployment.start_all()
        operator = actors.Operator(deployment, record)
        routes = [actors.route("ask", "/ask/", "streaming", "model")]
        if await operator.put(actors.configuration(1, routes), 0) != 200:
            return NOT_RUN
        backends = [actors.Backend(deployment, record, "model", zone) for zone in (1, 2, 3)]
        for backend in backends:
            await backend.start()
        await asyncio.sleep(8)
        newest = actors.configuration(3, [*routes, actors.route("more", "/more/", "streaming", "model")])
        if await operator.put(newest, 1) != 200:
            return NOT_RUN
        zone = await acting_zone(deployment)
        lost = [machine for machine in deployment.machines.values() if machine.zone == zone]
        deployment.bootstrap = False  # from now on each start is a later one
        if TROUBLE:
            record.line(f"{zone} loses its disks")
            for machine in lost:
                deployment.signal(machine, signal.SIGKILL)
            for machine in lost:
                deployment.kill(machine)
                deployment.wipe(machine)
            await asyncio.sleep(DOWN_S)
            for machine in lost:
                deployment.start(machine)
        read = await operator.get(READ_S)
        record.line("read back as acknowledged" if read == newest else f"read back: {json.dumps(read)}")
        return HELD if read == newest else BROKEN


async def acting_zone(deployment: Deployment) -> str:
    """The zone of the machine that acts for the configuration, as `GET /api/Status` tells; else the first."""
    machine: Machine = deployment.controls()[0]
    answer = await http.call(deployment.control(machine), "GET", "/api/Status")
    shards = json.loads(answer.body)["Shards"]
    owner = next((shard["Owner"] for shard in shards if shard["Shard"] == "configuration"), "")
    ips = {each.ip: each.zone for each in deployment.machines.values()}
    return ips.get(owner.partition(":")[0], machine.zone)


if __name__ == "__main__":
    sys.exit(play(run, pathlib.Path(__file__).with_name("record.txt")))
