"""Types and parsers for the durations, sizes, fractions and addresses in settings files.

Each quantity has a type of its own, so that a model states the unit of every number.  A value is parsed once,
when the file is read.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable

TIME_UNITS = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZE_UNITS = {
    "B": 1,
    "kB": 1000,
    "KB": 1000,
    "MB": 10**6,
    "GB": 10**9,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
}
MAX_DIGITS = 15  # before the decimal point; a float cannot represent more exactly
QUANTITY = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]*)\s*\Z")


class Microseconds(int):
    """A duration in whole microseconds, written as "250ms", "1.2s" or "3m"."""


class ByteSize(int):
    """A size in bytes, written as "64MiB" or as a plain number."""


class Fraction(float):
    """A fraction from 0 to 1, written as 0.2 or as "20%"."""


class Address(str):
    """A network address, written as host:port."""

    @property
    def host_and_port(self) -> tuple[str, int]:
        """The host and the port."""
        host, _, port = self.rpartition(":")
        return host, int(port)


def read_quantity(text: str, units: dict[str, int], example: str) -> int:
    """Parses a number with its unit; returns it in the smallest unit.

    Raises `ValueError`, whose message contains the `example`.
    """
    match = QUANTITY.match(text)
    if match is None or match[2] not in units:
        raise ValueError(f"expected a value as in {example}, with a unit of {', '.join(units)}; got {text!r}")
    integer, _, decimals = match[1].partition(".")
    if len(integer) > MAX_DIGITS:
        raise ValueError(f"too large: {text!r}")
    if decimals:
        return round(float(match[1]) * units[match[2]])
    return int(integer) * units[match[2]]


def read_duration(value: object) -> Microseconds:
    """Parses a duration, text with a unit; 0 needs none.  Raises `ValueError`."""
    if isinstance(value, Microseconds):
        return value
    if isinstance(value, str):
        return Microseconds(read_quantity(value, TIME_UNITS, '"250ms"'))
    if value == 0 and not isinstance(value, bool):
        return Microseconds(0)
    raise ValueError(f'a time needs its unit, as in "250ms"; got {value!r}')


def read_byte_size(value: object) -> ByteSize:
    """Parses a size, a number of bytes or text with a unit.  Raises `ValueError`."""
    if isinstance(value, str):
        return ByteSize(read_quantity(value, SIZE_UNITS, '"64MiB"'))
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return ByteSize(value)
    raise ValueError(f'a size is a number of bytes or text as in "64MiB"; got {value!r}')


def read_fraction(value: object) -> Fraction:
    """Parses a fraction, a number or text with a percent sign.  Raises `ValueError`."""
    if isinstance(value, str) and value.rstrip().endswith("%"):
        try:
            value = float(value.rstrip()[:-1]) / 100
        except ValueError:
            raise ValueError(f'a share is 0 to 1 or text as in "20%"; got {value!r}') from None
    if isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value):
        if 0 <= value <= 1:
            return Fraction(value)
        raise ValueError(f"a share lies between 0 and 1 (or 0% and 100%); got {value:g}")
    raise ValueError(f'a share is 0 to 1 or text as in "20%"; got {value!r}')


def read_address(value: object) -> Address:
    """Parses an address, host:port.  Raises `ValueError`."""
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f'an address is host:port, as in "10.0.0.4:8081"; got {value!r}')
    return Address(value)


READERS: dict[type, Callable[[object], object]] = {
    Microseconds: read_duration,
    ByteSize: read_byte_size,
    Fraction: read_fraction,
    Address: read_address,
}
"""The parser for each type."""
