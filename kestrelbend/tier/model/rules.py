"""What must hold in every state of the model, whatever has failed up to there.

One leader a term; one history, of which nothing is lost; logs that agree in one entry agree in all before
it; consecutive groups whose majorities meet; a committed entry on the disks of a majority of the committed
group; a confirmed read that misses nothing; no contact claimed without fresh replies of a majority.
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


class RuleBroken(AssertionError):
    """A state breaks a rule; the text names which."""


def require(holds: bool, rule: str) -> None:
    """Ends the run where a rule does not hold."""
    if not holds:
        raise RuleBroken(rule)


class Rules:
    """Sees every step of a run; `history` is what was committed, by whichever replica applied it first."""

    def __init__(self, founders: Voters) -> None:
        self.history: list[Entry] = []
        self.group = founders
        self.emptied: set[ReplicaId] = set()  # identities whose disks are lost
        self._committed_in: list[int] = []
        self._leaders: dict[int, ReplicaId] = {}

    def becomes_leader(self, replica: Replica) -> None:
        """A replica has just become the leader of its term."""
        leader = self._leaders.setdefault(replica.term, replica.identity)
        require(leader == replica.identity, f"{leader} and {replica.identity} lead term {replica.term}")
        held = replica.durable_record()
        assert held.snapshot is not None
        entries = {entry.index: entry for entry in held.entries}
        for entry, term in zip(self.history, self._committed_in, strict=True):
            if held.snapshot.index < entry.index and term < replica.term:
                require(entries.get(entry.index) == entry, f"the leader lacks committed {entry}")

    def applied(self, entry: Entry, term: int, nodes: Iterable[Node]) -> None:
        """A replica has handed out a committed entry."""
        if entry.index <= len(self.history):
            known = self.history[entry.index - 1]
            require(known == entry, f"two histories: {known} and {entry}")
            return
        require(entry.index == len(self.history) + 1, f"{entry} leaves a gap")
        self.history.append(entry)
        self._committed_in.append(term)
        if entry.kind == EntryKind.GROUP:
            self._changes_group(decode_group(entry.data))
        self._lasts(entry, nodes)

    def _changes_group(self, group: Voters) -> None:
        require(majorities_meet(self.group, group), f"{self.group} to {group} in one step")
        self.group = group

    def _lasts(self, entry: Entry, nodes: Iterable[Node]) -> None:
        """A committed entry outlives the loss of any minority's disks."""
        holders = {node.identity for node in nodes if holds(node.durable(), entry)} | self.emptied
        count = sum(1 for voter in self.group if voter in holders)
        require(count >= quorum_size(self.group), f"committed {entry} is on the disks of {sorted(holders)}")

    def joins(self, node: Node, due: int) -> None:
        """A replica becomes a voter: by then its disk holds what was committed an election timeout ago."""
        state = node.durable()
        held = state.snapshot.index + len(state.entries)
        require(held >= due, f"{node.identity} votes and holds {held} of {due} entries")

    def read(self, applied_index: int, committed: int, how: str) -> None:
        """A read sees the state at `applied_index`; `committed` is the history when it was asked."""
        require(applied_index >= committed, f"a read {how} sees {applied_index} of {committed} entries")

    def keeps_leading(self, node: Node, election_timeout: float) -> None:
        """A leader that no majority has answered for two election timeouts has given up."""
        since = node.clock - 2 * election_timeout
        if node.replica.is_leader and node.leader_since < since:
            heard = node.contacts_since(since)
            kept = has_quorum(node.replica.voters, heard.__contains__)
            require(kept, f"{node.name} goes on leading and heard {sorted(heard)} lately")

    def votes_are_fresh(self, node: Node) -> None:
        """A process that stood still begins to lead by votes given since then alone."""
        heard = node.contacts_since(node.resumed_at)
        fresh = has_quorum(node.replica.voters, heard.__contains__)
        require(fresh, f"{node.name} leads by votes from before it stood still, heard {sorted(heard)} since")

    def refuses(self, node: Node, requested_at: float) -> None:
        """A refusal is given only by a leader that a majority has answered since it was asked."""
        heard = node.contacts_since(requested_at)
        confirmed = has_quorum(node.replica.voters, heard.__contains__)
        require(confirmed, f"{node.name} refuses an order and heard {sorted(heard)} since")

    def standing(self, node: Node) -> None:
        """Contact and freshness are claimed only by what was asked, and answered, within `CONTACT_S`."""
        replica, now = node.replica, node.clock
        since = now - CONTACT_S
        if owner_contact.in_contact(replica, now):
            heard = node.contacts_since(since)
            asked_majority = replica.is_leader
            enough = has_quorum(replica.voters, heard.__contains__) if asked_majority else len(heard) > 1
            require(enough, f"{node.name} claims contact and heard {sorted(heard)} lately")
        if owner_contact.is_current(replica, now):
            self.read(node.applied_index, node.committed_by(since), f"as current at {node.name}")

    def logs_match(self, replicas: Iterable[Replica]) -> None:
        """Two logs that agree on the term of an entry agree on it and on all before it."""
        logs = [entries_of(replica) for replica in replicas]
        for position, log in enumerate(logs):
            for other in logs[:position]:
                _match(log, other)

    def commands(self) -> list[bytes]:
        """The committed commands in their order."""
        return [entry.data for entry in self.history if entry.kind == EntryKind.COMMAND]


def majorities_meet(group: Voters, other: Voters) -> bool:
    """Whether every majority of one group has a member in every majority of the other."""
    everybody = len(set(group) | set(other))
    return quorum_size(group) + quorum_size(other) > everybody


def holds(state: DurableState, entry: Entry) -> bool:
    """Whether a disk holds an entry, in its log or within its snapshot."""
    if entry.index <= state.snapshot.index:
        return True
    position = entry.index - state.snapshot.index - 1
    return position < len(state.entries) and state.entries[position] == entry


def entries_of(replica: Replica) -> dict[int, Entry]:
    """A replica's log by index."""
    return {entry.index: entry for entry in replica.durable_record().entries}


def group_before(replica: Replica, index: int) -> Voters:
    """The voters that a replica's log names up to before the entry `index`."""
    record = replica.durable_record()
    assert record.snapshot is not None
    groups = [entry for entry in record.entries if entry.kind == EntryKind.GROUP and entry.index < index]
    return decode_group(groups[-1].data) if groups else record.snapshot.voters


def _match(log: dict[int, Entry], other: dict[int, Entry]) -> None:
    agreed = [index for index in log.keys() & other.keys() if log[index].term == other[index].term]
    last = max(agreed, default=0)
    for index in log.keys() & other.keys():
        if index <= last:
            require(log[index] == other[index], f"logs differ at {index} and agree at {last}")
