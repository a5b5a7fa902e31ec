"""Membership and duties: the core under losses, stops, cuts, restarts and forgeries, leases under an
exhaustive exploration, and five real gateways on loopback."""

import asyncio
import copy
import json
import math
import os
import random
import signal
import sys
import time
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kestrelbend.gateway.settings import toml_files
from kestrelbend.gateway.settings.installation import Installation
from kestrelbend.gateway.singleton_tasks import leases, probing
from kestrelbend.gateway.singleton_tasks.rendezvous import RendezvousAssignment
from kestrelbend.lab.gossip import KEYS, Fleet
from kestrelbend.gateway.gossip import messages as m
from kestrelbend.gateway.gossip import codec as wire
from kestrelbend.gateway.gossip.addresses import pack_address
from kestrelbend.gateway.gossip.errors import UnreadableMessage
from kestrelbend.gateway.gossip.member import LocalMember
from kestrelbend.gateway.gossip.messages import SharedResult
from kestrelbend.gateway.gossip.parameters import SECOND_US, SwimParameters
from kestrelbend.gateway.gossip.shared_results import NEW_PROCESS_AFTER_US, SharedResults
from kestrelbend.gateway.gossip.swim import SwimNode
from kestrelbend.gateway.gossip.update_rules import UpdateRules
from kestrelbend.gateway.net import configuration
from kestrelbend.gateway.net.events import MembershipDue
from kestrelbend.gateway.net.peers import GatewayMembership
from tests.helpers import StubServices, World, connect, reserve_address, run
from tests.test_configuration import EXAMPLE
from tests.test_net import nest_settings


S = 1_000_000


def fleet(count, **more):
    made = Fleet(count, seeds=count, **more)
    made.start()
    made.run(2)
    assert made.until(made.agree, 60) < 60
    return made


# The wire.


def message(**more):
    return m.GossipMessage(
        int(m.MessageKind.PING),
        "n1",
        1_700_000_000_000,
        7,
        3,
        "n2",
        99,
        [m.MembershipUpdate("n3", b"\x0a\0\0\x01\x1f\x90", 5, 1, 1, "n1")],
        **more,
    )


def test_a_message_comes_back_as_it_went_and_a_changed_bit_is_seen():
    codec = wire.Codec(KEYS)
    data = codec.encode(message(results=[m.SharedResult("probe", "s1", "n1", 4, 20, b"x")]))
    assert codec.decode(data) == message(results=[m.SharedResult("probe", "s1", "n1", 4, 20, b"x")])
    for at in range(8 * len(data)):
        spoilt = bytearray(data)
        spoilt[at // 8] ^= 1 << at % 8
        with pytest.raises(UnreadableMessage):
            codec.decode(bytes(spoilt))
    for length in range(len(data)):
        with pytest.raises(UnreadableMessage):
            codec.decode(data[:length])


def test_an_old_key_is_read_until_it_is_taken_away_and_a_newer_versions_fields_are_skipped():
    old, both, new = (
        wire.Codec({1: b"a" * 16}),
        wire.Codec({1: b"a" * 16, 2: b"b" * 16}),
        wire.Codec({2: b"b" * 16}),
    )
    assert both.decode(old.encode(message())) == message() == new.decode(both.encode(message()))
    with pytest.raises(UnreadableMessage, match="key"):
        new.decode(old.encode(message()))
    row = list(msgspec.to_builtins(message(), builtin_types=(bytes,)))
    data = bytes((wire.VERSION, 1)) + wire.ENCODER.encode([*row, "what later versions say", {"x": 1}])
    assert old.decode(data + old.tag(1, data)) == message()
    data = bytes((wire.VERSION + 1, 1)) + data[2:]
    with pytest.raises(UnreadableMessage, match="version"):
        old.decode(data + old.tag(1, data))


@settings(max_examples=int(os.environ.get("FUZZ", 400)), deadline=None)
@given(
    st.binary(max_size=300)
    | st.recursive(
        st.none() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=9) | st.binary(max_size=9),
        lambda inner: st.lists(inner, max_size=13),
        max_leaves=30,
    ).map(wire.ENCODER.encode),
    st.booleans(),
)
def test_whatever_comes_is_a_message_or_said_to_be_none(body, signed):
    """Also of one who has the key: nothing that was decoded can upset the core."""
    codec = wire.Codec(KEYS)
    data = bytes((wire.VERSION, 1)) + body
    data = data + codec.tag(1, data) if signed else body
    core = SwimNode("n0", b"\x0a\0\0\1\0\1", 5, SwimParameters(), random.Random(1), 0)
    try:
        got = codec.decode(data)
    except UnreadableMessage:
        return
    core.receive(1000, b"\x0a\0\0\2\0\1", got)
    core.tick(10 * S)
    assert all(len(codec.encode(out)) <= wire.MAX_DATAGRAM_BYTES for _, out in core.outgoing)


