"""The base of the tier's typed errors."""

from __future__ import annotations


class TierError(Exception):
    """An error of the tier; its text says what went wrong where, and what to do about it.

    `code` names the kind of error for machines; it does not change once it was given out.
    """

    code: str = "tier"
