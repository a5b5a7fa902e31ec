"""When a control node acknowledges what backends tell of themselves."""

from __future__ import annotations

import asyncio

import testtools

from kestrelbend.tier.configuration.ports import ReportOutcome
from kestrelbend.tier.control.backend_reports import REPLY_TIMEOUT_S, BackendReports
from kestrelbend.tier.discovery import registry as registry_module
from kestrelbend.tier.discovery.exchange import ACK_TIMEOUT_S, BackendExchange
from kestrelbend.tier.discovery.messages import BackendAck, BackendState, BackendUpdate
from kestrelbend.tier.discovery.registry import COUNTERS_STREAM_INTERVAL_S, BackendRegistry
from kestrelbend.tier.discovery.report import read_report
from tests.tier.virtual_time import run

READY = {
    "Upstream": "s",
    "Address": "10.0.0.1:1",
    "Zone": "z",
    "Ver": "v",
    "Slots": 4,
    "State": "ready",
    "ColdLeftMs": 0,
    "Seq": 1,
}


class Peer:
    """Another control node: it answers after `delay` seconds, or never."""

    def __init__(self, address, delay=0.01):
        self.address = address
        self.delay = delay
        self.updates = []

    def send(self, message):
        self.updates.append(message)

    async def request(self, message, timeout):
        self.updates.append(message)
        if self.delay is None or self.delay > timeout:
            await asyncio.sleep(timeout)
            return None
        await asyncio.sleep(self.delay)
        return BackendAck(message.sender, message.number)


class Gateway:
    """A subscribed gateway that acknowledges nothing by itself."""

    def __init__(self):
        self.closed = False
        self.updates: list[BackendUpdate] = []

    def send(self, message):
        self.updates.append(message)


