"""The laboratory: its files, its failures and its oracle, each rule broken once on purpose."""

import json

import pytest

from kestrelbend.gateway.decisions.attempts import AttemptRules
from kestrelbend.gateway.decisions.background import BackgroundTasks
from kestrelbend.gateway.decisions.concurrency import ConcurrencyCaps
from kestrelbend.gateway.decisions.delivery import DeliveryLoop
from kestrelbend.gateway.decisions.quota import Quota
from kestrelbend.gateway.decisions.rate_limits import RateLimits
from kestrelbend.gateway.decisions.selection import BackendSelection
from kestrelbend.gateway.decisions.slow_start import SlowStart
from kestrelbend.gateway.settings import toml_files
from kestrelbend.gateway.interface import Log, EndpointState
from kestrelbend.lab import plant
from kestrelbend.lab.clock import SimClock, Stuck
from kestrelbend.lab.emulate import run
from kestrelbend.lab.scenario import Scenario

SMALL = """
name = "small"
lasts = "6s"
[fleet]
gateways = 4
zones = ["a", "b"]
starts_in = "300ms"
front_notices = "500ms"
[backends]
count = 8
reports = "probe"
cold = "4s"
fall = "1s"
work = "60ms"
[network]
drain_grace = "300ms"
[[plans]]
name = "basic"
rate = 4
burst = 12
customers = 30
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
"""


def scenario(more="", text=SMALL, **changes):
    made = toml_files.parse_toml(text + more, Scenario, "small.toml")
    for path, value in changes.items():
        *way, last = path.split("__")
        thing = made
        for part in way:
            thing = getattr(thing, part)
        setattr(thing, last, value)
    return made


def failure(**fields):
    return "[[failures]]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in fields.items())


def test_all_that_is_wrong_with_a_scenario_is_said_at_once_with_its_line():
    text = SMALL + failure(kind="kil", at="1s")
    text += failure(kind="slow", at="1s", lasts="0s", share=1.5)
    text += failure(kind="flood", at="1s", lasts="1s", plan="gold")
    text += failure(kind="zone-loss", at=3, lasts="1s", zone="c")
    text = text.replace("gateways = 4", "gateways = 501").replace('work = "60ms"', 'wrok = "60ms"')
    text = text.replace("units = [1, 3]", "units = [3, 1]\nodd = '''\n[[failures]]\nat = 3\n'''")
    with pytest.raises(toml_files.InvalidFile) as caught:
        toml_files.parse_toml(text, Scenario, "small.toml")
    said = str(caught.value).splitlines()
    lines = text.splitlines()
    for fault, what, line in zip(
        said,
        (
            "fleet.gateways: expected int <= 500",
            "backends.wrok: unknown key 'wrok'; did you mean 'work'?",
            "plans[1].odd: unknown key",
            "failures[0].kind: unknown kind 'kil'; did you mean 'kill'?",
            "failures[1].share: a share lies between",
            "failures[3].at: a time needs its unit",
        ),
        ("gateways = 501", 'wrok = "60ms"', "odd = '''", 'kind = "kil"', "share = 1.5", "at = 3"),
        strict=True,
    ):
        number = int(fault.split("line ")[1].split(":")[0])
        assert what in fault and lines[number - 1] == line
    text = SMALL + failure(kind="flood", at="1s", lasts="1s", plan="gold")
    text += failure(kind="cut", at="9s", lasts="1s", one="zone:c", other="gateways")
    with pytest.raises(toml_files.InvalidFile) as caught:
        toml_files.parse_toml(text, Scenario, "small.toml")
    said = str(caught.value)
    assert "no customer is on a plan 'gold'" in said and "after the end" in said and "unknown side" in said


def test_a_run_is_the_same_for_the_same_seed_and_one_change_moves_nothing_else():
    def figures(more="", seed=5):
        got = run(scenario(more), seed)[1]
        del got["run"]
        return got

    first = figures()
    assert first == figures() and first != figures(seed=6)
    assert first["rules_broken"] == 0 and first["served"] > 0.9
    hit = figures(failure(kind="slow", at="2s", lasts="2s", share=0.5, factor=4.0))
    assert hit["counts"]["requests"] == first["counts"]["requests"]
    assert hit["latency_ms"] != first["latency_ms"]


