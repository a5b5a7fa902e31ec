"""Errors of the data plane, each with a code.  Expected outcomes are return values, not errors."""

from __future__ import annotations

import enum


class ErrorCode(enum.Enum):
    """Why a response from a backend could not be used any further."""

    EVENT_IDS_FALL = "event_ids_fall"
    CUT = "cut"


class DataPlaneError(Exception):
    """A response from a backend broke off or was invalid; `code` says how."""

    def __init__(self, code: ErrorCode, detail: str = "") -> None:
        super().__init__(f"{code.value}: {detail}" if detail else code.value)
        self.code = code