# The protocol.


def test_a_dead_member_is_seen_by_all_and_nobody_else_is_called_dead():
    f = fleet(20)
    f.run(30)
    assert not f.deaths()
    at = f.clock.now
    f.nodes[7].kill()
    assert f.until(f.agree, 30) < 20
    assert {name for _, _, name in f.deaths()} == {"n7"} and len(f.deaths(at)) == 19


def test_losses_doubles_and_late_datagrams_kill_nobody():
    f = Fleet(12, loss=0.2, doubled=0.3, late=0.1, seeds=12, seed=4)
    f.start()
    f.run(3)
    assert f.until(f.agree, 60) < 60
    at = f.clock.now
    f.run(120)
    assert len({name for _, _, name in f.deaths(at)}) <= 1 and f.until(f.agree, 60) < 60
    assert sum(node.core.local.counters.replayed for node in f.nodes) > 50


def test_one_that_stood_still_comes_back_and_a_slow_one_doubts_itself():
    f = fleet(8, seed=2)
    f.nodes[3].stop(True)
    assert (
        f.until(lambda: all("n3" not in n.core.view.live_names() for n in f.live() if n.number != 3), 40) < 30
    )
    f.nodes[3].stop(False)
    assert f.until(f.agree, 20) < 10 and f.nodes[3].core.local.incarnation > 0
    # A slow one's answers come late; it misses those of others, too, and grows patient before it accuses.
    f.nodes[5].slow = 200_000
    accused = f.nodes[5].core.local.counters.suspected
    f.run(60)
    assert f.nodes[5].core.local.counters.suspected - accused < 40
    assert not [1 for _, node, name in f.deaths() if node.number == 5 and name not in ("n3",)]


def test_a_fleet_cut_in_two_sees_two_halves_and_finds_together():
    f = fleet(10, seed=3)
    half = {node.number for node in f.nodes[:5]}

    def cut(a, b):
        return (a.number in half) != (b.number in half)

    f.cuts.append(cut)
    names = [{f"n{n}" for n in range(5)}, {f"n{n}" for n in range(5, 10)}]
    assert (
        f.until(lambda: all(set(n.core.view.live_names()) == names[n.number >= 5] for n in f.nodes), 60) < 60
    )
    f.cuts.clear()
    assert f.until(f.agree, 60) < 40


def test_a_one_way_cut_between_two_is_bridged_by_others():
    f = fleet(6, seed=5)
    f.cuts.append(lambda a, b: (a.number, b.number) == (1, 2))
    at = f.clock.now
    f.run(60)
    assert not f.deaths(at)


def test_seventy_of_a_hundred_killed_at_once_come_back_and_a_roll_by_tenths_is_followed():
    f = fleet(40, seed=6)
    gone = f.nodes[:28]
    for node in gone:
        node.kill()
    f.run(1)
    for node in gone:
        f.clock.after(int(f.random() * S) + 1, node.start, f.seeds)
    f.run(2)
    assert f.until(f.agree, 40) < 30
    assert {node.core.members["n0"].generation for node in f.nodes[1:]} == {f.nodes[0].core.local.generation}
    for step in range(10):
        for node in f.nodes[step::10]:
            node.core.leave(node.time())
            node.flush()
            node.kill()
            f.clock.after(300_000, node.start, f.seeds)
        f.run(1)
    assert f.until(f.agree, 40) < 30


def test_clocks_that_differ_and_step_back_over_a_restart_are_no_matter():
    f = Fleet(5, seed=7, seeds=5)
    for node in f.nodes:
        node.offset = node.number * S
    f.start()
    f.run(2)
    assert f.until(f.agree, 30) < 30
    node = f.nodes[2]
    node.kill()
    node.offset = -3600 * S  # its next life would be older than its last
    node.start(f.seeds)
    f.run(1)
    assert f.until(f.agree, 30) < 20
    assert f.nodes[0].core.members["n2"].generation == node.core.local.generation


def test_addresses_that_are_dead_for_ever_cost_little_and_hold_up_nothing():
    f = Fleet(4, seed=8, seeds=4)
    f.seeds += [pack_address((f"10.9.9.{n}", 7946)) for n in range(50)]
    f.start()
    f.run(3)
    assert f.until(f.agree, 30) < 30
    before = f.counts["datagrams"]
    f.run(60)
    assert (f.counts["datagrams"] - before) / 60 / 4 < 8


