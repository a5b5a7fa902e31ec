"""Messages of the tier as bytes, by thrift's compact protocol.

A message is an attrs class of `kestrelbend/tier/*/messages.py`; the thrift struct of the same name in
`tier.thrift` carries it.  Encoded, a message begins with thrift's own message header (`header`): its name,
and a sequence number that a reply repeats.
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

from ..budgets import messages as budgets
from ..configuration import messages as configuration
from ..discovery import messages as discovery
from ..membership import messages as membership
from ..replication import messages as replication
from .generated.tier import ttypes
from .header import HeaderError, read_header, write_header

THRIFT_KEYWORDS = frozenset({"service"})
_MODULES = (replication, budgets, discovery, membership, configuration)


class DecodeError(Exception):
    """Bytes that are no message of the tier."""

    code = "protocol.decode"


def _message_classes() -> dict[str, type]:
    classes = {}
    for module in _MODULES:
        for name, value in vars(module).items():
            if isinstance(value, type) and attrs.has(value) and value.__module__ == module.__name__:
                classes[name] = value
    return classes


MESSAGES = _message_classes()


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


@functools.cache
def _fields(message_class: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(message_class)
    fields = []
    for attribute in attrs.fields(message_class):
        convert_out, convert_in = _converters(hints[attribute.name])
        name = attribute.name
        wire_name = name + "_" if name in THRIFT_KEYWORDS else name
        default = None if attribute.default is attrs.NOTHING else attribute.default
        fields.append(_Field(name, wire_name, convert_out, convert_in, default))
    return tuple(fields)


def _to_struct(message):
    message_class = type(message)
    values = {}
    for field in _fields(message_class):
        value = getattr(message, field.name)
        if value is not None and field.convert_out is not None:
            value = field.convert_out(value)
        values[field.wire_name] = value
    return getattr(ttypes, message_class.__name__)(**values)


def _from_struct(message_class, struct):
    values = []
    for field in _fields(message_class):
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
    buffer.write(write_header(type(message).__name__, sequence))
    _to_struct(message).write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_with_sequence(data: bytes):
    """(message, sequence number).  Raises `DecodeError` for anything else than what `encode` makes."""
    try:
        header = read_header(data)
        message_class = MESSAGES[header.name]
        struct = getattr(ttypes, header.name)()
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
