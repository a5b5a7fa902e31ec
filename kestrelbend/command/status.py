"""The verb `status`: what one control process of the tier knows of all of it."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from ..tier.membership.fault_tolerance import Losses, find_shortfalls, tolerated_losses
from ..tier.membership.placement import CONFIGURATION_SHARD
from .asking import ask
from .outcome import DONE, CommandFailed
from .verb import Verb

MOST_LAG = 1000  # commands behind, beyond what a heartbeat's age explains


class StatusVerb(Verb):
    """Asks one control process."""

    name = "status"
    description = "What a control process of the tier knows: processes, shards, versions, lag, backends."
    arguments: ClassVar[list[Argument]] = [
        argument("address", "host:port of a control process's operator API.")
    ]
    options: ClassVar[list[Option]] = [option("json", None, "Print the answer as it came.")]

    def handle(self) -> int:
        """Print the status that one control process tells."""
        address = self.argument("address")
        told = ask(address, "/api/Status", "is it the operator's address of a control process?")
        if self.option("json"):
            self.say(json.dumps(told, indent=1))
            return DONE
        try:
            text = "\n".join(page(told))
        except (KeyError, TypeError, ValueError, AttributeError) as trouble:
            raise CommandFailed(f"{address}: an answer in another form ({trouble!r})") from None
        self.say(text)
        return DONE


def page(told: dict[str, Any]) -> Iterator[str]:
    """The answer as lines for a person."""
    touch = "in touch" if told["InTouch"] else "NOT in touch with the configuration's owner"
    yield f"{told['Node']} ({told['Address']}): configuration {told['ConfigVersion']}, {touch}"
    nodes = {process["Replica"]: process["Node"] for process in told["Processes"] if process["Replica"]}
    processes = [_process_row(process) for process in told["Processes"]]
    yield from _table(("role", "node", "zone", "version", "silent", "state", "address"), processes)
    shards = [_shard_row(shard, nodes) for shard in told["Shards"]]
    yield from _table(("shard", "epoch", "commit", "owner", "voters", "lag"), shards)
    services = [
        (name, count["Ready"], count["Draining"], count["Gone"]) for name, count in told["Backends"].items()
    ]
    yield from _table(("service", "ready", "draining", "gone"), services)
    found = list(remarks(told, nodes))
    yield ""
    yield "to look at:" if found else "nothing to look at"
    yield from (f"  {remark}" for remark in found)


def remarks(told: dict[str, Any], nodes: dict[str, str]) -> Iterator[str]:
    """What is not as it should be, a line each."""
    for process in told["Processes"]:
        if not process["Live"]:
            yield f"{process['Role']} on {process['Node']}: silent for {process['SilentS']:.1f} s"
        elif 0 < process["ConfigVersion"] < told["ConfigVersion"]:
            version = process["ConfigVersion"]
            yield f"{process['Role']} on {process['Node']}: still serves by version {version}"
    for shard in told["Shards"]:
        yield from _shard_remarks(shard, nodes)
    yield from _group_remarks(told)
    yield from _spread_remarks(told)
    for node in told["Retiring"]:
        held = [shard["Shard"] for shard in told["Shards"] if node in _nodes(shard["Voters"], nodes)]
        if held:
            yield f"{node}: being emptied, still holds {', '.join(held)}"
    for service, count in told["Backends"].items():
        if not count["Ready"]:
            yield f"service {service}: no ready backend"


def _group_remarks(told: dict[str, Any]) -> Iterator[str]:
    """Groups with fewer voters than the settings ask for; a process of an earlier version doesn't say."""
    needed = told.get("VotersNeeded", 0)
    for shard in told["Shards"]:
        count = len(shard["Voters"])
        if 0 < count < needed:
            lost = tolerated_losses(count)
            yield f"{shard['Shard']}: {count} voters, {needed} needed: {lost} of its nodes may be lost"
    if needed and all(shard["Shard"] == CONFIGURATION_SHARD for shard in told["Shards"]):
        yield f"no budget shard is placed: {needed} processes with a disk are needed"


def _spread_remarks(told: dict[str, Any]) -> Iterator[str]:
    """Groups that survive the loss of fewer zones or regions than the settings ask for."""
    tolerated = _zones_and_regions(told.get("Tolerate", {}))
    for shard in told["Shards"]:
        if not shard["Voters"] or "Survives" not in shard:
            continue
        for shortfall in find_shortfalls(_zones_and_regions(shard["Survives"]), tolerated):
            yield f"{shard['Shard']}: {shortfall}"


def _zones_and_regions(figures: dict[str, int]) -> Losses:
    """The figures for zones and regions; a process of an earlier version doesn't say."""
    return Losses(0, figures.get("Zones", 0), figures.get("Regions", 0))


def _shard_remarks(shard: dict[str, Any], nodes: dict[str, str]) -> Iterator[str]:
    name, replicas = shard["Shard"], {replica["Replica"]: replica for replica in shard["Replicas"]}
    owner = replicas.get(shard["Owner"])
    if owner is None or not owner["Live"]:
        yield f"{name}: no live owner"
    for voter in shard["Voters"]:
        replica = replicas.get(voter)
        if replica is None:
            yield f"{name}: nothing heard of voter {voter}"
        elif not replica["Live"]:
            yield f"{name}: voter on {nodes.get(voter, voter)} silent for {replica['SilentS']:.1f} s"
        elif replica["Lag"] > MOST_LAG:
            yield f"{name}: voter on {nodes.get(voter, voter)} lags by {replica['Lag']} commands"
    if shard["Wanted"] is not None and set(shard["Wanted"]) != set(shard["Voters"]):
        yield f"{name}: moves to {', '.join(_nodes(shard['Wanted'], nodes))}"


def _process_row(process: dict[str, Any]) -> tuple:
    state = "leaving" if process["Leaving"] else "live" if process["Live"] else "silent"
    return (
        process["Role"],
        process["Node"],
        process["Zone"],
        process["ConfigVersion"] or "-",
        f"{process['SilentS']:.1f}s",
        state,
        process["Address"],
    )


def _shard_row(shard: dict[str, Any], nodes: dict[str, str]) -> tuple:
    lags = {replica["Replica"]: replica["Lag"] for replica in shard["Replicas"]}
    return (
        shard["Shard"],
        shard["Epoch"],
        shard["CommitIndex"],
        nodes.get(shard["Owner"], shard["Owner"]) or "-",
        ",".join(_nodes(shard["Voters"], nodes)) or "-",
        ",".join(str(lags.get(voter, "?")) for voter in shard["Voters"]) or "-",
    )


def _nodes(replicas: list[str], nodes: dict[str, str]) -> list[str]:
    """The nodes of replicas; a replica whose process is unknown is named itself."""
    return [nodes.get(replica, replica) for replica in replicas]


def _table(head: tuple[str, ...], rows: list[tuple]) -> Iterator[str]:
    """Lines in columns, with an empty one before."""
    texts = [head, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in texts) for column in range(len(head))]
    yield ""
    for row in texts:
        yield "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
