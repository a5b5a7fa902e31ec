"""What a run comes to: worth served, refusals and their kinds, what was sent beyond quotas, calls, latencies.

Worth is that of the first tries inside their quotas, as one gateway that sees all of them would let them in;
a client's retries belong to its first try, and the latency objective counts from the try that was answered.
"""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

WINDOW = 1_000_000


def histogram():
    """Latencies from 1 us to a minute, to three digits."""
    return HdrHistogram(1, 60_000_000, 3)


class Tally:
    def __init__(self, scenario, clock):
        self.scenario, self.clock, self.start = scenario, clock, clock.now
        self.counts, self.series = Counter(), {}  # series: by name, sums by window
        self.plans = {p.name: Counter() for p in scenario.plans}
        self.first, self.all = histogram(), histogram()  # to the good answer: of a try, of a request
        self.refusals = Counter()
        self.marks = []  # (when, text) of failures

    def window(self):
        return (self.clock.now - self.start) // WINDOW

    def add(self, name, amount=1.0):
        row = self.series.setdefault(name, Counter())
        row[self.window()] += amount

    def mark(self, text):
        self.marks.append(((self.clock.now - self.start) / 1e6, text))

    # Clients.

    def asked(self, request):
        self.counts["requests"] += 1
        if request.inside:
            self.plans[request.customer.plan.name]["offered"] += request.worth
            self.add("offered", request.worth)

    def tried(self, asking):
        self.counts["tries"] += 1
        self.counts["retries"] += asking.request.tries > 1

    def answered(self, asking, what):
        self.counts[f"answers {what}"] += 1
        self.add(f"answers {what}")
        if what == "succeeded":
            self.first.record_value(max(1, self.clock.now - asking.sent))
            asking.request.over or self.all.record_value(
                max(1, min(60_000_000, self.clock.now - asking.request.began))
            )
            op = asking.request.op
            worth = 1.0 if self.clock.now - asking.sent <= op.objective else op.late_worth
            asking.request.worth *= worth
            self.counts["late"] += worth < 1
        elif what == "throttled":
            self.refused(asking)

    def refused(self, asking):
        """A kind of refusal that can be told from outside."""
        customer, now = asking.request.customer, self.clock.now
        if asking.sends:
            kind = "after deliveries"
        elif customer.plan.rate and customer.sent.fill(now) < asking.request.units:
            kind = "beyond the quota"
        elif customer.plan.most_out and customer.out >= customer.plan.most_out:
            kind = "at the cap"
        elif customer.plan.rate and customer.sent.level >= customer.plan.burst / 2:
            kind = "with half the quota unused"
        else:
            kind = "near the quota"
        if asking.retry:
            kind += ", marked retry"
        self.refusals[kind] += 1
        self.add(f"refused {kind}")

    def finished(self, request, served):
        plan = self.plans[request.customer.plan.name]
        self.counts["served"] += served
        if served and request.inside:
            plan["served"] += request.worth
            self.add("served", request.worth)

    # Gateways.

    def sent(self, asking, first):
        """A delivery has gone to a backend; the first of a try takes its units."""
        self.counts["deliveries"] += 1
        customer, units, plan = asking.request.customer, asking.request.units, asking.request.customer.plan
        if not first:
            return
        self.counts["units sent"] += units
        full = plan.most_out and customer.out >= plan.most_out
        if full or not customer.sent.take(units, self.clock.now):
            asking.beyond = True
            self.counts["units beyond"] += units
            self.plans[plan.name]["beyond"] += plan.price * units * plan.over_cost
            self.add("beyond", units)

    def out(self, customer, change):
        customer.out += change

    def called(self, outcome):
        self.counts["counter calls"] += 1
        self.counts[f"counter {outcome}"] += 1
        self.add("counter calls")
        self.add(f"counter {outcome}")

    def probed(self):
        self.counts["probes"] += 1
        self.add("probes")

    def connected(self):
        self.counts["handshakes"] += 1
        self.add("handshakes")

    # Backends.

    def worked(self, span):
        self.counts["core time"] += span

    # The end.

    def figures(self):
        """The figures of a run, as plain numbers."""
        offered = sum(p["offered"] for p in self.plans.values()) or 1.0
        served = sum(p["served"] for p in self.plans.values())
        firsts = max(1, self.counts["requests"])
        beyond = sum(p["beyond"] for p in self.plans.values())
        prices = self.scenario.prices
        useful = self.counts["answers succeeded"] * self.scenario.backends.work
        wasted = max(0.0, self.counts["core time"] - useful) / max(1.0, firsts * self.scenario.backends.work)
        costs = {
            "beyond quotas": beyond / offered,
            "counter": (self.scenario.counter.price if self.scenario.counter else 0.0)
            * self.counts["counter calls"]
            / firsts,
            "probes": prices.probe * self.counts["probes"] / firsts,
            "handshakes": prices.handshake * self.counts["handshakes"] / firsts,
            "waste": prices.waste * wasted,
        }
        by_plan = {name: p["served"] / p["offered"] for name, p in self.plans.items() if p["offered"]}
        return {
            "served": served / offered,
            "worst_plan": min(by_plan.values(), default=0.0),
            "plans": by_plan,
            "costs": costs,
            "net": served / offered - sum(costs.values()),
            "beyond_share": self.counts["units beyond"] / max(1.0, self.counts["units sent"]),
            "refused_share": self.counts["answers throttled"] / max(1, self.counts["tries"]),
            "refusals": dict(self.refusals),
            "counts": dict(self.counts),
            "latency_ms": {
                f"p{q:g}": self.first.get_value_at_percentile(q) / 1000 for q in (50, 90, 99, 99.9)
            },
            "request_ms": {f"p{q:g}": self.all.get_value_at_percentile(q) / 1000 for q in (50, 99)},
        }

    @staticmethod
    def backends(world):
        """Of each backend: zone, jobs done, mean credits and times benched over the gateways that know it."""
        made = []
        lives = [life for life in getattr(world.plant, "lives", ()) if life is not None]
        for backend in world.backends:
            known = [life.backends[backend.uid] for life in lives if backend.uid in life.backends]
            made.append(
                {
                    "uid": backend.uid,
                    "zone": backend.zone,
                    "done": backend.done,
                    "room": round(sum(t.capacity for t in known), 2),
                    "benched": sum(t.ejections for t in known),
                    "users": sum(getattr(t, "in_pool", True) for t in known),
                }
            )
        return made

    def rows(self):
        """The series by window, as lists."""
        last = max((max(row, default=0) for row in self.series.values()), default=0)
        return {
            name: [round(row.get(at, 0.0), 3) for at in range(last + 1)]
            for name, row in sorted(self.series.items())
        }
