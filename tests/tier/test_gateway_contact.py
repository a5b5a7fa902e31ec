"""Tests of a gateway's contact state, determined by its requests and the replies to them."""

import asyncio
import random

import testtools

from kestrelbend.tier.budgets.client import BudgetClient
from kestrelbend.tier.budgets.messages import Reserve, Verdict
from kestrelbend.tier.dataplane.lifecycle import Lifecycle
from kestrelbend.tier.membership.messages import ContactReply
from kestrelbend.tier.roles.gateway_contact import CONTACT_S, ELECTION_S, GatewayContact, Standing
from tests.tier import virtual_time
from tests.tier.budget_fleet import ADDRESSES, BudgetFleet, Faults

CONTROLS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
STORES = ("10.0.0.4:3", "10.0.0.5:3", "10.0.0.6:3")
HEARTBEAT_S = 0.25
TICK_S = 0.02
SHARD = "budget-0"
OWN = CONTROLS[0]


class SimulatedProcesses:
    """Control nodes and stores; those in `replying` reply after `delay_s`.  Time advances in ticks."""

    def __init__(self):
        self.contact = GatewayContact("10.0.0.1")
        self.contact.follow(CONTROLS, {SHARD: STORES})
        self.now = 100.0
        self.requested = []
        self.replying = {*CONTROLS, *STORES}
        self.in_contact = {*CONTROLS}
        self.owner = STORES[0]
        self.version = 7
        self.lagging = set()
        self.delay_s = 0.0
        self._pending_replies = []
        self._next_heartbeat_at = 0.0

    def reply(self, address, ticket):
        owned = (SHARD,) if address == self.owner else ()
        version = 0 if address in self.lagging else self.version
        return ContactReply(ticket, address in self.in_contact, version, owned)

    def run(self, seconds):
        end_at = self.now + seconds
        while self.now < end_at:
            self.contact.tick(self.now)
            if self.now >= self._next_heartbeat_at:
                self._next_heartbeat_at = self.now + HEARTBEAT_S
                for address, ticket in self.contact.due_requests(self.now).items():
                    self.requested.append(address)
                    if address in self.replying:
                        self._pending_replies.append(
                            (self.now + self.delay_s, address, self.reply(address, ticket))
                        )
            while self._pending_replies and self._pending_replies[0][0] <= self.now:
                _, address, reply = self._pending_replies.pop(0)
                self.contact.take(address, reply)
            self.now += TICK_S

    def partition(self):
        """Only the process on the gateway's own machine replies, and it has lost contact as well."""
        self.replying = {OWN}
        self.in_contact = set()

    def standing(self):
        return self.contact.configuration(self.now), self.contact.shard(SHARD, self.now)


class GatewayContactTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.processes = SimulatedProcesses()
        self.contact = self.processes.contact

    def run_without_faults(self):
        self.processes.run(2.0)
        self.processes.requested.clear()

    def test_gateway_without_any_reply_does_not_serve(self):
        self.processes.replying = set()
        self.processes.run(1.0)
        self.assertFalse(self.contact.serves(self.processes.now))
        self.assertFalse(self.contact.may_refuse(7, self.processes.now))

    def test_without_faults_only_one_control_node_and_the_owner_are_asked(self):
        self.run_without_faults()
        self.processes.run(2.0)
        self.assertEqual({CONTROLS[0], STORES[0]}, {*self.processes.requested})
        self.assertLessEqual(len(self.processes.requested), 16)
        self.assertTrue(self.contact.serves(self.processes.now))

    def test_owner_that_replies_to_requests_is_not_asked_for_contact(self):
        self.run_without_faults()
        for _ in range(20):
            self.contact.replied(STORES[0], SHARD, True, self.processes.now)
            self.processes.run(0.1)
        self.assertNotIn(STORES[0], self.processes.requested)

    def test_gateway_without_replies_from_other_machines_loses_contact_within_a_second(self):
        self.run_without_faults()
        self.processes.partition()
        self.processes.run(CONTACT_S + HEARTBEAT_S)
        self.assertEqual((Standing.LOST, Standing.LOST), self.processes.standing())
        self.assertFalse(self.contact.serves(self.processes.now))
        self.assertFalse(self.contact.may_refuse(7, self.processes.now))

    def test_gateway_serves_again_with_the_first_replies_after_a_partition(self):
        self.run_without_faults()
        self.processes.partition()
        self.processes.run(20.0)
        self.processes.replying, self.processes.in_contact = {*CONTROLS, *STORES}, {*CONTROLS}
        self.processes.run(HEARTBEAT_S + TICK_S)
        self.assertTrue(self.contact.serves(self.processes.now))
        self.assertTrue(self.contact.may_refuse(7, self.processes.now))

    def test_gateway_waits_for_an_election_for_a_bounded_time_while_others_reply(self):
        self.run_without_faults()
        self.processes.owner, self.processes.in_contact = "", set()
        self.processes.replying -= {STORES[0], CONTROLS[1]}
        self.processes.run(1.0)
        self.assertEqual((Standing.ELECTION, Standing.ELECTION), self.processes.standing())
        self.assertTrue(self.contact.serves(self.processes.now))
        self.assertFalse(self.contact.may_refuse(7, self.processes.now), "an election confirms no version")
        self.processes.run(ELECTION_S)
        self.assertEqual((Standing.LOST, Standing.LOST), self.processes.standing())

    def test_no_shard_is_lost_during_an_election_that_ends_with_a_new_owner(self):
        self.run_without_faults()
        self.processes.owner = ""
        self.processes.replying -= {STORES[0]}
        for _ in range(10):
            self.processes.run(0.1)
            self.assertEqual([], self.contact.lost_shards(self.processes.now))
        self.processes.owner = STORES[1]
        self.processes.run(HEARTBEAT_S + TICK_S)
        self.assertIs(Standing.IN_CONTACT, self.contact.shard(SHARD, self.processes.now))

    def test_contact_claimed_by_the_process_on_the_own_machine_is_sufficient(self):
        self.run_without_faults()
        self.processes.replying = {OWN, *STORES}
        self.processes.run(2.0)
        self.assertIs(Standing.IN_CONTACT, self.contact.configuration(self.processes.now))

    def test_replies_slower_than_the_contact_validity_give_no_contact(self):
        self.run_without_faults()
        self.processes.delay_s = CONTACT_S + 0.1
        self.processes.run(2.0)
        self.assertFalse(self.contact.serves(self.processes.now))

    def test_replies_slower_than_a_heartbeat_interval_keep_contact(self):
        self.processes.delay_s = 0.3
        self.run_without_faults()
        for _ in range(20):
            self.processes.run(0.1)
            self.assertTrue(self.contact.serves(self.processes.now))

    def test_replies_with_unknown_tickets_or_from_other_processes_are_ignored(self):
        self.processes.replying = set()
        self.processes.run(0.3)
        for ticket in range(40):
            self.contact.take("10.0.0.9:1", ContactReply(ticket, True, 7, (SHARD,)))
        self.contact.take(OWN, ContactReply(999, True, 7, (SHARD,)))
        self.assertEqual((Standing.LOST, Standing.LOST), self.processes.standing())

    def test_resumed_process_keeps_serving_but_refuses_nothing_until_the_next_reply(
        self,
    ):
        self.run_without_faults()
        self.processes.now += 20.0
        self.contact.tick(self.processes.now)
        self.assertTrue(self.contact.serves(self.processes.now))
        self.assertFalse(self.contact.may_refuse(7, self.processes.now))
        self.processes.run(HEARTBEAT_S + TICK_S)
        self.assertTrue(self.contact.may_refuse(7, self.processes.now))

    def test_lagging_control_node_keeps_contact_and_another_confirms_the_version(self):
        self.processes.lagging = {*CONTROLS}
        self.run_without_faults()
        self.assertTrue(self.contact.serves(self.processes.now))
        self.assertFalse(self.contact.may_refuse(7, self.processes.now))
        self.processes.lagging = {CONTROLS[2]}
        for _ in range(10):
            self.processes.run(HEARTBEAT_S + TICK_S)
            self.assertTrue(self.contact.may_refuse(7, self.processes.now))

    def test_version_older_than_the_confirmed_one_may_not_refuse(self):
        self.run_without_faults()
        self.assertTrue(self.contact.may_refuse(7, self.processes.now))
        self.assertFalse(self.contact.may_refuse(6, self.processes.now))
        self.assertTrue(self.contact.may_refuse(8, self.processes.now))

    def test_single_process_on_the_own_machine_is_sufficient_if_it_is_the_owner(self):
        self.contact.follow((OWN,), {SHARD: (OWN,)})
        self.processes.owner, self.processes.in_contact = OWN, {OWN}
        self.processes.replying = {OWN}
        self.processes.run(3.0)
        self.assertTrue(self.contact.serves(self.processes.now))


class BudgetRequestsWithoutContactTest(testtools.TestCase):
    def reserve(self, name):
        return Reserve("program", "session", name, 1, 100, 1000, True)

    def test_lost_shard_ends_requests_at_once_without_taking_tokens(self):
        async def scenario():
            fleet = BudgetFleet(random.Random(1))
            lost = set()
            client = BudgetClient(
                fleet.send,
                lambda shard: ADDRESSES,
                shard_count=1,
                owner_reachable=lambda shard: shard not in lost,
            )
            fleet.faults = Faults(reply_lost=1.0)
            first = asyncio.create_task(client.reserve(self.reserve("first")))
            await asyncio.sleep(0.1)
            lost.add(SHARD)
            client.fail_pending(SHARD)
            self.assertEqual(Verdict.OWNER_UNAVAILABLE, (await first).verdict)
            self.assertEqual(
                Verdict.OWNER_UNAVAILABLE, (await client.reserve(self.reserve("second"))).verdict
            )
            self.assertEqual(0.1, asyncio.get_running_loop().time())
            fleet.faults = Faults()
            lost.clear()
            await asyncio.sleep(2.0)
            outcome = await client.reserve(self.reserve("third"))
            self.assertEqual((Verdict.ADMITTED, 100), (outcome.verdict, outcome.total))
            self.assertTrue(await client.close(max_wait_s=1.0))

        virtual_time.run(scenario())


class ConnectionClosingTest(testtools.TestCase):
    def test_gateway_that_is_not_ready_closes_connections_with_its_responses(self):
        lifecycle = Lifecycle()
        self.assertFalse(lifecycle.closes_connections, "a gateway that has just started keeps connections")
        lifecycle.set_ready(True)
        self.assertFalse(lifecycle.closes_connections)
        lifecycle.set_ready(False)
        self.assertTrue(lifecycle.closes_connections)
        lifecycle.set_ready(True)
        self.assertFalse(lifecycle.closes_connections)
        lifecycle.drain()
        self.assertTrue(lifecycle.closes_connections)
