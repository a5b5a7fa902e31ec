"""A gateway's view of the backends, from updates of several control nodes."""

import attrs
import testtools

from kestrelbend.tier.discovery.messages import Backend, BackendState, BackendUpdate
from kestrelbend.tier.discovery.order import as_departed, presumed_departed
from kestrelbend.tier.discovery.tombstones import TOMBSTONE_S
from kestrelbend.tier.discovery.view import BackendView

READY, DRAINING, DEPARTED = (int(state) for state in BackendState)
INTERVAL = 1.0


def backend(identity, sequence=1, state=READY, service="blue", **fields):
    """A backend as control nodes tell it."""
    known = Backend(identity, service, f"10.0.0.{len(identity)}:80", "east", "v1", 4, state, 0, sequence)
    return attrs.evolve(known, **fields)


class ViewTest(testtools.TestCase):
    """What may be chosen after a sequence of updates."""

    def setUp(self):
        super().setUp()
        self.view = BackendView()

    def take(self, *backends, sender="c-1", complete=False, now=0.0):
        return self.view.merge(BackendUpdate(sender, 1, complete, backends), now)

    def names(self, service="blue"):
        return [known.identity for known in self.view.ready(service)]

    def test_given_updates_of_two_senders_then_the_view_holds_both(self):
        self.take(backend("a"), backend("x", service="green"))
        self.take(backend("b"), sender="c-2")
        self.assertEqual((["a", "b"], ["x"], []), (self.names(), self.names("green"), self.names("red")))
        self.assertEqual({"blue", "green"}, set(self.view.services()))

    def test_given_a_sender_that_knows_less_then_nothing_is_removed(self):
        self.take(backend("a"), backend("b"))
        self.take(backend("b", 9), sender="c-2", complete=True)
        self.take(complete=True)
        self.assertEqual(["a", "b"], self.names())

    def test_given_a_report_that_one_drains_then_it_is_out_whatever_others_still_send(self):
        self.take(backend("a", 5))
        self.assertEqual(("a",), self.take(backend("a", 6, DRAINING), sender="c-2"))
        self.take(backend("a", 5), backend("a", 7))
        self.assertEqual([], self.names())

    def test_given_one_that_left_then_it_stays_out(self):
        self.take(backend("a", 5))
        self.take(as_departed(backend("a", 5)))
        self.take(backend("a", 99), sender="c-2")
        self.assertEqual(([], DEPARTED), (self.names(), self.view.get("a").state))

    def test_given_one_that_another_answered_for_then_it_is_out_until_it_reports_again(self):
        self.take(backend("a", 5))
        self.view.mark_departed("a", 0.0)
        self.view.mark_departed("unknown", 0.0)
        self.take(backend("a", 5), sender="c-2")
        self.assertEqual([], self.names())
        self.take(backend("a", 6))
        self.assertEqual(["a"], self.names())

    def test_given_counters_that_run_on_then_the_choice_is_not_built_anew(self):
        self.take(backend("a", 5), backend("b", 5))
        before = self.view.ready("blue")
        self.take(backend("a", 6), backend("b", 7))
        self.assertIs(before, self.view.ready("blue"))
        self.assertEqual(7, self.view.get("b").sequence)
        self.take(backend("a", 8, slots=9))
        self.assertEqual([9, 4], [known.slots for known in self.view.ready("blue")])

    def test_given_one_that_moves_to_another_service_then_it_is_in_that_one_only(self):
        self.take(backend("a", 5))
        self.take(backend("a", 6, service="green"))
        self.assertEqual(([], ["a"]), (self.names(), self.names("green")))

    def live_through(self, seconds, unresponsive_from):
        """`b` and `c` report each second, `a` only before `unresponsive_from`."""
        for second in range(seconds):
            names = "abc" if second < unresponsive_from else "bc"
            self.take(*(backend(name, second + 1) for name in names), now=float(second))
            self.view.refresh(second + 0.5, INTERVAL)

    def test_given_one_that_becomes_unresponsive_then_it_comes_last_and_later_goes(self):
        self.live_through(6, 1)
        self.assertEqual((["b", "c", "a"], True), (self.names(), self.view.is_suspect("a")))
        self.live_through(14, 1)
        self.assertEqual(["b", "c"], self.names())
        self.take(backend("a", 2), now=14.0)
        self.view.refresh(14.0, INTERVAL)
        self.assertEqual(["a", "b", "c"], self.names())

    def test_given_a_gateway_cut_off_from_all_control_nodes_then_it_keeps_what_it_knows(self):
        self.live_through(3, 3)
        for second in range(3, 60):
            self.assertEqual((), self.view.refresh(float(second), INTERVAL))
        self.assertEqual(["a", "b", "c"], self.names())

    def test_given_a_gateway_in_contact_again_then_it_presumes_nobody_departed_at_once(self):
        self.live_through(3, 3)
        self.view.refresh(30.0, INTERVAL)
        self.take(backend("b", 40), backend("c", 40), now=30.5)
        self.assertEqual((), self.view.refresh(31.0, INTERVAL))
        self.assertEqual(["b", "c", "a"], self.names())

    def test_given_old_tombstones_then_they_are_forgotten(self):
        self.take(presumed_departed(backend("a")), now=0.0)
        self.view.refresh(TOMBSTONE_S - 1, INTERVAL)
        self.assertIsNotNone(self.view.get("a"))
        self.view.refresh(TOMBSTONE_S, INTERVAL)
        self.assertIsNone(self.view.get("a"))
