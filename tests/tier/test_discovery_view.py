"""Tests of a gateway's view of the backends, merged from updates of several control nodes."""

import attrs
import testtools

from kestrelbend.tier.discovery.messages import Backend, BackendState, BackendUpdate
from kestrelbend.tier.discovery.order import as_departed, presumed_departed
from kestrelbend.tier.discovery.tombstones import TOMBSTONE_S
from kestrelbend.tier.discovery.view import BackendView

READY, DRAINING, DEPARTED = (int(state) for state in BackendState)
INTERVAL = 1.0


def backend(identity, sequence=1, state=READY, service="blue", **fields):
    """Returns a backend as it appears in updates of control nodes."""
    known = Backend(identity, service, f"10.0.0.{len(identity)}:80", "east", "v1", 4, state, 0, sequence)
    return attrs.evolve(known, **fields)


class BackendViewTest(testtools.TestCase):
    """The ready backends after a sequence of updates."""

    def setUp(self):
        super().setUp()
        self.view = BackendView()

    def merge_update(self, *backends, sender="c-1", complete=False, now=0.0):
        return self.view.merge(BackendUpdate(sender, 1, complete, backends), now)

    def ready_identities(self, service="blue"):
        return [known.identity for known in self.view.ready(service)]

    def test_updates_from_two_senders_are_merged(self):
        self.merge_update(backend("a"), backend("x", service="green"))
        self.merge_update(backend("b"), sender="c-2")
        self.assertEqual(
            (["a", "b"], ["x"], []),
            (self.ready_identities(), self.ready_identities("green"), self.ready_identities("red")),
        )
        self.assertEqual({"blue", "green"}, set(self.view.services()))

    def test_backend_missing_from_a_complete_update_is_kept(self):
        self.merge_update(backend("a"), backend("b"))
        self.merge_update(backend("b", 9), sender="c-2", complete=True)
        self.merge_update(complete=True)
        self.assertEqual(["a", "b"], self.ready_identities())

    def test_draining_backend_stays_excluded_when_other_senders_report_it_ready(self):
        self.merge_update(backend("a", 5))
        self.assertEqual(("a",), self.merge_update(backend("a", 6, DRAINING), sender="c-2"))
        self.merge_update(backend("a", 5), backend("a", 7))
        self.assertEqual([], self.ready_identities())

    def test_departed_backend_stays_excluded(self):
        self.merge_update(backend("a", 5))
        self.merge_update(as_departed(backend("a", 5)))
        self.merge_update(backend("a", 99), sender="c-2")
        self.assertEqual(([], DEPARTED), (self.ready_identities(), self.view.get("a").state))

    def test_backend_marked_departed_is_excluded_until_it_reports_again(self):
        self.merge_update(backend("a", 5))
        self.view.mark_departed("a", 0.0)
        self.view.mark_departed("unknown", 0.0)
        self.merge_update(backend("a", 5), sender="c-2")
        self.assertEqual([], self.ready_identities())
        self.merge_update(backend("a", 6))
        self.assertEqual(["a"], self.ready_identities())

    def test_counter_changes_keep_the_cached_tuple_of_ready_backends(self):
        self.merge_update(backend("a", 5), backend("b", 5))
        before = self.view.ready("blue")
        self.merge_update(backend("a", 6), backend("b", 7))
        self.assertIs(before, self.view.ready("blue"))
        self.assertEqual(7, self.view.get("b").sequence)
        self.merge_update(backend("a", 8, slots=9))
        self.assertEqual([9, 4], [known.slots for known in self.view.ready("blue")])

    def test_backend_that_changes_service_is_ready_only_for_the_new_one(self):
        self.merge_update(backend("a", 5))
        self.merge_update(backend("a", 6, service="green"))
        self.assertEqual(([], ["a"]), (self.ready_identities(), self.ready_identities("green")))

    def run_seconds(self, seconds, unresponsive_from):
        """Backends `b` and `c` report each second, `a` only before second `unresponsive_from`."""
        for second in range(seconds):
            names = "abc" if second < unresponsive_from else "bc"
            self.merge_update(*(backend(name, second + 1) for name in names), now=float(second))
            self.view.refresh(second + 0.5, INTERVAL)

    def test_unresponsive_backend_is_ordered_last_and_later_excluded(self):
        self.run_seconds(6, 1)
        self.assertEqual((["b", "c", "a"], True), (self.ready_identities(), self.view.is_suspect("a")))
        self.run_seconds(14, 1)
        self.assertEqual(["b", "c"], self.ready_identities())
        self.merge_update(backend("a", 2), now=14.0)
        self.view.refresh(14.0, INTERVAL)
        self.assertEqual(["a", "b", "c"], self.ready_identities())

    def test_gateway_without_updates_keeps_its_backends(self):
        self.run_seconds(3, 3)
        for second in range(3, 60):
            self.assertEqual((), self.view.refresh(float(second), INTERVAL))
        self.assertEqual(["a", "b", "c"], self.ready_identities())

    def test_gateway_presumes_no_backend_departed_right_after_an_update_gap(self):
        self.run_seconds(3, 3)
        self.view.refresh(30.0, INTERVAL)
        self.merge_update(backend("b", 40), backend("c", 40), now=30.5)
        self.assertEqual((), self.view.refresh(31.0, INTERVAL))
        self.assertEqual(["b", "c", "a"], self.ready_identities())

    def test_expired_tombstone_is_removed(self):
        self.merge_update(presumed_departed(backend("a")), now=0.0)
        self.view.refresh(TOMBSTONE_S - 1, INTERVAL)
        self.assertIsNotNone(self.view.get("a"))
        self.view.refresh(TOMBSTONE_S, INTERVAL)
        self.assertIsNone(self.view.get("a"))
