"""The rules of shards: one owner an epoch, complete groups, and replicas that keep up."""

from __future__ import annotations

import attrs

from ...membership.fault_tolerance import excess_voters, group_size
from ...replication.replica import Replica
from ..fleet import Fleet
from ..machines import Process
from .violations import Violations

LAG_S = 1.0  # from an entry's commit until every voter has applied it, in a calm time
CATCH_UP_S = 4.0  # CatchupS: from a fault's end until each group bears the next one


def replica_processes(fleet: Fleet) -> list[Process]:
    """The processes that hold replicas and run."""
    return [*fleet.processes("control"), *fleet.processes("store")]


@attrs.frozen
class _Committed:
    """What a shard's leader had committed when it was looked at, and its voters."""

    index: int
    voters: tuple[str, ...]


class GroupRules:
    """Looks at the replicas of all shards."""

    def __init__(self, fleet: Fleet, violations: Violations) -> None:
        self._fleet = fleet
        self._violations = violations
        self._owners: dict[tuple[str, int], str] = {}  # by shard and epoch
        self._recorded_at = 0.0
        self._committed: dict[str, _Committed] = {}

    def check_owners(self, process: Process) -> None:
        """No two replicas of a shard lead it in one epoch (election safety; Raft, figure 3)."""
        for replica in process.replicas():
            if not replica.is_leader:
                continue
            shard = replica.shard
            owner = self._owners.setdefault((shard, replica.term), replica.identity)
            if owner != replica.identity:
                rule = f"{owner} and {replica.identity} own {shard} in epoch {replica.term}"
                self._violations.report(f"owners {shard} {replica.term}", rule)

    def check_groups(self) -> None:
        """`CatchupS` after a fault the next machine may be lost: by then each group is complete and live."""
        if self._fleet.now() < self._fleet.contact.core_fault_free_since() + CATCH_UP_S:
            return
        processes = replica_processes(self._fleet)
        zones = {process.host.identity: process.machine.spec.zone for process in processes}
        for process in processes:
            for replica in process.replicas():
                if replica.is_leader:
                    self._check_group(replica, zones)

    def _check_group(self, replica: Replica, zones: dict[str, str]) -> None:
        """Each voter is live, and a majority is left after any tolerated loss."""
        tolerance = self._fleet.tolerance
        size = group_size(tolerance, list(zones.values()))
        gone = [voter for voter in replica.voters if voter not in zones]
        voter_zones = [zones[voter] for voter in replica.voters if voter in zones]
        if gone or len(replica.voters) < size or excess_voters(voter_zones, size, tolerance):
            held = f"{replica.shard} is held by {replica.voters} in {voter_zones} after CatchupS"
            self._violations.report(f"group {replica.shard} {replica.voters}", f"{held}, lost are {gone}")

    def check_lag(self) -> None:
        """`CatchupS` after a fault each voter has applied what was committed `LAG_S` ago."""
        now = self._fleet.now()
        if now < self._recorded_at + LAG_S:
            return
        processes = replica_processes(self._fleet)
        if self._fleet.contact.core_fault_free_since() + CATCH_UP_S < self._recorded_at:
            for process in processes:
                self._check_lag(process)
        self._recorded_at = now
        self._committed = {
            replica.shard: _Committed(replica.commit_index, replica.voters)
            for process in processes
            for replica in process.replicas()
            if replica.is_leader
        }

    def _check_lag(self, process: Process) -> None:
        for replica in process.replicas():
            committed = self._committed.get(replica.shard)
            if committed is None or replica.identity not in committed.voters:
                continue
            if replica.applied_index < committed.index:
                applied = f"{process.name} has applied {replica.applied_index} of {committed.index} entries"
                rule = f"{applied} of {replica.shard} after CatchupS"
                self._violations.report(f"lag {replica.shard} {replica.identity}", rule)
