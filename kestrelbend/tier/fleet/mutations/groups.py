"""Mutations at groups, placements and the emptying of stores."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...configuration.messages import OrderKind
from ...configuration.stores import ShardRemoval
from ...membership.placement import LAST_RESORT, configuration_candidates, initial_budget_placements
from ...replication.group import has_quorum, remove_voter
from ...storage.identity import BOOTSTRAP_IDENTITY
from ...storage.identity import _write_identity as _write_any_identity
from ..guards import guard, guard_property

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...configuration.messages import ConfigOrder, ConfigOutcome
    from ...configuration.stores import StoreRecords
    from ...control.report_quorum import ControlReplicas
    from ...control.retirement import Retirement
    from ...membership.fault_tolerance import Tolerance
    from ...membership.messages import Member, ShardPlacement, ShardReport
    from ...membership.placement import Candidate, Spread
    from ...replication.group import Voters
    from ...replication.leader import LeaderState
    from ...replication.log import ReplicaLog
    from ...replication.messages import ReplicaId
    from ...replication.placement import Placement, Target
    from ...replication.replica import Replica
    from ...roles.configuration_voter import ConfigurationVoter
    from ...storage.disk import Disk

_initial_budget_placements = initial_budget_placements
_configuration_candidates = configuration_candidates


@guard("learner", "replication.leader:LeaderState.is_caught_up", "voters that hold nothing")
def count_as_caught_up(owner: LeaderState, identity: ReplicaId, *now: float) -> bool:
    """Counts every follower as caught up."""
    return identity in owner.followers


@guard_property("group-step", "replication.log:ReplicaLog.group_index", "two majorities that do not meet")
def know_no_change_under_way(log: ReplicaLog) -> int:
    """Sees no group change as uncommitted."""
    return 0


@guard_property(
    "group-epoch", "replication.leader:LeaderState.has_committed", "two majorities that do not meet"
)
def count_as_committed(owner: LeaderState) -> bool:
    """Counts the term's first entry as committed at once."""
    return True


@guard(
    "placement-number", "replication.placement:Placement.is_valid_target", "a group led back by an old word"
)
def follow_any_placement(placement: Placement, target: Target) -> bool:
    """Follows a placement of any number."""
    return True


@guard(
    "placement-order", "configuration.placements:is_successor", "an old placement put in a newer one's place"
)
def take_any_placement(placement: ShardPlacement, known: ShardPlacement | None) -> bool:
    """Takes a placement of any number in place of the one known."""
    return True


@guard("settled", "replication.placement:Placement.is_stable", "emptied by a group that is not committed")
def count_as_settled(placement: Placement, owner: LeaderState, now: float) -> bool:
    """Counts every group as stable."""
    return True


@guard("emptied", "configuration.stores:StoreRecords.is_removed", "`complete` where nothing is known")
def count_as_emptied(stores: StoreRecords, node: str, shard: str) -> bool:
    """Counts every node as emptied of every shard."""
    return True


@guard("emptied-identity", "storage.identity:_write_identity", "votes and entries forgotten by a voter")
def write_first_identity(disk: Disk, data_dir: str, identity: str) -> None:
    """Gives an emptied disk the identity that the first one had."""
    _write_any_identity(disk, data_dir, BOOTSTRAP_IDENTITY)


@guard("later-wish", "replication.placement:Placement.set_target", "a group led by an old word")
def take_any_target(placement: Placement, target: Target) -> None:
    """Takes an earlier target in place of a later one."""
    placement._target = target


@guard(
    "emptied-stays", "configuration.stores:StoreRecords.may_record_removal", "a fact that does not stay true"
)
def note_any_fact(stores: StoreRecords, fact: ShardRemoval, placed: ShardPlacement | None) -> bool:
    """Records that a shard left a node whether it stays so or not."""
    return True


