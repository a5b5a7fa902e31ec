"""What a gateway believes of its contact, by the questions it asked and the answers that came."""

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


class World:
    """Processes that answer at once where they can be reached; time goes on by ticks."""

    def __init__(self):
        self.contact = GatewayContact("10.0.0.1")
        self.contact.follow(CONTROLS, {SHARD: STORES})
        self.now = 100.0
        self.asked = []
        self.answering = {*CONTROLS, *STORES}
        self.in_contact = {*CONTROLS}
        self.owner = STORES[0]
        self.version = 7
        self.lagging = set()
        self.delay_s = 0.0
        self._late = []
        self._heartbeat_at = 0.0

    def reply(self, address, ticket):
        owned = (SHARD,) if address == self.owner else ()
        version = 0 if address in self.lagging else self.version
        return ContactReply(ticket, address in self.in_contact, version, owned)

    def run(self, seconds):
        ends = self.now + seconds
        while self.now < ends:
            self.contact.tick(self.now)
            if self.now >= self._heartbeat_at:
                self._heartbeat_at = self.now + HEARTBEAT_S
                for address, ticket in self.contact.due_requests(self.now).items():
                    self.asked.append(address)
                    if address in self.answering:
                        self._late.append((self.now + self.delay_s, address, self.reply(address, ticket)))
            while self._late and self._late[0][0] <= self.now:
                _, address, reply = self._late.pop(0)
                self.contact.take(address, reply)
            self.now += TICK_S

    def cut_off(self):
        """Only the process on the gateway's own machine answers, and it has lost contact as well."""
        self.answering = {OWN}
        self.in_contact = set()

    def standing(self):
        return self.contact.configuration(self.now), self.contact.shard(SHARD, self.now)


class ContactTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = World()
        self.contact = self.world.contact

    def run_calm(self):
        self.world.run(2.0)
        self.world.asked.clear()

    def test_given_nothing_was_answered_yet_then_the_gateway_does_not_serve(self):
        self.world.answering = set()
        self.world.run(1.0)
        self.assertFalse(self.contact.serves(self.world.now))
        self.assertFalse(self.contact.may_refuse(7, self.world.now))

    def test_given_a_calm_time_when_asked_then_one_control_node_and_the_owner_are_enough(self):
        self.run_calm()
        self.world.run(2.0)
        self.assertEqual({CONTROLS[0], STORES[0]}, {*self.world.asked})
        self.assertLessEqual(len(self.world.asked), 16)
        self.assertTrue(self.contact.serves(self.world.now))

    def test_given_requests_that_the_owner_answers_then_it_is_not_asked_besides(self):
        self.run_calm()
        for _ in range(20):
            self.contact.replied(STORES[0], SHARD, True, self.world.now)
            self.world.run(0.1)
        self.assertNotIn(STORES[0], self.world.asked)

    def test_given_a_cut_when_nobody_elsewhere_answers_then_it_is_lost_within_a_second(self):
        self.run_calm()
        self.world.cut_off()
        self.world.run(CONTACT_S + HEARTBEAT_S)
        self.assertEqual((Standing.LOST, Standing.LOST), self.world.standing())
        self.assertFalse(self.contact.serves(self.world.now))
        self.assertFalse(self.contact.may_refuse(7, self.world.now))

    def test_given_a_cut_that_ends_then_the_gateway_serves_again_with_the_next_answers(self):
        self.run_calm()
        self.world.cut_off()
        self.world.run(20.0)
        self.world.answering, self.world.in_contact = {*CONTROLS, *STORES}, {*CONTROLS}
        self.world.run(HEARTBEAT_S + TICK_S)
        self.assertTrue(self.contact.serves(self.world.now))
        self.assertTrue(self.contact.may_refuse(7, self.world.now))

    def test_given_an_election_when_others_answer_then_the_gateway_waits_for_a_bounded_time(self):
        self.run_calm()
        self.world.owner, self.world.in_contact = "", set()
        self.world.answering -= {STORES[0], CONTROLS[1]}
        self.world.run(1.0)
        self.assertEqual((Standing.ELECTION, Standing.ELECTION), self.world.standing())
        self.assertTrue(self.contact.serves(self.world.now))
        self.assertFalse(self.contact.may_refuse(7, self.world.now), "an election confirms no version")
        self.world.run(ELECTION_S)
        self.assertEqual((Standing.LOST, Standing.LOST), self.world.standing())

    def test_given_an_election_when_a_new_owner_answers_then_nothing_was_refused_meanwhile(self):
        self.run_calm()
        self.world.owner = ""
        self.world.answering -= {STORES[0]}
        for _ in range(10):
            self.world.run(0.1)
            self.assertEqual([], self.contact.lost_shards(self.world.now))
        self.world.owner = STORES[1]
        self.world.run(HEARTBEAT_S + TICK_S)
        self.assertIs(Standing.IN_CONTACT, self.contact.shard(SHARD, self.world.now))

    def test_given_only_the_own_machines_process_claims_contact_then_its_word_counts(self):
        self.run_calm()
        self.world.answering = {OWN, *STORES}
        self.world.run(2.0)
        self.assertIs(Standing.IN_CONTACT, self.contact.configuration(self.world.now))

    def test_given_answers_that_take_longer_than_contact_lasts_then_there_is_none(self):
        self.run_calm()
        self.world.delay_s = CONTACT_S + 0.1
        self.world.run(2.0)
        self.assertFalse(self.contact.serves(self.world.now))

    def test_given_answers_slower_than_a_heartbeat_then_contact_holds(self):
        self.world.delay_s = 0.3
        self.run_calm()
        for _ in range(20):
            self.world.run(0.1)
            self.assertTrue(self.contact.serves(self.world.now))

    def test_given_an_answer_to_no_question_or_anothers_question_then_it_says_nothing(self):
        self.world.answering = set()
        self.world.run(0.3)
        for ticket in range(40):
            self.contact.take("10.0.0.9:1", ContactReply(ticket, True, 7, (SHARD,)))
        self.contact.take(OWN, ContactReply(999, True, 7, (SHARD,)))
        self.assertEqual((Standing.LOST, Standing.LOST), self.world.standing())

    def test_given_this_process_stood_still_when_it_wakes_then_nobody_else_is_silent_but_nothing_refused(
        self,
    ):
        self.run_calm()
        self.world.now += 20.0
        self.contact.tick(self.world.now)
        self.assertTrue(self.contact.serves(self.world.now))
        self.assertFalse(self.contact.may_refuse(7, self.world.now))
        self.world.run(HEARTBEAT_S + TICK_S)
        self.assertTrue(self.contact.may_refuse(7, self.world.now))

    def test_given_a_control_node_that_lags_then_contact_holds_and_another_one_confirms_the_version(self):
        self.world.lagging = {*CONTROLS}
        self.run_calm()
        self.assertTrue(self.contact.serves(self.world.now))
        self.assertFalse(self.contact.may_refuse(7, self.world.now))
        self.world.lagging = {CONTROLS[2]}
        for _ in range(10):
            self.world.run(HEARTBEAT_S + TICK_S)
            self.assertTrue(self.contact.may_refuse(7, self.world.now))

    def test_given_a_newer_version_was_confirmed_when_an_older_is_in_force_then_it_refuses_nothing(self):
        self.run_calm()
        self.assertTrue(self.contact.may_refuse(7, self.world.now))
        self.assertFalse(self.contact.may_refuse(6, self.world.now))
        self.assertTrue(self.contact.may_refuse(8, self.world.now))

    def test_given_one_store_alone_on_this_machine_then_it_stands_for_itself(self):
        self.contact.follow((OWN,), {SHARD: (OWN,)})
        self.world.owner, self.world.in_contact = OWN, {OWN}
        self.world.answering = {OWN}
        self.world.run(3.0)
        self.assertTrue(self.contact.serves(self.world.now))


