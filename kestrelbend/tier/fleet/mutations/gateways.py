"""Mutations at gateways, budgets and replies between processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...configuration.document import read_accepted
from ...configuration.routing import RoutingTable
from ...protocol.codec import DecodeError, decode_with_sequence
from ...protocol.peer_connection import PeerConnection
from ..guards import guard

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...budgets.messages import BudgetReply, BudgetRequest, Verdict
    from ...budgets.program import ProgramBudget
    from ...budgets.table import BudgetTable
    from ...roles.gateway_contact import GatewayContact
    from ...roles.routing_state import RoutingState

_take = PeerConnection._take


@guard("version-order", "roles.routing_state:RoutingState.take", "a gateway that goes back")
def take_any_version(holder: RoutingState, version: int, body: bytes) -> None:
    """Puts an older version in force, too."""
    holder._table = RoutingTable.from_document(version, read_accepted(body).values)


@guard("reservation-name", "budgets.program:ProgramBudget._recorded_verdict", "one turn counted twice")
def know_no_reservation(program: ProgramBudget, reservation: str) -> Verdict | None:
    """Takes a repeated reservation for a new one."""
    return None


@guard(
    "newest-refuses", "roles.gateway_contact:GatewayContact.may_refuse", "refusals by an old configuration"
)
def refuse_without_contact(contact: GatewayContact, version: int, now: float) -> bool:
    """Counts every version as the newest."""
    return True


@guard("elsewhere", "roles.gateway_contact:GatewayContact._elsewhere", "ready though the machine is cut off")
def count_own_machine(contact: GatewayContact, addresses: Iterable[str]) -> list[str]:
    """Counts the control node of the gateway's own machine as contact."""
    return list(addresses)


@guard("forgotten-name", "budgets.table:BudgetTable._is_forgotten", "one turn counted twice")
def forget_no_name(table: BudgetTable, program: ProgramBudget, reservation: str) -> bool:
    """Counts no reservation's name as forgotten."""
    return False


@guard("budget-room", "budgets.table:BudgetTable._has_capacity_for", "a table without bounds")
def have_room_for_all(table: BudgetTable, name: str) -> bool:
    """Has capacity for every program."""
    return True


@guard("budget-answer", "budgets.shard_queue:reply_matches", "another request's outcomes taken")
def take_any_outcomes(request: BudgetRequest, reply: BudgetReply) -> bool:
    """Takes an owner's reply to another request."""
    return reply.owner


@guard("reply-number", "protocol.peer_connection:PeerConnection._take", "a reply given to another request")
def give_to_the_first(connection: PeerConnection, frame: bytes) -> bool:
    """Gives a reply to the request that has waited longest."""
    try:
        message, sequence = decode_with_sequence(frame)
    except DecodeError:
        return _take(connection, frame)
    if sequence >= 0 or not connection._pending_replies:
        return _take(connection, frame)
    waiting = connection._pending_replies.pop(next(iter(connection._pending_replies)))
    if not waiting.done():
        waiting.set_result(message)
    return True


@guard(
    "ended-connection",
    "protocol.peer_connection:PeerConnection.connection_lost",
    "callers that wait where nothing can come",
)
def let_them_wait(connection: PeerConnection, exc: Exception | None) -> None:
    """Ends a connection without ending what waits for its replies."""
    connection.closed = True
    connection._endpoint.opened.pop(connection, None)
    connection._endpoint.lost(connection)
