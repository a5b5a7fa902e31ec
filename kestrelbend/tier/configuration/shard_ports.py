"""Interfaces that `shard_service` needs from its process: replicas, connections, work off the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from .messages import ConfigOutcome

if TYPE_CHECKING:
    from ..replication.replica import Replica

_Result = TypeVar("_Result")


class RunOffLoop(Protocol):
    """Runs a function off the event loop; the function must not access state of the caller."""

    async def __call__(self, function: Callable[[], _Result], /) -> _Result:
        """Returns the function's result."""


async def run_inline(function: Callable[[], _Result], /) -> _Result:
    """Runs a function synchronously, on the event loop."""
    return function()


class HostedShards(Protocol):
    """The replicas of this process, implemented by `replication.host.ShardHost`."""

    def replica(self, shard: str) -> Replica | None:
        """Returns the local replica of a shard, or None."""

    def state_machine(self, shard: str) -> Any:
        """Returns the local state machine of a shard, or None."""

    def propose(
        self, shard: str, command: bytes, outcome: Callable[[ConfigOutcome | None], None], now: float
    ) -> bool:
        """Proposes a command; `outcome` receives its result, or None if it may be committed or not."""

    def confirm_read(self, shard: str, outcome: Callable[[bool], None], now: float) -> bool:
        """Calls `outcome` with True once the local state is confirmed as the newest, else with False."""

    def flush(self, shard: str) -> None:
        """Sends and writes the pending output of proposals."""


class OwnerConnection(Protocol):
    """A connection to another process."""

    async def request(self, message: Any, timeout: float) -> Any:
        """Returns the reply, or None if none was received within `timeout` seconds."""


class OwnerConnections(Protocol):
    """The connections of this process to other processes."""

    def to(self, address: str) -> OwnerConnection | None:
        """Returns the established connection to an address, or None."""
