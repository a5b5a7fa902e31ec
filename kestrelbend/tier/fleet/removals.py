"""The removal of each guard.  A removal does what the code would do if the guard had been forgotten."""

from __future__ import annotations

from ..configuration.document import read_accepted
from ..configuration.routing import RoutingTable
from ..dataplane.exchange import EXPECT_INSTANCE
from ..dataplane.exchange import Exchange as _Exchange
from ..replication.progress import NEVER
from ..storage.identity import FIRST_IDENTITY
from ..storage.identity import _write_identity as _write_any_identity
from .guards import guard

# Elections and the log


@guard("vote-on-disk", "replication.state:ReplicaState.send_after_write", "two owners of one epoch")
def send_at_once(state, receiver, message):
    state.send(receiver, message)


@guard("one-vote", "replication.election:Elections._grants", "two owners of one epoch")
def grant_again(elections, request):
    return request.epoch == elections._state.epoch and elections._may_vote_for(request)


@guard("vote-for-full-logs", "replication.election:Elections._may_vote_for", "an owner that lacks entries")
def vote_for_anyone(elections, request):
    return True


@guard("entry-on-disk", "replication.follower:Following._match_index", "acknowledged entries lost")
@property
def acknowledge_unwritten(following):
    return following._verified_index


@guard("own-entry-on-disk", "replication.owner:Ownership._match_index", "acknowledged entries lost")
def count_unwritten(owner, identity):
    if identity == owner._state.identity:
        return owner._log.last_index
    progress = owner.followers.get(identity)
    return progress.match_index if progress else 0


@guard(
    "own-epoch", "replication.owner:Ownership.advance_commit", "committed entries replaced by a later owner"
)
def commit_any_epoch(owner):
    index = owner._quorum_value(owner._match_index)
    if index <= owner._state.commit_index:
        return False
    owner._state.commit_to(index)
    return True


@guard("former-owner", "replication.replica:Replica._is_of_former_owner", "a former owner's entries put in")
def trust_former_owner(replica, message):
    return False


# Groups


@guard("learner", "replication.owner:Ownership.is_caught_up", "voters that hold nothing")
def count_as_caught_up(owner, identity, *now):
    return identity in owner.followers


@guard("group-step", "replication.log:ReplicaLog.group_index", "two majorities that do not meet")
@property
def know_no_change_under_way(log):
    return 0


@guard("group-epoch", "replication.owner:Ownership.has_committed", "two majorities that do not meet")
@property
def count_as_committed(owner):
    return True


@guard("placement-number", "replication.placement:Placement.may_follow", "a group led back by an old word")
def follow_any_placement(placement, target):
    return True


@guard("placement-order", "configuration.state:follows", "an old placement put in a newer one's place")
def take_any_placement(placement, known):
    return True


@guard("settled", "replication.placement:Placement.is_settled", "emptied by a group that is not committed")
def count_as_settled(placement, owner, now):
    return True


@guard("emptied", "configuration.stores:StoreRecords.is_emptied", "`complete` where nothing is known")
def count_as_emptied(stores, node, shard):
    return True


@guard("emptied-identity", "storage.identity:_write_identity", "votes and entries forgotten by a voter")
def write_first_identity(disk, data_dir, identity):
    _write_any_identity(disk, data_dir, FIRST_IDENTITY)


# Contact, reads and orders


@guard("confirmed-read", "replication.owner:Ownership._acknowledged_round", "reads of an old state")
def count_as_acknowledged(owner, identity):
    return owner._rounds.current


@guard("read-after-first-entry", "replication.owner:Ownership._read_index", "reads of an old state")
def read_what_is_known(owner):
    return owner._state.commit_index


@guard("rounds", "replication.progress:Rounds.began", "contact claimed by replies that lay in a socket")
def began_last(rounds, number):
    return rounds._began[-1] if rounds._began else NEVER


@guard("check-quorum", "replication.owner:Ownership.in_touch", "an owner that nobody follows")
def be_in_touch(owner, now):
    return True


@guard("stood-still", "replication.replica:Replica._advance_clock", "an owner by what it knew long ago")
def only_note_the_time(replica, now):
    replica._now = now


@guard("contact", "membership.standing:in_contact", "promises by a node that is cut off")
def count_as_in_contact(replica, now):
    return True


@guard("current", "membership.standing:is_current", "old configurations handed out as the newest")
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


@guard("order-name", "configuration.state:ConfigurationState._taken_before", "a repeated order refused")
def know_no_order(state, digest):
    return None


# Gateways


@guard("version-order", "roles.gateway:RoutingHolder.take", "a gateway that goes back")
def take_any_version(holder, version, body):
    holder._table = RoutingTable.from_document(version, read_accepted(body).values)


@guard("reservation-first", "dataplane.turn:_refusal", "tokens handed out that nobody counts")
def refuse_nothing(verdict, retry_after_ms):
    return None


@guard("reservation-name", "budgets.program:ProgramBudget._answered_before", "one turn counted twice")
def know_no_reservation(program, reservation):
    return None


@guard("instance", "dataplane.exchange:Exchange.headers_for", "requests run by another instance")
def expect_no_instance(exchange, backend, now, last_event_id):
    headers = _headers_for(exchange, backend, now, last_event_id)
    return [pair for pair in headers if pair[0] != EXPECT_INSTANCE]


_headers_for = _Exchange.headers_for


@guard("answer-id", "dataplane.send:_names_only", "an answer given to another caller")
def take_any_answer(request_id, headers):
    return True
