"""Tests of a control node's backend registry: late, lost, duplicate, reordered reports; reused addresses."""

import json
import random

import attrs
import hypothesis
import testtools
from hypothesis import strategies

from kestrelbend.tier.discovery import registry as registry_module
from kestrelbend.tier.discovery import tombstones as tombstones_module
from kestrelbend.tier.discovery.messages import Backend, BackendState
from kestrelbend.tier.discovery.order import DEPARTURE_SEQUENCE, as_departed, presumed_departed, supersedes
from kestrelbend.tier.discovery.registry import COUNTERS_STREAM_INTERVAL_S, BackendRegistry
from kestrelbend.tier.discovery.report import HeartbeatRejected
from kestrelbend.tier.discovery.tombstones import TOMBSTONE_S

REPEATABLE = hypothesis.settings(derandomize=True, database=None, deadline=None)
READY, DRAINING, DEPARTED = (int(state) for state in BackendState)
INTERVAL = 1.0


def report(sequence, state="ready", address="10.0.0.9:8080", **fields):
    """Returns the body of a heartbeat."""
    values = {"Upstream": "blue", "Address": address, "Zone": "east", "Ver": "v1", "Slots": 4}
    return {**values, "State": state, "ColdLeftMs": 0, "Seq": sequence, **fields}


class ReportValidationTest(testtools.TestCase):
    """Validation of heartbeats."""

    def test_valid_report_yields_a_backend_with_its_fields(self):
        models = [{"Name": "m", "Ver": 1, "Adapters": []}]
        backend = BackendRegistry().heartbeat(
            "i-1", report(4, Models=models, Phase="both", ColdLeftMs=7.5), 0.0
        )
        expected = Backend("i-1", "blue", "10.0.0.9:8080", "east", "v1", 4, READY, 7, 4, backend.models)
        self.assertEqual((expected, models), (backend, json.loads(backend.models)))

    def test_invalid_field_rejects_the_report_and_leaves_the_registry_unchanged(self):
        invalid_values = {
            "Upstream": (None, "", 7, "x" * 300, "\ud800"),
            "Address": (
                None,
                "10.0.0.9",
                "10.0.0.9:0",
                "10.0.0.9:99999",
                "host:80",
                "10.0.0.256:80",
                ":80",
                7,
            ),
            "Zone": (None, "", []),
            "Slots": (None, 0, -1, 1.5, True, 2**40),
            "State": (None, "gone", 0, []),
            "Seq": (None, -1, 1.0, "4", True, DEPARTURE_SEQUENCE, 2**70),
            "ColdLeftMs": (-1, "0", float("nan"), float("inf"), 2**90),
            "Models": ({}, "m", ["x" * 20000]),
            "Ver": ("", 7),
        }
        registry = BackendRegistry()
        for field, values in invalid_values.items():
            for value in values:
                rejected = registry.heartbeat("i-1", report(4, **{field: value}), 0.0)
                self.assertIsInstance(rejected, HeartbeatRejected, (field, value))
        for identity in ("", "x" * 300, "a\nb", None):
            self.assertIsInstance(registry.heartbeat(identity, report(4), 0.0), HeartbeatRejected)
            self.assertIsInstance(registry.leave(identity, 0.0), HeartbeatRejected)
        self.assertEqual(((), 0), (registry.all(), registry.change_number))

    @hypothesis.settings(REPEATABLE, max_examples=300)
    @hypothesis.given(strategies.data())
    def test_given_any_report_then_it_is_accepted_completely_or_rejected(self, data):
        anything = strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.floats()
            | strategies.text()
            | strategies.integers(),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(strategies.text(), inner, max_size=3)
            ),
            max_leaves=5,
        )
        changed = data.draw(strategies.dictionaries(strategies.sampled_from(sorted(report(1))), anything))
        for values in (data.draw(anything), report(1, **changed)):
            backend = BackendRegistry().heartbeat("i-1", values, 0.0)
            if not isinstance(backend, HeartbeatRejected):
                self.assertIsInstance(backend, Backend)
                self.assertTrue(backend.slots > 0 and 0 <= backend.sequence < DEPARTURE_SEQUENCE)
                backend.service.encode(), backend.software.encode(), backend.models.encode()


