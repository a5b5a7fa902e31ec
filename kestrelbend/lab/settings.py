"""A scenario's terms as the gateways are told them: the platform's configuration, in its own words."""

from __future__ import annotations

from ..gateway.settings import platform

EFFECTS = {ours: theirs for theirs, ours in platform.EFFECT_NAMES.items()}
SCOPES = {ours: theirs for theirs, ours in platform.SCOPE_NAMES.items()}


def ms(span):
    return span / 1000


def stated(scenario, index):
    """The object `settings` of the configuration of one gateway."""
    b, n, fleet = scenario.backends, scenario.network, scenario.fleet
    return {
        "instances": fleet.gateways,
        "index": index,
        "myZone": fleet.zones[index % len(fleet.zones)],
        "zones": fleet.zones,
        "tick": 1.0,
        "discovery": "automatic",
        "classes": [
            {
                "name": op.name,
                "effect": EFFECTS[op.effect],
                "keyScope": SCOPES[op.scope],
                "keyTtl": ms(op.memory),
                "objective": ms(op.objective),
                "deadline": ms(op.timeout),
                "lateWorth": float(op.late_worth),
                "worth": 1.0,
            }
            for op in scenario.operations
        ],
        "contracts": [
            {
                "name": p.name,
                "refill": p.rate,
                "storeSize": p.burst,
                "concurrency": p.most_out,
                "valueFactor": p.price,
                "overWorth": float(p.over_worth),
                "excessCost": p.over_cost,
                "ceilingRate": p.ceiling_rate,
                "capDepth": p.ceiling_burst,
                "hardSlack": p.ceiling_slack,
            }
            for p in scenario.plans
        ],
        "familyInfo": {
            "mayCount": scenario.counter is not None,
            "countWait": ms(scenario.counter.timeout) if scenario.counter else 30.0,
            "mostUnits": max(p.units[1] for p in scenario.plans),
        },
        "feedback": {
            "how": b.reports,
            "fields": ["queue", "inflight", "util"] if b.reports != "none" else [],
        },
        "policyLimits": {
            "tryLimit": scenario.deliveries,
            "cancelling": True,
            "mayDuplicate": False,
            "probing": scenario.probing,
            "retryAfter": True,
            "maxRetryAfter": 2000.0,
            "idleClose": ms(b.idle_close),
            "connectTimeout": ms(n.connect_timeout),
            "maxOpen": 20000,
        },
        "rules": {
            "askWithin": 10000.0,
            "answerSlack": 5.0,
            "cold": ms(b.cold),
            "coldFrom": float(b.cold_from),
            "drainGrace": ms(n.drain_grace),
            "fall": ms(b.fall),
            "fallMultiple": b.fall_multiple,
        },
    }
