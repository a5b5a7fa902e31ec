"""A client's request and its form by the protocol."""

from __future__ import annotations

import asyncio
import math
import re

from .closing import readable

CUSTOMERS = 1 << 33  # their numbers stay below, by the protocol


class Asked:
    """What the owner needs to know of one request, whichever way it came: what it asks for, in whose name,
    when it came and how long it may wait; `answer` is settled once, `inv` is the module's."""

    __slots__ = (
        "id",
        "operation",
        "plan",
        "customer",
        "wait",
        "units",
        "spread",
        "retry",
        "came",
        "answer",
        "inv",
    )

    def __init__(self, came):
        self.came, self.inv = came, None
        self.answer = asyncio.get_running_loop().create_future()


class Request(Asked):
    """One request as it came, and the fields that decisions need; `answer` is settled once.  What is not in
    the protocol's form is not guessed at: under a customer's name it would spoil what is known of it."""

    __slots__ = ("method", "target", "headers", "body", "connection")
    front = None  # by another way than this listener

    def __init__(self, method, target, headers, body, came, settings):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path = target.partition("?")[0].split("/")
        if len(path) < 3 or path[0] or not re.fullmatch("[0-9A-Fa-f]{16}", path[-1]):
            raise ValueError("the path is not /operation/customer")
        self.operation, self.customer = path[1], path[-1]
        if int(self.customer, 16) >= CUSTOMERS or single(headers, "X-Priority-Class", path[1]) != path[1]:
            raise ValueError("no such customer or operation")
        self.id, self.plan = single(headers, "X-Request-ID", ""), single(headers, "Api-Plan", "")
        if not re.fullmatch("[!-~]{1,128}", self.id):
            raise ValueError("no request id")
        wait = single(headers, "X-Timeout")
        self.wait = None if wait is None else bounded(float, wait, 1e-6, 1e6)
        terms = dict(part.strip().partition("=")[::2] for part in single(headers, "Api-Terms", "").split(","))
        gateways = settings["gateways"]
        self.units = bounded(float, terms.get("units", 1), 1e-6, settings["most_units"] or 1e9)
        self.spread = bounded(int, terms.get("spread", gateways), 1, gateways)
        bounded(int, terms.get("first", 0), 0, gateways - 1)
        self.retry = single(headers, "X-Retried") == "1"
        super().__init__(came)
        self.connection = None

    def left(self):
        """Whether its client has gone, as far as the loop has read."""
        return self.answer.cancelled() or self.connection is not None and self.connection.gone()

    def unread(self):
        """Whether something of its client, perhaps its end, waits to be read."""
        return self.connection is not None and readable(self.connection.transport)


def single(headers, name, otherwise=None):
    values = headers.getall(name, (otherwise,))
    if len(values) > 1:
        raise ValueError(f"more than one {name}")
    return values[0]


def bounded(kind, text, least, most):
    value = kind(text)
    if not (math.isfinite(value) and least <= value <= most):
        raise ValueError(f"out of range: {text!r}")
    return value