class RegistryTest(testtools.TestCase):
    """State of the registry after a sequence of reports."""

    def setUp(self):
        super().setUp()
        self.registry = BackendRegistry()

    def state(self, identity="i-1"):
        return self.registry.get(identity).state

    def ready(self):
        return sorted(backend.identity for backend in self.registry.ready("blue"))

    def test_late_and_duplicate_reports_change_nothing(self):
        self.registry.heartbeat("i-1", report(5), 0.0)
        number = self.registry.change_number
        for sequence in (5, 4, 1):
            self.registry.heartbeat("i-1", report(sequence, Slots=9), 9.0)
        self.assertEqual((number, 4), (self.registry.change_number, self.registry.get("i-1").slots))

    def test_draining_backend_is_never_ready_again(self):
        self.registry.heartbeat("i-1", report(5), 0.0)
        self.registry.heartbeat("i-1", report(6, "draining"), 0.0)
        for sequence in (4, 7, 99):
            self.registry.heartbeat("i-1", report(sequence), 0.0)
            self.assertEqual((DRAINING, []), (self.state(), self.ready()))

    def test_late_draining_report_applies_after_a_newer_ready_report(self):
        self.registry.heartbeat("i-1", report(7), 0.0)
        self.registry.heartbeat("i-1", report(6, "draining"), 0.0)
        self.assertEqual(DRAINING, self.state())

    def test_departed_backend_stays_departed_after_later_reports(self):
        self.registry.heartbeat("i-1", report(5), 0.0)
        self.registry.leave("i-1", 0.0)
        self.registry.heartbeat("i-1", report(99), 0.0)
        self.registry.merge(attrs.evolve(self.registry.get("i-1"), state=READY, sequence=100), 0.0)
        self.assertEqual((DEPARTED, []), (self.state(), self.ready()))

    def test_departure_of_an_unknown_backend_outlasts_its_late_reports(self):
        self.registry.leave("i-1", 0.0)
        self.registry.heartbeat("i-1", report(5), 0.0)
        self.assertEqual(DEPARTED, self.state())

    def test_new_incarnation_at_an_address_departs_the_earlier_one_and_both_changes_are_listed(self):
        self.registry.heartbeat("i-1", report(50), 0.0)
        self.registry.heartbeat("i-2", report(1), 1.0)
        self.assertEqual((DEPARTED, ["i-2"]), (self.state(), self.ready()))
        changed = {backend.identity: backend.state for backend in self.registry.changes_since(1).backends}
        self.assertEqual({"i-1": DEPARTED, "i-2": READY}, changed)

    def test_live_incarnation_displaces_an_earlier_one_that_reported_late(self):
        self.registry.heartbeat("i-2", report(8), 0.0)
        self.registry.heartbeat("i-1", report(50), 0.0)
        self.registry.heartbeat("i-2", report(9), 1.0)
        self.registry.heartbeat("i-1", report(50), 1.0)
        self.assertEqual(["i-2"], self.ready())

    def test_update_from_another_node_displaces_no_incarnation(self):
        old = self.registry.heartbeat("i-1", report(50), 0.0)
        self.registry = BackendRegistry()
        self.registry.heartbeat("i-2", report(8), 0.0)
        self.registry.merge(old, 0.0)
        self.assertIn("i-2", self.ready())
        self.registry.heartbeat("i-2", report(9), 1.0)
        self.assertEqual(["i-2"], self.ready())

    def test_counter_changes_are_published_at_most_once_per_interval(self):
        self.registry.heartbeat("i-1", report(1, ColdLeftMs=900), 0.0)
        self.registry.heartbeat("i-1", report(2, ColdLeftMs=100), COUNTERS_STREAM_INTERVAL_S / 2)
        self.assertEqual(1, self.registry.change_number)
        self.registry.heartbeat("i-1", report(3, ColdLeftMs=0), COUNTERS_STREAM_INTERVAL_S / 2)
        self.assertEqual(2, self.registry.change_number)
        self.registry.heartbeat("i-1", report(4), COUNTERS_STREAM_INTERVAL_S)
        self.assertEqual(2, self.registry.change_number)
        self.registry.heartbeat("i-1", report(5), COUNTERS_STREAM_INTERVAL_S * 2)
        self.assertEqual(3, self.registry.change_number)

    def test_changes_since_a_number_list_each_later_change_once(self):
        for index in range(4):
            self.registry.heartbeat(f"i-{index}", report(1, address=f"10.0.0.{index}:80"), 0.0)
        self.registry.heartbeat("i-1", report(2, "draining", address="10.0.0.1:80"), 0.0)
        changes = self.registry.changes_since(2)
        self.assertEqual(["i-2", "i-3", "i-1"], [backend.identity for backend in changes.backends])
        self.assertEqual((), self.registry.changes_since(changes.change_number).backends)

    def test_registries_agree_for_any_order_of_reports(self):
        reports = [self.backend(sequence, READY) for sequence in range(1, 6)]
        reports += [self.backend(6, DRAINING), self.backend(7, DRAINING)]
        reports += [
            presumed_departed(reports[2]),
            presumed_departed(reports[4]),
            presumed_departed(reports[6]),
        ]
        for seed in range(200):
            rng = random.Random(seed)
            sampled = rng.sample(reports, rng.randrange(1, len(reports))) + [
                as_departed(reports[0])
            ] * rng.randrange(2)
            states = set()
            for _ in range(4):
                registry = BackendRegistry()
                for backend in rng.sample(sampled, len(sampled)):
                    registry.merge(backend, 0.0)
                states.add((registry.get("i-1").state, registry.get("i-1").sequence))
            self.assertEqual(1, len(states), (seed, states))

    def backend(self, sequence, state):
        return Backend("i-1", "blue", "10.0.0.9:80", "east", "v1", 4, state, 0, sequence)

    def test_at_most_one_of_two_reports_supersedes_the_other(self):
        reports = [
            self.backend(sequence, state) for sequence in (1, 2) for state in (READY, DRAINING, DEPARTED)
        ]
        for one in reports:
            for other in reports:
                self.assertFalse(supersedes(one, other) and supersedes(other, one))

    def test_expired_and_excess_tombstones_are_removed(self):
        self.patch(tombstones_module, "MAX_TOMBSTONES", 3)
        for index in range(5):
            self.registry.leave(f"i-{index}", float(index))
        self.assertEqual(["i-2", "i-3", "i-4"], [backend.identity for backend in self.registry.all()])
        self.registry.expire(2.5 + TOMBSTONE_S, INTERVAL, 0.0)
        self.assertEqual(["i-3", "i-4"], [backend.identity for backend in self.registry.all()])

    def test_full_registry_rejects_new_backends_and_updates_known_ones(self):
        self.patch(registry_module, "MAX_LIVE", 1)
        self.registry.heartbeat("i-1", report(1), 0.0)
        other = report(1, address="10.0.0.8:80")
        self.assertEqual("full", self.registry.heartbeat("i-2", other, 0.0).code)
        self.assertEqual(2, self.registry.heartbeat("i-1", report(2), 0.0).sequence)

    def test_full_registry_rejects_the_return_of_a_backend_presumed_departed(self):
        self.patch(registry_module, "MAX_LIVE", 2)
        for name in ("i-1", "i-2"):  # at one address
            self.registry.heartbeat(name, report(1), 0.0)
        self.registry.heartbeat("i-3", report(1, address="10.0.0.8:80"), 0.0)
        self.assertEqual(DEPARTED, self.registry.get("i-1").state)
        moved = report(2, address="10.0.0.7:80")
        self.assertEqual("full", self.registry.heartbeat("i-1", moved, 1.0).code)
        self.assertFalse(self.registry.merge(self.backend(2, READY), 1.0))
        self.assertEqual(DEPARTED, self.registry.get("i-1").state)
        self.registry.leave("i-3", 1.0)
        self.assertEqual(READY, self.registry.heartbeat("i-1", moved, 1.0).state)


