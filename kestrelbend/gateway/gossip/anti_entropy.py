"""Comparison of two views: digests by bucket, then the members of those buckets that differ."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from .codec import encoded_size
from .dissemination import Dissemination
from .member import BUCKET_COUNT, LocalMember
from .messages import MembershipUpdate, MessageKind
from .parameters import SwimParameters
from .transmission import Transmission
from .view import MembershipView

MESSAGE_OVERHEAD_BYTES = 60  # of a message beside its name, updates, results and lists
MAX_DATAGRAMS_PER_COMPARISON = 3
STARTUP_SPEEDUP = 8  # a member that has just begun compares so much more often
COMPARE_PROBABILITY = 0.25  # while updates are on their way
MIN_REMEMBERED_SYNCS = 64


class AntiEntropy:
    """Mends what dissemination did not reach; what is learned so is not disseminated further."""

    def __init__(
        self,
        local: LocalMember,
        parameters: SwimParameters,
        view: MembershipView,
        dissemination: Dissemination,
        transmission: Transmission,
        random: Random,
    ) -> None:
        self._local = local
        self._parameters = parameters
        self._view = view
        self._dissemination = dissemination
        self._transmission = transmission
        self._random = random
        self._synced_at_us: dict[str, int] = {}  # by member: when digests were last sent to it

    def begin(self, address: bytes, name: str) -> None:
        """Views differ: sends this view's sums, to any one member not too often.

        One that has just begun knows little, and singleton tasks wait for it to know more: it compares with
        everybody who speaks to it.
        """
        local, parameters = self._local, self._parameters
        is_starting = local.now_us - local.started_us < parameters.startup_us
        interval_us = parameters.sync_interval_us // (STARTUP_SPEEDUP if is_starting else 1)
        if local.now_us - self._synced_at_us.get(name, -interval_us) < interval_us:
            return
        self._forget_old_syncs()
        # Updates on their way make views differ for a moment in any case.
        if not is_starting and self._dissemination.queue and self._random.random() > COMPARE_PROBABILITY:
            return
        self._synced_at_us[name] = local.now_us
        local.counters.syncs += 1
        self._transmission.send(address, MessageKind.DIGESTS, bucket_sums=self._view.bucket_sums)

    def compare(self, address: bytes, bucket_sums: Sequence[int]) -> None:
        """Sends what this member knows of the buckets that differ, a few datagrams of it."""
        if len(bucket_sums) != BUCKET_COUNT:
            return
        own_sums = self._view.bucket_sums
        differing = [index for index in range(BUCKET_COUNT) if bucket_sums[index] != own_sums[index]]
        self._random.shuffle(differing)
        updates = self._updates_of(differing)
        capacity = self._parameters.max_message_bytes - MESSAGE_OVERHEAD_BYTES - len(self._local.name)
        for _ in range(MAX_DATAGRAMS_PER_COMPARISON):
            if not updates:
                return
            chunk = _take_last(updates, capacity)
            if not chunk or not self._transmission.send(address, MessageKind.UPDATES, updates=chunk):
                return

    def _updates_of(self, buckets: Sequence[int]) -> list[MembershipUpdate]:
        """All that is known of these buckets' members, bucket by bucket in this order."""
        by_bucket: dict[int, list[MembershipUpdate]] = {index: [] for index in buckets}
        if self._local.bucket in by_bucket:
            by_bucket[self._local.bucket].append(self._local.update())
        for member in self._view.members.values():
            if member.bucket in by_bucket:
                by_bucket[member.bucket].append(member.update())
        return [update for updates in by_bucket.values() for update in updates]

    def _forget_old_syncs(self) -> None:
        if len(self._synced_at_us) <= 4 * len(self._view.members) + MIN_REMEMBERED_SYNCS:
            return
        oldest_us = self._local.now_us - self._parameters.sync_interval_us
        self._synced_at_us = {name: at for name, at in self._synced_at_us.items() if at > oldest_us}


def _take_last(updates: list[MembershipUpdate], capacity: int) -> list[MembershipUpdate]:
    """Removes from the end of the list what fits into so many bytes."""
    chunk = []
    while updates and (cost := encoded_size(updates[-1])) <= capacity:
        capacity -= cost
        chunk.append(updates.pop())
    return chunk
