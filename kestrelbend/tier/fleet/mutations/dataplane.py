"""Mutations at the data plane."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...dataplane.exchange import DEADLINE_MS
from ...dataplane.forward import MAX_RUNS
from ..guards import guard, guard_property

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...dataplane.app import DataPlane
    from ...dataplane.attempt import Progress
    from ...dataplane.client import Client, LocalResponse
    from ...dataplane.connections import Connection
    from ...dataplane.events import EventSplitter
    from ...dataplane.exchange import Exchange, Failure, Headers
    from ...dataplane.forward import _AttemptHistory
    from ...dataplane.network import TcpStream
    from ...discovery.messages import Backend


@guard("reservation-first", "dataplane.turn:_rejection_for", "tokens handed out that nobody counts")
def refuse_nothing(verdict: int, retry_after_ms: int) -> LocalResponse | None:
    """Lets a turn run whatever the verdict on its reservation."""
    return None


@guard("instance", "dataplane.exchange:_expected_instance_header", "requests run by another instance")
def expect_no_instance(backend: Backend) -> Headers:
    """Names no instance that the request is meant for."""
    return []


@guard("answer-id", "dataplane.send:_has_only_request_id", "an answer given to another caller")
def take_any_answer(request_id: bytes, headers: Headers) -> bool:
    """Takes an answer that names another request."""
    return True


@guard("deadline", "dataplane.exchange:_deadline_header", "backends that go on after the time is over")
def hand_on_a_constant(remaining_s: float) -> Headers:
    """Sends 60 s as the deadline, whatever remains."""
    return [(DEADLINE_MS, b"60000")]


@guard_property("fresh-connection", "dataplane.attempt:Progress.connections", "an earlier try's answer taken")
def remember_no_connection(progress: Progress) -> tuple[Connection, ...]:
    """Forgets the connections of earlier attempts."""
    return ()


@guard("own-answer", "dataplane.send:_is_forwardable", "promises that nobody proved")
def pass_anything_on(status: int, fields: dict[bytes, bytes]) -> bool:
    """Passes any answer of a backend on."""
    return True


@guard_property(
    "rest", "dataplane.network:TcpStream.usable", "bytes that nobody asked for taken as an answer"
)
def be_usable_while_open(stream: TcpStream) -> bool:
    """Counts a stream that holds unread or unsent bytes as usable."""
    assert stream._transport is not None
    return not (stream._ended or stream._transport.is_closing())


@guard_property(
    "surplus",
    "dataplane.connections:Connection.has_trailing_data",
    "bytes behind an answer taken as the next one",
)
def see_no_surplus(connection: Connection) -> bool:
    """Overlooks bytes behind an answer."""
    return False


@guard("ids-rise", "dataplane.events:EventSplitter._advance_last_id", "events given twice")
def take_any_number(splitter: EventSplitter, number: int) -> None:
    """Takes an event's id that does not rise."""
    splitter.last_id = number


@guard("repeat", "dataplane.forward:_may_retry", "what may run once run twice")
def repeat_anything(exchange: Exchange, history: _AttemptHistory, client: Client) -> bool:
    """Allows a retry of what may run only once."""
    if history.runs >= MAX_RUNS:
        return False
    if not client.started:
        return True
    return exchange.streaming and client.events > 0 and history.position is not None


@guard_property("may-have-run", "dataplane.exchange:Failure.certainly_not_run", "what may run once run twice")
def count_as_not_run(failure: Failure) -> bool:
    """Counts every failed send as one that has not run."""
    return True


@guard("left-client", "dataplane.app:_cancels_on_disconnect", "work that nobody waits for")
def never_end_with_the_client(exchange: Exchange, progress: Progress) -> bool:
    """Has every exchange go on once its client has left."""
    return False


@guard("half-done", "dataplane.app:_cancels_on_disconnect", "what may run once cut off midway")
def always_end_with_the_client(exchange: Exchange, progress: Progress) -> bool:
    """Ends every exchange with its client."""
    return True


@guard("data-refusal", "dataplane.app:DataPlane._soften_stale_rejection", "refusals by an old configuration")
def refuse_by_any_configuration(plane: DataPlane, response: LocalResponse) -> LocalResponse:
    """Gives final answers by a configuration that may be old."""
    return response


@guard("event-end", "dataplane.events:EventSplitter.end", "an event cut off midway taken as a proper end")
def end_anywhere(splitter: EventSplitter) -> bytes:
    """Takes part of an event as a proper end."""
    rest, splitter._buffer = splitter._buffer, b""
    return rest


@guard("named-instance", "dataplane.forward:_matching_instance", "an instance that the client did not name")
def allow_any_instance(exchange: Exchange, backends: Sequence[Backend]) -> list[Backend]:
    """Allows instances that the client did not name."""
    return list(backends)


@guard("closed-here", "dataplane.network:TcpStream.abort", "our own end taken as an answer's proper end")
def end_as_if_the_peer_did(stream: TcpStream) -> None:
    """Has the reader see a proper end where this side closed the connection."""
    assert stream._transport is not None
    stream._outgoing.clear()
    stream._ended = True
    stream._transport.abort()
    stream._wake()
