"""Guards are proven by their removal: with one taken out, a known script of the model or a test fails."""

import asyncio
import contextlib
import inspect
import json
import unittest
from unittest import mock

import attrs
import logbook
import testtools

from kestrelbend.tier.budgets.shard_queue import ShardRequestQueue
from kestrelbend.tier.budgets.messages import BudgetReply, Reserve, ReserveOutcome, Verdict
from kestrelbend.tier.budgets.route import ClientSettings
from kestrelbend.tier.configuration.document_orders import checked_entry
from kestrelbend.tier.configuration.messages import UNDETERMINED, ConfigOrder, OrderKind
from kestrelbend.tier.configuration.shard_service import NOT_OWNER
from kestrelbend.tier.configuration.state import ConfigurationState
from kestrelbend.tier.control.retirement import ALL_STORES_HEARD_S, NOT_FOUND, Retirement
from kestrelbend.tier.fleet import mutations  # noqa: F401  (fills the registry)
from kestrelbend.tier.fleet.day import Day, play_day
from kestrelbend.tier.fleet.guards import GUARDS, UnknownGuard, find, locate, without
from kestrelbend.tier.fleet.mutations import groups
from kestrelbend.tier.membership import placement
from kestrelbend.tier.membership.messages import ConfigAck, Hello
from kestrelbend.tier.membership.table import MemberTable
from kestrelbend.tier.model.orders import search_orders
from kestrelbend.tier.model.scripts import SCRIPTS
from kestrelbend.tier.model.search import search
from kestrelbend.tier.replication.messages import ReadIndexReply, ReadIndexRequest
from kestrelbend.tier.replication.snapshot_transfer import SnapshotReceiver
from kestrelbend.tier.roles.routing_state import RoutingState
from tests.tier.forked_pool import forked_pool
from tests.tier import virtual_time
from tests.tier.dataplane_world import STAMP, Simulation
from tests.tier.replication_harness import SHARD, Cluster
from tests.tier.test_protocol_replies import ConnectionPair
from tests.tier.test_snapshots import chunks_of

FOUND_BY_MODEL = {  # guard: script, faults
    "vote-on-disk": ("vote_lost_with_the_power", 0),
    "one-vote": ("orders", 0),
    "vote-for-full-logs": ("candidate_that_lags", 0),
    "entry-on-disk": ("follower_with_a_stalled_disk", 0),
    "own-entry-on-disk": ("owner_with_a_stalled_disk", 0),
    "own-epoch": ("entry_of_an_older_epoch", 1),
    "former-owner": ("former_owner_speaks", 0),
    "learner": ("newcomer_with_a_stalled_disk", 0),
    "group-step": ("two_changes_at_once", 0),
    "group-epoch": ("change_in_a_new_epoch", 0),
    "confirmed-read": ("owner_cut_off_reads", 0),
    "read-after-first-entry": ("new_owner_reads", 0),
    "rounds": ("old_replies", 0),
    "check-quorum": ("owner_alone", 0),
    "stood-still": ("stood_still", 0),
    "contact": ("cut_off_and_current", 0),
    "current": ("cut_off_and_current", 0),
}

