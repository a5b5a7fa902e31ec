"""The replicas that one process holds on its disk.

    open (disk, journal, records replayed) --> open_stored --> follow placements --> hand_over --> close

A process without a disk has the same object with no replicas in it.  All is touched from the event loop's
thread; the journal's writer is a thread of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from ..membership.messages import ContactReply, ShardPlacement, ShardReport
from ..membership.owner_contact import ConfirmedReplica, in_contact, is_current
from ..membership.placement import CONFIGURATION_SHARD, address_of
from ..protocol.codec import decode, encode
from ..replication.host import ShardHost
from ..replication.interfaces import StateMachine
from ..replication.messages import ReplicaId, ShardId
from ..replication.replica import Replica
from ..replication.timing import Timing
from ..storage.identity import DataDirectory
from ..storage.journal import DiskJournal
from .environment import Environment
from .settings import Settings

BYTES_PER_MB = 1_000_000
JOURNAL_CLOSE_TIMEOUT_S = 0.5
HAND_OVER_CHECK_INTERVAL_S = 0.02


class ShardRole(Protocol):
    """What the replicas of a process ask of its role."""

    def machine_for(self, shard: ShardId) -> StateMachine:
        """An empty state machine."""

    def hosts_shard(self, shard: ShardId) -> bool:
        """Whether a replica of the shard may begin here on its owner's request."""

    def on_applied(self, shard: ShardId) -> None:
        """Commands of a shard were applied."""

    def send_to_replica(self, receiver: ReplicaId, message: Any) -> None:
        """Hands a message to the process of another replica, if there is a connection to it."""


class LocalShards:
    """The replicas of a process, and what others are notified of them."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.replica_id = ""  # the address and the disk's identity
        self.host: ShardHost | None = None
        self._journal: DiskJournal | None = None
        self._now = now

    # Start and stop

    def open(
        self, settings: Settings, address: str, incarnation: int, environment: Environment, role: ShardRole
    ) -> None:
        """Reads the disk; raises the storage's errors, and `OSError` where the disk can't be used."""
        directory = DataDirectory.open(
            settings.data_dir,
            settings.bootstrap,
            environment.disk(),
            environment.new_disk_identity,
        )
        self.replica_id = f"{address}#{directory.identity}"
        capacity_bytes = int(settings.disk_mb * BYTES_PER_MB)
        journal = environment.journal(directory.journal_directory, capacity_bytes, self._written)
        records = [decode(data) for data in journal.load()]
        self._journal = journal
        self.host = ShardHost(
            identity=self.replica_id,
            first_ticket=incarnation,
            timing=Timing(),
            journal=journal,
            encode=encode,
            send=role.send_to_replica,
            create_state_machine=role.machine_for,
            may_host=role.hosts_shard,
            on_applied=role.on_applied,
            announces_commits=lambda shard: shard == CONFIGURATION_SHARD,  # nobody reads budgets at followers
        )
        self.host.load(records)
        journal.start()

    def open_stored(self) -> None:
        """Opens the replicas that the disk holds, but for the configuration's."""
        if self.host is None:
            return
        for shard in self.host.stored_shards():
            if shard != CONFIGURATION_SHARD:
                self.host.open(shard, (), self._now())

    async def hand_over(self, within: float) -> None:
        """Hands every shard owned here to another replica, waiting for it for some seconds."""
        if self.host is None:
            return
        now = self._now()
        for replica in self.replicas():
            replica.transfer_leadership(now)
            self.host.flush(replica.shard)
        deadline = now + within
        while self._now() < deadline and self._owns_any():  # noqa: ASYNC110  replicas set no event
            await asyncio.sleep(HAND_OVER_CHECK_INTERVAL_S)

    async def close(self, environment: Environment) -> None:
        """Writes what the journal still has to write, for a bounded time."""
        if self._journal is not None:
            await environment.close_journal(self._journal, JOURNAL_CLOSE_TIMEOUT_S)

    def _written(self, tickets: list[int]) -> None:
        if self.host is not None:
            self.host.complete_writes(tickets, self._now())

    # Replicas

    def replicas(self) -> list[Replica]:
        """All that are open here."""
        if self.host is None:
            return []
        found = [self.host.replica(shard) for shard in self.host.shards()]
        return [replica for replica in found if replica is not None]

    def follow(self, placements: Iterable[ShardPlacement]) -> None:
        """Opens founded replicas, and tells the owners among them which voters are wanted."""
        if self.host is None:
            return
        now = self._now()
        for placed in placements:
            replica = self.host.replica(placed.shard)
            if replica is None and self._belongs_here(self.host, placed):
                replica = self.host.open(placed.shard, placed.founders, now)
            if replica is not None:
                replica.set_target(placed.voters, placed.number)

    def _belongs_here(self, host: ShardHost, placed: ShardPlacement) -> bool:
        return self.replica_id in placed.founders or placed.shard in host.stored_shards()

    def peer_addresses(self, placements: Iterable[ShardPlacement]) -> list[str]:
        """Where the other replicas of the shards are that are here or should be, with repetitions."""
        voters = [voter for replica in self.replicas() for voter in (*replica.voters, *replica.target)]
        if self.host is not None:
            placed_here = [placed for placed in placements if self.replica_id in placed.voters]
            voters += [voter for placed in placed_here for voter in placed.voters]
        return [address_of(voter) for voter in voters]

    def _owns_any(self) -> bool:
        return any(replica.is_leader for replica in self.replicas())

    # What others are notified of

    def reports(self) -> tuple[ShardReport, ...]:
        """The replicas, as heartbeats tell of them."""
        now = self._now()
        return tuple([self._report(replica, now) for replica in self.replicas()])

    def _report(self, replica: Replica, now: float) -> ShardReport:
        return ShardReport(
            shard=replica.shard,
            replica=self.replica_id,
            epoch=replica.term,
            owner=replica.leader,
            voters=tuple(replica.voters),
            applied_index=replica.applied_index,
            commit_index=replica.commit_index,
            committed_voters=replica.committed_voters,
            placement_number=replica.committed_placement_number,
            stable=replica.is_stable(now),
        )

    def contact_reply(self, ticket: int, config_version: int) -> ContactReply:
        """What a gateway may believe of these replicas now."""
        return ContactReply(
            ticket=ticket,
            in_contact=self._has_standing(CONFIGURATION_SHARD, in_contact),
            version=config_version if self._has_standing(CONFIGURATION_SHARD, is_current) else 0,
            owned=tuple(
                [shard for shard in self._budget_shards_owned() if self._has_standing(shard, in_contact)]
            ),
        )

    def _has_standing(self, shard: ShardId, standing: Callable[[ConfirmedReplica, float], bool]) -> bool:
        replica = None if self.host is None else self.host.replica(shard)
        return replica is not None and standing(replica, self._now())

    def _budget_shards_owned(self) -> list[ShardId]:
        owned = [replica.shard for replica in self.replicas() if replica.is_leader]
        return [shard for shard in owned if shard != CONFIGURATION_SHARD]
