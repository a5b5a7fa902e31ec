"""The load tool: requests at their intended times, whatever comes back.

Open loop: arrivals never wait for answers, and a latency counts from the time at which its request was to be
sent, so that a server that stands still is charged for all that would have come meanwhile.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from pathlib import Path
from typing import Annotated, Literal

import aiohttp
import msgspec
import uvloop
from hdrh.histogram import HdrHistogram
from msgspec import Meta, Struct

from ..gateway.settings.units import Microseconds
from .streams import Drawn, Streams

Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]
Some = Annotated[int, Meta(ge=1)]
S = 1_000_000
LATE_US, LATE_PART = 20_000, 0.01  # sent so late, more than that part of all: the figures are void
MOST = 5_000_000  # requests of one run


class Phase(Struct, forbid_unknown_fields=True, tag_field="kind"):
    def faults(self):
        return ()


class Poisson(Phase, tag="poisson", forbid_unknown_fields=True):
    rate: Positive  # a second
    lasts: Microseconds

    def times(self, chance):
        at = 0.0
        while (at := at + chance.exponential() / self.rate * S) < self.lasts:
            yield int(at)

    def span(self):
        return self.lasts


class Steps(Phase, tag="steps", forbid_unknown_fields=True):
    """Even spacing, at rates that grow or fall by equal steps."""

    first: Positive
    last: Positive
    steps: Some
    lasts: Microseconds  # all of them

    def times(self, chance):
        each = self.lasts / self.steps
        for step in range(self.steps):
            rate = self.first + (self.last - self.first) * step / max(1, self.steps - 1)
            for n in range(int(rate * each / S)):
                yield int(step * each + n / rate * S)

    def span(self):
        return self.lasts


class Bursts(Phase, tag="bursts", forbid_unknown_fields=True):
    """So many at one instant, again and again, on top of a Poisson stream."""

    size: Some
    every: Microseconds
    lasts: Microseconds
    rate: Amount = 0.0

    def faults(self):
        if self.every <= 0:
            yield "every", "has to be longer than nothing"

    def times(self, chance):
        made = [at for at in range(0, self.lasts, self.every) for _ in range(self.size)]
        if self.rate:
            made += Poisson(self.rate, self.lasts).times(chance)
        return sorted(made)

    def span(self):
        return self.lasts


class Trace(Phase, tag="trace", forbid_unknown_fields=True):
    """Recorded requests: JSON lines with `at_ms`, and with `method`, `path`, `headers`, `body` where they
    differ from the load's own."""

    file: str
    speed: Positive = 1.0

    def rows(self, folder):
        """(microseconds from the first, what it states) in order; what is no such line is passed over."""
        made, passed = [], 0
        for line in (Path(folder) / self.file).read_bytes().splitlines():
            try:
                row = msgspec.json.decode(line)
                made.append((float(row["at_ms"]) * 1000 / self.speed, row))
            except (msgspec.DecodeError, KeyError, TypeError, ValueError):
                passed += bool(line.strip())
        made.sort(key=lambda pair: pair[0])
        first = made[0][0] if made else 0
        return [(int(at - first), row) for at, row in made], passed


class Kind(Struct, forbid_unknown_fields=True):
    """A request to send; `{id}` in its path and headers is new with each, `{customer}` one of so many."""

    path: str = "/"
    method: Literal["GET", "POST", "PUT", "DELETE"] = "GET"
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    body: str = ""
    weight: Positive = 1.0
    customers: Some = 1


class Load(Struct, forbid_unknown_fields=True):
    name: str
    phases: list[Poisson | Steps | Bursts | Trace]
    requests: list[Kind] = msgspec.field(default_factory=lambda: [Kind()])
    timeout: Microseconds = Microseconds(3 * S)
    connections: Some = 400
    seed: int = 1

    def faults(self):
        for what in ("phases", "requests"):
            if not getattr(self, what):
                yield what, "at least one is needed"
        if self.timeout <= 0:
            yield "timeout", "has to be longer than nothing"


class Sent(Struct):
    at: int  # microseconds from the beginning
    method: str
    path: str
    headers: dict[str, str]
    body: str


def plan(load, seed=None, folder="."):
    """All requests in the order of their intended times, and how many trace lines were passed over.  Each
    stream of chance is seeded by its name, so that a phase more leaves the others as they were."""
    streams = Streams(load.seed if seed is None else seed)
    picks, numbers = Drawn(streams.of("requests")), 0
    total = sum(kind.weight for kind in load.requests)
    made, start, passed = [], 0, 0

    def drawn():
        mark = picks.random() * total
        for kind in load.requests:
            mark -= kind.weight
            if mark < 0:
                return kind
        return load.requests[-1]

    for at, phase in enumerate(load.phases):
        if isinstance(phase, Trace):
            rows, bad = phase.rows(folder)
            passed += bad
        else:
            rows = [(when, {}) for when in phase.times(Drawn(streams.of(f"phase {at}")))]
        for when, row in rows:
            kind, numbers = drawn(), numbers + 1
            if numbers > MOST:
                raise ValueError(f"more than {MOST} requests in one run")
            names = {
                "{id}": f"{streams.seed & 0xFFFF:04x}{numbers:012x}",
                "{customer}": f"{picks.below(kind.customers):016x}",
            }
            headers = {**kind.headers, **{str(k): str(v) for k, v in (row.get("headers") or {}).items()}}
            made.append(
                Sent(
                    start + when,
                    str(row.get("method", kind.method)),
                    filled(str(row.get("path", kind.path)), names),
                    {k: filled(v, names) for k, v in headers.items()},
                    filled(str(row.get("body", kind.body)), names),
                )
            )
        start += rows[-1][0] if isinstance(phase, Trace) and rows else 0
        start += 0 if isinstance(phase, Trace) else phase.span()
    return made, passed


