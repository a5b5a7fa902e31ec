"""The statuses of outcomes and answers: those of HTTP (RFC 9110, section 15) that the API gives."""

from __future__ import annotations

OK = 200
INVALID = 400  # for good, wherever the call is sent
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
BODY_TIMEOUT = 408
CONFLICT = 409
PRECONDITION_FAILED = 412  # the base version is passed, and the order was not accepted
BODY_TOO_LARGE = 413
UNAVAILABLE = 503  # promises nothing: the caller may ask again, any node