FAILURES = {
    "kill": dict(share=0.5, down="500ms"),
    "roll": dict(lasts="3s", steps=4),
    "pause": dict(lasts="1s"),
    "zone-loss": dict(lasts="1s", zone="a", gateways=True),
    "lost-backends": dict(lasts="1s", share=0.25),
    "cut": dict(lasts="1s", one="zone:a", other="zone:b"),
    "lost-answers": dict(lasts="2s", how="reset"),
    "resets": dict(lasts="2s", part=0.3),
    "spoilt": dict(lasts="2s", part=0.3),
    "slow": dict(lasts="2s", factor=20.0),
    "failing": dict(lasts="2s", share=0.4),
    "release": dict(lasts="3s", renewed=True),
    "late-lists": dict(lasts="3s", delay="2s"),
    "counter": dict(lasts="2s", how="emptied"),
    "clocks": dict(by="2s"),
    "storm": dict(lasts="3s", marked=False),
    "flood": dict(lasts="3s", plan="dear", factor=20.0),
    "burst": dict(lasts="2s", factor=3.0),
    "shift": {},
}


@pytest.mark.parametrize("kind", FAILURES)
def test_each_failure_happens_is_undone_and_the_module_keeps_the_rules(kind):
    more = failure(kind=f"{kind}", at="1s", **FAILURES[kind])
    world, figures = run(scenario(more))
    assert figures["broken"] == [] and figures["served"] > 0.2
    assert world.tally.marks and (
        len(world.tally.marks) == 2 or "lasts" not in FAILURES[kind] or kind in ("roll", "release")
    )
    assert not world.clients.open and not world.network.cuts and world.clients.burst == 1
    assert all(life is not None for life in world.plant.lives) and all(b.up for b in world.backends)
    assert all(b.trouble.slow == 1 and not b.trouble.failing and not b.trouble.lost for b in world.backends)
    if kind not in ("late-lists", "clocks"):  # which act with a change of the list, or at a start
        calm = run(scenario())[1]
        assert (figures["counts"], figures["latency_ms"]) != (calm["counts"], calm["latency_ms"])


@pytest.mark.parametrize("how", ["slow", "crowded", "lost", "split"])
def test_a_counter_in_trouble_breaks_no_rule_and_comes_back(how):
    world, figures = run(scenario(failure(kind="counter", at="1s", lasts="2s", how=f"{how}", factor=30.0)))
    assert figures["broken"] == [] and world.counter.factor == 1 and not world.counter.lost
    assert how == "split" or figures["counts"].get("counter unanswered", 0) > 0


def test_failures_at_once_break_no_rule():
    more = (
        failure(kind="kill", at="1s", share=0.7, down="300ms")
        + failure(kind="release", at="1s", lasts="2s", steps=2)
        + failure(kind="counter", at="1s", lasts="2s", how="lost")
        + failure(kind="late-lists", at="0s", lasts="5s", delay="2s")
        + failure(kind="storm", at="1s", lasts="3s")
        + failure(kind="cut", at="2s", lasts="1s", one="gateways", other="backends", both_ways=False)
    )
    assert run(scenario(more))[1]["broken"] == []


def test_gateways_that_share_probes_ask_less_and_keep_the_rules():
    """Backends return cold while gateways die: with and without membership, and with lost datagrams."""
    more = (
        failure(kind="release", at="1s", lasts="2s", share=1.0, steps=2, down="300ms", drain="300ms")
        + failure(kind="kill", at="2s", share=0.3, down="500ms")
        + failure(kind="pause", at="3s", lasts="1s", share=0.2)
        + failure(kind="cut", at="3s", lasts="1s", one="zone:a", other="zone:b")
    )
    text = SMALL.replace("gateways = 4", "gateways = 12")
    alone = run(scenario(more, text))[1]
    for loss in (0.0, 0.2):
        world, figures = run(scenario(more + f"[members]\nloss = {loss}\n", text))
        assert figures["broken"] == [] and alone["broken"] == []
        assert figures["counts"]["datagrams"] > 100 and figures["counts"]["reports shared"] > 0
        assert figures["served"] > alone["served"] - 0.1
        live = sorted(f"n{n}" for n in range(12))
        assert all(sorted(life.member.core.view.live_names()) == live for life in world.plant.lives)


