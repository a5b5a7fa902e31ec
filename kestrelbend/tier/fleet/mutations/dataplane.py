"""Mutations at the data plane."""

from __future__ import annotations

from ...dataplane.exchange import DEADLINE_MS
from ...dataplane.forward import MAX_RUNS
from ..guards import guard


@guard("reservation-first", "dataplane.turn:_refusal", "tokens handed out that nobody counts")
def refuse_nothing(verdict, retry_after_ms):
    return None


@guard("instance", "dataplane.exchange:_instance_check", "requests run by another instance")
def expect_no_instance(backend):
    return []


@guard("answer-id", "dataplane.send:_names_only", "an answer given to another caller")
def take_any_answer(request_id, headers):
    return True


@guard("deadline", "dataplane.exchange:_remaining_deadline", "backends that go on after the time is over")
def hand_on_a_constant(remaining_s):
    return [(DEADLINE_MS, b"60000")]


@guard("fresh-connection", "dataplane.attempt:Progress.connections", "an earlier try's answer taken")
@property
def remember_no_connection(progress):
    return ()


@guard("own-answer", "dataplane.send:_may_be_passed_on", "promises that nobody proved")
def pass_anything_on(status, fields):
    return True


@guard("rest", "dataplane.network:TcpStream.usable", "bytes that nobody asked for taken as an answer")
@property
def be_usable_while_open(stream):
    return not (stream._ended or stream._transport.is_closing())


@guard("surplus", "dataplane.connections:Connection.surplus", "bytes behind an answer taken as the next one")
@property
def see_no_surplus(connection):
    return False


@guard("ids-rise", "dataplane.events:EventSplitter._rise", "events given twice")
def take_any_number(splitter, number):
    splitter.last_id = number


@guard("repeat", "dataplane.forward:_may_repeat", "what may run once run twice")
def repeat_anything(exchange, history, client):
    if history.runs >= MAX_RUNS:
        return False
    if not client.started:
        return True
    return exchange.streaming and client.events > 0 and history.position is not None


@guard("may-have-run", "dataplane.exchange:Failure.certainly_not_run", "what may run once run twice")
@property
def count_as_not_run(failure):
    return True


@guard("left-client", "dataplane.app:_ends_with_client", "work that nobody waits for")
def never_end_with_the_client(exchange, progress):
    return False


@guard("half-done", "dataplane.app:_ends_with_client", "what may run once cut off midway")
def always_end_with_the_client(exchange, progress):
    return True


@guard("data-refusal", "dataplane.app:DataPlane._refused", "refusals by an old configuration")
def refuse_by_any_configuration(plane, own):
    return own


@guard("event-end", "dataplane.events:EventSplitter.end", "an event cut off midway taken as a proper end")
def end_anywhere(splitter):
    rest, splitter._rest = splitter._rest, b""
    return rest


@guard("named-instance", "dataplane.forward:_named", "an instance that the client did not name")
def allow_any_instance(exchange, backends):
    return list(backends)


@guard("closed-here", "dataplane.network:TcpStream.abort", "our own end taken as an answer's proper end")
def end_as_if_the_peer_did(stream):
    stream._outgoing.clear()
    stream._ended = True
    stream._transport.abort()
    stream._wake()
