"""Decode the entries under which instances register themselves."""

from typing import Any

import msgspec

from wasabivalve.placement import core as placement

READY = "ready"
DRAINING = "draining"


class Malformed(Exception):
    """State what is wrong with an entry."""


def decode(instance_id: str, data: bytes) -> placement.RegisteredInstance:
    """Return the instance of an entry; raise ``Malformed`` for other entries."""
    try:
        entry = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Malformed(f"not JSON: {error}") from error
    if not isinstance(entry, dict):
        raise Malformed("not an object")
    state = _take(entry, "state", str)
    if state not in (READY, DRAINING):
        raise Malformed(f"state is {state!r:.40}")
    host, _, port = _take(entry, "address", str).rpartition(":")
    if not host or not port.isdigit():
        raise Malformed("address is not an IP address with a port")
    return placement.RegisteredInstance(
        id=instance_id,
        service=_take(entry, "service", str),
        host=host,
        port=int(port),
        data_centre=_take(entry, "zone", str),
        slots=max(1, _take(entry, "slots", int)),
        draining=state == DRAINING,
        warmup_left_ms=1000.0 * _take(entry, "warmup_left_s", (int, float)),
        # Unix milliseconds of the start of this life of the instance.
        born=_take(entry, "born", int) if "born" in entry else 0,
        # Counts the entries of this life.
        sequence=_take(entry, "sequence", int),
    )


def _take(entry: dict[str, Any], name: str, kind: Any) -> Any:
    if name not in entry:
        raise Malformed(f"{name} is missing")
    value = entry[name]
    if isinstance(value, bool) or not isinstance(value, kind):
        raise Malformed(f"{name} is {value!r:.40}")
    return value
