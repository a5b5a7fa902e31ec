"""As many machines as `Tolerate` allows lose their disks: what was acknowledged must be read."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from tier import (  # noqa: E402
    BOUNDS,
    CannotRun,
    Record,
    Tier,
    document,
    has_trouble,
    lose_disks,
    owner_and_voters,
    read_back,
    run_case,
)

TOLERATE_NODES = 2
STORES = 11
ZONES = ("hall-marka", "hall-tabarbour", "hall-hashmi")
GROWN_BOUNDS = BOUNDS | {
    "ContactMs": 4000, "AckMs": 5000, "CatchupS": 6, "DrainMs": 2500, "ConfigMs": 2500, "MaxSkewMs": 6000,
    "RecoverS": 15, "pass_ms": 200,
}  # fmt: skip
DOWN_S = 1.0
READ_S = 8.0  # twice ContactMs
# Not part of the case, to find the cause: how many of the allowed losses are played, and in how many zones.
LOST = int(os.environ.get("LOST", str(TOLERATE_NODES)))
MORE_ZONES = ("fourth", "fifth")[: max(0, int(os.environ.get("ZONES", "3")) - len(ZONES))]


async def play(record: Record) -> bool:
    """Whether the rule held."""
    tier = Tier(
        record,
        gateways=0,
        zones=ZONES + MORE_ZONES,
        stores=STORES,
        tolerate_nodes=TOLERATE_NODES,
        bounds=GROWN_BOUNDS,
    )
    try:
        tier.start_all(bootstrap=True)
        service = {"Name": "apps", "HealthPath": "/healthz", "MaxConns": 120, "Protocol": "h1", "Tls": False}
        route = {
            "Name": "r1", "Hostname": "site.example", "PathPrefix": "/work/", "RouteType": "idempotent",
            "TimeoutMs": 2000, "SloMs": 300, "Prio": 1, "Upstream": "apps", "Retries": 1,
        }  # fmt: skip
        if (await tier.order("Config.Put", document(5, [route], [service]), 0)).status != 200:
            raise CannotRun("the first configuration was not taken")
        await asyncio.sleep(GROWN_BOUNDS["CatchupS"] + 4)
        _, voters = await owner_and_voters(tier)
        if (await tier.order("Config.Put", document(7, [route], [service]), 5)).status != 200:
            raise CannotRun("the second configuration was not taken")
        if has_trouble():
            await lose_disks(tier, voters[:LOST], DOWN_S)
            await asyncio.sleep(GROWN_BOUNDS["RecoverS"])
        version = await read_back(tier, READ_S)
        record.line(f"version 7 was acknowledged; read back: {version or 'nothing'}")
        return version == 7
    finally:
        tier.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
