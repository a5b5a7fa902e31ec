"""What the text before the renaming (65faefc) has written, kept under tests/fixtures: never made anew."""

from __future__ import annotations

import enum
import hashlib
import json
import types
import typing
from pathlib import Path
from typing import Any

import attrs

FIXTURES = Path(__file__).parent / "fixtures"


def load(name: str) -> Any:
    """A file of recorded values."""
    return json.loads((FIXTURES / name).read_text(encoding="utf-8"))


def digest(content: bytes) -> str:
    """As recorded in place of long contents."""
    return hashlib.sha256(content).hexdigest()


def value(recorded: Any) -> Any:
    """A recorded value; bytes are recorded as an object with their digits."""
    return bytes.fromhex(recorded["hex"]) if isinstance(recorded, dict) else recorded


def plain(told: Any) -> Any:
    """A value as it is recorded: enumerations by the place of the member, bytes by their digits."""
    if isinstance(told, enum.Enum):
        return {"member": list(type(told)).index(told)}
    if isinstance(told, bytes):
        return {"hex": told.hex()}
    if isinstance(told, list | tuple):
        return [plain(item) for item in told]
    if isinstance(told, dict):
        return [[key, item] for key, item in told.items()]
    return told


def message(message_class: type, values: list[Any]) -> Any:
    """A message with the recorded values, field by field in their order.

    Fields that came after the record have their defaults: a process of the text before doesn't send them.
    """
    hints = typing.get_type_hints(message_class)
    fields = attrs.fields(message_class)[: len(values)]
    return message_class(
        *[_field(hints[field.name], recorded) for field, recorded in zip(fields, values, strict=True)]
    )


def _field(annotation: Any, recorded: Any) -> Any:
    origin = typing.get_origin(annotation)
    if origin is tuple:
        return tuple(_field(typing.get_args(annotation)[0], item) for item in recorded)
    if origin in (typing.Union, types.UnionType):
        present = [part for part in typing.get_args(annotation) if part is not type(None)]
        return None if recorded is None else _field(present[0], recorded)
    return message(annotation, recorded) if attrs.has(annotation) else value(recorded)
