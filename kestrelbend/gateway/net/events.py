"""The events of the owner's queue: what its peers and timers report to the one task that decides.

Each event is one object of a class of its own, by which `owner.Owner` finds its handler. Times are whole
microseconds of the gateway's clock.

Who puts which: `Clients` and `Checks` the requests and their clients' leaving; `BackendClient` the ends of
deliveries and probes, `Checks` those of what it has let in; `Authorisers` whether a delivery may go on;
`CounterCall` a counter call's end; `EndpointDiscovery` lists and its silence; `Owner.set_timer` timers;
`DatagramReceiver` datagrams; `UsageExchangePeer` and `GatewayMembership` their timers; `gateway.start` the
first look for shared probes, and `Owner` each next one.

Hazard: events are worked on in the order of the queue. Whoever puts two must put them in the order in which
they happened.
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
    """What all events have in common.

    `label`: what the log calls the event where handling it fails; operators see it, it does not change.
    """

    __slots__ = ()
    label: ClassVar[str]

    def invocation(self) -> Invocation | None:
        """The invocation that the event concerns; it is given up where handling the event fails."""
        return None


@dataclass(slots=True)
class RequestTaken(Event):
    """A request came, completely and in the protocol's form; put by the front that it came by."""

    label: ClassVar[str] = "taken"
    request: IncomingRequest

    def invocation(self) -> Invocation | None:
        """The request's, once the decisions have begun with it."""
        return self.request.inv


@dataclass(slots=True)
class ClientLeft(Event):
    """The client of a request waits no longer; put by the front that it came by."""

    label: ClassVar[str] = "left"
    request: IncomingRequest

    def invocation(self) -> Invocation | None:
        """The request's, once the decisions have begun with it."""
        return self.request.inv


@dataclass(slots=True)
class DeliveryEnded(Event):
    """The one end of a delivery that was handed to its backend, or to the proxy that carries it.

    `took`: microseconds. `answer`: body and headers for the client, None where there is none. `load`: the
    backend's load report. `actual`: the units that the answer charges, 0 where it tells none. `used`: the
    fraction of its quota that the customer has used, None where the answer tells none.
    """

    label: ClassVar[str] = "ended"
    delivery: Delivery
    result: Result
    took: int
    answer: tuple[bytes, dict[str, str]] | None = None
    load: dict[str, float] | None = None
    actual: float = 0
    used: float | None = None

    def invocation(self) -> Invocation | None:
        """The delivery's."""
        return self.delivery.inv


@dataclass(slots=True)
class DeliveryAuthorised(Event):
    """All authorisers of a delivery allow it: it may go to its backend."""

    label: ClassVar[str] = "authorised"
    delivery: Delivery

    def invocation(self) -> Invocation | None:
        """The delivery's."""
        return self.delivery.inv


@dataclass(slots=True)
class DeliveryNotSent(Event):
    """A delivery that waited for its authorisers is not sent.

    `denial`: their verdict (`external_authorization.asking.Verdict`); None: it was given up as it waited.
    """

    label: ClassVar[str] = "refused"
    delivery: Delivery
    result: Result
    denial: Any

    def invocation(self) -> Invocation | None:
        """The delivery's."""
        return self.delivery.inv


@dataclass(slots=True)
class AlarmDue(Event):
    """The time at which a paused task wanted to be resumed has come.

    `timer`: what puts the event on the queue; cancelled where something else resumes the task.
    """

    label: ClassVar[str] = "alarm"
    task: Task
    until: int
    timer: asyncio.TimerHandle | None = None

    def invocation(self) -> Invocation | None:
        """The task's; None for a background task."""
        return self.task.inv


@dataclass(slots=True)
class CounterReplied(Event):
    """A call to the counter service ended; `total`: the counter's value after it, 0 where it is not known."""

    label: ClassVar[str] = "counted"
    name: Any
    result: Result
    total: float


@dataclass(slots=True)
class BackendProbed(Event):
    """A health check ended after `took` microseconds; `load`: its report, None where it has none."""

    label: ClassVar[str] = "probed"
    backend: BackendState
    result: Result
    took: int
    load: dict[str, float] | None


@dataclass(slots=True)
class DatagramReceived(Event):
    """Another gateway, or whoever it is at `source` (host and port), sent a datagram."""

    label: ClassVar[str] = "datagram"
    source: tuple[str | Any, int]
    data: bytes


@dataclass(slots=True)
class UsagePeriodDue(Event):
    """The present period of the usage exchange is over."""

    label: ClassVar[str] = "news_due"


@dataclass(slots=True)
class MembershipDue(Event):
    """The membership's next step, or a lease's, is due."""

    label: ClassVar[str] = "members_due"


@dataclass(slots=True)
class SharedProbesDue(Event):
    """It is time to look which backends this gateway has to probe for all gateways."""

    label: ClassVar[str] = "probes_due"


@dataclass(slots=True)
class EndpointsReceived(Event):
    """Discovery's answer has news of the backends."""

    label: ClassVar[str] = "listing"
    endpoints: EndpointList


@dataclass(slots=True)
class DiscoveryFailed(Event):
    """Discovery has stopped answering."""

    label: ClassVar[str] = "unlisted"