def test_no_second_sees_more_datagrams_of_one_than_allowed():
    """Whatever comes: a flood of pings, of digests, of news."""
    core = SwimNode(
        "n0",
        b"\x0a\0\0\1\0\1",
        5,
        SwimParameters(max_datagrams_per_s=10),
        random.Random(1),
        0,
        [pack_address(("10.0.1.1", n + 1)) for n in range(30)],
    )
    sent, now = [], 0
    for n in range(4000):
        now += 2500
        kind = (m.MessageKind.PING, m.MessageKind.DIGESTS, m.MessageKind.UPDATES, m.MessageKind.PING_REQUEST)[
            n % 4
        ]
        core.receive(
            now,
            pack_address(("10.0.2.2", 1 + n % 9)),
            m.GossipMessage(
                int(kind),
                f"p{n % 9}",
                9,
                n,
                n,
                "x",
                0,
                bucket_sums=[n] * 16,
                target_address=pack_address(("10.0.3.3", 9)),
            ),
        )
        core.tick(now)
        sent += [now] * len(core.outgoing)
        core.outgoing.clear()
    for at in range(0, now, 50_000):
        assert sum(at <= when < at + S for when in sent) <= 10


def test_replayed_datagrams_and_those_of_a_former_life_change_nothing():
    f = fleet(4, seed=9)
    kept, carry = [], f.carry
    f.carry = lambda node, address, data: (kept.append((node.address, data)), carry(node, address, data))
    f.run(5)
    f.carry = carry
    f.nodes[1].kill()
    f.run(0.5)
    f.nodes[1].start(f.seeds)
    assert f.until(f.agree, 30) < 30
    view = [sorted(node.core.view.live_names()) for node in f.nodes]
    lives = [{n: x.generation for n, x in node.core.members.items()} for node in f.nodes]
    f.run(30)
    for source, data in kept:
        f.nodes[0].got(source, data)
    assert [sorted(node.core.view.live_names()) for node in f.nodes] == view
    assert [{n: x.generation for n, x in node.core.members.items()} for node in f.nodes] == lives


def test_two_with_one_name_are_told_apart_and_one_gives_way():
    f = fleet(4, seed=10)
    double = f.nodes[3]
    f.run(1)
    double.kill()
    f.run(20)
    double.name = "n0"
    double.start(f.seeds)
    f.run(10)
    assert f.nodes[0].core.local.name_conflict is not None  # the older one learns that it has to give way
    assert (
        f.nodes[0].core.local.name_conflict.address == double.address
        and double.core.local.name_conflict is None
    )


def test_what_is_told_reaches_all_with_its_age_and_old_results_are_not_told():
    f = fleet(10, seed=11)
    f.nodes[0].core.publish_result(f.nodes[0].time(), "probe", "s1", b"report")
    f.run(4)
    for node in f.nodes[1:]:
        result, since = node.core.results.received.popleft()
        assert (result.subject, result.body, result.origin) == ("s1", b"report", "n0")
        assert abs(since - (f.clock.now - 4 * S)) < 20_000
    p = probing.SharedProbing("n1")
    p.set_backends({"s1": "backend"})
    fresh = m.SharedResult("probe", "s1", "n0", 1, 0, p.encode_load({"queued": 2.0}))
    assert p.read(fresh, 5 * S, 5 * S) == ("backend", {"queued": 2.0})
    assert (
        p.read(fresh, 5 * S, 5 * S) is None
        and p.read(fresh, 6 * S, 6 * S + probing.MAX_REPORT_AGE_US + 1) is None
    )
    assert p.read(m.SharedResult("probe", "s1", "n0", 2, 0, b"\xff"), 9 * S, 9 * S) is None


