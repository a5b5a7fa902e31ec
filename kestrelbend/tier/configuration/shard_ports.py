"""What `shard_service` asks of its process: replicas, connections, work off the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from .messages import ConfigOutcome

if TYPE_CHECKING:
    from ..replication.replica import Replica

_Result = TypeVar("_Result")


class RunOffLoop(Protocol):
    """Runs a function that touches nothing of the caller's, off the event loop."""

    async def __call__(self, function: Callable[[], _Result], /) -> _Result:
        """What the function returns."""


async def run_here(function: Callable[[], _Result], /) -> _Result:
    """Runs a function on the spot."""
    return function()


class HostedShards(Protocol):
    """The replicas of this process, as `replication.host.ShardHost` has them."""

    def replica(self, shard: str) -> Replica | None:
        """The replica of a shard, if there is one here."""

    def state_machine(self, shard: str) -> Any:
        """The state machine of a shard, if there is one here."""

    def propose(
        self, shard: str, command: bytes, outcome: Callable[[ConfigOutcome | None], None], now: float
    ) -> bool:
        """Proposes a command; `outcome` gets its result, or None where it may be committed or not."""

    def confirm_read(self, shard: str, outcome: Callable[[bool], None], now: float) -> bool:
        """Calls back with True once the state here is the newest there is; False where none can tell."""

    def flush(self, shard: str) -> None:
        """Sends and writes what proposals have left to do."""


class OwnerConnection(Protocol):
    """A connection to another process."""

    async def request(self, message: Any, timeout: float) -> Any:
        """The reply, or None where none came within `timeout` seconds."""


class OwnerConnections(Protocol):
    """The connections of this process to others."""

    def to(self, address: str) -> OwnerConnection | None:
        """The connection to an address, if one stands."""