@guard(
    "new-voter", "configuration.stores:StoreRecords.is_on_retiring_node", "a voter on a node to be emptied"
)
def place_anywhere(stores: StoreRecords, replica: str) -> bool:
    """Lets a node that is to be emptied get new voters."""
    return False


@guard("emptied-by-owner", "control.store_facts:emptied_evidence", "emptied by the word of a former owner")
def believe_any_report(node: str, report: ShardReport) -> ShardRemoval | None:
    """Takes every report as proof, not only that of a stable group's owner."""
    return ShardRemoval(node, report.shard, report.epoch, report.committed_voters, report.placement_number)


@guard("heard-all", "control.retirement:Retirement.rejection", "refusals by an owner that knows little yet")
def refuse_at_once(retirement: Retirement, order: ConfigOrder) -> ConfigOutcome | None:
    """Rejects a retirement before the owner has heard of all members."""
    if order.kind != OrderKind.RETIRE:
        return None
    return retirement.rejection_by_known_members(order.body.decode(), retirement._now())


@guard("done-without", "replication.group:_remove_one_voter", "the last whole copies taken out")
def leave_at_once(
    voters: Voters,
    target: Voters,
    owner: ReplicaId,
    is_live: Callable[[ReplicaId], bool],
    is_caught_up: Callable[[ReplicaId], bool],
) -> Voters | None:
    """Takes a voter out before the others have caught up."""
    surplus = [voter for voter in voters if voter not in target and voter != owner]
    for removed in sorted(surplus, key=is_live):
        group = remove_voter(voters, removed, target)
        if has_quorum(group, is_live):
            return group
    return None


@guard("whole-group", "membership.placement:initial_budget_placements", "groups that bear no loss")
def found_by_whoever_is_there(
    placed: Iterable[str], size: int, available: list[Candidate], spread: Spread
) -> list[ShardPlacement]:
    """Places groups that are smaller than the tolerated loss requires."""
    most = min(size, len(available))
    return _initial_budget_placements(placed, most, available, spread) if most else []


@guard_property(
    "committed-group", "replication.replica:Replica.committed_voters", "emptied by an uncommitted group"
)
def report_the_newest_group(replica: Replica) -> Voters:
    """Reports the newest group, committed or not."""
    return replica._state.log.voters


@guard("add-before-remove", "replication.group:next_group", "a group that bears no loss on its way")
def step_to_the_target_at_once(
    voters: Voters,
    target: Voters,
    owner: ReplicaId,
    is_live: Callable[[ReplicaId], bool],
    is_caught_up: Callable[[ReplicaId], bool],
) -> Voters | None:
    """Replaces the whole group in one step."""
    return target if target and target != voters else None


@guard(
    "stores-complete",
    "membership.placement:configuration_candidates",
    "a configuration lost with as many disks as may go",
)
def take_no_store(members: Iterable[Member], retiring: Iterable[str]) -> list[Candidate]:
    """Leaves the configuration's group to the control nodes, however few they are."""
    found = _configuration_candidates(members, retiring)
    return [candidate for candidate in found if candidate.preference < LAST_RESORT]


@guard(
    "store-hands-over",
    "roles.configuration_voter:ConfigurationVoter.tick",
    "a configuration led by a store, which serves no orders",
)
def keep_the_leadership(voter: ConfigurationVoter, now: float) -> None:
    """Lets an elected store go on leading."""


@guard("leave-holders", "control.report_quorum:is_held_by_enough", "sends to who left")
def count_as_held(
    controls: ControlReplicas, is_holder: Callable[[ReplicaId], bool], tolerance: Tolerance
) -> bool:
    """Asks a majority of the voting control nodes alone."""
    return has_quorum(controls.voting, is_holder)


@guard("spread", "membership.placement:Spread.excess", "a group lost with as many zones as may go")
def place_in_any_zone(spread: Spread, voters: Iterable[str], size: int) -> int:
    """Chooses voters wherever they stand."""
    return 0