class Members(RuleBasedStateMachine):
    """A small fleet under whatever comes; a live connected member is not kept dead."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.fleet = Fleet(4, seed=seed, loss=0.1, doubled=0.1, seeds=4)
        self.fleet.start()
        self.fleet.run(2)

    @rule(n=st.integers(0, 3))
    def kill(self, n):
        self.fleet.nodes[n].kill()

    @rule(n=st.integers(0, 3), step=st.sampled_from([0, 0, S, -5 * S]))
    def start(self, n, step):
        node = self.fleet.nodes[n]
        if not node.up:
            node.offset += step
            node.start(self.fleet.seeds)

    @rule(n=st.integers(0, 3), still=st.booleans())
    def stop(self, n, still):
        if self.fleet.nodes[n].up:
            self.fleet.nodes[n].stop(still)

    @rule(a=st.integers(0, 3), b=st.integers(0, 3), both=st.booleans())
    def cut(self, a, b, both):
        self.fleet.cuts.append(
            lambda x, y: (x.number, y.number) == (a, b) or both and (x.number, y.number) == (b, a)
        )

    @rule()
    def heal(self):
        self.fleet.cuts.clear()

    @rule(seconds=st.sampled_from([0.3, 1, 4]))
    def go_on(self, seconds):
        self.fleet.run(seconds)

    @invariant()
    def within_limits(self):
        if hasattr(self, "fleet"):
            for node in self.fleet.live():
                assert node.core.transmission.rate_limit.tokens >= 0
                assert len(node.core.view.probe_order) == len(node.core.members)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.fleet.cuts.clear()
        self.fleet.loss = 0.0
        for node in self.fleet.nodes:
            if node.up and node.still:
                node.stop(False)
        assert not self.fleet.live() or self.fleet.until(self.fleet.agree, 90) < 90


TestMembers = Members.TestCase
TestMembers.settings = settings(max_examples=12, stateful_step_count=12, deadline=None)


def test_a_live_member_kept_dead_would_be_seen(monkeypatch):
    """The machine above, against a core that refutes nothing."""
    monkeypatch.setattr(UpdateRules, "apply_about_self", lambda self, update: False)
    f = fleet(5, seed=12)
    f.nodes[1].stop(True)
    f.run(30)
    f.nodes[1].stop(False)
    assert f.until(f.agree, 60) == math.inf


# Duties.


@given(st.sets(st.integers(0, 60), min_size=1, max_size=20), st.integers(0, 60))
def test_a_death_moves_the_duties_of_the_dead_alone(numbers, dead):
    assignment, names = RendezvousAssignment(), [f"n{n}" for n in numbers]
    assignment.set_members(dict.fromkeys(names, 1.0))
    for task in range(50):
        assignment.add(f"s{task}")
    before = {task: assignment.owner(task) for task in assignment.assignments}
    assignment.set_members({name: 1.0 for name in names if name != f"n{dead}"})
    for task, owner in before.items():
        if owner != f"n{dead}":
            assert assignment.owner(task) == owner
    plain = RendezvousAssignment()
    plain.set_members(assignment.members)
    for task in before:
        plain.add(task)
    assert plain.assignments == assignment.assignments


def test_duties_are_dealt_out_by_weight():
    assignment = RendezvousAssignment()
    assignment.set_members({"a": 1.0, "b": 3.0})
    for task in range(4000):
        assignment.add(f"s{task}")
    assert 2800 < len(assignment.tasks_of("b")) < 3200


def test_probes_are_taken_over_at_once_and_asked_as_often_as_by_one():
    f = fleet(5, seed=13)
    cold = {f"s{n}": n for n in range(6)}
    duties = {node.name: probing.SharedProbing(node.name) for node in f.nodes}
    probes = []

    def look():
        for node in f.live():
            if not node.still:
                own = duties[node.name]
                own.set_members(
                    [x.name for x in node.core.members.values() if x.state == m.MemberState.ALIVE]
                )
                own.set_backends(cold)
                probes.extend((f.clock.now, uid, node.name) for uid in own.due_ids(f.clock.now))
        f.clock.after(100_000, look)

    look()
    f.run(20)
    assert len(probes) <= 6 * 41 and {uid for _, uid, _ in probes} == cold.keys()
    for number in range(4):  # one after the other; the last of all is stopped, not dead
        f.nodes[number].kill() if number < 3 else f.nodes[number].stop(True)
        f.run(8)
    for uid in cold:
        times = [at for at, each, _ in probes if each == uid]
        assert max(b - a for a, b in zip(times, times[1:], strict=False)) <= 2 * S


# Leases: every order of asking, answering, losing, waiting and restarting in a small fleet.


class Small:
    """Two that would hold, three voters; time in steps of a part of a lease."""

    LENGTH, STEP = 40, 11

    def __init__(self):
        self.now, self.stamp = 100, 1
        self.voters = [leases.Voter(self.now - self.LENGTH, self.LENGTH) for _ in range(3)]
        self.holders = [
            leases.LeaseHolder("d", leases.HolderId(f"h{n}", 1), range(3), self.LENGTH) for n in range(2)
        ]
        self.mail, self.fence = [], leases.FencingGuard()

    def moves(self):
        yield ("wait",)
        for n in range(2):
            if self.holders[n].is_request_due(self.now) and not any(
                x[0] == "ask" and x[2] == n for x in self.mail
            ):
                yield "ask", n
        for at in range(len(self.mail)):
            yield "deliver", at
        if len(self.mail) > 1:
            yield ("lose",)
        for v in range(3):
            yield "restart", v

    def do(self, move):
        what, *args = move
        if what == "wait":
            self.now += self.STEP
        elif what == "ask":
            holder = self.holders[args[0]]
            fence = holder.begin_request(self.now, self.stamp)
            self.mail += [("ask", v, args[0], fence, self.now) for v in range(3)]
        elif what == "lose":
            self.mail.pop(0)
        elif what == "restart":
            self.voters[args[0]] = leases.Voter(self.now, self.LENGTH)
        else:
            kind, v, n, fence, asked = self.mail.pop(args[0])
            if kind == "ask":
                granted, highest, wait = self.voters[v].request(
                    self.now, "d", fence, self.holders[n].identity
                )
                self.mail.append(("granted" if granted else "denied", v, n, highest, asked))
            elif kind == "granted":
                self.holders[n].record_grant(v, fence, asked)
            else:
                self.holders[n].record_denial(self.now, fence, 0)

    def state(self):
        def ahead(at):
            return max(0, at - self.now)

        return (
            tuple(
                (
                    ahead(v.no_grants_before_us),
                    v.highest_tokens.get("d", 0),
                    (g.fencing_token, g.holder, ahead(g.expires_at_us)) if (g := v.grants.get("d")) else None,
                )
                for v in self.voters
            ),
            tuple(
                (
                    h.fencing_token,
                    h.highest_known_token,
                    ahead(h.next_request_us),
                    tuple(sorted((v, ahead(t)) for v, t in h.grants.items())),
                )
                for h in self.holders
            ),
            tuple((*each[:4], self.now - each[4]) for each in self.mail),
        )

    def two(self):
        return all(holder.holds(self.now) for holder in self.holders)


def explored(depth, most):
    """How many states were looked at, and whether two ever held at once, both under numbers that the thing
    itself would take."""
    start, seen, line = Small(), set(), []
    line.append((start, 0))
    while line and len(seen) < most:
        world, deep = line.pop()
        for move in list(world.moves()):
            if move[0] == "restart" and deep > 4:
                continue
            other = copy.deepcopy(world)
            other.do(move)
            if other.two():
                return len(seen), True
            key = other.state()
            if key not in seen and deep < depth:
                seen.add(key)
                line.append((other, deep + 1))
    return len(seen), False


def walks(seeds, length=200):
    """Long random runs beside the exhaustive ones."""
    for seed in range(seeds):
        chance, world = random.Random(seed), Small()
        for _ in range(length):
            moves = [move for move in world.moves() if move[0] != "restart" or chance.random() < 0.05]
            world.do(chance.choice(moves))
            if world.two():
                return True
    return False


def test_never_two_holders_whatever_is_lost_late_or_restarted():
    states, two = explored(9, 6000)
    assert states > 3000 and not two and not walks(300)


@pytest.mark.parametrize("what", ["later question", "no mute", "no wait", "no majority"])
def test_each_part_of_the_leases_is_needed(what, monkeypatch):
    if what == "later question":  # counted from the newest question, which may have been lost
        asked, ask = {}, leases.LeaseHolder.begin_request

        def noted(self, now, stamp):
            asked[id(self)] = now
            return ask(self, now, stamp)

        granted = leases.LeaseHolder.record_grant
        monkeypatch.setattr(leases.LeaseHolder, "begin_request", noted)
        monkeypatch.setattr(
            leases.LeaseHolder,
            "record_grant",
            lambda self, v, fence, at: granted(self, v, fence, max(at, asked.get(id(self), 0))),
        )
    elif what == "no mute":
        made = leases.Voter.__init__

        def talkative(self, now, length=leases.LEASE_US):
            made(self, now, length)
            self.no_grants_before_us = 0

        monkeypatch.setattr(leases.Voter, "__init__", talkative)
    elif what == "no wait":
        ask = leases.Voter.request

        def careless(self, now, task, fence, holder):
            if task in self.grants:
                self.grants[task].expires_at_us = 0
            return ask(self, now, task, fence, holder)

        monkeypatch.setattr(leases.Voter, "request", careless)
    else:
        monkeypatch.setattr(leases.LeaseHolder, "majority", lambda self: 1)
    assert walks(3000)


def test_a_duty_is_held_again_within_a_bound_and_under_a_higher_number():
    """Its holder dies: the next one gets it once the lease has run out, and a late write of the first one is
    refused."""
    now, length = 0, leases.LEASE_US
    voters = [leases.Voter(-length) for _ in range(5)]
    first, second = (leases.LeaseHolder("renew", leases.HolderId(name, 1), range(5)) for name in ("a", "b"))
    fence = leases.FencingGuard()

    def tick(holder):
        if holder.is_request_due(now):
            number = holder.begin_request(now, 1000 + now // 1000)
            for at, voter in enumerate(voters):
                granted, highest, wait = voter.request(now, "renew", number, holder.identity)
                if granted:
                    holder.record_grant(at, number, now)
                else:
                    holder.record_denial(now, highest, wait)

    tick(first)
    assert first.holds(now) and fence.accepts(first.fencing_token)
    while now < 3 * length and not second.holds(now):
        now += 100_000
        tick(second)
    assert second.holds(now) and not first.holds(now) and now <= length + length // 2
    assert fence.accepts(second.fencing_token) and not fence.accepts(first.fencing_token)


def test_a_voter_forgets_tasks_that_are_long_over_and_none_that_is_held(monkeypatch):
    monkeypatch.setattr(leases, "MAX_TASKS", 8)
    now, length = 0, leases.LEASE_US
    voter, holder = leases.Voter(-length), leases.HolderId("a", 1)
    assert all(voter.request(now, f"task {n}", 1, holder).granted for n in range(20))
    assert len(voter.grants) == 20  # all are held
    now = length
    assert voter.request(now, "one more", 1, holder).granted
    assert len(voter.grants) == len(voter.highest_tokens) == 8
    now += (leases.FORGET_AFTER_LEASES + 2) * length
    assert voter.request(now, "much later", 1, holder).granted
    assert list(voter.grants) == ["much later"] and list(voter.highest_tokens) == ["much later"]


def test_a_holder_of_another_name_or_generation_starts_without_what_the_former_one_was_granted():
    first, second = leases.HolderId("a", 1), leases.HolderId("a", 2)
    holder = leases.LeaseHolder("renew", first, range(3))
    token = holder.begin_request(0, 1)
    for voter in range(3):
        holder.record_grant(voter, token, 0)
    holder.set_identity(first)
    assert holder.holds(1)
    holder.set_identity(second)
    assert not holder.holds(1) and holder.identity == second and holder.is_request_due(1)


def test_results_of_a_process_whose_clock_was_set_back_are_seen_again():
    now = 100 * SECOND_US
    local = LocalMember("here", b"\x7f\0\0\1\0\1", 1, now, now, 8)
    results = SharedResults(local, 10)
    results.receive(SharedResult("probe", "s1", "there", 5000, 0, b"before"))
    local.now_us += SECOND_US
    results.receive(SharedResult("probe", "s1", "there", 4999, 0, b"late"))
    assert [each.result.body for each in results.received] == [b"before"]
    local.now_us += NEW_PROCESS_AFTER_US
    results.receive(SharedResult("probe", "s1", "there", 4000, 0, b"of the new process"))
    results.receive(SharedResult("probe", "s1", "there", 5000, 11_000, b"before"))
    assert [each.result.body for each in results.received] == [b"before", b"of the new process"]


LONGEST_S = 60  # of a test with processes


class Trio:
    """Three carriers of membership on loopback, each with its queue worked by a task."""

    def __init__(self):
        places = [reserve_address(n) for n in range(3)]
        gateway = SimpleNamespace(
            background=SimpleNamespace(load_reported=lambda *_: None),
            slow_start=SimpleNamespace(is_warming_up=lambda backend: False),
        )
        owner = SimpleNamespace(gateway=gateway, listed={}, backend_ids={})
        self.queues, self.peers, self.tasks = [asyncio.Queue() for _ in places], [], []
        for n, place in enumerate(places):
            given = SimpleNamespace(
                name=f"n{n}",
                listen=place,
                seen_at=place,
                peers=places,
                keys=KEYS,
                period=300_000,
                most_per_s=40.0,
            )
            self.peers.append(GatewayMembership(given, self.queues[n], owner, str(n), True))
            self.peers[n].voter.no_grants_before_us = 0  # as if all had run for longer than a lease

    async def __aenter__(self):
        for n, peer in enumerate(self.peers):
            await peer.start()
            self.tasks.append(asyncio.create_task(self.work(n)))
        return self.peers

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for peer in self.peers:
            peer.datagrams.transport.close()
            if peer.timer is not None:
                peer.timer.cancel()

    async def work(self, n):
        while True:
            event = await self.queues[n].get()
            if type(event) is MembershipDue:
                self.peers[n].on_timer()
            else:
                self.peers[n].receive_datagram(event.source, event.data)


async def comes_true(condition):
    while not condition():
        await asyncio.sleep(0.02)


def test_a_task_is_held_over_sockets_by_one_and_by_the_next_once_it_is_released():
    async def test():
        async with Trio() as (first, second, third):
            first.contend_for("renew")
            await comes_true(lambda: first.held_token("renew"))
            token = first.held_token("renew")
            second.contend_for("renew")
            await asyncio.sleep(1)
            assert second.held_token("renew") is None and first.view()[0]["leases"] == {"renew": token}
            await comes_true(lambda: all("n0" in p.core.view.live_names() for p in (second, third)))
            first.leave()
            assert first.held_token("renew") is None and first.view()[0]["state"] == "left"
            second.holders["renew"].next_request_us = 0  # it need not wait for its next turn
            await comes_true(lambda: second.held_token("renew"))
            assert second.held_token("renew") > token
            second.core.local.generation += 1  # as where a clock stepped back before its start
            token = second.held_token("renew")
            await comes_true(lambda: (second.held_token("renew") or 0) > token)
            await comes_true(lambda: "n0" not in third.core.view.live_names())

    run(test(), LONGEST_S)


# Configuration.

MEMBERS = """
[members]
listen = "127.0.0.1:7946"
peers = ["127.0.0.2:7946", "127.0.0.3:7946"]
keys = {1 = "000102030405060708090a0b0c0d0e0f"}
"""


def test_a_wrong_key_or_peer_is_named():
    text = EXAMPLE.read_text()
    stated = toml_files.parse_toml(text + MEMBERS, Installation)
    assert stated.members.to_membership_settings("x").peers[1] == ("127.0.0.3", 7946)
    wrong = (
        MEMBERS.replace("0e0f", "0e0g")
        .replace('"127.0.0.3:7946"', '"host.example:7946", "nowhere"')
        .replace('listen = "127.0.0.1:7946"', 'listen = "127.0.0.1:7946"\nperiod = "1ms"')
    )
    with pytest.raises(toml_files.InvalidFile) as caught:
        toml_files.parse_toml(text + wrong.replace(', "nowhere"', ""), Installation)
    said = str(caught.value)
    assert "members.keys.1" in said and "members.peers[1]" in said and "host.example" in said
    assert "members.period" in said
    with pytest.raises(toml_files.InvalidFile, match="nowhere"):
        toml_files.parse_toml(text + wrong, Installation)


def test_on_the_platform_it_takes_a_file_and_the_settings_leave(tmp_path):
    pairs = World().pairs
    given = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1",
        "limits": {"sockets": 9},
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.9.1:7946", "127.0.9.2:7946"],
        "settings": nest_settings(pairs | {"index": 1, "policyLimits.peers": True}),
    }
    config, keys = tmp_path / "config.json", tmp_path / "members.toml"
    keys.write_text('keys = {1 = "000102030405060708090a0b0c0d0e0f"}\n')
    config.write_text(json.dumps(given))
    env = {"ROUTER_CONFIG": str(config), "KESTRELBEND_MEMBERS": str(keys)}
    told = configuration.read(env).members
    assert told.seen_at == ("127.0.9.2", 7946) and told.listen == ("127.0.0.1", 7946)
    assert configuration.read({"ROUTER_CONFIG": str(config)}).members is None
    given["settings"]["policyLimits"]["peers"] = False
    config.write_text(json.dumps(given))
    assert configuration.read(env).members is None


# Five real gateways.


class Five:
    """Gateways in processes of their own, that probe two cold backends."""

    def __init__(self, folder):
        self.folder, self.running = folder, {}

    async def __aenter__(self):
        self.world = world = await StubServices(
            2, feedback__how="probe", policyLimits__probing="true", feedback__fields="queue,inflight,util"
        ).__aenter__()
        self.places, self.udp = [reserve_address(n) for n in range(5)], [reserve_address(n) for n in range(5)]
        now = int(time.time() * 1000)
        self.rows = [row | {"boot_ms": now} for row in world.rows]
        world.discovery.rows = self.rows
        for n in range(5):
            await self.begin(n)
        return self

    async def begin(self, n, name=None, key="000102030405060708090a0b0c0d0e0f"):
        given = {
            "name": name or f"n{n}",
            "listen": "%s:%d" % self.places[n],
            "seed": str(n),
            "discovery": self.world.discovery.address,
            "limits": {"sockets": 256},
            "known": {"rev": 1, "all": True, "targets": self.rows},
            "peer_listen": "%s:%d" % self.udp[n],
            "peers": ["%s:%d" % at for at in self.udp],
            "settings": nest_settings(
                self.world.pairs
                | {
                    "instances": 5,
                    "index": n,
                    "policyLimits.peers": True,
                    "rules.cold": 60000,
                    "familyInfo.mayCount": "false",
                }
            ),
        }
        path, keys = self.folder / f"{n}.json", self.folder / f"{n}.toml"
        path.write_text(json.dumps(given))
        keys.write_text(f'keys = {{1 = "{key}"}}\nperiod = "300ms"\n')
        with open(self.folder / f"{n}.log", "ab") as log:
            self.running[n] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "kestrelbend",
                stderr=log,
                env={**os.environ, "ROUTER_CONFIG": str(path), "KESTRELBEND_MEMBERS": str(keys)},
            )

    async def __aexit__(self, *_):
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.world.__aexit__()

    async def view(self, n):
        reader, writer = await connect(*self.places[n])
        writer.write(b"GET /_members HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 3)
        writer.close()
        return json.loads(answer.partition(b"\r\n\r\n")[2])

    async def sees(self, n, count, seconds=15):
        end, rows = time.monotonic() + seconds, []
        while time.monotonic() < end:
            try:
                rows = await self.view(n)
            except (OSError, ValueError):
                rows = []
            if sum(row["state"] == "alive" for row in rows) == count:
                return rows
            await asyncio.sleep(0.05)
        raise AssertionError(rows)

    def probes(self):
        """When each backend was asked how it does."""
        return [[at for at, line in stand.times if "/_load" in line] for stand in self.world.backends]


@pytest.fixture
def timed(monkeypatch):
    """The stand-in backends note when each request came, and answer a report."""
    from tests import helpers

    read = helpers.read_request

    async def noted(reader, heads=None):
        got = await read(reader, heads)
        if heads is not None:
            for stand in noted.stands:
                if stand.raw is heads:
                    stand.times.append((time.monotonic(), got[0]))
        return got

    noted.stands = []
    made = helpers.StubBackend.__init__

    def init(self):
        made(self)
        self.times = []
        noted.stands.append(self)

    monkeypatch.setattr(helpers, "read_request", noted)
    monkeypatch.setattr(helpers.StubBackend, "__init__", init)


def test_five_real_gateways_killed_one_at_a_time_miss_no_duty_for_more_than_two_seconds(tmp_path, timed):
    async def test():
        async with Five(tmp_path) as five:
            for n in range(5):
                rows = await five.sees(n, 5)
            began = time.monotonic()
            owners = {task: row["name"] for row in rows for task in row["duties"]}
            assert owners.keys() == {"s0", "s1"}
            await asyncio.sleep(1.5)
            before = sum(len([at for at in times if at > began]) for times in five.probes())
            assert before <= 2 * 4  # by all five together about as often as by one
            order = list(dict.fromkeys([int(name[1:]) for name in owners.values()] + list(range(5))))
            for at, n in enumerate(order[:4]):  # those that have duties first; one is stopped
                if at == 1:
                    five.running[n].send_signal(signal.SIGSTOP)
                else:
                    five.running[n].kill()
                await asyncio.sleep(2.2)
            five.running[order[1]].send_signal(signal.SIGCONT)
            await five.sees(order[4], 2)
            await asyncio.sleep(0.6)
            end = time.monotonic()
            for times in five.probes():
                times = [began, *(at for at in times if at > began), end]
                # Due every half a second: missed for less than two seconds.
                assert max(b - a for a, b in zip(times, times[1:], strict=False)) < 2.5

    run(test(), LONGEST_S)


def test_a_wrong_key_a_doubled_name_and_a_return_under_its_own_name(tmp_path, timed):
    async def test():
        async with Five(tmp_path) as five:
            await five.sees(0, 5)
            for n, more in ((3, {"name": "n0"}), (4, {"key": "ff" * 16})):
                five.running[n].kill()
                await five.running[n].wait()
                await five.begin(n, **more)
            five.running[2].kill()
            await five.running[2].wait()
            await five.begin(2)
            end, names = time.monotonic() + 25, []
            while time.monotonic() < end and [name.partition("~")[0] for name in names] != [
                "n0",
                "n0",
                "n1",
                "n2",
            ]:  # without the one with a wrong key
                await asyncio.sleep(0.1)
                names = sorted(row["name"] for row in await five.view(1) if row["state"] == "alive")
            assert names[0] == "n0" and names[1].startswith("n0~") and names[2:] == ["n1", "n2"]
            assert "two gateways have one name" in (tmp_path / "0.log").read_text()
            # Its former process may be found dead before the one with the wrong key has begun to speak.
            await five.world.until(lambda: "why=forged" in (tmp_path / "1.log").read_text(), 20)
            answer = await five.world.ask(wait="2", on=await connect(*five.places[0]))
            assert answer[0] in (200, 429)  # both serve on: a cold backend takes little

    run(test(), LONGEST_S)
