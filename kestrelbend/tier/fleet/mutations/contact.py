"""Mutations at contact, reads and orders."""

from __future__ import annotations

from ...configuration.messages import ConfigOutcome
from ...replication.progress import NEVER
from ...replication.read_index import ReadIndexAnswer
from ..guards import guard


@guard("confirmed-read", "replication.leader:LeaderState._acknowledged_round", "reads of an old state")
def count_as_acknowledged(leader, identity):
    return leader._rounds.current


@guard("read-after-first-entry", "replication.leader:LeaderState._read_index", "reads of an old state")
def read_what_is_known(leader):
    return leader._state.commit_index


@guard(
    "rounds",
    "replication.progress:HeartbeatRounds.started_at",
    "contact claimed by replies that lay in a socket",
)
def started_last(rounds, number):
    return rounds._started_at[-1] if rounds._started_at else NEVER


@guard("check-quorum", "replication.leader:LeaderState.has_quorum_contact", "an owner that nobody follows")
def be_in_touch(leader, now):
    return True


@guard("stood-still", "replication.replica:Replica._advance_clock", "an owner by what it knew long ago")
def only_note_the_time(replica, now):
    replica._now = now


@guard("contact", "membership.owner_contact:in_contact", "promises by a node that is cut off")
def count_as_in_contact(replica, now):
    return True


@guard("current", "membership.owner_contact:is_current", "old configurations handed out as the newest")
def count_as_current(replica, now):
    return True


@guard("confirmed-refusal", "configuration.shard_service:ConfigurationService._confirmed", "wrong refusals")
async def count_as_confirmed(service):
    return True


@guard("leaving-vouched", "roles.control:ControlProcess._may_acknowledge_leaving", "sends to who left")
def acknowledge_any_leaving(process, holders):
    return True


@guard("gateway-refusal", "roles.gateway:GatewayProcess.may_refuse", "refusals by an old configuration")
def refuse_by_any_version(gateway):
    return True


@guard(
    "order-name", "configuration.document_orders:DocumentOrders._accepted_version", "a repeated order refused"
)
def know_no_order(state, digest):
    return None


@guard(
    "read-ticket", "replication.read_index:FollowerReads.record_answer", "answers to an earlier life counted"
)
def count_any_ticket(reads, ticket, index):
    requested_at = reads._requested_at.pop(ticket, reads._last_requested_at)
    reads.confirmed_at = max(reads.confirmed_at, requested_at)
    reads._answers.append(ReadIndexAnswer(requested_at, index))


@guard("read-forget", "replication.read_index:FollowerReads.reset", "answers of a former owner counted")
def forget_nothing(reads):
    return None


@guard("read-majority", "replication.read_index:PendingReads.take_ready", "reads that no majority confirmed")
def take_all(reads, acknowledged_round, commit_index):
    ready = list(reads._waiting)
    reads._waiting.clear()
    return ready


@guard("read-reply", "replication.roles:ReplicaRoles.receive_read_reply", "answers of a former owner counted")
def take_any_reply(roles, reply):
    roles.reads.record_answer(reply.ticket, reply.index)


@guard("other-base", "configuration.document_orders:other_base", "refusals that do not last")
def refuse_any_base(order, version, forgotten_version):
    return ConfigOutcome(412, version, "another version is current")


@guard(
    "checked-base", "configuration.document_orders:DocumentOrders._other_base", "refusals that do not last"
)
def refuse_any_base_of_a_checked_entry(state, order):
    return ConfigOutcome(412, state.version, "another version is current")


@guard("call-refusals", "configuration.operator_api:_allowed", "refusals that a call may not get")
def allow_any_refusal(call, answer):
    return answer


@guard(
    "read-request", "replication.roles:ReplicaRoles.receive_read_request", "answers in another epoch's name"
)
def confirm_for_any_term(roles, request):
    if roles.leader_state is not None:
        roles.leader_state.confirm_for_follower(request.sender, request.ticket)


@guard("current-after-first-entry", "replication.replica:Replica.current_at", "an owner current too early")
@property
def be_current_once_confirmed(replica):
    leader_state = replica._roles.leader_state
    if leader_state is None:
        return replica._reads.current_at(replica.applied_index)
    return leader_state.confirmed_at
