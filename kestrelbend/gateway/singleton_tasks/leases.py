"""Leases for singleton tasks that two owners at once would spoil: a certificate's renewal, a count's sweep.

After Gray and Cheriton, "Leases" (1989). A few voters, the same for everybody (drawn by the task's name from
the configured peers), grant a task to one holder for `LEASE_US`; who has grants of a majority holds it, by a
fencing token higher than any that a majority has seen. Invariant: no two hold one task at once, whatever is
lost, doubled, late or stopped, since

- a voter grants to nobody else before its grant has run out on its own clock;
- a holder counts a grant from when it sent the very request that is answered, and a tenth shorter: clocks
  need not agree, only run at the same rate to a tenth, and a holder that stood still finds its lease over;
- a voter that starts grants nothing for one lease: what its former process granted is over by then;
- fencing tokens grow with Unix time where nothing higher is known, so that they grow over the restart of all
  voters, too; what the task is done on rejects a lower one than it has seen (`FencingGuard`).

Times are whole microseconds of a clock that never steps (a monotonic one), `unix_ms` is Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from .rendezvous import score

SECOND_US = 1_000_000
LEASE_US = 10 * SECOND_US
CLOCK_DRIFT_DIVISOR = 10  # a holder's lease is shorter by this part
RENEWALS_PER_LEASE = 4  # requests that a holder sends in one lease
VOTER_COUNT = 5
MAX_TASKS = 4096  # that a voter remembers beyond their leases
FORGET_AFTER_LEASES = 360  # a grant that ended so long ago, an hour, is forgotten with its token

VoterT = TypeVar("VoterT", bound=Hashable)


class HolderId(NamedTuple):
    """One process that would hold a task: another generation of the same name is another holder."""

    name: str
    generation: int


class VoterReply(NamedTuple):
    """`highest_token`: the highest fencing token seen; `wait_us`: granted for, or denied for."""

    granted: bool
    highest_token: int
    wait_us: int


@dataclass(slots=True)
class Grant:
    """What a voter gave to a holder."""

    fencing_token: int
    holder: HolderId
    expires_at_us: int


def voters_for(task: str, peers: Iterable[str], count: int = VOTER_COUNT) -> list[str]:
    """Which of the peers that are configured everywhere vote on a task."""
    return sorted(peers, key=lambda peer: score(peer, task), reverse=True)[:count]


class Voter:
    """Grants tasks, each to one holder at a time."""

    def __init__(self, now_us: int, lease_us: int = LEASE_US) -> None:
        self.lease_us = lease_us
        self.mute_until_us = now_us + lease_us  # a former process's grants may run until then
        self.grants: dict[str, Grant] = {}
        self.highest_tokens: dict[str, int] = {}

    def request(self, now_us: int, task: str, fencing_token: int, holder: HolderId) -> VoterReply:
        """A holder asks for a task under a fencing token."""
        highest = self.highest_tokens.get(task, 0)
        grant = self.grants.get(task)
        is_holder = grant is not None and grant.holder == holder
        if now_us < self.mute_until_us:
            return VoterReply(False, highest, self.mute_until_us - now_us)
        if grant is not None and not is_holder and now_us < grant.expires_at_us:
            return VoterReply(False, highest, grant.expires_at_us - now_us)
        if fencing_token < highest or fencing_token == highest and not is_holder:
            return VoterReply(False, highest, 0)
        if task not in self.grants:
            self._forget_old_tasks(now_us)
        self.grants[task] = Grant(fencing_token, holder, now_us + self.lease_us)
        self.highest_tokens[task] = fencing_token
        return VoterReply(True, fencing_token, self.lease_us)

    def _forget_old_tasks(self, now_us: int) -> None:
        """Makes room for one more task.

        What is forgotten is what a restart of this voter forgets as well: a grant that is over, and a token
        that later ones exceed by Unix time.
        """
        ends = {task: grant.expires_at_us for task, grant in self.grants.items()}
        over_us = now_us - FORGET_AFTER_LEASES * self.lease_us
        excess = len(ends) + 1 - MAX_TASKS
        for task in sorted(ends, key=ends.__getitem__):
            if ends[task] > now_us or ends[task] > over_us and excess <= 0:
                return
            del self.grants[task]
            self.highest_tokens.pop(task, None)
            excess -= 1

    def release(self, task: str, fencing_token: int, holder: HolderId) -> None:
        """A holder gives a task back: the next one need not wait."""
        grant = self.grants.get(task)
        if grant is not None and grant.holder == holder and grant.fencing_token == fencing_token:
            grant.expires_at_us = 0


class LeaseHolder(Generic[VoterT]):
    """One task that this member would hold."""

    def __init__(
        self, task: str, identity: HolderId, voters: Iterable[VoterT], lease_us: int = LEASE_US
    ) -> None:
        self.task = task
        self.identity = identity
        self.voters = list(voters)
        self.lease_us = lease_us - lease_us // CLOCK_DRIFT_DIVISOR
        self.fencing_token = 0
        self.highest_known_token = 0
        self.grants: dict[VoterT, int] = {}  # by voter: until when
        self.next_request_us = 0

    def identify(self, identity: HolderId) -> None:
        """This member goes on as another process would: the former one's grants are not its own."""
        if identity != self.identity:
            self.identity = identity
            self.grants = {}
            self.next_request_us = 0

    def majority(self) -> int:
        """How many voters have to grant."""
        return len(self.voters) // 2 + 1

    def expires_at_us(self) -> int:
        """When the lease is over: when fewer than a majority of grants are left. 0 without a majority."""
        ends = sorted(self.grants.values(), reverse=True)
        return ends[self.majority() - 1] if len(ends) >= self.majority() else 0

    def holds(self, now_us: int) -> bool:
        """Whether the task is this member's now."""
        return now_us < self.expires_at_us()

    def is_request_due(self, now_us: int) -> bool:
        """Whether the voters should be asked."""
        return now_us >= self.next_request_us

    def begin_request(self, now_us: int, unix_ms: int) -> int:
        """The fencing token to request from the voters now; a lease that runs is renewed under its own."""
        if not self.holds(now_us):
            self.fencing_token = max(self.highest_known_token + 1, unix_ms, self.fencing_token + 1)
            self.grants = {}
        self.next_request_us = now_us + self.lease_us // RENEWALS_PER_LEASE
        return self.fencing_token

    def record_grant(self, voter: VoterT, fencing_token: int, requested_at_us: int) -> None:
        """`requested_at_us`: when this holder sent the request that the voter answers. To count from a later
        one would be wrong: that one may be lost."""
        if fencing_token == self.fencing_token:
            self.grants[voter] = max(self.grants.get(voter, 0), requested_at_us + self.lease_us)

    def record_denial(self, now_us: int, highest_token: int, wait_us: int) -> None:
        """A voter granted nothing; no new request before the time it names, where this one holds nothing."""
        self.highest_known_token = max(self.highest_known_token, highest_token)
        if not self.holds(now_us) and wait_us:
            self.next_request_us = max(self.next_request_us, now_us + min(wait_us, self.lease_us))

    def release(self) -> int:
        """The lease is over at once for this member; the voters have to be notified with the token given."""
        self.grants = {}
        return self.fencing_token


class FencingGuard:
    """What a task is done on keeps this, and accepts nothing under a lower token."""

    def __init__(self) -> None:
        self.highest_token = 0

    def accepts(self, fencing_token: int) -> bool:
        """Whether an act under this token may be done."""
        if fencing_token < self.highest_token:
            return False
        self.highest_token = fencing_token
        return True