def filled(text, names):
    for name, value in names.items():
        text = text.replace(name, value)
    return text


class Tool:
    """Sends a plan at a target and keeps what came of it."""

    def __init__(self, target, load):
        self.target, self.load = target.rstrip("/"), load
        self.latency, self.service = HdrHistogram(1, 600 * S, 3), HdrHistogram(1, 600 * S, 3)
        self.statuses, self.windows, self.late, self.latest = Counter(), {}, 0, 0
        self.out = self.most_out = 0

    async def send(self, session, each, began):
        intended = began + each.at / 1e6
        sent = time.monotonic()
        late = int((sent - intended) * S)
        self.late, self.latest = self.late + (late > LATE_US), max(self.latest, late)
        self.out += 1
        self.most_out = max(self.most_out, self.out)
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + max(0.0, intended + self.load.timeout / 1e6 - sent)
            ):
                async with session.request(
                    each.method,
                    self.target + each.path,
                    headers=each.headers,
                    data=each.body or None,
                    allow_redirects=False,
                ) as answer:
                    await answer.read()
                    what = str(answer.status)
        except TimeoutError:
            what = "timed out"
        except (aiohttp.ClientConnectorError, ConnectionRefusedError):
            what = "no connection"
        except (aiohttp.ClientError, OSError):
            what = "broken"
        finally:
            self.out -= 1
        now = time.monotonic()
        self.statuses[what] += 1
        row = self.windows.setdefault(each.at // S, Counter())
        row["intended"] += 1
        row[what] += 1
        if what == "200":
            self.latency.record_value(max(1, int((now - intended) * S)))
            self.service.record_value(max(1, int((now - sent) * S)))

    async def run(self, requests, progress):
        connector = aiohttp.TCPConnector(limit=self.load.connections, happy_eyeballs_delay=None)
        tasks, loop = set(), asyncio.get_running_loop()
        async with aiohttp.ClientSession(
            connector=connector,
            trust_env=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
        ) as session:
            began = time.monotonic() + 0.05
            for number, each in enumerate(requests):
                wait = began + each.at / 1e6 - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                elif not number % 64:
                    await asyncio.sleep(0)  # behind: answers are read all the same
                task = loop.create_task(self.send(session, each, began))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                if progress is not None and not number % 100:
                    progress(number / len(requests))
            while tasks:
                await asyncio.wait(tasks)
            return time.monotonic() - began

    def figures(self, load, seed, took, passed):
        sent = sum(self.statuses.values())
        percentiles = (50, 90, 99, 99.9, 100)

        def shown(histogram):
            if not histogram.get_total_count():
                return {}
            return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in percentiles}

        figures = {
            "sent": sent,
            "took_s": round(took, 3),
            "rate": round(sent / max(took, 1e-9), 1),
            "answers": dict(self.statuses),
            "latency_ms": shown(self.latency),
            "service_ms": shown(self.service),
            "most_out": self.most_out,
            "sent_late": self.late,
            "latest_ms": self.latest / 1000,
            "passed_over": passed,
        }
        if self.late > LATE_PART * max(1, sent):
            figures["void"] = (
                f"{self.late} of {sent} requests were sent more than {LATE_US // 1000} ms late: "
                "too little CPU for this load"
            )
        windows = [{"at_s": at, **row} for at, row in sorted(self.windows.items())]
        return {
            "v": 1,
            "load": load.name,
            "seed": load.seed if seed is None else seed,
            "target": self.target,
            "figures": figures,
            "windows": windows,
        }


def run(target, load, seed=None, progress=None, folder="."):
    """The row of one run."""
    requests, passed = plan(load, seed, folder)
    tool = Tool(target, load)
    took = uvloop.run(tool.run(requests, progress)) if requests else 0.0
    return tool.figures(load, seed, took, passed)


def summary(row):
    f = row["figures"]
    lines = [
        f"{row['load']} to {row['target']}, seed {row['seed']}: {f['sent']} requests in {f['took_s']:.1f} s, "
        f"{f['rate']:.0f} a second, at most {f['most_out']} out",
        "  answers: " + ", ".join(f"{what} {count}" for what, count in sorted(f["answers"].items())),
    ]
    for name, text in (("latency_ms", "from the intended time"), ("service_ms", "from the sending")):
        if f[name]:
            lines.append(f"  {text}: " + ", ".join(f"{k} {v:.1f} ms" for k, v in f[name].items()))
    if f["passed_over"]:
        lines.append(f"  {f['passed_over']} lines of the trace could not be read and were passed over")
    if "void" in f:
        lines.append(f"  VOID: {f['void']}")
    return "\n".join(lines)


def trace_lines(requests):
    """A plan as a trace that can be replayed."""
    return "".join(
        json.dumps(
            {
                "at_ms": each.at / 1000,
                "method": each.method,
                "path": each.path,
                "headers": each.headers,
                **({"body": each.body} if each.body else {}),
            }
        )
        + "\n"
        for each in requests
    )
