"""Guards against unintended changes of the gateway's decisions in a refactoring, including random draws.

Emulated scenarios run with fixed seeds.  Every effect that the decisions yield and every result that they get
is hashed with its time, into one SHA-256 per scenario.  An intended change of policy changes the digests:
`python -m tests.test_decisions_digest` writes the new ones, and the commit states the reason.
"""

import json
import sys
from hashlib import sha256
from pathlib import Path
from random import Random

import pytest

from kestrelbend.gateway.settings import toml_files
from kestrelbend.gateway.interface import Result, EndpointState
from kestrelbend.lab import plant
from kestrelbend.lab.emulate import run
from kestrelbend.lab.scenario import Scenario
from kestrelbend.gateway.usage_sharing.messages import QuotaShare
from kestrelbend.gateway.usage_sharing.exchange import MeteredUsageExchange

from .helpers import MS, Front

REPO = Path(__file__).parent.parent
RECORDED_FILE = Path(__file__).parent / "fixtures" / "decisions.json"
SECOND = 1_000_000
MAX_DURATION = 12 * SECOND  # microseconds; longer scenarios are cut to it
SEEDS = (1, 2)

MIXED = """
name = "mixed"
lasts = "8s"
[fleet]
gateways = 5
zones = ["a", "b"]
starts_in = "300ms"
front_notices = "500ms"
[backends]
count = 10
reports = "probe"
cold = "4s"
fall = "1s"
work = "60ms"
[[plans]]
name = "basic"
rate = 4
burst = 12
customers = 30
over_worth = 0.4
over_cost = 0.1
[[plans]]
name = "dear"
rate = 20
burst = 30
most_out = 6
price = 2.0
over_cost = 1.0
customers = 3
ceiling_rate = 40
ceiling_burst = 60
ceiling_slack = 3
units = [1, 3]
spread = 3
[[plans]]
name = "capped"
rate = 0
burst = 0
most_out = 4
customers = 6
[[operations]]
name = "read"
effect = "idempotent"
[[operations]]
name = "write"
effect = "tokened"
scope = "zone"
[[operations]]
name = "pay"
effect = "non-idempotent"
"""
FAILURES = {
    "quiet": "",
    "flood": 'kind = "flood"\nat = "2s"\nlasts = "4s"\nplan = "dear"\nfactor = 20.0',
    "resets": 'kind = "resets"\nat = "1s"\nlasts = "4s"\npart = 0.4',
    "release": 'kind = "release"\nat = "1s"\nlasts = "3s"\nshare = 0.5\ndrain = "1s"',
}
EXAMPLES = (
    "baselines/counter",
    "baselines/storm",
    "baselines/zone",
    "growth/plain",
    "members/release",
    "storm",
)


class Digest:
    """Digest of the decisions of all gateways in a scenario, in order."""

    def __init__(self):
        self.sum, self.count, self.kinds = sha256(), 0, {}

    def add(self, gateway, kind, *values):
        line = f"{gateway.clock.now} {gateway.index} {gateway.number} {kind} {values!r}\n"
        self.sum.update(line.encode())
        self.count += 1
        self.kinds[kind] = self.kinds.get(kind, 0) + 1


class RecordedGateway(plant.Life):
    """A gateway that records each effect and each result in the digest."""

    digest = Digest()

    def request_number(self, inv):
        return self.tries[inv].number

    def delivery_fields(self, d):
        until_first_byte = d.begin_by
        return self.request_number(d.inv), d.number, self.backend_ids[d.backend], d.deadline, until_first_byte

    def deliver(self, d):
        self.digest.add(self, "deliver", *self.delivery_fields(d))
        super().deliver(d)

    def cancel(self, d):
        self.digest.add(self, "cancel", *self.delivery_fields(d))
        super().cancel(d)

    def throttle(self, inv, retry_after):
        self.digest.add(self, "throttle", self.request_number(inv), retry_after)
        super().throttle(inv, retry_after)

    def fail(self, inv):
        self.digest.add(self, "fail", self.request_number(inv))
        super().fail(inv)

    def set_timer(self, task, until):
        self.digest.add(self, "alarm", until)
        return super().set_timer(task, until)

    def count(self, name, amount, lifetime):
        self.digest.add(self, "count", name, amount, lifetime)
        super().count(name, amount, lifetime)

    def probe(self, target):
        self.digest.add(self, "probe", self.backend_ids[target])
        super().probe(target)

    def log(self, text, about):
        self.digest.add(self, "log", text, about)
        super().log(text, about)

    def delivery_ended(self, delivery, result, took, final, load, actual, used=None):
        self.digest.add(self, "ended", self.backend_ids[delivery.backend], result.value, took, final, load)
        super().delivery_ended(delivery, result, took, final, load, actual, used)

    def counter_replied(self, name, result, total):
        self.digest.add(self, "counted", name, result.value, total)
        super().counter_replied(name, result, total)


