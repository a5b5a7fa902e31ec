"""Leases for singleton tasks that must never have two owners at once.

Examples are the renewal of a certificate and the sweep of a counter. The protocol follows Gray and Cheriton,
"Leases" (1989). A few voters grant a task to one holder for `LEASE_US`. All members choose the same voters
from the configured peers, by the task's name. A member with grants of a majority holds the lease, under a
fencing token higher than any that a majority has seen. Invariant: no two members hold the lease of a task at
once, even if messages are lost, duplicated or late, or processes stop. The reasons:

- A voter grants the task to no other holder before its grant has expired on its own clock.
- A holder counts a grant from the time at which it sent the answered request, and for a tenth less than the
  lease. Clocks may differ as long as their rates agree to a tenth, and a holder that was suspended finds its
  lease expired.
- A voter grants nothing for one lease after its start, when all grants of its former process have expired.
- Fencing tokens follow Unix time where no higher token is known, so that they also grow across a restart of
  all voters. The resource that the task works on rejects a token lower than one it has seen (`FencingGuard`).

Times are whole microseconds of a monotonic clock; `unix_ms` is Unix time in milliseconds.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from .rendezvous import score

SECOND_US = 1_000_000
LEASE_US = 10 * SECOND_US
CLOCK_DRIFT_DIVISOR = 10  # a holder's lease is shorter than the voter's grant by this part: a tenth
RENEWALS_PER_LEASE = 4  # requests that a holder sends to each voter per lease
VOTER_COUNT = 5
MAX_TASKS = 4096  # tasks that a voter remembers; beyond this, it forgets the oldest expired grants
FORGET_AFTER_LEASES = 360  # an hour after its end, a voter forgets a grant and its token

VoterT = TypeVar("VoterT", bound=Hashable)


class HolderId(NamedTuple):
    """Identity of a process that requests leases; another generation of the same name is another holder."""

    name: str
    generation: int


class VoterReply(NamedTuple):
    """Reply of a voter to a lease request.

    `highest_token`: the highest fencing token seen. `wait_us`: duration of the grant, or of the denial.
    """

    granted: bool
    highest_token: int
    wait_us: int


@dataclass(slots=True)
class Grant:
    """A voter's grant of one task to a holder."""

    fencing_token: int
    holder: HolderId
    expires_at_us: int


def voters_for(task: str, peers: Iterable[str], count: int = VOTER_COUNT) -> list[str]:
    """Return the peers that vote on a task; all members must pass the same configured peers."""
    return sorted(peers, key=lambda peer: score(peer, task), reverse=True)[:count]


class Voter:
    """Grants each task to one holder at a time."""

    def __init__(self, now_us: int, lease_us: int = LEASE_US) -> None:
        self.lease_us = lease_us
        self.no_grants_before_us = now_us + lease_us  # grants of a former process may last until then
        self.grants: dict[str, Grant] = {}
        self.highest_tokens: dict[str, int] = {}

    def request(self, now_us: int, task: str, fencing_token: int, holder: HolderId) -> VoterReply:
        """Decide a holder's request for a task under a fencing token."""
        highest = self.highest_tokens.get(task, 0)
        grant = self.grants.get(task)
        is_holder = grant is not None and grant.holder == holder
        if now_us < self.no_grants_before_us:
            return VoterReply(False, highest, self.no_grants_before_us - now_us)
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
        """Forget grants that expired over an hour ago, and as many newer expired ones as a new task requires.

        This is as safe as a restart of the voter, which forgets the same: the grant has expired, and later
        tokens are higher because they follow Unix time.
        """
        expiry_times = {task: grant.expires_at_us for task, grant in self.grants.items()}
        forget_before_us = now_us - FORGET_AFTER_LEASES * self.lease_us
        excess = len(expiry_times) + 1 - MAX_TASKS
        for task in sorted(expiry_times, key=expiry_times.__getitem__):
            if expiry_times[task] > now_us or expiry_times[task] > forget_before_us and excess <= 0:
                return
            del self.grants[task]
            self.highest_tokens.pop(task, None)
            excess -= 1

    def release(self, task: str, fencing_token: int, holder: HolderId) -> None:
        """End a holder's grant, so that the next holder need not wait for its expiry."""
        grant = self.grants.get(task)
        if grant is not None and grant.holder == holder and grant.fencing_token == fencing_token:
            grant.expires_at_us = 0


class LeaseHolder(Generic[VoterT]):
    """This member's side of the lease of one task."""

    def __init__(
        self, task: str, identity: HolderId, voters: Iterable[VoterT], lease_us: int = LEASE_US
    ) -> None:
        self.task = task
        self.identity = identity
        self.voters = list(voters)
        self.lease_us = lease_us - lease_us // CLOCK_DRIFT_DIVISOR
        self.fencing_token = 0
        self.highest_known_token = 0
        self.grants: dict[VoterT, int] = {}  # expiry time by voter
        self.next_request_us = 0

    def set_identity(self, identity: HolderId) -> None:
        """Set this member's identity; grants to a former identity are no longer its own and are dropped."""
        if identity != self.identity:
            self.identity = identity
            self.grants = {}
            self.next_request_us = 0

    def majority(self) -> int:
        """Return the number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def expires_at_us(self) -> int:
        """Return when the valid grants become fewer than a majority; 0 if there is no majority of grants."""
        expiry_times = sorted(self.grants.values(), reverse=True)
        return expiry_times[self.majority() - 1] if len(expiry_times) >= self.majority() else 0

    def holds(self, now_us: int) -> bool:
        """Whether this member holds the lease now."""
        return now_us < self.expires_at_us()

    def is_request_due(self, now_us: int) -> bool:
        """Whether it is time to send requests to the voters."""
        return now_us >= self.next_request_us

    def begin_request(self, now_us: int, unix_ms: int) -> int:
        """Return the fencing token for the requests to send now; a held lease is renewed under its token."""
        if not self.holds(now_us):
            self.fencing_token = max(self.highest_known_token + 1, unix_ms, self.fencing_token + 1)
            self.grants = {}
        self.next_request_us = now_us + self.lease_us // RENEWALS_PER_LEASE
        return self.fencing_token

    def record_grant(self, voter: VoterT, fencing_token: int, requested_at_us: int) -> None:
        """Record a grant of a voter.

        `requested_at_us`: when this holder sent the request that the voter answered. The lease must not count
        from a later request, which may have been lost.
        """
        if fencing_token == self.fencing_token:
            self.grants[voter] = max(self.grants.get(voter, 0), requested_at_us + self.lease_us)

    def record_denial(self, now_us: int, highest_token: int, wait_us: int) -> None:
        """Record a denial; without a lease, the next request waits for `wait_us`, at most one lease."""
        self.highest_known_token = max(self.highest_known_token, highest_token)
        if not self.holds(now_us) and wait_us:
            self.next_request_us = max(self.next_request_us, now_us + min(wait_us, self.lease_us))

    def release(self) -> int:
        """Give up the lease at once; returns the token with which the caller must notify the voters."""
        self.grants = {}
        return self.fencing_token


class FencingGuard:
    """Kept by the resource that a task works on; rejects operations under an outdated fencing token."""

    def __init__(self) -> None:
        self.highest_token = 0

    def accepts(self, fencing_token: int) -> bool:
        """Whether an operation under this token is allowed; remembers the highest token."""
        if fencing_token < self.highest_token:
            return False
        self.highest_token = fencing_token
        return True
