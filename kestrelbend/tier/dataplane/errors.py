"""Errors of the data plane, each with a code.  Outcomes that are expected are values, not errors."""

from __future__ import annotations

import enum


class ErrorCode(enum.Enum):
    """Why an exchange with a backend could not go on."""

    EVENT_IDS_FALL = "event_ids_fall"
    CUT = "cut"


class DataPlaneError(Exception):
    """An exchange with a backend broke; `code` says how."""

    def __init__(self, code: ErrorCode, detail: str = "") -> None:
        super().__init__(f"{code.value}: {detail}" if detail else code.value)
        self.code = code
