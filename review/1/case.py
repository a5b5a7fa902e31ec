"""Drain acknowledged, all processes killed: is the departed backend still left alone?"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from tier import (  # noqa: E402
    Backend,
    CannotRun,
    Record,
    Tier,
    call,
    document,
    new_request_id,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVE_ON_S = 16.0  # "at times many seconds"
LATE_S = 3.0  # how late the heartbeat is that was sent before the leave
CONTACT_S = 3.0
DRAIN_S = 2.0


async def traffic(tier: Tier, ends: asyncio.Event, answers: list[tuple[float, str, int]]) -> None:
    """Requests to every gateway, each on a connection of its own."""
    while not ends.is_set():
        for machine in tier.gateways:
            identity = new_request_id()
            sent = tier.record.now()
            got = await call(
                tier.front(machine),
                "POST",
                "/work/1",
                {"Host": "site.example", "X-Kestrelbend-Request-Id": identity, "X-Kestrelbend-Deadline-Ms": "1000"},
                b"x" * 20,
                1.2,
            )
            tier.record.line(f"client: {identity} to {machine.name} at {sent:.3f}: {got.status}")
            answers.append((sent, identity, got.status))
        await asyncio.sleep(0.05)


async def play(record: Record) -> bool:
    """Whether the rule held."""
    tier = Tier(record, gateways=1)
    backends: list[Backend] = []
    try:
        tier.start_all(bootstrap=True)
        for index in range(3):
            each = Backend(tier, "apps", "north", tier.first_port + 100 + index, f"{tier.controls[0].split(':')[0]}")
            backends.append(each)
            await each.start()
        route = {
            "Name": "r1", "Hostname": "site.example", "PathPrefix": "/work/", "RouteType": "non_idempotent",
            "TimeoutMs": 2000, "SloMs": 300, "Prio": 1, "Upstream": "apps", "Retries": 1,
        }  # fmt: skip
        service = {"Name": "apps", "HealthPath": "/healthz", "MaxConns": 120, "Protocol": "h1", "Tls": False}
        if (await tier.order("Config.Put", document(5, [route], [service]), 0)).status != 200:
            raise CannotRun("the first configuration was not taken")
        await tier.until_ready(30)
        answers: list[tuple[float, str, int]] = []
        ends = asyncio.Event()
        task = asyncio.create_task(traffic(tier, ends, answers))
        await asyncio.sleep(4)

        leaver = backends[0]
        leaver.stopped_heartbeats = True
        await asyncio.sleep(1.3)
        late_body = leaver.heartbeat_body()  # made before the leave; it arrives late
        acknowledged = await leaver.report("Instances.Leave")
        if acknowledged.status != 200:
            raise CannotRun("the leave was not acknowledged")
        left_at = record.now()
        record.line(f"{leaver.identity}: its leave is acknowledged")
        if TROUBLE:
            tier.kill(tier.everything())
            await asyncio.sleep(0.5)
            tier.start_all()
        in_touch_at = record.now() + 2 * CONTACT_S  # after the last start
        await asyncio.sleep(max(0.0, left_at + LATE_S - record.now()))
        late = await leaver.report("Instances.Heartbeat", late_body)
        record.line(f"{leaver.identity}: the late heartbeat arrives: {late.status}")
        await asyncio.sleep(max(0.0, left_at + SERVE_ON_S - record.now()))
        ends.set()
        await task
        bound = max(in_touch_at, left_at + DRAIN_S)
        sent_at = {identity: sent for sent, identity, _ in answers}
        wrong = [run for run in leaver.runs if run[0] > bound and sent_at.get(run[1], 0.0) > bound]
        record.line(f"bound {bound:.3f}; {len(wrong)} requests reached {leaver.identity} later: {wrong[:3]}")
        served = [answer for answer in answers if answer[0] > bound and answer[2] == 200]
        if len(served) < 20:
            raise CannotRun(f"only {len(served)} requests were served after the bound")
        return not wrong
    finally:
        for each in backends:
            await each.stop()
        tier.close()


def main() -> int:
    """0: held, 1: broken, 2: could not run."""
    record = Record(FOLDER / "record.txt")
    try:
        held = asyncio.run(play(record))
    except CannotRun as reason:
        record.line(f"cannot run: {reason}")
        print(f"cannot run: {reason}")
        return 2
    print("held" if held else "broken")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