FOUND_BY_MODEL_OF_ORDERS = {"confirmed-refusal": "orders_at_a_former_owner", "order-name": "orders_race"}
FOUND_BY_TEST = {
    "placement-number": "test_replication_placement.TestPlacementNumber"
    ".test_given_restarted_replicas_when_an_older_placement_arrives_then_the_group_does_not_change",
    "placement-order": "test_configuration_state.OrdersTest"
    ".test_placement_is_replaced_only_by_the_next_number",
    "settled": "test_replication_placement.TestStableGroup"
    ".test_given_an_uncommitted_change_then_the_previous_group_is_reported_and_it_is_not_stable",
    "emptied": "test_configuration_state.RetirementTest.test_retirement_without_recorded_removals_is_running",
    "emptied-identity": "test_storage_journal.DataDirectoryTest"
    ".test_emptied_disk_gets_a_new_identity_and_keeps_it",
    "reservation-first": "test_dataplane_streams.TurnBudgetTest.test_spent_budget_gives_402_without_a_send",
    "reservation-name": "test_budgets_table.BudgetTest"
    ".test_duplicate_reservation_gets_the_same_outcome_and_adds_no_tokens",
    "instance": "test_dataplane_requests.ForwardingTest"
    ".test_method_path_query_body_and_headers_are_forwarded_unchanged",
    "answer-id": "test_guards.TestAnswers.test_an_answer_that_names_no_request_or_two_is_given_to_nobody",
    "gateway-refusal": "test_gateway_contact_stories.TestCutOff"
    ".test_gateway_without_a_disk_is_unready_while_partitioned",
    "version-order": "test_guards.TestVersions.test_an_older_version_is_not_put_in_force",
    "overtaken": "test_snapshots.LargeEntryTest.test_a_large_entry_is_sent_once_and_heartbeats_continue",
    "snapshot-digest": "test_snapshots.SnapshotReceiverTest"
    ".test_bytes_with_a_wrong_digest_are_rejected_and_requested_again",
    "snapshot-late": "test_snapshots.SnapshotReceiverTest"
    ".test_a_late_chunk_of_an_older_snapshot_does_not_end_the_newer_transfer",
    "retained-entries": "test_snapshots.SnapshotTransferTest"
    ".test_a_transfer_completes_although_newer_snapshots_are_taken",
    "later-wish": "test_replication_placement.TestLeadershipTransferDuringAGroupChange"
    ".test_given_two_placements_in_any_order_then_the_one_with_the_higher_number_is_reached",
    "emptied-stays": "test_configuration_state.RetirementTest"
    ".test_removal_by_a_group_with_a_disk_of_the_node_or_an_unknown_disk_is_rejected",
    "new-voter": "test_configuration_state.RetirementTest.test_later_placement_cannot_add_a_retiring_node",
    "emptied-by-owner": "test_control_store_facts.StoreFactsTest"
    ".test_report_by_another_replica_or_of_an_unfinished_change_records_nothing",
    "heard-all": "test_guards.TestRetirements.test_a_young_owner_refuses_no_retirement",
    "done-without": "test_replication_placement.TestLossDuringAGroupChange"
    ".test_given_a_lagging_voter_then_a_live_voter_is_removed_only_once_the_others_are_caught_up",
    "whole-group": "test_guards.TestFounding.test_fewer_disks_than_a_whole_group_has_found_nothing",
    "read-ticket": "test_read_index.CurrentStateTest.test_replies_to_an_earlier_incarnation_are_ignored",
    "read-forget": "test_read_index.LaggingReplicaTest"
    ".test_given_a_new_leader_then_replies_of_the_former_one_are_ignored",
    "read-majority": "test_read_index.CurrentStateTest"
    ".test_a_partitioned_leader_and_its_follower_are_out_of_contact_while_it_still_leads",
    "read-reply": "test_read_index.LaggingReplicaTest"
    ".test_given_replies_of_another_leader_term_or_incarnation_then_they_are_ignored",
    "other-base": "test_configuration_state.OrdersTest"
    ".test_order_whose_base_may_become_current_is_undetermined",
    "checked-base": "test_guards.TestCheckedEntries.test_one_whose_base_may_become_current_is_not_refused",
    "call-refusals": "test_configuration_operator_api.OperatorApiTest"
    ".test_outcome_outside_the_rejection_table_is_not_returned_as_a_rejection",
    "newest-refuses": "test_gateway_contact.GatewayContactTest"
    ".test_version_older_than_the_confirmed_one_may_not_refuse",
    "elsewhere": "test_gateway_contact.GatewayContactTest"
    ".test_gateway_without_replies_from_other_machines_loses_contact_within_a_second",
    "forgotten-name": "test_budgets_repeats.NamesTest"
    ".test_tokens_of_a_duplicate_settlement_count_once_after_its_name_was_dropped",
    "budget-room": "test_budgets_table.BoundsTest.test_table_size_stays_bounded_with_many_programs_and_turns",
    "budget-answer": "test_guards.TestBudgetReplies.test_a_reply_to_another_request_is_not_taken",
    "reply-number": "test_protocol_replies.RepliesTest"
    ".test_given_a_reply_later_than_its_time_when_another_waits_then_that_one_does_not_get_it",
    "deadline": "test_dataplane_answers.ForwardedDeadlineTest.test_each_retry_forwards_the_remaining_time",
    "fresh-connection": "test_dataplane_answers.ResponseMatchingTest"
    ".test_duplicate_rejection_of_the_first_send_is_not_matched_to_the_second",
    "own-answer": "test_dataplane_answers.ResponseMatchingTest"
    ".test_response_that_may_not_be_forwarded_gives_502",
    "rest": "test_dataplane_answers.EarlyResponseTest.test_connection_with_an_unread_body_is_not_reused",
    "surplus": "test_dataplane_requests.InvalidResponseTest.test_bytes_after_a_response_close_its_connection",
    "ids-rise": "test_dataplane_streams.EventStreamTest.test_second_run_that_starts_over_is_not_appended",
    "repeat": "test_dataplane_streams.EventStreamTest.test_non_resumable_stream_without_a_response_runs_once",
    "may-have-run": "test_dataplane_answers.ResponsesWithoutLengthTest"
    ".test_reset_before_forwarding_gives_502",
    "left-client": "test_dataplane_answers.ClientDisconnectTest"
    ".test_disconnect_cancels_retryable_requests_and_streams",
    "half-done": "test_dataplane_answers.ClientDisconnectTest"
    ".test_disconnect_does_not_cancel_a_request_that_may_run_only_once",
    "data-refusal": "test_dataplane_answers.StaleConfigurationTest"
    ".test_rejection_by_a_possibly_stale_configuration_is_a_503",
    "snapshot-mix": "test_guards.TestSnapshots.test_a_newer_one_begins_without_the_bytes_of_an_older",
    "event-end": "test_dataplane_streams.EventSplitterTest.test_end_within_an_event_raises",
    "named-instance": "test_dataplane_answers.MisdirectedRequestTest"
    ".test_only_the_expected_instance_gets_the_request",
    "closed-here": "test_dataplane_answers.ResponsesWithoutLengthTest"
    ".test_locally_aborted_connection_does_not_complete_a_response",
    "read-request": "test_guards.TestReadRequests.test_a_question_of_another_epoch_is_not_answered",
    "current-after-first-entry": "test_read_index.CurrentStateTest"
    ".test_a_new_leader_is_not_current_before_it_has_committed",
    "committed-group": "test_replication_placement.TestStableGroup"
    ".test_given_an_uncommitted_change_then_the_previous_group_is_reported_and_it_is_not_stable",
    "add-before-remove": "test_replication_placement.TestLossDuringAGroupChange"
    ".test_given_live_voters_to_replace_then_the_group_exceeds_its_size_by_at_most_one",
    "stores-complete": "test_fleet_tolerance.TestConfigurationSurvivesTheToleratedLosses"
    ".test_given_three_control_nodes_when_two_lose_their_disks_then_the_configuration_is_read",
    "store-hands-over": "test_fleet_tolerance.TestGroupsWhileMachinesChange"
    ".test_given_stores_alone_with_the_newest_entries_when_one_leads_then_it_hands_over",
    "spread": "test_membership_placement.SpreadVotersTest"
    ".test_founders_in_one_zone_are_exchanged_and_the_first_stays",
    "leave-holders": "test_report_quorum.ReportQuorumTest"
    ".test_report_on_two_of_three_nodes_would_be_lost_with_two_tolerated_losses",
    "ended-connection": "test_guards.TestEndedConnections.test_who_waits_for_a_reply_hears_of_it_at_once",
}