class WaitingTest(testtools.TestCase):
    def reserve(self, name):
        return Reserve("program", "session", name, 1, 100, 1000, True)

    def test_given_nobody_can_be_reached_then_turns_are_answered_at_once_and_take_no_tokens(self):
        async def play():
            fleet = BudgetFleet(random.Random(1))
            lost = set()
            client = BudgetClient(
                fleet.send, lambda shard: ADDRESSES, shard_count=1, may_wait=lambda shard: shard not in lost
            )
            fleet.faults = Faults(reply_lost=1.0)
            first = asyncio.create_task(client.reserve(self.reserve("first")))
            await asyncio.sleep(0.1)
            lost.add(SHARD)
            client.fail_pending(SHARD)
            self.assertEqual(Verdict.NO_ANSWER, (await first).verdict)
            self.assertEqual(Verdict.NO_ANSWER, (await client.reserve(self.reserve("second"))).verdict)
            self.assertEqual(0.1, asyncio.get_running_loop().time())
            fleet.faults = Faults()
            lost.clear()
            await asyncio.sleep(2.0)
            outcome = await client.reserve(self.reserve("third"))
            self.assertEqual((Verdict.ADMITTED, 100), (outcome.verdict, outcome.total))
            self.assertTrue(await client.close(within=1.0))

        virtual_time.run(play())


class LifeTest(testtools.TestCase):
    def test_given_a_gateway_that_lost_contact_then_its_answers_close_their_connections(self):
        lifecycle = Lifecycle()
        self.assertFalse(lifecycle.closes_connections, "one that has just started keeps what comes")
        lifecycle.set_ready(True)
        self.assertFalse(lifecycle.closes_connections)
        lifecycle.set_ready(False)
        self.assertTrue(lifecycle.closes_connections)
        lifecycle.set_ready(True)
        self.assertFalse(lifecycle.closes_connections)
        lifecycle.drain()
        self.assertTrue(lifecycle.closes_connections)
