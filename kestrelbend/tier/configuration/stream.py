"""Streams the configuration's committed versions to gateways and tracks their acknowledgements.

Most gateways take bodies from another control node and get notices here: the number of each new version.

Invariant: on one connection versions only rise, and `current` is said of a version only while this node's
replica is current (see `membership.owner_contact`).  A gateway that was never notified that its version is
current is notified as soon as that holds.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import attrs

from ..membership.messages import ConfigUpdate
from ..protocol.codec import encode

ACK_TIMEOUT_S = 0.4


class GatewayConnection(Protocol):
    """A gateway's connection to this control node; it is the gateway's key here."""

    def send_encoded(self, data: bytes) -> bool:
        """Sends a message that is encoded already."""


@attrs.define(eq=False)
class _Subscriber:
    """What a gateway was sent and has acknowledged: numbers of versions, 0 for none."""

    connection: GatewayConnection
    with_bodies: bool
    sent: int
    acknowledged: int
    notified_current: bool = False


@attrs.frozen(eq=False)
class _Waiter:
    """Somebody who waits until all gateways serve by a version."""

    version: int
    future: asyncio.Future[None]


class ConfigStream:
    """The gateways subscribed at a control node."""

    def __init__(self) -> None:
        self._subscribers: dict[GatewayConnection, _Subscriber] = {}
        self._waiters: list[_Waiter] = []

    def subscribe(self, connection: GatewayConnection, version: int, with_bodies: bool = True) -> None:
        """A gateway that serves by `version` (0: none) wants what is newer, or notices of it."""
        self._subscribers[connection] = _Subscriber(connection, with_bodies, version, version)

    def connection_lost(self, connection: GatewayConnection) -> None:
        """A connection ended; it needs not be a gateway's."""
        if self._subscribers.pop(connection, None) is not None:
            self._release()

    def record_ack(self, connection: GatewayConnection, version: int) -> None:
        """A gateway serves by this version."""
        subscriber = self._subscribers.get(connection)
        if subscriber is not None:
            subscriber.acknowledged = max(subscriber.acknowledged, version)
            self._release()

    def publish(self, version: int, body: bytes, current: bool) -> None:
        """Brings every gateway to this version; one encoding serves all."""
        complete: bytes | None = None
        notice: bytes | None = None
        for subscriber in self._subscribers.values():
            newer = version > subscriber.sent
            confirms = current and not subscriber.notified_current and version >= subscriber.sent > 0
            if not newer and not confirms:
                continue
            if newer and subscriber.with_bodies:
                complete = complete or encode(ConfigUpdate(version, current, body))
                subscriber.connection.send_encoded(complete)
            else:
                notice = notice or encode(ConfigUpdate(version, current, b""))
                subscriber.connection.send_encoded(notice)
            subscriber.sent = version
            subscriber.notified_current = subscriber.notified_current or current

    async def wait_for_acks(self, version: int, within: float = ACK_TIMEOUT_S) -> None:
        """Returns once all gateways here serve by `version`, or after `within` seconds.

        It never takes more than `ACK_TIMEOUT_S`: a gateway that does not answer delays no operator for long.
        """
        if within <= 0 or self._all_have(version):
            return
        future = asyncio.get_running_loop().create_future()
        self._waiters.append(_Waiter(version, future))
        await asyncio.wait([future], timeout=min(within, ACK_TIMEOUT_S))

    def _all_have(self, version: int) -> bool:
        return all(subscriber.acknowledged >= version for subscriber in self._subscribers.values())

    def _release(self) -> None:
        for waiter in self._waiters:
            if not waiter.future.done() and self._all_have(waiter.version):
                waiter.future.set_result(None)
        self._waiters = [waiter for waiter in self._waiters if not waiter.future.done()]
