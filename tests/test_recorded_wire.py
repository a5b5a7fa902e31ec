"""Gossip, use reports and the simulator's lines are those that the text before the renaming wrote."""

from __future__ import annotations

import dataclasses
import io

import pytest

from kestrelbend.gateway.simulator_adapter import codec as simulator
from kestrelbend.gateway.gossip import messages as gossip
from kestrelbend.gateway.gossip.codec import Codec
from kestrelbend.gateway.usage_sharing import messages as shares
from tests.recorded import load, plain, value

GOSSIP = load("gossip.json")
REPORTS = load("use-reports.json")
LINES = load("simulator-lines.json")


def gossip_message(values):
    """A message of gateways with the recorded values, nested ones included."""
    *first, updates, results, sums, address, lease = values
    return gossip.GossipMessage(
        *first,
        [gossip.MembershipUpdate(*map(value, update)) for update in updates],
        [gossip.SharedResult(*map(value, result)) for result in results],
        sums,
        value(address),
        None if lease is None else gossip.LeaseMessage(*lease),
    )


@pytest.mark.parametrize(
    "recorded", GOSSIP["messages"], ids=lambda item: f"{item['values'][0]}-key{item['key']}"
)
def test_gossip_is_written_and_read_as_recorded(recorded):
    keys = {int(number): bytes.fromhex(key) for number, key in GOSSIP["keys"].items()}
    datagram = bytes.fromhex(recorded["bytes"])
    expected = gossip_message(recorded["values"])
    assert Codec(keys).decode(datagram) == expected
    writers_keys = {number: key for number, key in keys.items() if number <= recorded["key"]}
    assert Codec(writers_keys).encode(expected) == datagram


def test_every_kind_of_gossip_is_recorded():
    assert {item["values"][0] for item in GOSSIP["messages"]} == {int(kind) for kind in gossip.MessageKind}


def told(read):
    """All that a datagram of the use reports says."""
    rows = [[customer, *dataclasses.astuple(row)] for customer, row in read.rows.items()]
    return [read.kind, read.period, read.part, read.parts, rows]


def test_a_use_report_is_written_and_read_as_recorded():
    uses = {customer: shares.CustomerUsage(*values) for customer, *values in REPORTS["uses"]}
    datagram = shares.encode_report(REPORTS["period"], uses)
    assert datagram.hex() == REPORTS["report"]
    assert told(shares.decode(datagram)) == REPORTS["report_read"]


def test_the_meters_news_are_written_and_read_as_recorded():
    parts = {customer: shares.QuotaShare(*values) for customer, *values in REPORTS["shares"]}
    datagrams = shares.encode_announcement(REPORTS["period"], parts)
    assert [datagram.hex() for datagram in datagrams] == REPORTS["news"]
    assert [told(shares.decode(datagram)) for datagram in datagrams] == REPORTS["news_read"]
    assert [datagram.hex() for datagram in shares.encode_announcement(1, {})] == REPORTS["empty_news"]


def test_the_simulators_lines_are_read_as_recorded():
    read = [
        [clock, plain(events)] for clock, events in simulator.batches(io.BytesIO(LINES["lines"].encode()))
    ]
    assert read == LINES["read"]


def test_every_kind_of_the_simulators_lines_is_recorded():
    assert {event[0] for _, events in LINES["read"] for event in events} == set(simulator.EVENTS)


def test_the_lines_to_the_simulator_are_written_as_recorded():
    assert LINES["written"] == [
        simulator.deliver("gw-1", 9, 3, 1500500),
        simulator.cancel("gw-1", 9, 4),
        simulator.throttle("gw-1", 9, 250000),
        simulator.throttle("gw-1", 9, 0),
        simulator.fail("gw-1", 9),
        simulator.arm_timer("gw-1", 88, 1234),
        simulator.count("gw-1", "a name", 1.23456789, 60000000),
        simulator.probe("gw-1", 3),
        simulator.subscribe("gw-1"),
        simulator.log("gw-1", "some text"),
        simulator.fault("gw-1", "two\n lines"),
    ]
