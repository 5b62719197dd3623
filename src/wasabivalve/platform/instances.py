"""Decode the entries with which instances register themselves in the store."""

from typing import Any

import msgspec

from wasabivalve.placement import core as placement

READY = "ready"
DRAINING = "draining"


class MalformedInstanceEntry(Exception):
    """Report what is wrong with an instance entry."""


def decode(instance_id: str, data: bytes) -> placement.RegisteredInstance:
    """Return the instance that an entry registers.

    Raise ``MalformedInstanceEntry`` if the entry is not valid.
    """
    try:
        entry = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedInstanceEntry(f"not JSON: {error}") from error
    if not isinstance(entry, dict):
        raise MalformedInstanceEntry("entry is not a JSON object")
    state = _read_field(entry, "state", str)
    if state not in (READY, DRAINING):
        raise MalformedInstanceEntry(
            f"state is {state!r:.40}, expected ready or draining"
        )
    host, _, port = _read_field(entry, "address", str).rpartition(":")
    if not host or not port.isdigit():
        raise MalformedInstanceEntry("address is not of the form HOST:PORT")
    return placement.RegisteredInstance(
        id=instance_id,
        service=_read_field(entry, "service", str),
        host=host,
        port=int(port),
        data_centre=_read_field(entry, "zone", str),
        slots=max(1, _read_field(entry, "slots", int)),
        draining=state == DRAINING,
        warmup_left_ms=1000.0 * _read_field(entry, "warmup_left_s", (int, float)),
        # Start time of this incarnation of the instance in Unix milliseconds.
        born=_read_field(entry, "born", int) if "born" in entry else 0,
        # Sequence number of the entry within this incarnation.
        sequence=_read_field(entry, "sequence", int),
    )


def _read_field(entry: dict[str, Any], name: str, expected_type: Any) -> Any:
    if name not in entry:
        raise MalformedInstanceEntry(f"{name} is missing")
    value = entry[name]
    if isinstance(value, bool) or not isinstance(value, expected_type):
        raise MalformedInstanceEntry(
            f"{name} is {value!r:.40}, which has an unexpected type"
        )
    return value
