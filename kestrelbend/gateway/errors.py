"""The base of the typed errors of the gateway in service (the tier's is `tier/errors.py`)."""

from __future__ import annotations


class GatewayError(Exception):
    """An error of the gateway in service; its text says what went wrong where, and what is expected.

    `code` names the kind of error for machines; it does not change once it was given out.
    """

    code: str = "gateway"
