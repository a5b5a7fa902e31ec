"""Validation of the fields of untrusted JSON objects.

`ObjectSchema`, `ListSchema` and `MapSchema` can be used inside a `schema.Schema` because they have its
`validate` method.  They take a small fraction of the time of plain schemas on documents with hundreds of
items, and their errors quote only a few characters of the data.
"""

from __future__ import annotations

import functools
import ipaddress
from collections.abc import Iterator
from typing import Any

import attrs
import schema

MAX_TEXT = 1024  # characters
MAX_ABBREVIATED = 60  # characters of an invalid value in an error message
MAX_NUMBER = 1e15
MAX_PORT = 65535


@attrs.frozen
class _Field:
    name: str
    check: Any  # a predicate for the value, or a schema with a `validate` method
    is_nested: bool

    @classmethod
    def of(cls, name: str, check: Any) -> _Field:
        return cls(name, check, hasattr(check, "validate"))


class ObjectSchema:
    """Validates the known fields of an object; unknown fields are allowed, optional ones may be null."""

    def __init__(self, required: dict[str, Any], optional: dict[str, Any]) -> None:
        self._required = tuple(_Field.of(name, check) for name, check in required.items())
        self._optional = tuple(_Field.of(name, check) for name, check in optional.items())

    def validate(self, data: Any, **_: Any) -> Any:
        """Returns `data`, or raises `schema.SchemaError` that names the first invalid field."""
        if not isinstance(data, dict):
            raise schema.SchemaError("is not an object")
        for field in self._required:
            if field.name not in data:
                raise schema.SchemaError(f"{field.name} is missing")
            value = data[field.name]
            if field.is_nested or not field.check(value):
                _check_field(field.name, field.check, value)
        for field in self._optional:
            value = data.get(field.name)
            if value is not None and (field.is_nested or not field.check(value)):
                _check_field(field.name, field.check, value)
        return data

    def validation_errors(self, data: Any) -> Iterator[str]:
        """Yields all errors; `validate` raises the first one."""
        if not isinstance(data, dict):
            yield "is not an object"
            return
        for field in self._required:
            if field.name not in data:
                yield f"{field.name} is missing"
            else:
                yield from _field_errors(field.name, field.check, data[field.name])
        for field in self._optional:
            if data.get(field.name) is not None:
                yield from _field_errors(field.name, field.check, data[field.name])


class ListSchema:
    """Validates a list and each of its items."""

    def __init__(self, item: Any) -> None:
        self._item = item

    def validate(self, data: Any, **_: Any) -> Any:
        """Returns `data`, or raises `schema.SchemaError` that names the first invalid item."""
        if not isinstance(data, list):
            raise schema.SchemaError("is not a list")
        for index, item in enumerate(data):
            _check_field(str(index), self._item, item)
        return data

    def validation_errors(self, data: Any) -> Iterator[str]:
        """Yields all errors; `validate` raises the first one."""
        if not isinstance(data, list):
            yield "is not a list"
            return
        for index, item in enumerate(data):
            yield from _field_errors(str(index), self._item, item)


class MapSchema:
    """Validates an object with arbitrary keys, and each of its values."""

    def __init__(self, value: Any) -> None:
        self._value = value

    def validate(self, data: Any, **_: Any) -> Any:
        """Returns `data`, or raises `schema.SchemaError` that names the first invalid value."""
        if not isinstance(data, dict):
            raise schema.SchemaError("is not an object")
        for name, value in data.items():
            _check_field(abbreviated(name), self._value, value)
        return data


def _check_field(name: str, check: Any, value: Any) -> None:
    if not hasattr(check, "validate"):
        if not check(value):
            raise schema.SchemaError(f"{name}: {abbreviated(value)} is not allowed")
        return
    try:
        check.validate(value)
    except schema.SchemaError as error:
        raise schema.SchemaError(f"{name}: {error.code}") from None


def _field_errors(name: str, check: Any, value: Any) -> Iterator[str]:
    if hasattr(check, "validation_errors"):
        for message in check.validation_errors(value):
            yield f"{name}: {message}"
    elif not check(value):
        yield f"{name}: {abbreviated(value)} is not allowed"


def abbreviated(value: Any) -> str:
    """Returns a short ASCII text of a value for error messages; objects and lists give only their type."""
    if isinstance(value, (dict, list)):
        return "an object" if isinstance(value, dict) else "a list"
    if is_integer(value) or not isinstance(value, int):
        text = ascii(value)
        return text if len(text) <= MAX_ABBREVIATED else text[: MAX_ABBREVIATED - 3] + "..."
    return str(value).lower() if isinstance(value, bool) else "a number out of range"


def is_text(value: Any) -> bool:
    """Whether the value is a non-empty string of at most `MAX_TEXT` printable (so encodable) characters."""
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT and value.isprintable()


def is_number(value: Any) -> bool:
    """Whether the value is a number (not a boolean) within `MAX_NUMBER`, so also finite."""
    kind = type(value)
    return (kind is int or kind is float) and -MAX_NUMBER <= value <= MAX_NUMBER


def is_integer(value: Any) -> bool:
    """Whether the value is an integer (not a boolean) within `MAX_NUMBER`."""
    return type(value) is int and -MAX_NUMBER <= value <= MAX_NUMBER


def is_positive(value: Any) -> bool:
    """Whether the value is a number greater than 0."""
    return is_number(value) and value > 0


def is_non_negative(value: Any) -> bool:
    """Whether the value is a number greater than or equal to 0."""
    return is_number(value) and value >= 0


def is_non_negative_integer(value: Any) -> bool:
    """Whether the value is an integer greater than or equal to 0."""
    return is_integer(value) and value >= 0


def is_positive_integer(value: Any) -> bool:
    """Whether the value is an integer greater than 0."""
    return is_integer(value) and value > 0


def is_boolean(value: Any) -> bool:
    """Whether the value is a boolean."""
    return isinstance(value, bool)


def is_ip(value: Any) -> bool:
    """Whether the value is an IPv4 address."""
    try:
        ipaddress.IPv4Address(value if isinstance(value, str) else "")
    except ValueError:
        return False
    return True


def is_address(value: Any) -> bool:
    """Whether the value is an IPv4 address with a port, "ip:port"."""
    return isinstance(value, str) and _is_address_text(value)


@functools.lru_cache(maxsize=4096)
def _is_address_text(value: str) -> bool:
    ip, _, port = value.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > len(str(MAX_PORT)):
        return False
    return 0 < int(port) <= MAX_PORT and is_ip(ip)
