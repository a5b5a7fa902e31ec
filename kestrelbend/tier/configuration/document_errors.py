"""Why a document is not accepted."""

from __future__ import annotations

import enum

import attrs

from kestrelbend.tier.errors import TierError


class RejectionCode(enum.StrEnum):
    """The kind of a rejection, for counting; the values stand in the API's answers and never change."""

    UNREADABLE = "unreadable"  # cut short, no JSON, a key named twice, a number that JSON doesn't have
    TOO_DEEP = "too_deep"
    WRONG_SCHEMA = "wrong_form"
    SAME_NAME = "same_name"
    SAME_HOST_AND_PREFIX = "same_place"
    UNKNOWN_SERVICE = "unknown_service"
    NO_WEIGHT = "no_weight"
    NO_SERVICE = "no_service"
    UNKNOWN_KIND = "unknown_kind"  # of an order


@attrs.frozen
class DocumentRejection:
    """Why a document isn't accepted; `reason` is a sentence for the operator: what, where, which value."""

    code: RejectionCode
    reason: str


class InvalidDocument(TierError):
    """Carries a rejection from a check to the public functions of `document`; never leaves that module."""

    code = "configuration.invalid_document"

    def __init__(self, rejection: DocumentRejection) -> None:
        super().__init__(rejection.reason)
        self.rejection = rejection


def invalid(code: RejectionCode, reason: str) -> InvalidDocument:
    """The exception of a new rejection."""
    return InvalidDocument(DocumentRejection(code, reason))