DAY_OF_A_LONG_CUT = "1:0/long_cut"
FOUND_BY_DAY = ("contact", "current", "leaving-vouched")  # the first two are known to the model, too


class TestGuards(testtools.TestCase):
    def test_each_guard_names_a_function_that_is_there(self):
        for guard in GUARDS.values():
            self.assertIsNotNone(locate(guard.target).present, guard.name)

    def test_an_unknown_guard_and_a_function_that_is_gone_are_errors(self):
        self.assertRaises(UnknownGuard, find, "no-such-guard")
        self.assertRaises(UnknownGuard, locate, "replication.leader:LeaderState.no_such_function")

    def test_each_guard_is_found_by_something(self):
        finders = {*FOUND_BY_MODEL, *FOUND_BY_MODEL_OF_ORDERS, *FOUND_BY_TEST, *FOUND_BY_DAY}
        self.assertEqual(sorted(GUARDS), sorted(finders))

    def test_a_guard_is_back_afterwards(self):
        for guard in GUARDS.values():
            place = locate(guard.target)
            with without(guard.name):
                self.assertIsNot(place.present, locate(guard.target).present)
            self.assertIs(place.present, locate(guard.target).present)

    def test_a_removal_takes_what_the_function_takes(self):
        for guard in GUARDS.values():
            present = locate(guard.target).present
            self.assertEqual(isinstance(present, property), isinstance(guard.mutation, property), guard.name)
            self.assertIn(parameter_count(guard.mutation), (None, parameter_count(present)), guard.name)

    def test_a_removal_may_call_the_function_that_it_takes_the_place_of(self):
        place = locate(find("emptied-identity").target)
        with without("emptied-identity"):
            self.assertIs(place.present, groups._write_any_identity)


