"""Decode the entries with which instances register themselves in the store."""

import ipaddress
from typing import Any

from wasabivalve import untrusted_data
from wasabivalve.placement import core as placement

READY = "ready"
DRAINING = "draining"

MAX_PORT = 65_535
MAX_INTEGER = 2**53
"""Largest integer that all writers of JSON agree on."""

MAX_SLOTS = 100_000
MAX_WARMUP_S = 86_400.0


class MalformedInstanceEntry(Exception):
    """Report what is wrong with an instance entry."""


def decode(instance_id: str, data: bytes) -> placement.RegisteredInstance:
    """Return the instance that an entry registers.

    Raise ``MalformedInstanceEntry`` if the entry is not valid.
    """
    try:
        entry = untrusted_data.decode_json(data)
    except untrusted_data.UndecodableError as error:
        raise MalformedInstanceEntry(f"not readable as JSON: {error}") from error
    if not isinstance(entry, dict):
        raise MalformedInstanceEntry("entry is not a JSON object")
    state = _read_field(entry, "state", str)
    if state not in (READY, DRAINING):
        raise MalformedInstanceEntry(
            f"state is {untrusted_data.excerpt(state)}, expected ready or draining"
        )
    host, port = _read_address(entry)
    return placement.RegisteredInstance(
        id=instance_id,
        service=_read_field(entry, "service", str),
        host=host,
        port=port,
        data_centre=_read_field(entry, "zone", str),
        slots=max(1, int(_read_number(entry, "slots", int, MAX_SLOTS))),
        draining=state == DRAINING,
        warmup_left_ms=1000.0
        * _read_number(entry, "warmup_left_s", (int, float), MAX_WARMUP_S),
        # Start time of this incarnation of the instance in Unix milliseconds.
        born=int(_read_number(entry, "born", int)) if "born" in entry else 0,
        # Sequence number of the entry within this incarnation.
        sequence=int(_read_number(entry, "sequence", int)),
    )


def _read_address(entry: dict[str, Any]) -> tuple[str, int]:
    address = _read_field(entry, "address", str)
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise MalformedInstanceEntry(
            f"address is {untrusted_data.excerpt(address)}, expected IP:PORT"
        ) from error
    number = untrusted_data.decode_digits(port, MAX_PORT)
    if not number:
        raise MalformedInstanceEntry(
            f"port is {untrusted_data.excerpt(port)}, expected 1 to {MAX_PORT}"
        )
    return host, number


def _read_number(
    entry: dict[str, Any],
    name: str,
    expected_type: Any,
    maximum: float = MAX_INTEGER,
) -> float:
    """Return a number between 0 and a maximum."""
    value = _read_field(entry, name, expected_type)
    if not 0 <= value <= maximum:
        raise MalformedInstanceEntry(
            f"{name} is {untrusted_data.excerpt(value)}, expected 0 to {maximum:g}"
        )
    return value


def _read_field(entry: dict[str, Any], name: str, expected_type: Any) -> Any:
    if name not in entry:
        raise MalformedInstanceEntry(f"{name} is missing")
    value = entry[name]
    if isinstance(value, bool) or not isinstance(value, expected_type):
        raise MalformedInstanceEntry(
            f"{name} is {untrusted_data.excerpt(value)}, which has an unexpected type"
        )
    return value