def load_scenario(name):
    if name in FAILURES:
        failure_text = FAILURES[name] and f"[[failures]]\n{FAILURES[name]}\n"
        return toml_files.parse_toml(MIXED + failure_text, Scenario, f"{name}.toml")
    scenario = toml_files.read_toml(str(REPO / "examples" / f"{name}.toml"), Scenario)
    scenario.lasts = min(scenario.lasts, MAX_DURATION)
    return scenario


def scenario_digest(name, patch):
    """Digest and counts of effects and results by kind, over all seeds of one scenario."""
    digest = Digest()
    patch.setattr(RecordedGateway, "digest", digest)
    patch.setattr(plant, "Life", RecordedGateway)
    for seed in SEEDS:
        run(load_scenario(name), seed)
    return {"sha256": digest.sum.hexdigest(), "count": digest.count, "kinds": digest.kinds}


# For what emulated scenarios lack: usage exchange, usage in answers, streams, random settings and events.

RANDOM_FRONT_COUNT = 150
EVENTS_PER_FRONT = 250


def random_front(rng, overloaded):
    """A front end with random settings, number of gateways and counter state, and its customers' spread."""
    operations = {}
    for n, effect in enumerate(("idempotent", "deduplicated", "at_most_once")):
        operations[f"classes__{n}__name"] = effect
        operations[f"classes__{n}__effect"] = effect
        operations[f"classes__{n}__keyScope"] = rng.choice(["all", "zone", "cell"])
        operations[f"classes__{n}__keyTtl"] = 2000
        operations[f"classes__{n}__objective"] = rng.choice([200, 1000])
        operations[f"classes__{n}__deadline"] = 3000
        operations[f"classes__{n}__lateWorth"] = rng.choice([0, 0.5])
        operations[f"classes__{n}__worth"] = rng.choice([1, 3])
    ceiling = rng.choice([0, 0, 6])
    gateways = rng.choice([1, 2, 12, 400])
    front = Front(
        seed=rng.randrange(1000),
        instances=gateways,
        classes__count=3,
        **operations,
        contracts__0__refill=2 if overloaded else rng.choice([0, 2, 40]),
        contracts__0__storeSize=60 if overloaded else rng.choice([6, 60]),
        contracts__0__concurrency=0 if overloaded else rng.choice([0, 0, 3]),
        contracts__0__ceilingRate=ceiling,
        contracts__0__capDepth=12 * bool(ceiling),
        contracts__0__hardSlack=rng.choice([0, 2]) * bool(ceiling),
        contracts__0__overWorth=rng.choice([0, 0.6]),
        contracts__0__excessCost=rng.choice([0, 0.3]),
        familyInfo__mayCount=rng.choice(["true", "true", "false"]),
        familyInfo__metering=1000,
        feedback__how=rng.choice(["probe", "answers"]),
        feedback__fields="pending,busy_reqs,cpu_share",
        policyLimits__probing="true",
        policyLimits__retryAfter=rng.choice(["true", "false"]),
        policyLimits__mayDuplicate=rng.choice(["true", "false"]),
        policyLimits__cancelling=rng.choice(["true", "false"]),
        policyLimits__tryLimit=rng.randint(1, 4),
        discovery=rng.choice(["automatic", "subscribe"]),
    )
    front.gateway.counter.call_fraction = rng.choice([1.0, 1.0, 0.5, 0.1])
    if rng.random() < 0.3:
        settings = front.inst.settings
        usage_exchange = front.gateway.context.usage = MeteredUsageExchange(
            gateways, 0, settings["plans"], 60, front.now
        )
        usage_exchange.meter_number, usage_exchange.meter_heard_us = 5, front.now
    return front, rng.choice([1, gateways])


