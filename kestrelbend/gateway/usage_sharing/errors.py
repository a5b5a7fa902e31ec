"""The typed errors of usage sharing; each has a `code` that does not change."""

from __future__ import annotations

from ..errors import GatewayError


class UsageSharingError(GatewayError):
    """An error of the usage sharing between gateways."""

    code = "usage_sharing"


class UnreadableUsageDatagram(UsageSharingError, ValueError):
    """A datagram that is not of this protocol, is of another version of it, or comes from no gateway.

    `reason` says in a word or two which; the datagram is dropped.
    """

    code = "usage_sharing_unreadable_datagram"

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(f"not a datagram of usage sharing: {reason}")
