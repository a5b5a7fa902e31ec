"""A store's replica of the configuration's shard, which it holds where there are too few control nodes.

The replica votes and keeps the log, so that the group tolerates the losses that it must.  A store does not
serve the configuration: if it is elected, since it alone has the newest entries, it brings a control node's
replica up to date and transfers the leadership to that one.

    elected --> a live control node votes ---> leadership transferred to it, once its log is complete
            --> none does (all disks lost) --> target: live control nodes in place of lost voters and stores

Invariant: a store proposes no orders, and answers every order and read as a process that is not the owner.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

from ..configuration.state_machine import ConfigurationStateMachine
from ..membership.directory import DirectoryView
from ..membership.fault_tolerance import Tolerance
from ..membership.placement import (
    CONFIGURATION_SHARD,
    LOST_TIMEOUT_S,
    Spread,
    configuration_candidates,
    configuration_voters,
    control_replicas,
    zones_of_replicas,
)
from ..replication.host import ShardHost
from ..replication.replica import Replica

LOST_ABSENCE_S = LOST_TIMEOUT_S + 1.0  # of a voter that does not reply: it may be replaced


class ConfigurationVoter:
    """Looks after the replica, if this store holds one.

    `now` returns seconds of a monotonic clock, `tolerance` which losses must be survived.
    """

    def __init__(
        self,
        host: ShardHost,
        directory: DirectoryView,
        tolerance: Callable[[], Tolerance],
        now: Callable[[], float],
    ) -> None:
        self._host = host
        self._directory = directory
        self._tolerance = tolerance
        self._now = now

    def open_stored(self) -> None:
        """Opens the replica that the disk holds, if any."""
        if CONFIGURATION_SHARD in self._host.stored_shards():
            self._host.open(CONFIGURATION_SHARD, (), self._now())

    def tick(self, now: float) -> None:
        """Passes a leadership on to a control node."""
        replica = self._host.replica(CONFIGURATION_SHARD)
        if replica is None or not replica.is_leader:
            return
        controls = control_replicas(self._directory.members)
        replica.set_learners(controls)
        live_controls = [control for control in controls if replica.is_live(control, now)]
        receivers = tuple(control for control in live_controls if control in replica.voters)
        if receivers:
            replica.transfer_leadership(now, receivers)
        else:
            self._admit_control_nodes(replica, now)
        self._host.flush(CONFIGURATION_SHARD)

    def _admit_control_nodes(self, replica: Replica, now: float) -> None:
        """Sets a target in which live control nodes take the places of lost voters and of stores.

        Who is live is known from replies to this leader: the directory may be that of a lost control node.
        """
        if not replica.has_committed_in_term:
            return
        machine = cast(ConfigurationStateMachine, self._host.state_machine(CONFIGURATION_SHARD))
        stores = machine.state.stores
        listed = configuration_candidates(self._directory.members, stores.retiring)
        available = [candidate for candidate in listed if replica.is_live(candidate.replica, now)]
        live = {candidate.replica for candidate in available}
        voters = configuration_voters(
            replica.voters,
            len(replica.voters),
            available,
            lambda voter: 0.0 if voter in live else LOST_ABSENCE_S,
            (),
            stores.is_storage_disk,
            Spread(self._tolerance(), zones_of_replicas(self._directory.members)),
        )
        replica.set_target(voters, term=replica.term)
