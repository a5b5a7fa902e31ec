"""Tests of a gateway's endpoint pool against a simple model, and of the pools of many gateways together."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestrelbend.gateway.decisions import BackendState
from kestrelbend.gateway.keys import stable_hash
from kestrelbend.gateway.routing.pool import MIN_MEMBERS, HALVING_INTERVAL, Pool


def targets(count):
    made = [BackendState() for _ in range(count)]
    for n, t in enumerate(made):
        t.key = stable_hash(f"s-{n}")
    return made


def whole(_):
    return 1.0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.data())
def test_running_totals_are_what_a_walk_over_the_members_gives(data):
    draw = data.draw
    pool, everyone, now = Pool(draw(st.sampled_from([1, 3, 200])), 0, 0), targets(30), 0
    pool.set_endpoints(everyone)
    pool.refill(now, whole)
    for _ in range(draw(st.integers(1, 40))):
        t = draw(st.sampled_from(everyone))
        match draw(st.sampled_from(["spend", "back", "resize", "bench", "list", "width"])):
            case "spend":
                pool.spend_credit(t)
            case "back":
                pool.return_credit(t)
            case "resize":
                pool.set_capacity(t, draw(st.floats(0.01, 9)))
            case "bench":
                t.ejected_until = now + draw(st.integers(0, 50))
                pool.refill(now, whole)
            case "list":
                pool.set_endpoints(draw(st.lists(st.sampled_from(everyone), unique=True)))
                pool.refill(now, whole)
            case "width":
                pool.size = draw(st.integers(1, 40))
                pool.refill(now, whole)
        now += draw(st.integers(0, 20))
        if pool.next_return_at <= now:
            pool.refill(now, whole)
        able = [t for t in pool.order if t.ejected_until <= now]
        assert pool.members == able[: len(pool.members)]
        assert {t for t in everyone if t.in_pool} == set(pool.members)
        assert len(pool.members) == min(pool.size, len(able))
        assert pool.in_flight == sum(t.in_flight for t in pool.members) and all(
            t.in_flight >= 0 for t in everyone
        )
        assert pool.capacity == pytest.approx(sum(t.capacity for t in pool.members))


@pytest.mark.parametrize("gateways, backends", [(2, 200), (20, 200), (200, 200), (200, 60), (137, 193)])
def test_pools_of_all_gateways_together_cover_backends_evenly(gateways, backends):
    all_backends, uses = targets(backends), dict.fromkeys(range(backends), 0)
    numbers = {backend: n for n, backend in enumerate(all_backends)}
    for gateway in range(gateways):
        pool = Pool(gateways, gateway, 0)
        pool.set_endpoints(all_backends)
        pool.size = 20
        pool.refill(0, whole)
        for backend in pool.members:
            uses[numbers[backend]] += 1
    mean = gateways * 20 / backends
    assert all(mean / 2 - 1 <= n <= 1.5 * mean + 1 for n in uses.values())


def test_pools_of_neighbouring_gateways_share_few_backends():
    all_backends, pools = targets(200), []
    for gateway in range(10):
        pool = Pool(200, gateway, 0)
        pool.set_endpoints(all_backends)
        pool.size = 20
        pool.refill(0, whole)
        pools.append(set(pool.members))
    assert len(set.union(*pools)) > 150


def test_pool_size_follows_the_request_rate_with_few_changes():
    pool, all_backends, now, changes = Pool(200, 5, 0), targets(200), 0, []
    pool.set_endpoints(all_backends)
    pool.refill(now, whole)
    for requests_per_s, seconds in ((1, 30), (50, 40), (1, 60)):
        for _ in range(requests_per_s * seconds):
            now += 1_000_000 // requests_per_s
            pool.spend_credit(all_backends[0])
            if (size := pool.wanted_size(now)) is not None:
                pool.size = size
                pool.refill(now, whole)
                changes.append(size)
        wanted = max(MIN_MEMBERS, 2 * requests_per_s)
        assert 0.7 * wanted <= pool.size <= 1.7 * wanted
    assert len(changes) < 25 and HALVING_INTERVAL < now


def test_ejected_and_warming_up_backends_are_replaced_by_additional_members():
    pool, all_backends = Pool(200, 0, 0), targets(100)
    pool.set_endpoints(all_backends)
    pool.size = 20
    for backend in pool.order[:5]:
        backend.ejected_until = 50
    warming_up = set(pool.order[5:15])
    pool.refill(0, lambda backend: 0.25 if backend in warming_up else 1.0)
    assert pool.ejected_count() == 5 and len(pool.members) == 28 and pool.nominal_size == 33
    pool.refill(50, lambda backend: 1.0)
    assert pool.members == pool.order[:20] and pool.sharing_gateways() == 40
