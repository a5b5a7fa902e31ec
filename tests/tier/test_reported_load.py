"""What backends tell of their load, and the choices that follow from it."""

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


class Rested:
    """Connections that all have capacity, and one that is idle."""

    def has_capacity(self, backend, service):
        return True

    def has_idle(self, identity):
        return True


class ReportStories(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reported = ReportedLoad()

    def test_given_reports_then_this_gateways_own_requests_are_not_counted(self):
        self.reported.record("s", "i-1", b"4,2,6", 2, 10.0)
        self.assertEqual(4.0, self.reported.others("i-1", 10.0))

    def test_given_an_old_report_then_it_fades_to_nothing(self):
        self.reported.record("s", "i-1", b"4,2,6", 0, 10.0)
        self.assertEqual(3.0, self.reported.others("i-1", 10.0 + EXPIRY_S / 2))
        self.assertEqual(0.0, self.reported.others("i-1", 10.0 + 2 * EXPIRY_S))

    def test_given_one_report_out_of_line_then_it_does_not_count_alone(self):
        for _ in range(10):
            self.reported.record("s", "i-1", b"0,0,6", 0, 10.0)
        self.reported.record("s", "i-1", b"6,0,6", 0, 10.0)
        self.assertTrue(self.reported.others("i-1", 10.0) < 3.0)

    @given(st.binary(max_size=40))
    def test_whatever_a_report_holds_then_nothing_fails(self, report):
        self.reported.record("s", "i-1", report, 0, 1.0)
        self.assertTrue(self.reported.others("i-1", 1.0) >= 0.0)

    def test_given_malformed_reports_then_they_say_nothing(self):
        for report in (None, b"", b"1,2", b"1,2,3,4", b"a,b,c", b"-1,0,6", b"9999999,0,6"):
            self.reported.record("s", "i-1", report, 0, 1.0)
        self.assertEqual(0.0, self.reported.others("i-1", 1.0))


class ChoiceStories(testtools.TestCase):
    """A plain service with two backends in this zone and four in others."""

    def setUp(self):
        super().setUp()
        self.reported = ReportedLoad()
        self.near = [backend(1, "a"), backend(2, "a")]
        self.far = [backend(number, "b") for number in range(3, 7)]
        self.load_balancer = LoadBalancer(
            "a", Health(), LatencyRatios(), Rested(), self.reported, random.Random(7)
        )
        self.exchange = SimpleNamespace(
            service=SimpleNamespace(slots=SLOTS, is_model=False),
            route=SimpleNamespace(sticky=False),
            fields={},
        )

    def shares(self, count=600):
        """How often each backend is chosen for requests that end at once."""
        chosen = Counter()
        for _ in range(count):
            chosen[self.load_balancer.choose(self.exchange, self.near + self.far, 1.0).identity] += 1
        return chosen

    def test_given_backends_that_do_not_tell_then_all_zones_are_used(self):
        self.assertEqual(6, len(self.shares()))

    def test_given_room_in_this_zone_then_nothing_leaves_it(self):
        self.reported.record("s", "i-1", b"0,0,6", 0, 1.0)
        self.assertEqual({"i-1", "i-2"}, set(self.shares()))

    def test_given_this_zone_is_full_by_report_then_the_others_are_used(self):
        for near in self.near:
            self.reported.record("s", near.identity, b"6,3,6", 0, 1.0)
        self.assertEqual({far.identity for far in self.far}, set(self.shares()))

    def test_given_one_is_busier_by_report_then_the_other_one_gets_more(self):
        self.reported.record("s", "i-1", b"2,0,6", 0, 1.0)
        shares = self.shares()
        self.assertTrue(shares["i-2"] > 2 * shares["i-1"], shares)

    def test_given_none_in_this_zone_then_others_are_used(self):
        chosen = self.load_balancer.choose(self.exchange, self.far, 1.0)
        self.assertIn(chosen, self.far)