class RandomDriver:
    """Generates random events for one front end, and records every line that it writes."""

    def __init__(self, rng, digest):
        self.rng, self.digest = rng, digest
        self.overloaded = rng.random() < 0.4  # few backends, many marked retries
        self.front, self.spread = random_front(rng, self.overloaded)
        backends = rng.choice([1, 2] if self.overloaded else [3, 8, 39])
        self.states = {n: (EndpointState.READY, 0) for n in range(1, backends + 1)}
        self.store, self.invs, self.delayed_calls = {}, {}, []
        self.send_roster()

    def send_roster(self):
        self.front.roster(*[(n, state, started) for n, (state, started) in self.states.items()])

    def record_output(self):
        """Record output lines; answer probes at once, and counter calls at once or after other events."""
        while lines := self.front.take():
            for line in lines:
                self.digest.update(f"{self.front.now} {' '.join(line)}\n".encode())
                if line[0] == "incr" and self.rng.random() < 0.3:
                    self.delayed_calls.append(line)  # answered after other events
                elif line[0] == "incr":
                    self.answer_counter_call(line)
                elif line[0] == "sound_out":
                    load = [self.rng.choice([0.0, 2.0]), 1.0, self.rng.random()]
                    self.front.tell("probe_result", [], int(line[2]), Result.SUCCEEDED, 1000, load)

    def answer_counter_call(self, line):
        name, draw = int(line[4]), self.rng.random()
        result = Result.TIMED_OUT if draw < 0.05 else Result.REJECTED if draw < 0.2 else Result.SUCCEEDED
        if result is not Result.REJECTED:
            self.store[name] = self.store.get(name, 0.0) + float(line[2])
        if self.rng.random() < 0.1:
            self.front.now += self.rng.randrange(60) * MS
        self.front.counted(name, self.store.get(name, 0.0) if result is Result.SUCCEEDED else 0.0, result)

    def step(self, number):
        rng, front = self.rng, self.front
        out = [(n, d) for n, inv in self.invs.items() for d in inv.deliveries if d.result is None]
        draw = rng.random()
        if self.delayed_calls and rng.random() < 0.4:
            self.answer_counter_call(self.delayed_calls.pop(0))
        elif draw < 0.45:
            self.accept(number)
        elif draw < 0.8 and out:
            self.end_delivery(*rng.choice(out))
        elif draw < 0.95:
            front.pass_time(rng.randint(1, 400))
        elif draw < 0.97:
            n = rng.choice(list(self.states))
            state = rng.choice(
                [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
            )
            self.states[n] = state, rng.choice([0, front.now])
            self.send_roster()
        elif draw < 0.98 and self.invs:
            front.tell("withdrawn", [], rng.choice(list(self.invs)))
        elif draw < 0.99 and out:
            n, d = rng.choice(out)
            front.tell("streaming", [], n, None, 0, d.number)
        elif front.gateway.context.usage is not None:
            usage_exchange = front.gateway.context.usage
            usage_exchange.meter_heard_us = front.now
            usage_exchange.shares = {
                key: QuotaShare(rng.random(), rng.random() < 0.5) for key in usage_exchange.pending.rows
            }

    def accept(self, number):
        rng, front = self.rng, self.front
        operation = rng.choice(["idempotent", "deduplicated", "at_most_once"])
        customer, until = f"c{rng.randrange(6)}", front.now + rng.choice([50, 500, 3000]) * MS
        units = float(rng.choice([0.5, 1, 1, 4]))
        retry = 2 * (rng.random() < (0.6 if self.overloaded else 0.2))
        front.tell("accept", [], number, operation, "plan", customer, until, units, self.spread, 0, retry)
        if number in front.inst.invs:
            self.invs[number] = front.inst.invs[number]

    def end_delivery(self, number, d):
        rng = self.rng
        result = Result.SUCCEEDED if rng.random() < 0.8 else rng.choice(list(Result))
        took = min(self.front.now - d.sent_at, rng.choice([20, 200, 900]) * MS)
        load = [float(rng.random() < 0.2), 1.0, rng.random()] if rng.random() < 0.3 else None
        used, actual = rng.choice([0, 0, 50, 300]), rng.choice([0, 0, 2, 5])
        ended = result is Result.SUCCEEDED
        self.front.tell("returned", [], number, d.number, None, result, took, ended, used, actual, load)


def random_fronts_digest():
    """Digest of all lines written by the random front ends."""
    digest = sha256()
    for seed in range(RANDOM_FRONT_COUNT):
        driver = RandomDriver(Random(seed), digest)
        for number in range(EVENTS_PER_FRONT):
            driver.step(number)
            driver.record_output()
    return {"sha256": digest.hexdigest()}


@pytest.mark.parametrize("name", [*FAILURES, *EXAMPLES])
def test_decisions_in_emulated_scenario_match_the_recorded_digest(name, monkeypatch):
    assert scenario_digest(name, monkeypatch) == json.loads(RECORDED_FILE.read_text())[name]


def test_output_of_randomized_fronts_matches_the_recorded_digest():
    assert random_fronts_digest() == json.loads(RECORDED_FILE.read_text())["drawn"]


def test_recorded_scenarios_cover_every_kind_of_effect():
    kinds = {
        kind for each in json.loads(RECORDED_FILE.read_text()).values() for kind in each.get("kinds", ())
    }
    wanted = {"deliver", "throttle", "fail", "alarm", "count", "probe", "log", "ended", "counted"}
    assert wanted <= kinds


def main():
    digests = {"drawn": random_fronts_digest()}
    for name in [*FAILURES, *EXAMPLES]:
        with pytest.MonkeyPatch.context() as patch:
            digests[name] = scenario_digest(name, patch)
    RECORDED_FILE.parent.mkdir(exist_ok=True)
    RECORDED_FILE.write_text(json.dumps(digests, indent=1) + "\n")


if __name__ == "__main__":
    sys.exit(main())
