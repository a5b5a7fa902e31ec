"""Tests of when a control node acknowledges the reports of backends."""

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
    """Another control node, which replies after `delay` seconds, or never if that is None."""

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
    """A subscribed gateway that sends no acknowledgements."""

    def __init__(self):
        self.closed = False
        self.updates: list[BackendUpdate] = []

    def send(self, message):
        self.updates.append(message)


class BackendReportsTest(testtools.TestCase):
    """Three control nodes: this one, `near` and `far`; any two of them are a majority."""

    def setUp(self):
        super().setUp()
        self.near, self.far = Peer("near"), Peer("far")
        self.peers = [self.near, self.far]
        self.in_contact = True

    def may_acknowledge(self, holders):
        return self.in_contact and len({*holders, "here"}) >= 2

    def create_node(self):
        loop = asyncio.get_running_loop()
        self.registry = BackendRegistry()
        self.exchange = BackendExchange("here", self.registry.all, lambda: self.peers)
        self.reports = BackendReports(self.registry, self.exchange, loop.time, self.may_acknowledge)

    async def timed(self, pending_reply):
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        outcome = await pending_reply
        return outcome, loop.time() - requested_at

    def heartbeat(self, **changes):
        return self.timed(self.reports.heartbeat("i-1", READY | changes))

    def drain(self, sequence=2):
        return self.heartbeat(State="draining", Seq=sequence)

    def run_scenario(self, scenario):
        async def run_all():
            self.create_node()
            await scenario()

        run(run_all())

    def test_draining_report_is_acknowledged_at_once_if_all_peers_reply(self):
        async def scenario():
            outcome, duration_s = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertTrue(duration_s < 0.05, duration_s)
            self.assertEqual(BackendState.DRAINING, self.far.updates[-1].backends[0].state)

        self.run_scenario(scenario)

    def test_node_without_peer_replies_acknowledges_neither_draining_nor_departure(self):
        async def scenario():
            self.near.delay = self.far.delay = None
            for pending_reply in (self.drain(), self.timed(self.reports.leave("i-1"))):
                outcome, duration_s = await pending_reply
                self.assertIs(ReportOutcome.UNAVAILABLE, outcome)
                self.assertTrue(duration_s <= REPLY_TIMEOUT_S, duration_s)

        self.run_scenario(scenario)

    def test_node_out_of_contact_does_not_acknowledge_despite_peer_replies(self):
        async def scenario():
            self.in_contact = False
            outcome, _ = await self.drain()
            self.assertIs(ReportOutcome.UNAVAILABLE, outcome)
            self.assertEqual(BackendState.DRAINING, self.near.updates[0].backends[0].state)

        self.run_scenario(scenario)

    def test_repeat_of_an_unacknowledged_report_is_acknowledged_only_in_contact(self):
        async def scenario():
            self.in_contact = False
            await self.drain(2)
            outcome, _ = await self.drain(3)
            self.assertIs(ReportOutcome.UNAVAILABLE, outcome)
            self.in_contact = True
            outcome, _ = await self.drain(4)
            self.assertIs(ReportOutcome.ACCEPTED, outcome)

        self.run_scenario(scenario)

    def test_report_is_acknowledged_if_contact_returns_before_the_deadline(self):
        async def scenario():
            self.in_contact = False
            asyncio.get_running_loop().call_later(0.3, setattr, self, "in_contact", True)
            outcome, duration_s = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertTrue(0.3 <= duration_s < REPLY_TIMEOUT_S, duration_s)

        self.run_scenario(scenario)

    def test_report_is_acknowledged_within_the_ack_timeout_if_one_peer_does_not_reply(self):
        async def scenario():
            self.far.delay = None
            outcome, duration_s = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertTrue(duration_s <= ACK_TIMEOUT_S + 0.01, duration_s)

        self.run_scenario(scenario)

    def test_peer_that_missed_the_update_is_notified_again_before_the_reply(self):
        async def scenario():
            self.peers = [self.near]
            self.near.delay = None
            asyncio.get_running_loop().call_later(0.5, setattr, self.near, "delay", 0.01)
            outcome, _ = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertEqual(3, len(self.near.updates))

        self.run_scenario(scenario)

    def test_update_is_sent_again_without_a_request_to_a_peer_that_timed_out(self):
        async def scenario():
            self.far.delay = None
            await self.drain()
            self.assertEqual(2, len(self.far.updates))
            self.assertEqual(self.far.updates[0], self.far.updates[1])

        self.run_scenario(scenario)

    def test_repeats_of_a_report_held_by_a_majority_are_acknowledged_at_once(self):
        async def scenario():
            await self.drain(2)
            self.near.delay = self.far.delay = None
            outcome, duration_s = await self.drain(3)
            self.assertEqual((ReportOutcome.ACCEPTED, 0.0), (outcome, duration_s))
            outcome, _ = await self.timed(self.reports.leave("i-1"))
            self.assertIs(ReportOutcome.UNAVAILABLE, outcome)

        self.run_scenario(scenario)

    def test_node_out_of_contact_accepts_ready_heartbeats_at_once(self):
        async def scenario():
            self.in_contact = False
            self.near.delay = self.far.delay = None
            outcome, duration_s = await self.heartbeat()
            self.assertEqual((ReportOutcome.ACCEPTED, 0.0), (outcome, duration_s))

        self.run_scenario(scenario)

    def test_counter_changes_are_published_together_later(self):
        async def scenario():
            await self.heartbeat()
            published = len(self.near.updates)
            await asyncio.sleep(COUNTERS_STREAM_INTERVAL_S)
            await self.heartbeat(Seq=2)
            self.assertEqual(published, len(self.near.updates))
            self.reports.publish_pending_changes()
            self.assertEqual(2, self.near.updates[-1].backends[0].sequence)

        self.run_scenario(scenario)

    def test_update_from_another_node_is_not_forwarded(self):
        async def scenario():
            backend = read_report("i-9", READY)
            self.reports.merge([backend])
            self.reports.publish_pending_changes()
            self.assertEqual([], self.near.updates)

        self.run_scenario(scenario)

    def test_gateway_that_does_not_acknowledge_delays_the_reply_by_the_ack_timeout(self):
        async def scenario():
            gateway = Gateway()
            self.exchange.subscribe(gateway)
            outcome, duration_s = await self.drain()
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertAlmostEqual(ACK_TIMEOUT_S, duration_s, 3)
            self.assertEqual(BackendState.DRAINING, gateway.updates[-1].backends[0].state)

        self.run_scenario(scenario)

    def test_full_registry_replies_unavailable_to_a_valid_heartbeat(self):
        self.patch(registry_module, "MAX_LIVE", 0)

        async def scenario():
            outcome, _ = await self.heartbeat()
            self.assertIs(ReportOutcome.UNAVAILABLE, outcome)
            outcome, _ = await self.heartbeat(Slots=-1)
            self.assertIs(ReportOutcome.MALFORMED, outcome)

        self.run_scenario(scenario)
