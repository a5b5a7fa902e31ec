"""The typed errors of membership; each has a `code` that does not change."""

from __future__ import annotations

from ..errors import GatewayError


class MembershipError(GatewayError):
    """An error of the membership between gateways."""

    code = "membership"


class UnreadableMessage(MembershipError):
    """A datagram that is not a message of a member.

    `reason` is one of a few words, by which such datagrams are counted: "length", "version", "key", "forged"
    or "form". The datagram is dropped; a sender with another key or version never becomes a member.
    """

    code = "membership_unreadable_message"

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(f"not a datagram of a member: {reason}")


class InvalidKeys(MembershipError, ValueError):
    """Authentication keys that cannot be used."""

    code = "membership_invalid_keys"


class DatagramTooLong(MembershipError, ValueError):
    """A message that does not fit one datagram; what builds messages has to leave out more."""

    code = "membership_datagram_too_long"
