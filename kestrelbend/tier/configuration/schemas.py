"""Schemas of the operator's documents and patches.

Fields that are not listed here are kept without validation.  The keys are defined by the operator's guide.
"""

from __future__ import annotations

from typing import Any

import schema

from kestrelbend.tier.configuration.field_checks import (
    ListSchema,
    MapSchema,
    ObjectSchema,
    is_boolean,
    is_integer,
    is_non_negative,
    is_non_negative_integer,
    is_positive,
    is_positive_integer,
    is_text,
)

MAX_VERSION = 2**62


def is_version(value: Any) -> bool:
    """Whether the value is a document version: an integer greater than 0 and less than `MAX_VERSION`."""
    return type(value) is int and 0 < value < MAX_VERSION


def is_prefix(value: Any) -> bool:
    """Whether the value is a path prefix that begins and ends with a slash."""
    return is_text(value) and value[0] == "/" and value[-1] == "/"


def is_path(value: Any) -> bool:
    """Whether the value is a path that begins with a slash."""
    return is_text(value) and value[0] == "/"


TARGET = ObjectSchema(required={"Upstream": is_text, "Weight": is_non_negative}, optional={})
ROUTE = ObjectSchema(
    required={
        "Name": is_text,
        "Hostname": is_text,
        "PathPrefix": is_prefix,
        "RouteType": is_text,
        "TimeoutMs": is_positive,
    },
    optional={
        "Upstream": is_text,
        "Split": ListSchema(TARGET),
        "SloMs": is_non_negative,
        "Prio": is_integer,
        "Retries": is_non_negative_integer,
        "Stored": is_boolean,
        "RetainS": is_non_negative,
        "Sticky": is_boolean,
        "Resumable": is_boolean,
        "gap_aim_ms": is_non_negative,
    },
)
ENGINE = ObjectSchema(
    required={},
    optional={
        "Slots": is_positive_integer,
        "KvTokens": is_non_negative_integer,
        "Stride": is_positive_integer,
    },
)
SERVICE = ObjectSchema(
    required={"Name": is_text},
    optional={"HealthPath": is_path, "MaxConns": is_positive_integer, "Engine": ENGINE},
)
LIMITS = ObjectSchema(
    required={},
    optional={
        "MaxHeaderBytes": is_positive_integer,
        "MaxBodyBytes": is_non_negative_integer,
        "HeaderTimeoutMs": is_positive,
        "IdleTimeoutMs": is_positive,
    },
)
CONFIGURATION = ObjectSchema(
    required={"Ver": is_version, "Routes": ListSchema(ROUTE), "Services": ListSchema(SERVICE)},
    optional={"Limits": LIMITS},
)
DOCUMENT = schema.Schema(CONFIGURATION)

_NAMED_ITEMS = ListSchema(ObjectSchema(required={"Name": is_text}, optional={}))


class _SectionChanges:
    """The changes of a patch to one section: named items of a list, or fields of an object."""

    def validate(self, data: Any, **_: Any) -> Any:
        """Returns `data`, or raises `schema.SchemaError`."""
        return data if isinstance(data, dict) else _NAMED_ITEMS.validate(data)


PATCH = schema.Schema(
    ObjectSchema(
        required={"Ver": is_version},
        optional={
            "Upsert": MapSchema(_SectionChanges()),
            "Remove": MapSchema(ListSchema(is_text)),
            "Limits": ObjectSchema({}, {}),
        },
    )
)
