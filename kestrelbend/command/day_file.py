"""The file of a day: troubles of a deployment at set times, as under `examples/days`.

Invariant: a file that passes names its day, its seed, and for each trouble what happens and when.  Which
kinds of trouble there are is the business of whoever plays the day.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import schema

MOMENT = schema.And(schema.Or(int, float), lambda seconds: seconds >= 0, error="at: not a moment")
KIND = schema.And(str, len, error="kind: no name of a trouble")
TROUBLE = schema.Schema({"at": MOMENT, "kind": KIND, schema.Optional(str): object})
DAY = schema.Schema(
    {
        "name": schema.And(str, len, error="name: not a name"),
        "seed": schema.And(int, error="seed: no whole number"),
        "faults": [TROUBLE],
        schema.Optional("plan"): [TROUBLE],
        schema.Optional("closing"): {"kind": KIND, schema.Optional(str): object},
        schema.Optional(str): object,
    }
)


class DayFault(Exception):
    """The file states no day; the text says why."""

    code = "day.unusable"


def read_day(path: Path) -> dict:
    """The day that a file states, or `DayFault`."""
    try:
        return DAY.validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise DayFault(f"not TOML: {fault}") from None
    except schema.SchemaError as fault:
        raise DayFault("; ".join(filter(None, (*fault.errors, *fault.autos)))) from None