# The oracle, against gateways that break each rule.


def broken(figures, rule, what):
    assert figures["rules_broken"] and figures["broken"][0].startswith(f"rule {rule} broken at")
    assert what in figures["broken"][0]
    return figures["broken"][0]


def test_the_oracle_sees_rule_1_broken(monkeypatch):
    def silent(life, inv, retry_after):
        life.tries[inv]

    with monkeypatch.context() as patch:
        patch.setattr(plant.Life, "throttle", silent)
        trace = broken(run(scenario())[1], 1, "got no answer in its time")
        assert "took try" in trace
    answer = plant.Life.answer
    with monkeypatch.context() as patch:
        patch.setattr(plant.Life, "answer", lambda *args: (answer(*args), answer(*args)))
        broken(run(scenario())[1], 1, "answered twice")
    with monkeypatch.context() as patch:

        def late(life, *args):
            life.clock.after(4_000_000, answer, life, *args)

        patch.setattr(plant.Life, "answer", late)
        broken(run(scenario())[1], 1, "")


def test_the_oracle_sees_rule_2_broken(monkeypatch):
    text = SMALL + '[[operations]]\nname = "pay"\neffect = "non-idempotent"\n'
    trouble = failure(kind="resets", at="1s", lasts="4s", part=0.4)
    assert run(scenario(trouble, text))[1]["broken"] == []
    monkeypatch.setattr(AttemptRules, "may_repeat", lambda self, inv: len(inv.deliveries) < 3)
    broken(run(scenario(trouble, text))[1], 2, "may have run and was sent on again")
    monkeypatch.undo()
    monkeypatch.setattr(DeliveryLoop, "close", lambda self, inv: self.reject(inv, 0))
    broken(run(scenario(trouble, text))[1], 2, "may have run and was throttled")


def test_the_oracle_sees_rule_3_broken(monkeypatch):
    listing = plant.Life.endpoints_listed

    def deaf(life, entries, whole):
        listing(life, [(*e[:4], EndpointState.READY, *e[5:]) for e in entries], whole)

    monkeypatch.setattr(plant.Life, "endpoints_listed", deaf)
    more = failure(kind="release", at="1s", lasts="1s", drain="3s", share=0.5)
    broken(run(scenario(more, discovery__delay=100_000))[1], 3, "after it was told off the list")


def test_the_oracle_sees_rule_4_broken(monkeypatch):
    def latest(self, inv):
        return max(self.pool.order, key=lambda t: t.started or 0, default=None)

    monkeypatch.setattr(SlowStart, "is_warming_up", lambda self, backend: False)
    monkeypatch.setattr(BackendSelection, "pick", latest)
    more = failure(kind="release", at="1s", lasts="1s", share=0.3, steps=1, down="100ms")
    broken(run(scenario(more, discovery__delay=100_000, backends__cold_from=0.1))[1], 4, "was overrun")


def test_the_oracle_sees_rule_5_broken(monkeypatch):
    monkeypatch.setattr(RateLimits, "available", lambda self, customer: 1e9)
    monkeypatch.setattr(Quota, "shortage", lambda self, customer, units: 0.0)
    monkeypatch.setattr(ConcurrencyCaps, "wait_for_slot", lambda self, inv: iter(()))
    more = failure(kind="flood", at="1s", lasts="4s", plan="dear", factor=30.0)
    broken(run(scenario(more, load=2.0))[1], 5, "beyond its ceiling")


# What must not hang.


def test_a_generator_that_never_pauses_ends_the_run_with_its_name(monkeypatch):
    def endless(self):
        while True:
            yield Log("again")

    monkeypatch.setattr(BackgroundTasks, "tasks", lambda self: [endless(self)])
    with pytest.raises(Stuck, match="endless, line"):
        run(scenario())
    clock = SimClock()

    def again():
        clock.after(0, again)

    again()
    with pytest.raises(Stuck, match="again"):
        clock.run(clock.now + 1)


def test_events_of_one_instant_keep_their_order():
    clock, seen = SimClock(), []
    for n in range(50):
        clock.at(clock.now + 5, seen.append, n)
    dropped = clock.at(clock.now + 5, seen.append, "dropped")
    clock.cancel(dropped)
    clock.run(clock.now + 5)
    assert seen == list(range(50))
