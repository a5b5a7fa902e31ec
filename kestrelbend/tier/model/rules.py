"""Invariants that must hold in every state of the model, whichever faults came before.

There is one leader per term and one history, of which nothing is lost.  Logs that agree on one entry agree on
all entries before it.  Majorities of consecutive groups intersect.  A committed entry is on the disks of a
majority of the committed group.  A confirmed read misses no committed entry.  No node claims contact without
recent replies from a majority.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..membership import owner_contact
from ..membership.owner_contact import CONTACT_S
from ..replication.group import Voters, decode_group, has_quorum, quorum_size
from ..replication.messages import DurableState, Entry, EntryKind, ReplicaId
from ..replication.replica import Replica

if TYPE_CHECKING:
    from .node import Node


class InvariantViolation(AssertionError):
    """A state violates an invariant; the message names it."""


def require(condition: bool, message: str) -> None:
    """Raises `InvariantViolation` unless `condition` holds."""
    if not condition:
        raise InvariantViolation(message)


class Invariants:
    """Checks every step of a run; `history` holds the committed entries, recorded when first applied."""

    def __init__(self, founders: Voters) -> None:
        self.history: list[Entry] = []
        self.group = founders
        self.wiped: set[ReplicaId] = set()  # identities whose disks were emptied
        self._commit_terms: list[int] = []
        self._leader_by_term: dict[int, ReplicaId] = {}

    def check_new_leader(self, replica: Replica) -> None:
        """A new leader is the only one of its term and holds all entries committed in earlier terms."""
        leader = self._leader_by_term.setdefault(replica.term, replica.identity)
        require(leader == replica.identity, f"{leader} and {replica.identity} both lead term {replica.term}")
        leader_record = replica.durable_record()
        assert leader_record.snapshot is not None
        entries = {entry.index: entry for entry in leader_record.entries}
        for entry, term in zip(self.history, self._commit_terms, strict=True):
            if leader_record.snapshot.index < entry.index and term < replica.term:
                require(entries.get(entry.index) == entry, f"the new leader lacks committed {entry}")

    def record_applied(self, entry: Entry, term: int, nodes: Iterable[Node]) -> None:
        """Records an entry that a replica applied, and checks it against the history."""
        if entry.index <= len(self.history):
            known = self.history[entry.index - 1]
            require(known == entry, f"histories differ: {known} and {entry}")
            return
        require(entry.index == len(self.history) + 1, f"{entry} leaves a gap")
        self.history.append(entry)
        self._commit_terms.append(term)
        if entry.kind == EntryKind.GROUP:
            self._change_group(decode_group(entry.data))
        self._check_durable(entry, nodes)

    def _change_group(self, group: Voters) -> None:
        require(
            majorities_intersect(self.group, group),
            f"{self.group} and its successor {group} can have disjoint majorities",
        )
        self.group = group

    def _check_durable(self, entry: Entry, nodes: Iterable[Node]) -> None:
        """A committed entry survives the loss of any minority of the disks."""
        holders = {node.identity for node in nodes if contains_entry(node.durable(), entry)} | self.wiped
        count = sum(1 for voter in self.group if voter in holders)
        require(
            count >= quorum_size(self.group), f"committed {entry} is only on the disks of {sorted(holders)}"
        )

    def check_new_voter(self, node: Node, required: int) -> None:
        """The disk of a new voter holds what was committed an election timeout ago."""
        state = node.durable()
        held = state.snapshot.index + len(state.entries)
        require(held >= required, f"{node.identity} became a voter with {held} of {required} entries")

    def check_read(self, applied_index: int, committed: int, how: str) -> None:
        """A read at `applied_index` sees all of the `committed` entries of the time of its request."""
        require(
            applied_index >= committed, f"a read {how} sees {applied_index} of {committed} committed entries"
        )

    def check_leader_contact(self, node: Node, election_timeout: float) -> None:
        """A leader without replies from a majority for two election timeouts has stepped down."""
        since = node.clock - 2 * election_timeout
        if node.replica.is_leader and node.leader_since < since:
            contacts = node.contacts_since(since)
            kept = has_quorum(node.replica.voters, contacts.__contains__)
            require(kept, f"{node.name} still leads but had contact only with {sorted(contacts)} lately")

    def check_votes_fresh(self, node: Node) -> None:
        """After a pause, a process becomes leader only by votes that were sent after it resumed."""
        contacts = node.contacts_since(node.resumed_at)
        fresh = has_quorum(node.replica.voters, contacts.__contains__)
        require(
            fresh,
            f"{node.name} leads by votes from before its pause, with contact to {sorted(contacts)} since",
        )

    def check_refusal(self, node: Node, requested_at: float) -> None:
        """Only a leader that a majority has replied to since the request may refuse an order."""
        contacts = node.contacts_since(requested_at)
        confirmed = has_quorum(node.replica.voters, contacts.__contains__)
        require(
            confirmed, f"{node.name} refused an order, with contact to {sorted(contacts)} since its request"
        )

    def check_contact_claims(self, node: Node) -> None:
        """Claims of contact and freshness rest only on requests sent and answered within `CONTACT_S`."""
        replica, now = node.replica, node.clock
        since = now - CONTACT_S
        if owner_contact.in_contact(replica, now):
            contacts = node.contacts_since(since)
            asked_majority = replica.is_leader
            enough = (
                has_quorum(replica.voters, contacts.__contains__) if asked_majority else len(contacts) > 1
            )
            require(enough, f"{node.name} claims contact but had contact only with {sorted(contacts)} lately")
        if owner_contact.is_current(replica, now):
            self.check_read(node.applied_index, node.committed_before(since), f"as current at {node.name}")

    def check_logs_match(self, replicas: Iterable[Replica]) -> None:
        """Two logs that have an entry with the same term agree on it and on all entries before it."""
        logs = [log_by_index(replica) for replica in replicas]
        for position, log in enumerate(logs):
            for other in logs[:position]:
                _check_matching_prefix(log, other)

    def committed_commands(self) -> list[bytes]:
        """Returns the committed commands in order."""
        return [entry.data for entry in self.history if entry.kind == EntryKind.COMMAND]


def majorities_intersect(group: Voters, other: Voters) -> bool:
    """Returns whether every majority of one group shares a member with every majority of the other."""
    member_count = len(set(group) | set(other))
    return quorum_size(group) + quorum_size(other) > member_count


def contains_entry(state: DurableState, entry: Entry) -> bool:
    """Returns whether the state holds an entry, in its log or covered by its snapshot."""
    if entry.index <= state.snapshot.index:
        return True
    position = entry.index - state.snapshot.index - 1
    return position < len(state.entries) and state.entries[position] == entry


def log_by_index(replica: Replica) -> dict[int, Entry]:
    """Returns a replica's log entries by index."""
    return {entry.index: entry for entry in replica.durable_record().entries}


def voters_before(replica: Replica, index: int) -> Voters:
    """Returns the voters according to a replica's log before the entry `index`."""
    record = replica.durable_record()
    assert record.snapshot is not None
    groups = [entry for entry in record.entries if entry.kind == EntryKind.GROUP and entry.index < index]
    return decode_group(groups[-1].data) if groups else record.snapshot.voters


def _check_matching_prefix(log: dict[int, Entry], other: dict[int, Entry]) -> None:
    agreed = [index for index in log.keys() & other.keys() if log[index].term == other[index].term]
    last = max(agreed, default=0)
    for index in log.keys() & other.keys():
        if index <= last:
            require(log[index] == other[index], f"logs differ at {index} but have the same term at {last}")
