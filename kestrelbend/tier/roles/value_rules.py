"""What values of the settings file must be, and how errors say it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import schema

from kestrelbend.tier.configuration.field_checks import MAX_NUMBER, MAX_PORT, is_address, is_ip, is_text

MAX_SHOWN = 60  # characters of a wrong value in an error


@attrs.frozen
class ValueRule:
    """What a value must be, in `schema`'s terms and as an error says it, and the form it is kept in."""

    check: schema.Schema
    description: str  # follows "is not" in an error
    convert: Callable[[Any], Any] = lambda value: value

    def allows(self, value: Any) -> bool:
        """Whether the value may be used."""
        return bool(self.check.is_valid(value))


def quoted(value: Any) -> str:
    """The value as an error shows it: in ASCII, and cut where it is long."""
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        text = type(value).__name__
    text = text.encode("ascii", "backslashreplace").decode()
    return text if len(text) <= MAX_SHOWN else text[: MAX_SHOWN - 3] + "..."


def _is_number(value: Any) -> bool:
    """A finite number, not a truth value."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) <= MAX_NUMBER


def _is_whole_number(value: Any) -> bool:
    return _is_number(value) and bool(value == int(value))


def _is_port_range(value: Any) -> bool:
    if not isinstance(value, list) or len(value) != 2 or not all(_is_whole_number(port) for port in value):
        return False
    first, last = value
    return bool(0 < first <= last <= MAX_PORT)


def positive(unit: str) -> ValueRule:
    """A number above 0, of a unit that is named in the plural."""
    return ValueRule(
        schema.Schema(lambda value: _is_number(value) and value > 0), f"a positive number of {unit}"
    )


def not_negative(unit: str) -> ValueRule:
    """A number from 0 on, of a unit that is named in the plural."""
    description = f"a number of {unit}, 0 or more"
    return ValueRule(schema.Schema(lambda value: _is_number(value) and value >= 0), description)


TEXT = ValueRule(schema.Schema(is_text), "a text")
TEXTS = ValueRule(schema.Schema([is_text]), "a list of texts", tuple)
IP = ValueRule(schema.Schema(is_ip), "an IPv4 address")
ADDRESS = ValueRule(schema.Schema(is_address), "an address (ip:port)")
ADDRESSES = ValueRule(schema.Schema([is_address]), "a list of addresses (ip:port)", tuple)
ZONES = ValueRule(schema.Schema({schema.Optional(is_text): is_text}), "a map of zones to regions", dict)
PORTS = ValueRule(
    schema.Schema(_is_port_range),
    "the first and the last port of a range",
    lambda value: (int(value[0]), int(value[1])),
)
FLAG = ValueRule(schema.Schema(bool), "true or false")
COUNT = ValueRule(
    schema.Schema(lambda value: _is_whole_number(value) and value >= 0), "a whole number, 0 or more", int
)
