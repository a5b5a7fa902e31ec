"""Messages of the tier as bytes, by thrift's compact protocol.

A message is an attrs class of `kestrelbend/tier/*/messages.py`; the thrift struct of its wire name
(`wire_names`) in `tier.thrift` carries it.  A field of the class travels as the struct's field of the same
position, whatever either is called.  Encoded, a message begins with thrift's own message header (`header`):
its wire name, and a sequence number that a reply repeats.
"""

from __future__ import annotations

import functools
import types
import typing
from collections.abc import Callable

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from ..errors import TierError
from .generated.tier import ttypes
from .header import HeaderError, read_header, write_header
from .wire_names import WIRE_NAMES

THRIFT_FIELD_NAME = 2  # its place in an item of a generated struct's `thrift_spec`


class DecodeError(TierError):
    """Bytes that are no message of the tier."""

    code = "protocol.decode"


MESSAGES: dict[str, type] = {name: message_class for message_class, name in WIRE_NAMES.items()}


def _field_kind(annotation) -> tuple[type | None, bool]:
    """(the attrs class inside the annotation, whether it is a sequence)."""
    origin = typing.get_origin(annotation)
    if origin in (typing.Union, types.UnionType):
        inner = [part for part in typing.get_args(annotation) if part is not type(None)]
        return _field_kind(inner[0])
    if origin in (tuple, list):
        inner = typing.get_args(annotation)[0]
        return (inner if attrs.has(inner) else None), True
    return (annotation if isinstance(annotation, type) and attrs.has(annotation) else None), False


@attrs.frozen
class _Field:
    name: str
    wire_name: str
    convert_out: Callable | None
    convert_in: Callable | None
    default: object


def _converters(annotation):
    inner, many = _field_kind(annotation)
    if inner is None:
        return (list, tuple) if many else (None, None)
    if not many:
        return _to_struct, functools.partial(_from_struct, inner)
    return (
        lambda values: [_to_struct(value) for value in values],
        lambda values: tuple([_from_struct(inner, value) for value in values]),
    )


@attrs.frozen
class _Layout:
    """How messages of one class are carried."""

    struct_class: type
    fields: tuple[_Field, ...]


@functools.cache
def _layout(message_class: type) -> _Layout:
    struct_class = getattr(ttypes, WIRE_NAMES[message_class])
    specifications = struct_class.thrift_spec[1:]  # by field id, which begins with 1
    hints = typing.get_type_hints(message_class)
    fields = []
    for attribute, specification in zip(attrs.fields(message_class), specifications, strict=True):
        convert_out, convert_in = _converters(hints[attribute.name])
        default = None if attribute.default is attrs.NOTHING else attribute.default
        wire_name = specification[THRIFT_FIELD_NAME]
        fields.append(_Field(attribute.name, wire_name, convert_out, convert_in, default))
    return _Layout(struct_class, tuple(fields))


def _to_struct(message):
    layout = _layout(type(message))
    values = {}
    for field in layout.fields:
        value = getattr(message, field.name)
        if value is not None and field.convert_out is not None:
            value = field.convert_out(value)
        values[field.wire_name] = value
    return layout.struct_class(**values)


def _from_struct(message_class, struct):
    values = []
    for field in _layout(message_class).fields:
        value = getattr(struct, field.wire_name)
        if value is None:
            value = field.default
        elif field.convert_in is not None:
            value = field.convert_in(value)
        values.append(value)
    return message_class(*values)


def encode(message, sequence: int = 0) -> bytes:
    """One message, with the sequence number that a reply to it repeats (0: none is expected).

    Called by several threads: the journal's writer encodes large records itself.
    """
    buffer = TMemoryBuffer()
    buffer.write(write_header(WIRE_NAMES[type(message)], sequence))
    _to_struct(message).write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_with_sequence(data: bytes):
    """(message, sequence number).  Raises `DecodeError` for anything else than what `encode` makes."""
    try:
        header = read_header(data)
        message_class = MESSAGES[header.name]
        struct = _layout(message_class).struct_class()
        struct.read(TCompactProtocolAccelerated(TMemoryBuffer(data, header.end)))
        return _from_struct(message_class, struct), header.sequence
    except (HeaderError, TException, EOFError, KeyError, ValueError) as fault:
        raise DecodeError(f"no message of the tier: {fault!r}") from fault
    except (TypeError, AttributeError, IndexError, AssertionError) as fault:
        raise DecodeError(f"no message of the tier: {fault!r}") from fault
    except (OverflowError, MemoryError, RecursionError) as fault:
        raise DecodeError(f"no message of the tier: {fault!r}") from fault


def decode(data: bytes):
    """The message alone, for records on disk."""
    return decode_with_sequence(data)[0]
