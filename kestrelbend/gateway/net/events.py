"""The events of the owner's queue, by which other components and timers report to the owner's task.

`owner.Owner` selects an event's handler by the event's class. Times are whole microseconds of the gateway's
clock.

These put the events on the queue: `Clients` and `Checks` requests and clients' disconnections;
`BackendClient` the outcomes of deliveries and probes, and `Checks` those of admitted requests; `Authorisers`
whether a delivery may be sent; `CounterCall` the outcome of a counter call; `EndpointDiscovery` endpoint
lists and its failure; `Owner.set_timer` timers; `DatagramReceiver` datagrams; `UsageExchangePeer` and
`GatewayMembership` their timers; `gateway.start` the first `SharedProbesDue`, and `Owner` each later one.

Hazard: events are handled in the order of the queue. A component that puts two events on it must do so in the
order in which they happened.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar

if TYPE_CHECKING:
    from ..decisions import BackendState
    from ..hosting import Task
    from ..interface import Delivery, Invocation, Result
    from .endpoint_discovery import EndpointList
    from .requests import IncomingRequest


class Event:
    """Base class of all events.

    `label`: the name of the event in log lines about a failed handler. Operators see it, so it must not
    change.
    """

    __slots__ = ()
    label: ClassVar[str]

    def invocation(self) -> Invocation | None:
        """Return the invocation that the event concerns; it ends as errored if the event's handler fails."""
        return None


@dataclass(slots=True)
class RequestTaken(Event):
    """A complete and valid request was received; reported by the front that received it."""

    label: ClassVar[str] = "taken"
    request: IncomingRequest

    def invocation(self) -> Invocation | None:
        """Return the request's invocation, None before the decisions have started it."""
        return self.request.inv


@dataclass(slots=True)
class ClientLeft(Event):
    """The client of a request has disconnected; reported by the front that received the request."""

    label: ClassVar[str] = "left"
    request: IncomingRequest

    def invocation(self) -> Invocation | None:
        """Return the request's invocation, None before the decisions have started it."""
        return self.request.inv


@dataclass(slots=True)
class DeliveryEnded(Event):
    """A delivery to a backend, or to the proxy that carries it, has ended; reported once for each delivery.

    `duration`: microseconds. `response`: body and headers for the client, None if there is none. `load`: the
    backend's load report. `charged_units`: units that the response charges, 0 if it states none.
    `used_fraction`: fraction of its quota that the customer has used, None if the response states none.
    """

    label: ClassVar[str] = "ended"
    delivery: Delivery
    result: Result
    duration: int
    response: tuple[bytes, dict[str, str]] | None = None
    load: dict[str, float] | None = None
    charged_units: float = 0
    used_fraction: float | None = None

    def invocation(self) -> Invocation | None:
        """Return the delivery's invocation."""
        return self.delivery.inv


@dataclass(slots=True)
class DeliveryAuthorised(Event):
    """All authorisers allow a delivery, so it may be sent to its backend."""

    label: ClassVar[str] = "authorised"
    delivery: Delivery

    def invocation(self) -> Invocation | None:
        """Return the delivery's invocation."""
        return self.delivery.inv


@dataclass(slots=True)
class DeliveryNotSent(Event):
    """A delivery that waited for its authorisers is not sent.

    `denial`: their verdict (`external_authorization.authoriser.Verdict`), None if the delivery was cancelled.
    """

    label: ClassVar[str] = "refused"
    delivery: Delivery
    result: Result
    denial: Any

    def invocation(self) -> Invocation | None:
        """Return the delivery's invocation."""
        return self.delivery.inv


@dataclass(slots=True)
class TimerDue(Event):
    """The time at which a suspended task is to be resumed has come.

    `handle`: the loop's timer that puts the event on the queue; cancelled if the task is resumed earlier.
    """

    label: ClassVar[str] = "alarm"
    task: Task
    due_at: int
    handle: asyncio.TimerHandle | None = None

    def invocation(self) -> Invocation | None:
        """Return the task's invocation, None for a background task."""
        return self.task.inv


@dataclass(slots=True)
class CounterReplied(Event):
    """A call to the counter service ended; `total`: the counter's value after it, 0 if unknown."""

    label: ClassVar[str] = "counted"
    name: Any
    result: Result
    total: float


@dataclass(slots=True)
class BackendProbed(Event):
    """A health check ended after `duration` microseconds; `load`: its load report, None without one."""

    label: ClassVar[str] = "probed"
    backend: BackendState
    result: Result
    duration: int
    load: dict[str, float] | None


@dataclass(slots=True)
class DatagramReceived(Event):
    """A datagram was received from `source` (host and port), which may not be a gateway."""

    label: ClassVar[str] = "datagram"
    source: tuple[str | Any, int]
    data: bytes


@dataclass(slots=True)
class UsagePeriodDue(Event):
    """The current period of the usage exchange has ended."""

    label: ClassVar[str] = "news_due"


@dataclass(slots=True)
class MembershipDue(Event):
    """The membership's next step, or a lease's, is due."""

    label: ClassVar[str] = "members_due"


@dataclass(slots=True)
class SharedProbesDue(Event):
    """It is time to check which backends this gateway has to probe for all gateways."""

    label: ClassVar[str] = "probes_due"


@dataclass(slots=True)
class EndpointsReceived(Event):
    """Discovery sent a list with changes to the backends."""

    label: ClassVar[str] = "listing"
    endpoints: EndpointList


@dataclass(slots=True)
class DiscoveryFailed(Event):
    """Discovery no longer responds."""

    label: ClassVar[str] = "unlisted"
