"""The search for members that are dead or never answered: a fleet that was cut in two finds together."""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from .failure_detector import FailureDetector
from .member import LocalMember
from .messages import MemberState
from .parameters import SwimParameters
from .view import MembershipView

ATTEMPTS_WHILE_ALONE = 3  # addresses tried at once by a member that knows no other


class Reconnection:
    """Pings one lost address now and then; `seeds` are addresses (six bytes) that are tried for ever."""

    def __init__(
        self,
        local: LocalMember,
        parameters: SwimParameters,
        view: MembershipView,
        detector: FailureDetector,
        random: Random,
        seeds: Collection[bytes],
    ) -> None:
        self.next_attempt_us = local.now_us
        self._local = local
        self._parameters = parameters
        self._view = view
        self._detector = detector
        self._random = random
        self._seeds = {address for address in seeds if address != local.address}

    def attempt_if_due(self) -> None:
        """Tries some of the lost addresses where it is time."""
        local = self._local
        if local.now_us < self.next_attempt_us or local.has_left:
            return
        interval_us = int(self._parameters.reconnect_interval_us * (0.5 + self._random.random()))
        self.next_attempt_us = local.now_us + interval_us
        lost = self._lost_addresses()
        attempts = 1 if self._view.members else ATTEMPTS_WHILE_ALONE
        for address in self._random.sample(lost, min(attempts, len(lost))):
            member = self._view.member_at(address)
            self._detector.ping(member.name if member is not None else "", address)
        if lost and not self._view.has_live_members():
            soon_us = local.now_us + self._parameters.probe_interval_us
            self.next_attempt_us = min(self.next_attempt_us, soon_us)

    def _lost_addresses(self) -> list[bytes]:
        members = self._view.members.values()
        live = {member.address for member in members if member.state <= MemberState.SUSPECT}
        dead = {member.address for member in members if member.state == MemberState.DEAD}
        return sorted((self._seeds | dead) - live - {self._local.address})