class BackendReportsStories(testtools.TestCase):
    """Three control nodes, of which this one and `near` can be a majority."""

    def setUp(self):
        super().setUp()
        self.near, self.far = Peer("near"), Peer("far")
        self.peers = [self.near, self.far]
        self.in_contact = True

    def may_acknowledge(self, holders):
        return self.in_contact and len({*holders, "here"}) >= 2

    def given_a_node(self):
        loop = asyncio.get_running_loop()
        self.registry = BackendRegistry()
        self.exchange = BackendExchange("here", self.registry.all, lambda: self.peers)
        self.reports = BackendReports(self.registry, self.exchange, loop.time, self.may_acknowledge)

    async def timed(self, answering):
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        outcome = await answering
        return outcome, loop.time() - requested_at

    def heartbeat(self, **changes):
        return self.timed(self.reports.heartbeat("i-1", READY | changes))

    def drain(self, sequence=2):
        return self.heartbeat(State="draining", Seq=sequence)

    def play(self, story):
        async def whole():
            self.given_a_node()
            await story()

        run(whole())

    def test_given_a_calm_time_then_a_backend_that_drains_is_acknowledged_at_once(self):
        async def story():
            outcome, took = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertTrue(took < 0.05, took)
            self.assertEqual(BackendState.DRAINING, self.far.updates[-1].backends[0].state)

        self.play(story)

    def test_given_a_node_cut_off_then_neither_draining_nor_leaving_is_acknowledged(self):
        async def story():
            self.near.delay = self.far.delay = None
            for answering in (self.drain(), self.timed(self.reports.leave("i-1"))):
                outcome, took = await answering
                self.assertIs(ReportOutcome.UNAVAILABLE, outcome)
                self.assertTrue(took <= REPLY_TIMEOUT_S, took)

        self.play(story)

    def test_given_a_node_out_of_contact_then_what_it_reached_does_not_suffice(self):
        async def story():
            self.in_contact = False
            outcome, _ = await self.drain()
            self.assertIs(ReportOutcome.UNAVAILABLE, outcome)
            self.assertEqual(BackendState.DRAINING, self.near.updates[0].backends[0].state)

        self.play(story)

    def test_given_a_rejected_report_when_it_changes_nothing_any_more_then_it_is_still_not_acknowledged(self):
        async def story():
            self.in_contact = False
            await self.drain(2)
            outcome, _ = await self.drain(3)
            self.assertIs(ReportOutcome.UNAVAILABLE, outcome)
            self.in_contact = True
            outcome, _ = await self.drain(4)
            self.assertIs(ReportOutcome.ACCEPTED, outcome)

        self.play(story)

    def test_given_contact_that_comes_back_soon_then_the_report_is_acknowledged_in_time(self):
        async def story():
            self.in_contact = False
            asyncio.get_running_loop().call_later(0.3, setattr, self, "in_contact", True)
            outcome, took = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertTrue(0.3 <= took < REPLY_TIMEOUT_S, took)

        self.play(story)

    def test_given_one_control_node_away_then_the_others_suffice_after_the_wait(self):
        async def story():
            self.far.delay = None
            outcome, took = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertTrue(took <= ACK_TIMEOUT_S + 0.01, took)

        self.play(story)

    def test_given_a_peer_that_missed_the_update_then_it_is_notified_again_before_the_answer(self):
        async def story():
            self.peers = [self.near]
            self.near.delay = None
            asyncio.get_running_loop().call_later(0.5, setattr, self.near, "delay", 0.01)
            outcome, _ = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertEqual(3, len(self.near.updates))

        self.play(story)

    def test_given_a_peer_that_answers_too_late_then_the_update_is_left_on_its_connection(self):
        async def story():
            self.far.delay = None
            await self.drain()
            self.assertEqual(2, len(self.far.updates))
            self.assertEqual(self.far.updates[0], self.far.updates[1])

        self.play(story)

    def test_given_a_report_that_a_majority_holds_then_its_repeats_wait_for_nobody(self):
        async def story():
            await self.drain(2)
            self.near.delay = self.far.delay = None
            outcome, took = await self.drain(3)
            self.assertEqual((ReportOutcome.ACCEPTED, 0.0), (outcome, took))
            outcome, _ = await self.timed(self.reports.leave("i-1"))
            self.assertIs(ReportOutcome.UNAVAILABLE, outcome)

        self.play(story)

    def test_given_a_node_out_of_contact_then_plain_heartbeats_are_taken_at_once(self):
        async def story():
            self.in_contact = False
            self.near.delay = self.far.delay = None
            outcome, took = await self.heartbeat()
            self.assertEqual((ReportOutcome.ACCEPTED, 0.0), (outcome, took))

        self.play(story)

    def test_given_plain_heartbeats_then_they_are_published_together_later(self):
        async def story():
            await self.heartbeat()
            published = len(self.near.updates)
            await asyncio.sleep(COUNTERS_STREAM_INTERVAL_S)
            await self.heartbeat(Seq=2)
            self.assertEqual(published, len(self.near.updates))
            self.reports.publish_pending_changes()
            self.assertEqual(2, self.near.updates[-1].backends[0].sequence)

        self.play(story)

    def test_given_an_update_of_another_node_then_it_is_not_forwarded(self):
        async def story():
            backend = read_report("i-9", READY)
            self.reports.merge([backend])
            self.reports.publish_pending_changes()
            self.assertEqual([], self.near.updates)

        self.play(story)

    def test_given_a_gateway_that_does_not_answer_then_the_report_waits_for_it_only_so_long(self):
        async def story():
            gateway = Gateway()
            self.exchange.subscribe(gateway)
            outcome, took = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertAlmostEqual(ACK_TIMEOUT_S, took, 3)
            self.assertEqual(BackendState.DRAINING, gateway.updates[-1].backends[0].state)

        self.play(story)

    def test_given_a_full_registry_then_a_proper_heartbeat_is_not_called_malformed(self):
        self.patch(registry_module, "MAX_LIVE", 0)

        async def story():
            outcome, _ = await self.heartbeat()
            self.assertIs(ReportOutcome.UNAVAILABLE, outcome)
            outcome, _ = await self.heartbeat(Slots=-1)
            self.assertIs(ReportOutcome.MALFORMED, outcome)

        self.play(story)
