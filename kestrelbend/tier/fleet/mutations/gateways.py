"""Mutations at gateways, budgets and replies between processes."""

from __future__ import annotations

from ...configuration.document import read_accepted
from ...configuration.routing import RoutingTable
from ...protocol.codec import DecodeError, decode_with_sequence
from ...protocol.peer_connection import PeerConnection
from ..guards import guard

_take = PeerConnection._take


@guard("version-order", "roles.routing_state:RoutingState.take", "a gateway that goes back")
def take_any_version(holder, version, body):
    holder._table = RoutingTable.from_document(version, read_accepted(body).values)


@guard("reservation-name", "budgets.program:ProgramBudget._answered_before", "one turn counted twice")
def know_no_reservation(program, reservation):
    return None


@guard(
    "newest-refuses", "roles.gateway_contact:GatewayContact.may_refuse", "refusals by an old configuration"
)
def refuse_without_contact(contact, version, now):
    return True


@guard("elsewhere", "roles.gateway_contact:GatewayContact._elsewhere", "ready though the machine is cut off")
def count_own_machine(contact, addresses):
    return list(addresses)


@guard("forgotten-name", "budgets.table:BudgetTable._is_forgotten", "one turn counted twice")
def forget_no_name(table, program, reservation):
    return False


@guard("budget-room", "budgets.table:BudgetTable._has_capacity_for", "a table without bounds")
def have_room_for_all(table, name):
    return True


@guard("budget-answer", "budgets.shard_queue:answers", "another request's outcomes taken")
def take_any_outcomes(request, reply):
    return reply.owner


@guard("reply-number", "protocol.peer_connection:PeerConnection._take", "a reply given to another request")
def give_to_the_first(connection, frame):
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
def let_them_wait(connection, exc):
    connection.closed = True
    connection._endpoint.opened.discard(connection)
    connection._endpoint.lost(connection)
