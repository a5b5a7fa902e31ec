"""The decisions, effect by effect: a change of shape must leave each of them, and each draw, as it was.

Emulated worlds are played with fixed seeds.  Every effect that a gateway's decisions ask for and every answer
that they get goes, with its time, into one SHA-256 a scenario.  A change of policy changes the digests on
purpose: `python -m tests.test_decisions_digest` then writes the new ones, and the commit says why.
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
RECORDED = Path(__file__).parent / "fixtures" / "decisions.json"
SECOND = 1_000_000
LONGEST = 12 * SECOND  # microseconds of a scenario that are played
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
    """What all gateways of one world decided, in order."""

    def __init__(self):
        self.sum, self.count, self.kinds = sha256(), 0, {}

    def add(self, gateway, kind, *values):
        line = f"{gateway.clock.now} {gateway.index} {gateway.number} {kind} {values!r}\n"
        self.sum.update(line.encode())
        self.count += 1
        self.kinds[kind] = self.kinds.get(kind, 0) + 1


class Recorded(plant.Life):
    """A gateway's life that notes each effect and each answer."""

    digest = Digest()

    def asked_by(self, inv):
        return self.tries[inv].number

    def sent_as(self, d):
        until_first_byte = d.begin_by
        return self.asked_by(d.inv), d.number, self.backend_ids[d.backend], d.deadline, until_first_byte

    def deliver(self, d):
        self.digest.add(self, "deliver", *self.sent_as(d))
        super().deliver(d)

    def cancel(self, d):
        self.digest.add(self, "cancel", *self.sent_as(d))
        super().cancel(d)

    def throttle(self, inv, retry_after):
        self.digest.add(self, "throttle", self.asked_by(inv), retry_after)
        super().throttle(inv, retry_after)

    def fail(self, inv):
        self.digest.add(self, "fail", self.asked_by(inv))
        super().fail(inv)

    def set_timer(self, task, until):
        self.digest.add(self, "alarm", until)
        return super().set_timer(task, until)

    def count(self, name, add, life):
        self.digest.add(self, "count", name, add, life)
        super().count(name, add, life)

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


def stated(name):
    if name in FAILURES:
        more = FAILURES[name] and f"[[failures]]\n{FAILURES[name]}\n"
        return toml_files.parse_toml(MIXED + more, Scenario, f"{name}.toml")
    scenario = toml_files.read_toml(str(REPO / "examples" / f"{name}.toml"), Scenario)
    scenario.lasts = min(scenario.lasts, LONGEST)
    return scenario


def played(name, patch):
    """(digest, effects and answers by kind) of all seeds of one scenario."""
    digest = Digest()
    patch.setattr(Recorded, "digest", digest)
    patch.setattr(plant, "Life", Recorded)
    for seed in SEEDS:
        run(stated(name), seed)
    return {"sha256": digest.sum.hexdigest(), "count": digest.count, "kinds": digest.kinds}


# What no emulated world has: news of use, use told in answers, streams, settings and events drawn at random.

DRAWN = 150  # fronts
EVENTS = 250  # for each


def front_drawn(chance, pressed):
    """A front with drawn settings, backends and counter."""
    operations = {}
    for n, effect in enumerate(("idempotent", "deduplicated", "at_most_once")):
        operations[f"classes__{n}__name"] = effect
        operations[f"classes__{n}__effect"] = effect
        operations[f"classes__{n}__keyScope"] = chance.choice(["all", "zone", "cell"])
        operations[f"classes__{n}__keyTtl"] = 2000
        operations[f"classes__{n}__objective"] = chance.choice([200, 1000])
        operations[f"classes__{n}__deadline"] = 3000
        operations[f"classes__{n}__lateWorth"] = chance.choice([0, 0.5])
        operations[f"classes__{n}__worth"] = chance.choice([1, 3])
    ceiling = chance.choice([0, 0, 6])
    gateways = chance.choice([1, 2, 12, 400])
    front = Front(
        seed=chance.randrange(1000),
        instances=gateways,
        classes__count=3,
        **operations,
        contracts__0__refill=2 if pressed else chance.choice([0, 2, 40]),
        contracts__0__storeSize=60 if pressed else chance.choice([6, 60]),
        contracts__0__concurrency=0 if pressed else chance.choice([0, 0, 3]),
        contracts__0__ceilingRate=ceiling,
        contracts__0__capDepth=12 * bool(ceiling),
        contracts__0__hardSlack=chance.choice([0, 2]) * bool(ceiling),
        contracts__0__overWorth=chance.choice([0, 0.6]),
        contracts__0__excessCost=chance.choice([0, 0.3]),
        familyInfo__mayCount=chance.choice(["true", "true", "false"]),
        familyInfo__metering=1000,
        feedback__how=chance.choice(["probe", "answers"]),
        feedback__fields="pending,busy_reqs,cpu_share",
        policyLimits__probing="true",
        policyLimits__retryAfter=chance.choice(["true", "false"]),
        policyLimits__mayDuplicate=chance.choice(["true", "false"]),
        policyLimits__cancelling=chance.choice(["true", "false"]),
        policyLimits__tryLimit=chance.randint(1, 4),
        discovery=chance.choice(["automatic", "subscribe"]),
    )
    front.gateway.counter.call_fraction = chance.choice([1.0, 1.0, 0.5, 0.1])
    if chance.random() < 0.3:
        settings = front.inst.settings
        news = front.gateway.context.usage = MeteredUsageExchange(
            gateways, 0, settings["plans"], 60, front.now
        )
        news.meter_number, news.meter_heard_us = 5, front.now
    return front, chance.choice([1, gateways])


