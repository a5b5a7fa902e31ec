"""Which update overrides what is known of a member (SWIM 2002, section 4.2)."""

from __future__ import annotations

from .dissemination import Dissemination
from .member import LocalMember, Member
from .messages import MembershipUpdate, MemberState
from .parameters import SwimParameters
from .suspicion import Suspicion, suspicion_timeout_us
from .view import MembershipView


class UpdateRules:
    """Applies updates to the view.

    Invariant: what is known of a member only grows by (generation, incarnation, state), so that updates may
    come in any order and more than once. A member alone raises its incarnation: so it refutes a suspicion.
    """

    def __init__(
        self,
        local: LocalMember,
        parameters: SwimParameters,
        view: MembershipView,
        dissemination: Dissemination,
    ) -> None:
        self._local = local
        self._parameters = parameters
        self._view = view
        self._dissemination = dissemination

    def apply(self, update: MembershipUpdate, disseminate: bool = True) -> bool:
        """Whether an update changed anything.

        `disseminate`: also where the member is alive. What comes of comparing views is known to many, and a
        fleet that starts at once would use up its datagrams for it.
        """
        if update.name == self._local.name:
            return self.apply_about_self(update)
        state = MemberState(update.state)
        member = self._view.members.get(update.name)
        if member is None:
            if state >= MemberState.DEAD:
                return False  # forgotten or never known: nothing to send on
            member = Member(
                update.name, update.address, update.generation, update.incarnation, state, self._local.now_us
            )
            self._view.set_state(member, state)
        elif (update.generation, update.incarnation, state) > member.precedence():
            self._override(member, update, state)
        else:
            return self._confirm_suspicion(member, update, state)
        if state == MemberState.SUSPECT:
            deadline_us = self._local.now_us + self._suspicion_timeout_us(0)
            member.suspicion = Suspicion({update.suspected_by}, deadline_us)
        if disseminate or state != MemberState.ALIVE:
            self._dissemination.enqueue(update)
        return True

    def apply_about_self(self, update: MembershipUpdate) -> bool:
        """What others believe of this member: a suspicion is refuted, another process under its name is a
        conflict unless it is over. Whether anything was refuted."""
        local = self._local
        is_elsewhere = update.address != local.address
        if update.generation == local.generation and is_elsewhere and update.state <= MemberState.SUSPECT:
            if update.address > local.address:  # two that began in one instant: one has to give way
                local.name_conflict = update
            return False
        if update.generation > local.generation:
            if update.state <= MemberState.SUSPECT and is_elsewhere:
                local.name_conflict = update
            elif not local.has_left:
                local.generation = (
                    update.generation + 1
                )  # its own former process, before a clock stepped back
                local.incarnation = 0
                self._announce_self()
            return False
        if (
            update.generation < local.generation
            or local.has_left
            or update.state == MemberState.ALIVE
            or update.incarnation < local.incarnation
        ):
            return False
        local.incarnation = update.incarnation + 1
        local.adjust_local_health(1)  # others had a reason
        local.counters.refuted += 1
        self._announce_self()
        return True

    def _override(self, member: Member, update: MembershipUpdate, state: MemberState) -> None:
        if update.generation > member.generation:  # a new process under its name
            member.sequences.highest = 0
            member.sequences.received_mask = 0
        member.address = update.address
        member.generation = update.generation
        member.incarnation = update.incarnation
        member.suspicion = None
        self._view.set_state(member, state)

    def _confirm_suspicion(self, member: Member, update: MembershipUpdate, state: MemberState) -> bool:
        """Another member has the same suspicion: its timeout shortens, and it is sent on (Lifeguard 4.2)."""
        suspicion = member.suspicion
        if (
            suspicion is None
            or state != MemberState.SUSPECT
            or (update.generation, update.incarnation) != (member.generation, member.incarnation)
            or not update.suspected_by
            or update.suspected_by in suspicion.suspected_by
            or len(suspicion.suspected_by) > self._parameters.max_confirmations
        ):
            return False
        suspicion.suspected_by.add(update.suspected_by)
        confirmations = len(suspicion.suspected_by) - 1
        suspicion.deadline_us = member.changed_at_us + self._suspicion_timeout_us(confirmations)
        self._dissemination.enqueue(update)
        return True

    def _suspicion_timeout_us(self, confirmations: int) -> int:
        return suspicion_timeout_us(self._parameters, self._view.live_count, confirmations)

    def _announce_self(self) -> None:
        self._view.refresh_local_sum()
        self._dissemination.enqueue(self._local.update())
