"""Base class of the gateway's exceptions; `tier/errors.py` has the one of the serving tier."""

from __future__ import annotations


class GatewayError(Exception):
    """An error of the gateway; its text says what went wrong, where, and what was expected.

    `code` is a machine-readable identifier of the kind of error; it is stable once released.
    """

    code: str = "gateway"