class TestGuardsOfTheCore(testtools.TestCase):
    """The replication core's guards, found by the model."""

    def test_no_script_breaks_a_rule_with_all_guards_in_place(self):
        for name, script in SCRIPTS.items():
            self.assertEqual("", search(script, faults=0).violation, name)

    def test_each_removal_breaks_a_rule(self):
        for guard, (script, faults) in FOUND_BY_MODEL.items():
            with without(guard):
                found = search(SCRIPTS[script], faults)
            self.assertNotEqual("", found.violation, f"nothing finds the removal of {guard}")

    def test_each_removal_breaks_a_rule_of_orders(self):
        for guard, script in FOUND_BY_MODEL_OF_ORDERS.items():
            with without(guard):
                found = search_orders(script, faults=0)
            self.assertNotEqual("", found.violation, f"nothing finds the removal of {guard}")


class TestGuardsOfTheRest(testtools.TestCase):
    """The other guards, each found by a test that passes with it and fails without it."""

    def test_each_removal_fails_its_test(self):
        for guard, name in FOUND_BY_TEST.items():
            self.assertEqual([], problems(name), f"{name} fails")
            with without(guard):
                found = problems(name)
            self.assertNotEqual([], found, f"{name} does not find the removal of {guard}")
            self.assertEqual([], list(filter(is_of_the_removal, found)), f"the removal of {guard} breaks")


class TestGuardsOfTheFleet(testtools.TestCase):
    """Guards whose removal a day of the in-memory fleet shows."""

    def test_each_removal_breaks_a_rule_of_the_watch(self):
        with forked_pool(len(FOUND_BY_DAY) + 1) as pool:
            failures = pool.map(failures_without, ("", *FOUND_BY_DAY), chunksize=1)
        self.assertEqual((), failures[0])
        for guard, found in zip(FOUND_BY_DAY, failures[1:], strict=True):
            self.assertNotEqual((), found, f"nothing finds the removal of {guard}")


def failures_without(guard):
    """The rules that a day breaks without a guard, or with all of them."""
    logbook.NullHandler().push_application()
    with without(guard) if guard else contextlib.nullcontext():
        return play_day(Day.read(DAY_OF_A_LONG_CUT)).violations


def problems(name):
    """What a test of this folder fails by; nothing where it passes."""
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromName(f"tests.tier.{name}").run(result)
    return [text for _, text in (*result.errors, *result.failures)]


def is_of_the_removal(problem):
    """Whether the removal itself broke: that would show nothing of the guard."""
    frames = [line for line in problem.splitlines() if line.lstrip().startswith('File "')]
    return "RecursionError" in problem or "fleet/mutations/" in frames[-1]


def parameter_count(function):
    """How many values a function (or a property's getter) takes; None where any number of them."""
    function = function.fget if isinstance(function, property) else function
    parameters = inspect.signature(function).parameters.values()
    if any(parameter.kind is parameter.VAR_POSITIONAL for parameter in parameters):
        return None
    return len(parameters)


class TestAnswers(testtools.TestCase):
    def test_an_answer_that_names_no_request_or_two_is_given_to_nobody(self):
        for names in ([], ["own", "other"]):
            world = Simulation()
            world.backend("i-1").respond_with(answer_that_names(names))
            got = world.run(world.send_request("/pay/x"))
            self.assertNotIn(b"foreign", got.body)


def answer_that_names(names):
    """An answer with these request ids, "own" for the one that was asked."""

    async def script(asked):
        own = asked.fields["x-kestrelbend-request-id"]
        lines = [f"X-Kestrelbend-Request-Id: {own if name == 'own' else name}".encode() for name in names]
        lines += [b"X-Kestrelbend-Server-Stamp: " + STAMP, b"Content-Length: 7", b"", b"foreign"]
        asked.connection.send(b"\r\n".join([b"HTTP/1.1 200 X", *lines]))

    return script


class TestVersions(testtools.TestCase):
    def test_an_older_version_is_not_put_in_force(self):
        routing = RoutingState()
        for version in (2, 1):
            document = {"Ver": version, "Routes": [], "Services": []}
            routing.take(version, json.dumps(document).encode())
        self.assertEqual(2, routing.version)


