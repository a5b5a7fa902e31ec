"""Mutations at groups, placements and the emptying of stores."""

from __future__ import annotations

from ...configuration.messages import OrderKind
from ...configuration.stores import Emptied
from ...membership.placement import found_budget_shards
from ...replication.group import has_quorum
from ...replication.group import without as group_without
from ...storage.identity import FIRST_IDENTITY
from ...storage.identity import _write_identity as _write_any_identity
from ..guards import guard

_found_budget_shards = found_budget_shards


@guard("learner", "replication.leader:LeaderState.is_caught_up", "voters that hold nothing")
def count_as_caught_up(owner, identity, *now):
    return identity in owner.followers


@guard("group-step", "replication.log:ReplicaLog.group_index", "two majorities that do not meet")
@property
def know_no_change_under_way(log):
    return 0


@guard("group-epoch", "replication.leader:LeaderState.has_committed", "two majorities that do not meet")
@property
def count_as_committed(owner):
    return True


@guard("placement-number", "replication.placement:Placement.may_follow", "a group led back by an old word")
def follow_any_placement(placement, target):
    return True


@guard("placement-order", "configuration.placements:follows", "an old placement put in a newer one's place")
def take_any_placement(placement, known):
    return True


@guard("settled", "replication.placement:Placement.is_stable", "emptied by a group that is not committed")
def count_as_settled(placement, owner, now):
    return True


@guard("emptied", "configuration.stores:StoreRecords.is_emptied", "`complete` where nothing is known")
def count_as_emptied(stores, node, shard):
    return True


@guard("emptied-identity", "storage.identity:_write_identity", "votes and entries forgotten by a voter")
def write_first_identity(disk, data_dir, identity):
    _write_any_identity(disk, data_dir, FIRST_IDENTITY)


@guard("later-wish", "replication.placement:Placement.set_target", "a group led by an old word")
def take_any_target(placement, target):
    placement._target = target


@guard("emptied-stays", "configuration.stores:StoreRecords.may_record", "a fact that does not stay true")
def note_any_fact(stores, fact, placed):
    return True


@guard("new-voter", "configuration.stores:StoreRecords.must_be_emptied", "a voter on a node to be emptied")
def place_anywhere(stores, replica):
    return False


@guard("emptied-by-owner", "control.store_facts:emptied_by", "emptied by the word of a former owner")
def believe_any_report(node, report):
    return Emptied(node, report.shard, report.epoch, report.committed_voters, report.placement_number)


@guard("heard-all", "control.retirement:Retirement.rejection", "refusals by an owner that knows little yet")
def refuse_at_once(retirement, order):
    if order.kind != OrderKind.RETIRE:
        return None
    return retirement.rejection_now(order.body.decode(), retirement._now())


@guard("done-without", "replication.group:_with_one_less", "the last whole copies taken out")
def leave_at_once(voters, target, owner, is_live, is_caught_up):
    surplus = [voter for voter in voters if voter not in target and voter != owner]
    for removed in sorted(surplus, key=is_live):
        group = group_without(voters, removed, target)
        if has_quorum(group, is_live):
            return group
    return None


@guard("whole-group", "membership.placement:found_budget_shards", "groups that bear no loss")
def found_by_whoever_is_there(placed, size, available):
    most = min(size, len(available))
    return _found_budget_shards(placed, most, available) if most else []


@guard("committed-group", "replication.replica:Replica.committed_voters", "emptied by an uncommitted group")
@property
def report_the_newest_group(replica):
    return replica._state.log.voters


@guard("add-before-remove", "replication.group:next_group", "a group that bears no loss on its way")
def step_to_the_target_at_once(voters, target, owner, is_live, is_caught_up):
    return target if target and target != voters else None