class Player:
    """Draws what happens to one front, and notes every line that it writes."""

    def __init__(self, chance, digest):
        self.chance, self.digest = chance, digest
        self.pressed = chance.random() < 0.4  # few backends, many marked retries
        self.front, self.spread = front_drawn(chance, self.pressed)
        backends = chance.choice([1, 2] if self.pressed else [3, 8, 39])
        self.states = {n: (EndpointState.READY, 0) for n in range(1, backends + 1)}
        self.store, self.invs, self.unanswered = {}, {}, []
        self.listed()

    def listed(self):
        self.front.roster(*[(n, state, started) for n, (state, started) in self.states.items()])

    def note(self):
        """Counter calls are answered in their turn, lost now and then."""
        while lines := self.front.take():
            for line in lines:
                self.digest.update(f"{self.front.now} {' '.join(line)}\n".encode())
                if line[0] == "incr" and self.chance.random() < 0.3:
                    self.unanswered.append(line)  # other events come first
                elif line[0] == "incr":
                    self.counts(line)
                elif line[0] == "sound_out":
                    load = [self.chance.choice([0.0, 2.0]), 1.0, self.chance.random()]
                    self.front.tell("probe_result", [], int(line[2]), Result.SUCCEEDED, 1000, load)

    def counts(self, line):
        name, draw = int(line[4]), self.chance.random()
        result = Result.TIMED_OUT if draw < 0.05 else Result.REJECTED if draw < 0.2 else Result.SUCCEEDED
        if result is not Result.REJECTED:
            self.store[name] = self.store.get(name, 0.0) + float(line[2])
        if self.chance.random() < 0.1:
            self.front.now += self.chance.randrange(60) * MS
        self.front.counted(name, self.store.get(name, 0.0) if result is Result.SUCCEEDED else 0.0, result)

    def step(self, number):
        chance, front = self.chance, self.front
        out = [(n, d) for n, inv in self.invs.items() for d in inv.deliveries if d.result is None]
        draw = chance.random()
        if self.unanswered and chance.random() < 0.4:
            self.counts(self.unanswered.pop(0))
        elif draw < 0.45:
            self.accept(number)
        elif draw < 0.8 and out:
            self.returned(*chance.choice(out))
        elif draw < 0.95:
            front.pass_time(chance.randint(1, 400))
        elif draw < 0.97:
            n = chance.choice(list(self.states))
            state = chance.choice(
                [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
            )
            self.states[n] = state, chance.choice([0, front.now])
            self.listed()
        elif draw < 0.98 and self.invs:
            front.tell("withdrawn", [], chance.choice(list(self.invs)))
        elif draw < 0.99 and out:
            n, d = chance.choice(out)
            front.tell("streaming", [], n, None, 0, d.number)
        elif front.gateway.context.usage is not None:
            news = front.gateway.context.usage
            news.meter_heard_us = front.now
            news.shares = {
                key: QuotaShare(chance.random(), chance.random() < 0.5) for key in news.pending.rows
            }

    def accept(self, number):
        chance, front = self.chance, self.front
        operation = chance.choice(["idempotent", "deduplicated", "at_most_once"])
        customer, until = f"c{chance.randrange(6)}", front.now + chance.choice([50, 500, 3000]) * MS
        units = float(chance.choice([0.5, 1, 1, 4]))
        retry = 2 * (chance.random() < (0.6 if self.pressed else 0.2))
        front.tell("accept", [], number, operation, "plan", customer, until, units, self.spread, 0, retry)
        if number in front.inst.invs:
            self.invs[number] = front.inst.invs[number]

    def returned(self, number, d):
        chance = self.chance
        result = Result.SUCCEEDED if chance.random() < 0.8 else chance.choice(list(Result))
        took = min(self.front.now - d.sent_at, chance.choice([20, 200, 900]) * MS)
        load = [float(chance.random() < 0.2), 1.0, chance.random()] if chance.random() < 0.3 else None
        used, actual = chance.choice([0, 0, 50, 300]), chance.choice([0, 0, 2, 5])
        ended = result is Result.SUCCEEDED
        self.front.tell("returned", [], number, d.number, None, result, took, ended, used, actual, load)


def drawn():
    """The digest of all that the drawn fronts wrote."""
    digest = sha256()
    for seed in range(DRAWN):
        player = Player(Random(seed), digest)
        for number in range(EVENTS):
            player.step(number)
            player.note()
    return {"sha256": digest.hexdigest()}


@pytest.mark.parametrize("name", [*FAILURES, *EXAMPLES])
def test_every_decision_is_as_recorded(name, monkeypatch):
    assert played(name, monkeypatch) == json.loads(RECORDED.read_text())[name]


def test_every_line_of_drawn_fronts_is_as_recorded():
    assert drawn() == json.loads(RECORDED.read_text())["drawn"]


def test_the_recorded_worlds_have_every_kind_of_effect():
    kinds = {kind for each in json.loads(RECORDED.read_text()).values() for kind in each.get("kinds", ())}
    wanted = {"deliver", "throttle", "fail", "alarm", "count", "probe", "log", "ended", "counted"}
    assert wanted <= kinds


def main():
    made = {"drawn": drawn()}
    for name in [*FAILURES, *EXAMPLES]:
        with pytest.MonkeyPatch.context() as patch:
            made[name] = played(name, patch)
    RECORDED.parent.mkdir(exist_ok=True)
    RECORDED.write_text(json.dumps(made, indent=1) + "\n")


if __name__ == "__main__":
    sys.exit(main())