class TestCheckedEntries(testtools.TestCase):
    def test_one_whose_base_may_become_current_is_not_refused(self):
        document = {"Ver": 7, "Routes": [], "Services": []}
        order = ConfigOrder(int(OrderKind.PUT), 3, json.dumps(document).encode())
        self.assertEqual(UNDETERMINED, ConfigurationState().apply(checked_entry(order)).status)


class TestFounding(testtools.TestCase):
    def test_fewer_disks_than_a_whole_group_has_found_nothing(self):
        disks = [placement.Candidate(f"{name}:1#x", f"{name}:1", name, "a", 0) for name in "abc"]
        for count in range(3):
            self.assertEqual([], placement.initial_budget_placements((), 3, disks[:count]))
        self.assertNotEqual([], placement.initial_budget_placements((), 3, disks))


@attrs.define
class Configuration:
    """The configuration's state, which holds nothing."""

    state: ConfigurationState = attrs.field(factory=ConfigurationState)
    owner_check: object = None


class TestRetirements(testtools.TestCase):
    def test_a_young_owner_refuses_no_retirement(self):
        order = ConfigOrder(OrderKind.RETIRE, 0, b"nobody")
        for owned_for in (0.0, ALL_STORES_HEARD_S - 0.1):
            self.assertEqual(NOT_OWNER, retirement_of_an_owner_for(owned_for).rejection(order))
        self.assertEqual(NOT_FOUND, retirement_of_an_owner_for(ALL_STORES_HEARD_S).rejection(order).status)


def retirement_of_an_owner_for(seconds):
    """Orders to empty stores, at a node that has owned the configuration for this long."""
    return Retirement(Configuration(), MemberTable(), lambda: 1, lambda: 100.0, lambda now: seconds)


class TestBudgetReplies(testtools.TestCase):
    def test_a_reply_to_another_request_is_not_taken(self):
        names = iter(["other", "own"])

        async def send(address, request):
            outcome = ReserveOutcome(next(names), Verdict.ADMITTED, 10, 0, 0)
            return BudgetReply(request.shard, True, "", (outcome,))

        async def play():
            line = ShardRequestQueue("budget-0", send, lambda shard: ("a:1",), ClientSettings())
            outcome = await line.reserve(
                Reserve("program", "session", "own", 1, 10, 100, True), max_wait_s=1.0
            )
            self.assertEqual("own", outcome.reservation)

        virtual_time.run(play())


class TestReadRequests(testtools.TestCase):
    def test_a_question_of_another_epoch_is_not_answered(self):
        cluster = Cluster()
        cluster.run(1.0)
        leader = cluster.leader().replica
        requester = next(node for node in cluster.nodes.values() if node.replica is not leader)
        for ticket, term in ((1, leader.term - 1), (2, leader.term + 1), (3, leader.term)):
            leader.receive(ReadIndexRequest(SHARD, requester.identity, term, ticket), cluster.now)
        cluster.run(0.5)
        replies = [message for _, _, message in cluster.sent if isinstance(message, ReadIndexReply)]
        self.assertEqual([3], [reply.ticket for reply in replies])


class TestEndedConnections(testtools.TestCase):
    def test_who_waits_for_a_reply_hears_of_it_at_once(self):
        async def play():
            pair = ConnectionPair(process("a:1"), process("b:1"))
            asked = asyncio.ensure_future(pair.near.request(ConfigAck(1), timeout=5.0))
            await pair.carry()
            pair.end()
            self.assertIsNone(await asked)
            self.assertEqual(0.0, asyncio.get_running_loop().time())

        virtual_time.run(play())


def process(address):
    """The endpoint of a connection, which does nothing."""
    return mock.Mock(hello=Hello(address, f"{address}#d", 1), opened={}, sent_bytes=0)


class TestSnapshots(testtools.TestCase):
    def test_a_newer_one_begins_without_the_bytes_of_an_older(self):
        older, newer = chunks_of(b"older", index=5), chunks_of(b"newer", index=9)
        receiver = SnapshotReceiver()
        receiver.receive(older[0])
        self.assertEqual(0, receiver.received(newer[0]))
        *missing, installed = [receiver.receive(piece) for piece in newer]
        self.assertEqual([None, None], missing)
        self.assertEqual(attrs.evolve(newer[0].snapshot, state=b"newer"), installed)
