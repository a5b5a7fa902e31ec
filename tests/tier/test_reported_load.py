"""The load that backends report, and how the load balancer uses it."""

from __future__ import annotations

import random
from collections import Counter
from types import SimpleNamespace

import testtools
from hypothesis import given
from hypothesis import strategies as st

from kestrelbend.tier.dataplane.choice import LoadBalancer
from kestrelbend.tier.dataplane.health import Health
from kestrelbend.tier.dataplane.latency import LatencyRatios
from kestrelbend.tier.dataplane.reported_load import EXPIRY_S, ReportedLoad
from kestrelbend.tier.discovery.messages import Backend

SLOTS = 6


def backend(number, zone):
    return Backend(f"i-{number}", "s", f"10.0.0.{number}:1", zone, "v", SLOTS, 0, 0, 1)


class IdleConnections:
    """A fake in which each backend has capacity and an idle connection."""

    def has_capacity(self, backend, service):
        return True

    def has_idle(self, identity):
        return True


class ReportedLoadTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reported = ReportedLoad()

    def test_reported_load_excludes_this_gateways_own_requests(self):
        self.reported.record("s", "i-1", b"4,2,6", 2, 10.0)
        self.assertEqual(4.0, self.reported.others("i-1", 10.0))

    def test_reported_load_decays_to_zero_with_age(self):
        self.reported.record("s", "i-1", b"4,2,6", 0, 10.0)
        self.assertEqual(3.0, self.reported.others("i-1", 10.0 + EXPIRY_S / 2))
        self.assertEqual(0.0, self.reported.others("i-1", 10.0 + 2 * EXPIRY_S))

    def test_single_outlier_report_is_smoothed(self):
        for _ in range(10):
            self.reported.record("s", "i-1", b"0,0,6", 0, 10.0)
        self.reported.record("s", "i-1", b"6,0,6", 0, 10.0)
        self.assertTrue(self.reported.others("i-1", 10.0) < 3.0)

    @given(st.binary(max_size=40))
    def test_arbitrary_report_bytes_raise_no_error(self, report):
        self.reported.record("s", "i-1", report, 0, 1.0)
        self.assertTrue(self.reported.others("i-1", 1.0) >= 0.0)

    def test_malformed_reports_are_ignored(self):
        for report in (None, b"", b"1,2", b"1,2,3,4", b"a,b,c", b"-1,0,6", b"9999999,0,6"):
            self.reported.record("s", "i-1", report, 0, 1.0)
        self.assertEqual(0.0, self.reported.others("i-1", 1.0))


class LoadBalancerTest(testtools.TestCase):
    """A plain service with two backends in this zone and four in others."""

    def setUp(self):
        super().setUp()
        self.reported = ReportedLoad()
        self.local = [backend(1, "a"), backend(2, "a")]
        self.remote = [backend(number, "b") for number in range(3, 7)]
        self.load_balancer = LoadBalancer(
            "a", Health(), LatencyRatios(), IdleConnections(), self.reported, random.Random(7)
        )
        self.exchange = SimpleNamespace(
            service=SimpleNamespace(slots=SLOTS, is_model=False),
            route=SimpleNamespace(sticky=False),
            fields={},
        )

    def shares(self, count=600):
        """How often each backend is selected if requests end at once."""
        chosen = Counter()
        for _ in range(count):
            chosen[self.load_balancer.choose(self.exchange, self.local + self.remote, 1.0).identity] += 1
        return chosen

    def test_without_load_reports_all_zones_are_used(self):
        self.assertEqual(6, len(self.shares()))

    def test_with_local_capacity_only_this_zone_is_used(self):
        self.reported.record("s", "i-1", b"0,0,6", 0, 1.0)
        self.assertEqual({"i-1", "i-2"}, set(self.shares()))

    def test_when_this_zone_reports_full_other_zones_are_used(self):
        for local in self.local:
            self.reported.record("s", local.identity, b"6,3,6", 0, 1.0)
        self.assertEqual({remote.identity for remote in self.remote}, set(self.shares()))

    def test_backend_reporting_less_load_gets_more_requests(self):
        self.reported.record("s", "i-1", b"2,0,6", 0, 1.0)
        shares = self.shares()
        self.assertTrue(shares["i-2"] > 2 * shares["i-1"], shares)

    def test_without_local_backends_other_zones_are_used(self):
        chosen = self.load_balancer.choose(self.exchange, self.remote, 1.0)
        self.assertIn(chosen, self.remote)
