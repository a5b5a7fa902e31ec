"""The typed errors of external authorisation; each has a `code` that does not change."""

from __future__ import annotations

from ..errors import GatewayError


class ExternalAuthorizationError(GatewayError):
    """An error of external authorisation, in either direction."""

    code = "external_authorization"


class UnusableAttribute(ExternalAuthorizationError, ValueError):
    """A check whose attributes don't say, by the configured rules, who asks for what.

    `field` is the field of `attributes.RequestedInvocation` that can't be read.  `reason` is one of a few
    phrases: missing, contradictory, unknown, not usable, not a number, out of range.  The check is answered
    as `CheckSettings.on_bad` states; the rules, or the proxy's headers, have to be corrected.
    """

    code = "external_authorization_unusable_attribute"

    def __init__(self, field: str, reason: str) -> None:
        self.field = field
        self.reason = reason
        super().__init__(f"{field}: {reason}")
