"""Streams the configuration's committed versions to gateways and tracks their acknowledgements.

Most gateways take bodies from another control node and get notices here: the number of each new version.

Invariant: on one connection versions only rise, and `current` is said of a version only while this node's
replica is current (see `membership.standing`).  A gateway that was never told that its version is current is
told so as soon as that holds.
"""

from __future__ import annotations

import asyncio

import attrs

from ..protocol.codec import encode
from ..membership.messages import ConfigUpdate

ACK_TIMEOUT_S = 0.4


@attrs.define(eq=False)
class _Subscriber:
    link: object
    with_bodies: bool
    sent: int
    acknowledged: int
    notified_current: bool = False


class ConfigStream:
    """The gateways subscribed at a control node."""

    def __init__(self):
        self._subscribers: dict[object, _Subscriber] = {}
        self._waiting: list[tuple[int, asyncio.Future]] = []

    def subscribe(self, link, version: int, with_bodies: bool = True) -> None:
        """A gateway that serves by `version` (0: none) wants what is newer, or notices of it."""
        self._subscribers[link] = _Subscriber(link, with_bodies, version, version)

    def lost(self, link) -> None:
        """A connection ended."""
        if self._subscribers.pop(link, None) is not None:
            self._release()

    def acknowledged(self, link, version: int) -> None:
        """A gateway serves by this version."""
        subscriber = self._subscribers.get(link)
        if subscriber is not None:
            subscriber.acknowledged = max(subscriber.acknowledged, version)
            self._release()

    def stream(self, version: int, body: bytes, current: bool) -> None:
        """Brings every gateway to this version; one encoding serves all."""
        whole = notice = None
        for subscriber in self._subscribers.values():
            newer = version > subscriber.sent
            confirms = current and not subscriber.notified_current and version >= subscriber.sent > 0
            if not newer and not confirms:
                continue
            if newer and subscriber.with_bodies:
                whole = whole or encode(ConfigUpdate(version, current, body))
                subscriber.link.send_encoded(whole)
            else:
                notice = notice or encode(ConfigUpdate(version, current, b""))
                subscriber.link.send_encoded(notice)
            subscriber.sent = version
            subscriber.notified_current = subscriber.notified_current or current

    async def until_acknowledged(self, version: int, within: float = ACK_TIMEOUT_S) -> None:
        """Returns once all gateways here serve by `version`, or after `within`, `ACK_TIMEOUT_S` at most."""
        if within <= 0 or self._all_have(version):
            return
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((version, future))
        await asyncio.wait([future], timeout=min(within, ACK_TIMEOUT_S))

    def _all_have(self, version: int) -> bool:
        return all(subscriber.acknowledged >= version for subscriber in self._subscribers.values())

    def _release(self) -> None:
        for version, future in self._waiting:
            if not future.done() and self._all_have(version):
                future.set_result(None)
        self._waiting = [row for row in self._waiting if not row[1].done()]
