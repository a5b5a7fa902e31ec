"""Mutations at contact, reads and orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...configuration.messages import ConfigOutcome
from ...replication.progress import NEVER
from ...replication.read_index import ReadIndexAnswer
from ..guards import guard, guard_property

if TYPE_CHECKING:
    from ...configuration.document_orders import DocumentOrders
    from ...configuration.http_answers import ApiResponse
    from ...configuration.messages import ConfigOrder
    from ...configuration.shard_service import ConfigurationService
    from ...membership.owner_contact import ConfirmedReplica
    from ...replication.leader import LeaderState
    from ...replication.messages import ReadIndexReply, ReadIndexRequest, ReplicaId
    from ...replication.progress import HeartbeatRounds
    from ...replication.read_index import FollowerReads, PendingRead, PendingReads
    from ...replication.replica import Replica
    from ...replication.roles import ReplicaRoles
    from ...roles.control import ControlProcess
    from ...roles.gateway import GatewayProcess


@guard("confirmed-read", "replication.leader:LeaderState._acknowledged_round", "reads of an old state")
def count_as_acknowledged(leader: LeaderState, identity: ReplicaId) -> int:
    """Counts every follower as having acknowledged the current round."""
    return leader._rounds.current


@guard("read-after-first-entry", "replication.leader:LeaderState._read_index", "reads of an old state")
def read_what_is_known(leader: LeaderState) -> int:
    """Reads up to the commit index, also before an entry of this term is committed."""
    return leader._state.commit_index


@guard(
    "rounds",
    "replication.progress:HeartbeatRounds.started_at",
    "contact claimed by replies that lay in a socket",
)
def started_last(rounds: HeartbeatRounds, number: int) -> float:
    """Dates every reply by the start of the newest round."""
    return rounds._started_at[-1] if rounds._started_at else NEVER


@guard("check-quorum", "replication.leader:LeaderState.has_quorum_contact", "an owner that nobody follows")
def be_in_touch(leader: LeaderState, now: float) -> bool:
    """Has the leader count itself in contact with a quorum at all times."""
    return True


@guard("stood-still", "replication.replica:Replica._advance_clock", "an owner by what it knew long ago")
def only_note_the_time(replica: Replica, now: float) -> None:
    """Keeps what was known before a pause of the process."""
    replica._now = now


@guard("contact", "membership.owner_contact:in_contact", "promises by a node that is cut off")
def count_as_in_contact(replica: ConfirmedReplica, now: float) -> bool:
    """Counts every replica as in contact."""
    return True


@guard("current", "membership.owner_contact:is_current", "old configurations handed out as the newest")
def count_as_current(replica: ConfirmedReplica, now: float) -> bool:
    """Counts every replica as current."""
    return True


@guard("confirmed-refusal", "configuration.shard_service:ConfigurationService._confirmed", "wrong refusals")
async def count_as_confirmed(service: ConfigurationService, within: float) -> bool:
    """Rejects without a majority's confirmation."""
    return True


@guard("leaving-vouched", "roles.control:ControlProcess._may_acknowledge_leaving", "sends to who left")
def acknowledge_any_leaving(process: ControlProcess, holders: set[str]) -> bool:
    """Acknowledges that a backend leaves, out of contact too."""
    return True


@guard("gateway-refusal", "roles.gateway:GatewayProcess.may_refuse", "refusals by an old configuration")
def refuse_by_any_version(gateway: GatewayProcess) -> bool:
    """Rejects by whatever configuration is in force at the gateway."""
    return True


@guard(
    "order-name", "configuration.document_orders:DocumentOrders._accepted_version", "a repeated order refused"
)
def know_no_order(state: DocumentOrders, digest: bytes) -> int | None:
    """Takes a repeated order for a new one."""
    return None


@guard(
    "read-ticket", "replication.read_index:FollowerReads.record_answer", "answers to an earlier life counted"
)
def count_any_ticket(reads: FollowerReads, ticket: int, index: int) -> None:
    """Takes an answer to any ticket as one to the last request."""
    requested_at = reads._requested_at.pop(ticket, reads._last_requested_at)
    reads.confirmed_at = max(reads.confirmed_at, requested_at)
    reads._answers.append(ReadIndexAnswer(requested_at, index))


@guard("read-forget", "replication.read_index:FollowerReads.reset", "answers of a former owner counted")
def forget_nothing(reads: FollowerReads) -> None:
    """Keeps requests and answers when the leader or the term changes."""


@guard("read-majority", "replication.read_index:PendingReads.take_ready", "reads that no majority confirmed")
def take_all(reads: PendingReads, acknowledged_round: int, commit_index: int) -> list[PendingRead]:
    """Answers all pending reads at once."""
    ready = list(reads._pending)
    reads._pending.clear()
    return ready


@guard("read-reply", "replication.roles:ReplicaRoles.receive_read_reply", "answers of a former owner counted")
def take_any_reply(roles: ReplicaRoles, reply: ReadIndexReply) -> None:
    """Takes a read reply of any sender and term."""
    roles.reads.record_answer(reply.ticket, reply.index)


@guard("other-base", "configuration.document_orders:base_mismatch_outcome", "refusals that do not last")
def refuse_any_base(order: ConfigOrder, version: int, forgotten_version: int) -> ConfigOutcome:
    """Rejects an order on another version with a final 412, whatever that version is."""
    return ConfigOutcome(412, version, "another version is current")


@guard(
    "checked-base",
    "configuration.document_orders:DocumentOrders._base_mismatch_outcome",
    "refusals that do not last",
)
def refuse_any_base_of_a_checked_entry(state: DocumentOrders, order: ConfigOrder) -> ConfigOutcome:
    """Rejects a checked entry on another version with a final 412."""
    return ConfigOutcome(412, state.version, "another version is current")


@guard("call-refusals", "configuration.operator_api:_allowed", "refusals that a call may not get")
def allow_any_refusal(call: str, answer: ApiResponse) -> ApiResponse:
    """Lets a call get any rejection."""
    return answer


@guard(
    "read-request", "replication.roles:ReplicaRoles.receive_read_request", "answers in another epoch's name"
)
def confirm_for_any_term(roles: ReplicaRoles, request: ReadIndexRequest) -> None:
    """Confirms a read request of any term."""
    if roles.leader_state is not None:
        roles.leader_state.confirm_for_follower(request.sender, request.ticket)


@guard_property(
    "current-after-first-entry", "replication.replica:Replica.current_at", "an owner current too early"
)
def be_current_once_confirmed(replica: Replica) -> float:
    """Counts a leader as current before the first entry of its term is committed."""
    leader_state = replica._roles.leader_state
    if leader_state is None:
        return replica._reads.current_at(replica.applied_index)
    return leader_state.confirmed_at
