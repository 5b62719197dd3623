"""Encode JSON responses and decode JSON requests of the stand-ins."""

import dataclasses
from typing import Any, TypeVar

import msgspec

from . import http_server

FaultsT = TypeVar("FaultsT")
DocumentT = TypeVar("DocumentT")


class BadRequest(Exception):
    """Raised for an invalid request, which gets status 400 and this text."""


def json_response(
    document: Any, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> http_server.StandInResponse:
    """Return a response with a JSON body."""
    body = msgspec.json.encode(document)
    return http_server.StandInResponse(status, body, (http_server.JSON_TYPE, *headers))


def error_response(
    status: int, problem: str, headers: tuple[tuple[str, str], ...] = ()
) -> http_server.StandInResponse:
    """Return a JSON response that describes a problem."""
    return json_response({"error": problem}, status, headers)


def decode_body(body: bytes, document_type: type[DocumentT]) -> DocumentT:
    """Decode a JSON body; raise BadRequest if it does not match the type."""
    try:
        return msgspec.json.decode(body, type=document_type)
    except (ValueError, RecursionError) as error:
        raise BadRequest(f"body: {error}") from error


def read_number(
    query: dict[str, str], name: str, default: float, max_value: float
) -> float:
    """Return a number from a query; raise BadRequest unless in 0..``max_value``."""
    text = query.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError as error:
        raise BadRequest(f"{name}: {text!r} is not a number") from error
    # Comparisons with NaN are false, so NaN is rejected as well.
    if not 0 <= value <= max_value:
        raise BadRequest(f"{name}: {text!r} is not from 0 to {max_value:g}")
    return value


def read_integer(query: dict[str, str], name: str, default: int, max_value: int) -> int:
    """Return an integer from a query; raise BadRequest unless in 0..``max_value``."""
    text = query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(max_value))):
        raise BadRequest(f"{name}: {text!r} is not an integer from 0 to {max_value}")
    value = int(text)
    if value > max_value:
        raise BadRequest(f"{name}: {text!r} is above {max_value}")
    return value


def update_faults(current: FaultsT, changes: dict[str, Any]) -> FaultsT:
    """Return faults with some fields changed; raise BadRequest if one is invalid."""
    known_names = {field.name for field in dataclasses.fields(current)}  # type: ignore[arg-type]
    if unknown_names := sorted(changes.keys() - known_names):
        raise BadRequest(
            f"unknown faults {unknown_names}; known are {sorted(known_names)}"
        )
    merged = dataclasses.asdict(current) | changes  # type: ignore[call-overload]
    try:
        return msgspec.convert(merged, type(current))
    except ValueError as error:
        raise BadRequest(f"faults: {error}") from error
