"""Compares the delivery rules with a simple reference model on generated inputs."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelbend.gateway.decisions import CustomerState
from kestrelbend.gateway.interface import Idempotency, Invocation, Result, TokenScope, EndpointState
from kestrelbend.gateway.keys import stable_hash

from .helpers import MS, Front

STATES = [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
RESULTS = [r for r in Result if r is not Result.VOID]


class ReferenceModel:
    """Keeps the history and evaluates the rules anew from it on each call."""

    def __init__(self, front, plan, spread):
        self.front, self.plan, self.spread, self.created_at = front, plan, spread, front.now
        self.first_deliveries = []  # (time, units)

    def available_units(self):
        """Units of the hard rate limit left to this gateway, replayed from its start."""
        plan, n = self.plan, self.spread
        unit_interval = 1e6 * n / plan.limit_rate
        phase = self.front.inst.settings["gateway"] * (5**0.5 - 1) / 2 + stable_hash("c") / 2**63
        burst = max(1, plan.limit_burst - max(0, min(4, n - 1) - plan.limit_slack))
        expiry = int(burst / plan.limit_rate * 1e6)

        def allocated(start, end):
            """Units allocated after `start`, up to `end`."""
            return int(end / unit_interval + phase % 1 + 10**6) - int(
                start / unit_interval + phase % 1 + 10**6
            )

        left, at = 0, self.created_at
        for when, units in [*self.first_deliveries, (self.front.now, 0.0)]:
            left, at = min(left + allocated(at, when), allocated(when - expiry, when)) - units, when
        return left

    def allows(self, inv, candidate):
        s, op, now = self.front.inst.settings, inv.op, self.front.now
        ran = [d for d in inv.deliveries if d.result is None or not d.result.never_ran]
        if inv.done or now >= inv.deadline or len(inv.deliveries) >= s["most_deliveries"]:
            return False
        if candidate.state is not EndpointState.READY:
            return False
        if not s["second_copies"] and any(d.result is None for d in inv.deliveries):
            return False
        if ran and op.effect is Idempotency.NON_IDEMPOTENT:
            return False
        if ran and op.effect is Idempotency.TOKENED:
            if any(now >= d.sent_at + op.token_lifetime - s["tick"] for d in ran):
                return False
            if op.scope is TokenScope.ZONE and any(d.backend.zone != candidate.zone for d in ran):
                return False
            if op.scope is TokenScope.GROUP and any(d.backend.group != candidate.group for d in ran):
                return False
        if not inv.deliveries and self.plan.limit_rate and self.available_units() < inv.units - 1e-9:
            return False
        return True


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_delivery_rules_agree_with_the_reference_model(data):
    draw = data.draw
    effect = draw(st.sampled_from(["idempotent", "deduplicated", "at_most_once"]))
    ceiling_rate = draw(st.sampled_from([0, 3]))
    front = Front(
        classes__0__effect=effect,
        classes__0__keyScope=draw(st.sampled_from(["all", "zone", "cell"])),
        policyLimits__mayDuplicate=draw(st.sampled_from(["true", "false"])),
        policyLimits__tryLimit=draw(st.integers(1, 4)),
        policyLimits__retryAfter=draw(st.sampled_from(["true", "false"])),
        contracts__0__ceilingRate=ceiling_rate,
        contracts__0__capDepth=12 * bool(ceiling_rate),
        contracts__0__hardSlack=draw(st.sampled_from([0, 2, 30])) * bool(ceiling_rate),
        contracts__0__refill=draw(st.sampled_from([0, 2])),
        contracts__0__concurrency=draw(st.sampled_from([0, 2])),
        instances=draw(st.sampled_from([1, 2, 1000])),
        familyInfo__mayCount=draw(st.sampled_from(["true", "false"])),
    )
    # A counter service that answers, or an overloaded one.
    front.gateway.counter.call_fraction = draw(st.sampled_from([1.0, 0.1]))
    spread = draw(st.sampled_from([1, 2, 3, 1000]))
    model = ReferenceModel(front, front.inst.settings["plans"][0], spread)
    invs, answered, store = {}, set(), {}
    states = dict.fromkeys(range(1, 5), EndpointState.READY)
    front.roster(*states.items())
    front.now += draw(st.integers(0, 9000)) * MS

    def check(lines):
        """Check that the model allowed each output line at the time it was written."""
        for line in lines:
            if line[0] in ("deny", "lose"):
                inv = invs[int(line[2])]
                assert line[2] not in answered and front.now <= inv.deadline
                answered.add(line[2])
                ran = [d for d in inv.deliveries if d.result is None or not d.result.never_ran]
                if line[0] == "deny" and ran:
                    assert (
                        effect == "idempotent" or effect == "deduplicated" and inv.op.scope is TokenScope.ALL
                    )
                if line[0] == "deny":  # states a retry time exactly if the settings allow it
                    assert (line[3] != "-") == front.inst.settings["may_advise"]
            if line[0] == "pass_on":
                inv = invs[int(line[2])]
                d = next(d for d in inv.deliveries if d.sent_at == front.now and d not in seen)
                seen.add(d)
                at, later = inv.deliveries.index(d), inv.deliveries
                done, inv.done = inv.done, line[2] in answered
                inv.deliveries = later[:at]
                assert model.allows(inv, d.backend)
                inv.deliveries, inv.done = later, done
                if not at:
                    model.first_deliveries.append((front.now, inv.units))

    seen = set()
    for number in range(draw(st.integers(1, 25))):
        step = draw(st.sampled_from(["accept", "accept", "end", "end", "time", "roster", "leave"]))
        out = [(n, d) for n, inv in invs.items() for d in inv.deliveries if d.result is None]
        if step == "accept":
            front.tell(
                "accept",
                [],
                number,
                "op",
                "plan",
                "c",
                front.now + draw(st.integers(1, 3000)) * MS,
                float(draw(st.integers(1, 4))),
                spread,
                0,
                draw(st.sampled_from([0, 2])),
            )
            if number in front.inst.invs:
                invs[number] = front.inst.invs[number]
            else:  # rejected at once
                answer_lines = [line for line in front.answer_counts(store) if line[0] != "trace"]
                assert answer_lines[0][0] == "deny" and int(answer_lines[0][2]) == number
                # Under a concurrency cap this wakes the first invocation in the queue, which goes on waiting.
                waits = any(customer.queue for customer in front.inst.customers.values())
                assert [line[0] for line in answer_lines[1:]] in ([], ["arm"] if waits else [])
        elif step == "end" and out:
            number, d = draw(st.sampled_from(out))
            front.returned(number, d.number, draw(st.sampled_from(RESULTS)))
        elif step == "time":
            front.pass_time(draw(st.integers(1, 1500)))
        elif step == "roster":
            states[draw(st.integers(1, 4))] = draw(st.sampled_from(STATES))
            front.roster(*states.items())
        elif step == "leave" and invs:
            front.tell("withdrawn", [], draw(st.sampled_from(sorted(invs))))
        check(front.answer_counts(store, draw(st.sampled_from([Result.SUCCEEDED] * 3 + [Result.TIMED_OUT]))))
        unadmitted = []  # never passed admission, so that only `may_send` can block them
        for customer in front.inst.customers.values():
            op = front.inst.settings["operations"][0]
            unadmitted.append(Invocation(op, customer, front.now, front.now + 9, 3.0005, False))
        for inv in [*invs.values(), *unadmitted]:
            for candidate in front.inst.backends.values():
                assert front.gateway.rules.may_send(inv, candidate) == model.allows(inv, candidate)
    check(front.answer_counts(store))
    while front.inst.timers:
        front.pass_time(4000)
        check(front.answer_counts(store))
    assert all(inv.done for inv in invs.values())


@pytest.mark.parametrize("killed", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("gateways", [4, 30, 200])
@pytest.mark.parametrize("slack", [0.0, 6.0])
@pytest.mark.parametrize("seed", range(4))
def test_hard_rate_limit_holds_across_gateways_and_restarts(gateways, killed, slack, seed):
    """Guards the hard rate limit of a fleet, and that it can be used.  With an equal part of each unit per
    gateway a plan was rejected for seconds after a start.  Every gateway spends its units as soon as it has
    them, and a part of the gateways restarts after the first burst."""
    rng, rate, burst = Random(seed), 16.0, 49.0
    name = str(seed)
    fleet = [
        Front(
            index=g,
            instances=gateways,
            contracts__0__ceilingRate=rate,
            contracts__0__capDepth=burst,
            contracts__0__hardSlack=slack,
        )
        for g in range(gateways)
    ]
    plan = fleet[0].inst.settings["plans"][0]
    parts = [(f.gateway, CustomerState(name, plan, gateways)) for f in fleet]
    for gateway, _ in parts:
        gateway.now = gateway.context.started_at = rng.randrange(-10_000_000, 0)
    spent, level, restart = 0, burst, rng.randrange(0, 1_500_000, 50_000)
    for now in range(0, 6_000_000, 50_000):
        level = min(burst, level + rate * 0.05)
        for at, (gateway, customer_state) in enumerate(parts):
            if now == restart and rng.random() < killed:
                customer_state = CustomerState(name, plan, gateways)
                parts[at], gateway.context.started_at = (gateway, customer_state), now
            gateway.now = now
            while gateway.limits.available(customer_state) >= 1:
                customer_state.limit_units, spent, level = (
                    customer_state.limit_units - 1,
                    spent + 1,
                    level - 1,
                )
        assert level >= -slack - 1e-6
    # The purchased rate is available; without stepwise allocation up to 100 units were lost.
    if not killed:
        assert spent > 0.8 * (burst + 6 * rate)
