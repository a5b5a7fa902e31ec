"""Quantities as people write them: times, sizes, shares and addresses.

Each is a type of its own, so that a model says which unit a number has; a value is parsed once, on the way
in.
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
MAX_DIGITS = 15  # before the point; more lose their last ones as a float
QUANTITY = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]*)\s*\Z")


class Microseconds(int):
    """A time span in whole microseconds, stated as "250ms", "1.2s", "3m"."""


class ByteSize(int):
    """A size in bytes, stated as "64MiB" or as a plain number."""


class Fraction(float):
    """A part of a whole, 0 to 1, stated as 0.2 or as "20%"."""


class Address(str):
    """host:port."""

    @property
    def host_and_port(self) -> tuple[str, int]:
        """The host and the port."""
        host, _, port = self.rpartition(":")
        return host, int(port)


def read_quantity(text: str, units: dict[str, int], example: str) -> int:
    """A number with its unit, in the smallest unit; raises `ValueError`, which shows the `example`."""
    match = QUANTITY.match(text)
    if match is None or match[2] not in units:
        raise ValueError(f"expected text as in {example}, in one of {', '.join(units)}; got {text!r}")
    integer, _, decimals = match[1].partition(".")
    if len(integer) > MAX_DIGITS:
        raise ValueError(f"too large: {text!r}")
    if decimals:
        return round(float(match[1]) * units[match[2]])
    return int(integer) * units[match[2]]


def read_duration(value: object) -> Microseconds:
    """A time as text with its unit; 0 needs none.  Raises `ValueError`."""
    if isinstance(value, Microseconds):
        return value
    if isinstance(value, str):
        return Microseconds(read_quantity(value, TIME_UNITS, '"250ms"'))
    if value == 0 and not isinstance(value, bool):
        return Microseconds(0)
    raise ValueError(f'a time needs its unit, as in "250ms"; got {value!r}')


def read_byte_size(value: object) -> ByteSize:
    """A size as a number of bytes or as text with its unit.  Raises `ValueError`."""
    if isinstance(value, str):
        return ByteSize(read_quantity(value, SIZE_UNITS, '"64MiB"'))
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return ByteSize(value)
    raise ValueError(f'a size is a number of bytes or text as in "64MiB"; got {value!r}')


def read_fraction(value: object) -> Fraction:
    """A part of a whole as a number or as text with a per cent sign.  Raises `ValueError`."""
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
    """host:port.  Raises `ValueError`."""
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
"""What reads a value of each type."""