class UnresponsiveBackendsTest(testtools.TestCase):
    """Detection of unresponsive backends."""

    def setUp(self):
        super().setUp()
        self.registry = BackendRegistry()

    def send_heartbeats(self, now, *names):
        for name in names:
            self.registry.heartbeat(name, report(int(now * 10), address=f"10.0.0.{ord(name)}:80"), now)

    def test_unresponsive_backend_becomes_suspect_and_later_departed(self):
        for second in range(12):
            self.send_heartbeats(second, *("abc" if second == 0 else "bc"))
        self.assertEqual(("a",), self.registry.expire(3.6, INTERVAL, 0.0).suspects)
        unresponsive = self.registry.expire(11.0, INTERVAL, 0.0)
        self.assertEqual(
            ((), ["a"]), (unresponsive.suspects, [backend.identity for backend in unresponsive.departed])
        )
        self.assertEqual(DEPARTED, self.registry.get("a").state)

    def test_next_report_of_a_backend_presumed_departed_makes_it_ready(self):
        for second in range(12):
            self.send_heartbeats(second, *("abc" if second == 0 else "bc"))
        self.registry.expire(11.0, INTERVAL, 0.0)
        self.send_heartbeats(12, "a")
        self.assertEqual(READY, self.registry.get("a").state)

    def test_draining_backend_presumed_departed_returns_as_draining(self):
        self.registry.heartbeat("a", report(5, "draining"), 0.0)
        self.registry.merge(presumed_departed(self.registry.get("a")), 0.0)
        self.registry.heartbeat("a", report(6), 0.0)
        self.assertEqual(DRAINING, self.registry.get("a").state)

    def test_node_without_heartbeats_suspects_no_backend(self):
        self.send_heartbeats(0.0, *"abcd")
        self.send_heartbeats(9.0, "a")
        for now in (20.0, 9.5):
            unresponsive = self.registry.expire(now, INTERVAL, 0.0)
            self.assertEqual(((), ()), (unresponsive.suspects, unresponsive.departed))

    def test_node_recently_out_of_contact_presumes_no_backend_departed(self):
        for second in range(12):
            self.send_heartbeats(second, *("abc" if second == 0 else "bc"))
        unresponsive = self.registry.expire(11.0, INTERVAL, 5.0)
        self.assertEqual((("a",), ()), (unresponsive.suspects, unresponsive.departed))
