"""Exceptions of usage sharing; the `code` of each is stable across releases."""

from __future__ import annotations

from ..errors import GatewayError


class UsageSharingError(GatewayError):
    """Base class of the errors of usage sharing between gateways."""

    code = "usage_sharing"


class UnreadableUsageDatagram(UsageSharingError, ValueError):
    """A datagram is malformed, has another protocol version, or comes from an unknown sender.

    `reason` names the failed check in one or two words. The receiver drops the datagram.
    """

    code = "usage_sharing_unreadable_datagram"

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(f"invalid usage sharing datagram: {reason}")
