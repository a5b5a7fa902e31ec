"""Statuses of outcomes and responses: the HTTP statuses (RFC 9110, section 15) that the API uses."""

from __future__ import annotations

OK = 200
INVALID = 400  # permanent: every node rejects the call
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
BODY_TIMEOUT = 408
CONFLICT = 409
PRECONDITION_FAILED = 412  # the base version is no longer current, and the order was not accepted
BODY_TOO_LARGE = 413
UNAVAILABLE = 503  # the result is unknown: the caller may retry on any node
