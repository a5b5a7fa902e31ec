"""Rules of single answers: nothing clear out of contact, `complete` only by what is committed."""

from __future__ import annotations

from ..membership.owner_contact import CONTACT_S
from ..membership.placement import address_of
from ..replication.replica import Replica
from .fleet import Fleet
from .http import Failure, Reply
from .machines import Machine

SLACK_S = 0.05
UNAVAILABLE = 503


def check_contact(fleet: Fleet, address: str, requested_at: float, reply: Reply | Failure) -> None:
    """A control node that was cut off when it was asked confirms nothing and refuses nothing."""
    if not isinstance(reply, Reply) or reply.status == UNAVAILABLE:
        return
    if fleet.is_partitioned(address.partition(":")[0], requested_at - CONTACT_S - SLACK_S):
        fleet.report_violation(f"{address} is cut off and answers {reply.status}: {reply.body[:80]!r}")


def check_emptied(fleet: Fleet, node: str) -> None:
    """A node is emptied only once no shard's committed group, as its owner has it, names its replica."""
    machine = fleet.machines.get(node)
    if machine is None:
        return
    for role in ("control", "store"):
        for process in fleet.processes(role):
            for replica in process.replicas():
                if replica.is_leader:
                    _check_group(fleet, machine, replica)


def _check_group(fleet: Fleet, machine: Machine, replica: Replica) -> None:
    group = replica._state.log.voters_at(replica.commit_index)
    if any(address_of(voter).startswith(f"{machine.spec.ip}:") for voter in group):
        fleet.report_violation(
            f"{machine.name} counts as emptied and is in the group of {replica.shard}: {group}"
        )
