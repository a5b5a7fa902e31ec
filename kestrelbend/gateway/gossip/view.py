"""What this member knows of all others, and the sums by which two views are compared."""

from __future__ import annotations

from collections import deque
from random import Random

from ..keys import stable_hash
from .member import BUCKET_COUNT, LocalMember, Member, MemberChange
from .messages import MemberState

SUM_MASK = (1 << 32) - 1


def member_sum(name: str, generation: int, incarnation: int, state: MemberState) -> int:
    """One member's part of its bucket's sum; 0 for one that does not live.

    The dead are forgotten at different times and a suspicion ends by itself, so neither may make sums differ.
    """
    return 0 if state >= MemberState.DEAD else stable_hash(f"{name} {generation} {incarnation}") & SUM_MASK


class MembershipView:
    """The members by name.

    Invariant: `probe_order` has each name of `members` once, `live_count` counts those that live with
    this one, `bucket_sums` are the exclusive or of the members' sums. `set_state` and `remove` alone change
    them.
    """

    def __init__(self, local: LocalMember, random: Random) -> None:
        self.members: dict[str, Member] = {}
        self.probe_order: list[str] = []  # in which members are probed in turn
        self.bucket_sums = [0] * BUCKET_COUNT
        self.live_count = 1  # of those that live, this one with them
        self.version = 0  # grows with each change of the view
        self.changes: deque[MemberChange] = deque()  # for whoever carries the core
        self._local = local
        self._random = random
        self._local_sum = 0
        self.refresh_local_sum()

    def live_names(self) -> list[str]:
        """Names of the members that serve, this one with them; suspects are not dead yet."""
        live = [member.name for member in self.members.values() if member.state <= MemberState.SUSPECT]
        return live if self._local.has_left else [*live, self._local.name]

    def alive_members(self) -> list[Member]:
        """The others that live and are not suspected."""
        return [member for member in self.members.values() if member.state == MemberState.ALIVE]

    def has_live_members(self) -> bool:
        """Whether any other member lives, as far as is known."""
        return any(member.state <= MemberState.SUSPECT for member in self.members.values())

    def member_at(self, address: bytes) -> Member | None:
        """The first member known at an address."""
        return next((member for member in self.members.values() if member.address == address), None)

    def digest(self) -> int:
        """One sum of the complete view."""
        digest = 0
        for index, bucket_sum in enumerate(self.bucket_sums):
            digest ^= (bucket_sum * (2 * index + 1)) & SUM_MASK
        return digest

    def refresh_local_sum(self) -> None:
        """To be called when this member's own generation, incarnation or state has changed."""
        local = self._local
        fresh = member_sum(local.name, local.generation, local.incarnation, local.state())
        self.bucket_sums[local.bucket] ^= self._local_sum ^ fresh
        self._local_sum = fresh

    def set_state(self, member: Member, state: MemberState) -> None:
        """Gives a member its state, and adds it where it was not known."""
        before = member.state if member.name in self.members else None
        if before is None:
            self.members[member.name] = member
            self.probe_order.insert(int(self._random.random() * (len(self.probe_order) + 1)), member.name)
        member.state = state
        fresh = member_sum(member.name, member.generation, member.incarnation, state)
        self.bucket_sums[member.bucket] ^= member.view_sum ^ fresh
        member.view_sum = fresh
        self.version += 1
        was_live = before is not None and before <= MemberState.SUSPECT
        is_live = state <= MemberState.SUSPECT
        self.live_count += is_live - was_live
        if before == state:
            return
        member.changed_at_us = self._local.now_us
        if before is None or was_live != is_live or not is_live:
            self.changes.append(MemberChange(member, state, before))
        if state == MemberState.DEAD:
            self._local.counters.died += 1

    def remove(self, member: Member) -> None:
        """Forgets a member."""
        self.bucket_sums[member.bucket] ^= member.view_sum
        self.version += 1
        self.live_count -= member.state <= MemberState.SUSPECT
        del self.members[member.name]
        self.probe_order.remove(member.name)
