"""What is known of one member: of another one, and of this one itself."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..keys import stable_hash
from .messages import MembershipUpdate, MemberState
from .suspicion import Suspicion

BUCKET_COUNT = 16  # of the view; two views are compared bucket by bucket
SEQUENCE_WINDOW = 128  # messages that may come out of order
WINDOW_MASK = (1 << SEQUENCE_WINDOW) - 1


def bucket_of(name: str) -> int:
    """The bucket of the view that a member belongs to."""
    return stable_hash(name) % BUCKET_COUNT


@dataclass(slots=True)
class SequenceWindow:
    """The sequence numbers of one generation's messages that came; doubled and replayed ones are known."""

    highest: int = 0
    received_mask: int = 0  # bit n: the message n before the highest came

    def accept(self, sequence: int) -> bool:
        """Whether a message is new; it counts as received from now on."""
        if sequence > self.highest:
            shift = min(sequence - self.highest, SEQUENCE_WINDOW)
            self.received_mask = (self.received_mask << shift | 1) & WINDOW_MASK
            self.highest = sequence
            return True
        distance = self.highest - sequence
        if distance >= SEQUENCE_WINDOW or self.received_mask >> distance & 1:
            return False
        self.received_mask |= 1 << distance
        return True


@dataclass(slots=True, eq=False)
class Member:
    """Another member. Invariant: `suspicion` is set just while its state is SUSPECT."""

    name: str
    address: bytes
    generation: int
    incarnation: int
    state: MemberState
    changed_at_us: int  # when its state changed last
    last_heard_us: int = 0
    last_probed_us: int = 0
    missed_probes: int = 0  # unanswered pings in a row
    suspicion: Suspicion | None = None
    sequences: SequenceWindow = field(default_factory=SequenceWindow)
    view_sum: int = 0  # its part of its bucket's sum
    bucket: int = field(init=False)

    def __post_init__(self) -> None:
        self.bucket = bucket_of(self.name)

    def precedence(self) -> tuple[int, int, MemberState]:
        """What an update has to exceed to override what is known."""
        return self.generation, self.incarnation, self.state

    def update(self, state: MemberState | None = None, suspected_by: str = "") -> MembershipUpdate:
        """What is known of it, as others are sent it; with another state where one is given."""
        said = self.state if state is None else state
        return MembershipUpdate(
            self.name, self.address, self.generation, self.incarnation, int(said), suspected_by
        )


@dataclass(slots=True, eq=False)
class MemberChange:
    """A member became alive or dead, or left; `before` is None for one not known before."""

    member: Member
    state: MemberState
    before: MemberState | None


@dataclass(slots=True)
class SwimCounters:
    """What happened since the start."""

    sent: int = 0
    rate_limited: int = 0  # messages not sent, for the limit of datagrams a second
    received: int = 0
    replayed: int = 0
    stale: int = 0  # messages of a former generation
    suspected: int = 0
    died: int = 0
    refuted: int = 0
    syncs: int = 0  # comparisons of views that this member began


@dataclass(slots=True, eq=False)
class LocalMember:
    """This member itself, and the time as the core was last given it."""

    name: str
    address: bytes
    generation: int
    started_us: int
    now_us: int
    max_local_health: int
    incarnation: int = 0
    has_left: bool = False
    local_health: int = 0  # Lifeguard's saturating counter (2018, section 4.1): 0 is healthy
    name_conflict: MembershipUpdate | None = None  # another process serves under this name, and stays
    counters: SwimCounters = field(default_factory=SwimCounters)
    bucket: int = field(init=False)

    def __post_init__(self) -> None:
        self.bucket = bucket_of(self.name)

    def state(self) -> MemberState:
        """Alive until it leaves."""
        return MemberState.LEFT if self.has_left else MemberState.ALIVE

    def update(self) -> MembershipUpdate:
        """What this member says of itself."""
        return MembershipUpdate(self.name, self.address, self.generation, self.incarnation, int(self.state()))

    def adjust_local_health(self, change: int) -> None:
        """Worse (1 or more) where answers that should have come are missing, better (-1) where one came."""
        self.local_health = min(self.max_local_health, max(0, self.local_health + change))
