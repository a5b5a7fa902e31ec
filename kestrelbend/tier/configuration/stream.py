"""Streams the configuration's committed versions to gateways and tracks their acknowledgements.

Most gateways receive bodies from another control node, and only notices here: the number of each new version.

Invariant: versions on a connection only increase, and a version is marked `current` only while this node's
replica is current (see `membership.owner_contact`).  A gateway that was never notified that its version is
current is notified as soon as the replica is current.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import attrs

from ..membership.messages import ConfigUpdate
from ..protocol.codec import encode

ACK_TIMEOUT_S = 0.4


class GatewayConnection(Protocol):
    """A gateway's connection to this control node, which also identifies the gateway here."""

    def send_encoded(self, data: bytes) -> bool:
        """Sends an encoded message."""


@attrs.define(eq=False)
class _Subscriber:
    """A subscribed gateway, with the versions sent to it and acknowledged by it; 0 for none."""

    connection: GatewayConnection
    with_bodies: bool
    sent: int
    acknowledged: int
    notified_current: bool = False


@attrs.frozen(eq=False)
class _Waiter:
    """A caller that waits until all gateways use a version."""

    version: int
    future: asyncio.Future[None]


class ConfigStream:
    """The gateways subscribed at a control node."""

    def __init__(self) -> None:
        self._subscribers: dict[GatewayConnection, _Subscriber] = {}
        self._waiters: list[_Waiter] = []

    def subscribe(self, connection: GatewayConnection, version: int, with_bodies: bool = True) -> None:
        """Subscribes a gateway that uses `version` (0: none) to newer versions, or to notices of them."""
        self._subscribers[connection] = _Subscriber(connection, with_bodies, version, version)

    def connection_lost(self, connection: GatewayConnection) -> None:
        """Removes the subscriber of a lost connection; a connection without subscriber is ignored."""
        if self._subscribers.pop(connection, None) is not None:
            self._notify_waiters()

    def record_ack(self, connection: GatewayConnection, version: int) -> None:
        """Records that a gateway uses a version."""
        subscriber = self._subscribers.get(connection)
        if subscriber is not None:
            subscriber.acknowledged = max(subscriber.acknowledged, version)
            self._notify_waiters()

    def publish(self, version: int, body: bytes, current: bool) -> None:
        """Sends a version to every gateway that needs it; the message is encoded once for all of them."""
        update: bytes | None = None
        notice: bytes | None = None
        for subscriber in self._subscribers.values():
            newer = version > subscriber.sent
            confirms = current and not subscriber.notified_current and version >= subscriber.sent > 0
            if not newer and not confirms:
                continue
            if newer and subscriber.with_bodies:
                update = update or encode(ConfigUpdate(version, current, body))
                subscriber.connection.send_encoded(update)
            else:
                notice = notice or encode(ConfigUpdate(version, current, b""))
                subscriber.connection.send_encoded(notice)
            subscriber.sent = version
            subscriber.notified_current = subscriber.notified_current or current

    async def wait_for_acks(self, version: int, timeout_s: float = ACK_TIMEOUT_S) -> None:
        """Returns once all gateways subscribed here use `version`, or after `timeout_s` seconds.

        It waits for at most `ACK_TIMEOUT_S`, so that an unresponsive gateway delays operators only briefly.
        """
        if timeout_s <= 0 or self._all_acknowledged(version):
            return
        future = asyncio.get_running_loop().create_future()
        self._waiters.append(_Waiter(version, future))
        await asyncio.wait([future], timeout=min(timeout_s, ACK_TIMEOUT_S))

    def _all_acknowledged(self, version: int) -> bool:
        return all(subscriber.acknowledged >= version for subscriber in self._subscribers.values())

    def _notify_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.future.done() and self._all_acknowledged(waiter.version):
                waiter.future.set_result(None)
        self._waiters = [waiter for waiter in self._waiters if not waiter.future.done()]
