"""Envoy's protobuf messages to plain values and back; the only module that knows their fields.

Source: Envoy's ext_authz v3, `envoy/service/auth/v3/external_auth.proto` and `attribute_context.proto`, and
its access log service v3, `envoy/service/accesslog/v3/als.proto`.  The generated classes have no types:
messages are `Any` here, and what leaves this module is typed.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.service.auth.v3 import external_auth_pb2
from envoy.type.v3 import http_status_pb2
from google.rpc import code_pb2, status_pb2

from ...interface import Result
from ...net.requests import Request
from ..attributes import CheckSettings, RequestAttributes
from ..authoriser import DEFAULT_DENIAL_STATUS

MICROSECONDS_OF_SECOND = 1_000_000
NANOSECONDS_OF_MICROSECOND = 1000
TOO_MANY_REQUESTS = 429
FIRST_SERVER_ERROR = 500  # HTTP's statuses from here on are failures of the backend
RETRIES_OWN_HEADERS = ("x-request-id", "x-retried", "x-timeout")
"""By the clients' protocol: a retry has an id of its own, its mark, and the time that is left."""
KEY_BYTES = 16
SCALAR_KINDS = ("string_value", "number_value", "bool_value")
"""The kinds of a `google.protobuf.Value` that an attribute may be read from."""


# Checks that a proxy sends.


def request_attributes(attributes: Any) -> RequestAttributes:
    """An `AttributeContext` as plain values."""
    http = attributes.request.http
    return RequestAttributes(
        method=http.method,
        path=http.path,
        headers=_request_headers(http),
        principal=attributes.source.principal,
        extensions=dict(attributes.context_extensions),
        metadata=_metadata(attributes.metadata_context),
    )


def _request_headers(http: Any) -> dict[str, str]:
    """A proxy fills `headers` or `header_map`; of the latter, repeated names are joined by commas."""
    headers = {name.lower(): value for name, value in http.headers.items()}
    for header in http.header_map.headers:
        _add_header(headers, header.key, _header_text(header))
    return headers


def _add_header(headers: Any, name: str, value: str) -> None:
    """Adds a header under its name in lower case, after the values that are already there."""
    lower = name.lower()
    headers[lower] = f"{headers[lower]},{value}" if lower in headers else value


def _header_text(header: Any) -> str:
    """The value of a `HeaderValue`, which has it as text or as bytes."""
    text: str = header.value or header.raw_value.decode("latin-1")
    return text


def _metadata(context: Any) -> dict[str, str]:
    """Scalars of the filters' metadata as text, by "namespace.key"."""
    metadata = {}
    for namespace, fields in context.filter_metadata.items():
        for key, value in fields.fields.items():
            kind = value.WhichOneof("kind")
            if kind in SCALAR_KINDS:
                scalar = getattr(value, kind)
                metadata[f"{namespace}.{key}"] = f"{scalar:g}" if kind == "number_value" else str(scalar)
    return metadata


def allowed_response(settings: CheckSettings, backend: str = "") -> Any:
    """A `CheckResponse` that admits; `backend` goes into the header that the settings name."""
    headers = [_header_option(name, value) for name, value in settings.add.items()]
    if backend:
        headers.append(_header_option(settings.backend_header, backend))
    return external_auth_pb2.CheckResponse(
        status=status_pb2.Status(code=code_pb2.OK),
        ok_response=external_auth_pb2.OkHttpResponse(headers=headers, headers_to_remove=settings.remove),
    )


def denied_response(status: int, text: str, headers: Iterable[tuple[str, str]] = ()) -> Any:
    """A `CheckResponse` that denies with an HTTP status, a body and headers."""
    code = code_pb2.RESOURCE_EXHAUSTED if status == TOO_MANY_REQUESTS else code_pb2.PERMISSION_DENIED
    return external_auth_pb2.CheckResponse(
        status=status_pb2.Status(code=code, message=text.strip()),
        denied_response=external_auth_pb2.DeniedHttpResponse(
            status=http_status_pb2.HttpStatus(code=status),
            body=text,
            headers=[_header_option(name, value) for name, value in headers],
        ),
    )


def _header_option(name: str, value: str) -> Any:
    return base_pb2.HeaderValueOption(header=base_pb2.HeaderValue(key=name, value=value))


# Reports of the proxy's access log.


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """How a request that was admitted has ended, by the proxy's access log."""

    request_id: str
    result: Result
    took: int | None  # microseconds until the last byte went to the client; None where it is not told


def reported_ends(message: Any) -> Iterator[ReportedEnd]:
    """The ends that a `StreamAccessLogsMessage` tells of."""
    for entry in message.http_logs.log_entry:
        span = entry.common_properties.time_to_last_downstream_tx_byte
        took = span.seconds * MICROSECONDS_OF_SECOND + span.nanos // NANOSECONDS_OF_MICROSECOND
        result = _result_of_status(entry.response.response_code.value)
        yield ReportedEnd(entry.request.request_id, result, took or None)


def _result_of_status(status: int) -> Result:
    """What an HTTP status says of the backend; 0: the proxy had no answer."""
    if not status:
        return Result.UNREACHABLE
    return Result.SUCCEEDED if 0 < status < FIRST_SERVER_ERROR else Result.ERRORED


# Checks that authorisers are asked.


def check_request(request: Request) -> Any:
    """The `CheckRequest` for a client's request."""
    message = external_auth_pb2.CheckRequest()
    http = message.attributes.request.http
    http.id = request.id
    http.method = request.method
    http.path = request.target
    http.protocol = "HTTP/1.1"
    http.size = len(request.body)
    headers: Any = request.headers  # multidict's, of which `Headers` states a part
    for name, value in headers.items():
        _add_header(http.headers, name, value)
    message.attributes.context_extensions.update(
        {
            "operation": request.operation,
            "plan": request.plan,
            "customer": request.customer,
            "units": f"{request.units:g}",
            "retry": "1" if request.retry else "0",
        }
    )
    return message


def verdict_key(request: Request) -> bytes:
    """A digest of all that a `CheckRequest` shows, but for what differs between a request and its retries."""
    message = check_request(request)
    http = message.attributes.request.http
    http.id = ""
    for name in RETRIES_OWN_HEADERS:
        http.headers.pop(name, None)
    del message.attributes.context_extensions["retry"]
    shown = message.SerializeToString(deterministic=True)
    return hashlib.blake2b(shown + request.body, digest_size=KEY_BYTES).digest()


@dataclass(frozen=True, slots=True)
class Denial:
    """A denial as an authoriser stated it."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def read_denial(response: Any) -> Denial | None:
    """The denial of a `CheckResponse`; None where it allows.

    Both have to say so: a response whose code is OK and that has a `denied_response` denies, and so does one
    with another code.
    """
    if response.status.code == 0 and response.WhichOneof("http_response") != "denied_response":
        return None
    denied = response.denied_response
    headers = [(option.header.key, _header_text(option.header)) for option in denied.headers]
    return Denial(int(denied.status.code) or DEFAULT_DENIAL_STATUS, headers, denied.body.encode())
