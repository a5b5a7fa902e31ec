"""Rejections of documents, and the exception that carries them."""

from __future__ import annotations

import enum

import attrs

from kestrelbend.tier.errors import TierError


class RejectionCode(enum.StrEnum):
    """Category of a rejection; the values appear in responses of the API and must not change."""

    UNREADABLE = "unreadable"  # truncated, not JSON, a duplicate key, or a number that JSON does not have
    TOO_DEEP = "too_deep"
    WRONG_SCHEMA = "wrong_form"
    SAME_NAME = "same_name"
    SAME_HOST_AND_PREFIX = "same_place"
    UNKNOWN_SERVICE = "unknown_service"
    NO_WEIGHT = "no_weight"
    NO_SERVICE = "no_service"
    UNKNOWN_KIND = "unknown_kind"  # of an order, not of a document


@attrs.frozen
class DocumentRejection:
    """Why a document is rejected; `reason` tells the operator the error, its location and the value."""

    code: RejectionCode
    reason: str


class InvalidDocument(TierError):
    """Carries a rejection from a check to its public caller in `document` or `checks`, which catches it."""

    code = "configuration.invalid_document"

    def __init__(self, rejection: DocumentRejection) -> None:
        super().__init__(rejection.reason)
        self.rejection = rejection


def invalid_document(code: RejectionCode, reason: str) -> InvalidDocument:
    """Returns the exception for a rejection with this code and reason."""
    return InvalidDocument(DocumentRejection(code, reason))
