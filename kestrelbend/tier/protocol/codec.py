"""Messages of the tier as bytes, by thrift's compact protocol.

A message is an attrs class of `kestrelbend/tier/*/messages.py`; the thrift struct of its wire name
(`wire_names`) in `tier.thrift` carries it.  A field of the class travels as the struct's field of the same
position, whatever either is called.  Encoded, a message begins with thrift's own message header (`header`):
its wire name, and a sequence number that a reply repeats.

Thrift and the code that it generates have no types: here alone they are touched, behind `encode` and
`decode_with_sequence`.
"""

from __future__ import annotations

import functools
import types
import typing
from collections.abc import Callable
from typing import Any

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from ..errors import TierError
from .generated.tier import ttypes
from .header import HeaderError, read_header, write_header
from .wire_names import WIRE_NAMES

THRIFT_FIELD_NAME = 2  # its place in an item of a generated struct's `thrift_spec`
MESSAGES: dict[str, type] = {name: message_class for message_class, name in WIRE_NAMES.items()}

# What thrift and the message classes raise for bytes that no `encode` made.
_MALFORMED = (
    HeaderError,
    TException,
    EOFError,
    KeyError,
    ValueError,
    TypeError,
    AttributeError,
    IndexError,
    AssertionError,
    OverflowError,
    MemoryError,
    RecursionError,
)

_Converter = Callable[[Any], Any]


class DecodeError(TierError):
    """Bytes that are no message of the tier; whoever sent them speaks another protocol or is damaged."""

    code = "protocol.decode"


def encode(message: object, sequence: int = 0) -> bytes:
    """One message, with the sequence number that a reply to it repeats (0: none is expected).

    Called by several threads: the journal's writer encodes large records itself.
    """
    buffer = TMemoryBuffer()
    buffer.write(write_header(WIRE_NAMES[type(message)], sequence))
    _to_struct(message).write(TCompactProtocolAccelerated(buffer))
    encoded: bytes = buffer.getvalue()
    return encoded


def decode_with_sequence(data: bytes) -> tuple[Any, int]:
    """(message, sequence number).  Raises `DecodeError` for anything else than what `encode` makes."""
    try:
        header = read_header(data)
        message_class = MESSAGES[header.name]
        struct = _layout(message_class).struct_class()
        struct.read(TCompactProtocolAccelerated(TMemoryBuffer(data, header.end)))
        return _from_struct(message_class, struct), header.sequence
    except _MALFORMED as fault:
        raise DecodeError(f"no message of the tier: {fault!r}") from fault


def decode(data: bytes) -> Any:
    """The message alone, for records on disk."""
    return decode_with_sequence(data)[0]


@attrs.frozen
class _Field:
    """How one field of a message class is carried by its struct."""

    name: str  # in the message class
    wire_name: str  # in the struct
    to_wire: _Converter | None
    from_wire: _Converter | None
    default: object  # where the sender's struct has no such field


@attrs.frozen
class _Layout:
    """How messages of one class are carried."""

    struct_class: type[Any]
    fields: tuple[_Field, ...]


@functools.cache
def _layout(message_class: type) -> _Layout:
    struct_class = getattr(ttypes, WIRE_NAMES[message_class])
    specifications = struct_class.thrift_spec[1:]  # by field id, which begins with 1
    hints = typing.get_type_hints(message_class)
    fields = []
    for attribute, specification in zip(attrs.fields(message_class), specifications, strict=True):
        to_wire, from_wire = _converters(hints[attribute.name])
        default = None if attribute.default is attrs.NOTHING else attribute.default
        wire_name = specification[THRIFT_FIELD_NAME]
        fields.append(_Field(attribute.name, wire_name, to_wire, from_wire, default))
    return _Layout(struct_class, tuple(fields))


@attrs.frozen
class _FieldKind:
    """What an annotation says of a field."""

    message_class: type | None  # of the field, or of its items
    is_sequence: bool


def _field_kind(annotation: Any) -> _FieldKind:
    origin = typing.get_origin(annotation)
    if origin in (typing.Union, types.UnionType):
        present = [part for part in typing.get_args(annotation) if part is not type(None)]
        return _field_kind(present[0])
    if origin in (tuple, list):
        item = typing.get_args(annotation)[0]
        return _FieldKind(item if attrs.has(item) else None, is_sequence=True)
    is_message = isinstance(annotation, type) and attrs.has(annotation)
    return _FieldKind(annotation if is_message else None, is_sequence=False)


def _converters(annotation: Any) -> tuple[_Converter | None, _Converter | None]:
    """To the struct's value of such a field, and back; None where it is the same."""
    kind = _field_kind(annotation)
    message_class = kind.message_class
    if message_class is None:
        return (list, tuple) if kind.is_sequence else (None, None)
    if not kind.is_sequence:
        return _to_struct, functools.partial(_from_struct, message_class)
    return (
        lambda values: [_to_struct(value) for value in values],
        lambda values: tuple([_from_struct(message_class, value) for value in values]),
    )


def _to_struct(message: object) -> Any:
    layout = _layout(type(message))  # type: ignore[arg-type]  # mypy holds type[object] for unhashable
    values = {}
    for field in layout.fields:
        value = getattr(message, field.name)
        if value is not None and field.to_wire is not None:
            value = field.to_wire(value)
        values[field.wire_name] = value
    return layout.struct_class(**values)


def _from_struct(message_class: type, struct: Any) -> Any:
    values = []
    for field in _layout(message_class).fields:
        value = getattr(struct, field.wire_name)
        if value is None:
            value = field.default
        elif field.from_wire is not None:
            value = field.from_wire(value)
        values.append(value)
    return message_class(*values)
