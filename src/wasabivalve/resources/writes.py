"""Build signed resource writes."""

from collections.abc import Mapping
from typing import Any

from wasabivalve.schema import records_generated

from . import replay, signing


def build(
    kind: str,
    name: str,
    spec: Mapping[str, Any] | None,
    *,
    expected_revision: int,
    operator: str,
    key_hex: str,
    record_id: str,
    written_at: str,
) -> records_generated.ResourceWrite:
    """Return a signed write; a spec of None deletes the resource.

    ``written_at`` is a wall-clock time in RFC 3339, ``key_hex`` the operator's signing
    key in hex.
    """
    record: records_generated.ResourceWrite = {
        "kind": "resource_write",
        "record_id": record_id,
        "resource_kind": kind,
        "name": name,
        "expected_revision": expected_revision,
        "deleted": spec is None,
        "spec": dict(spec or {}),
        "operator": operator,
        "written_at": written_at,
        "signature": "",
    }
    record["signature"] = signing.sign(record, key_hex)
    return record


def stream_start(record_id: str) -> dict[str, Any]:
    """Return the marker record for offset 0 of an empty configuration stream."""
    return {"kind": "stream_start", "record_id": record_id}


def needs_stream_start(next_offset: int) -> bool:
    """Return whether the stream is empty, so that a marker must precede the write."""
    return next_offset == replay.NO_REVISION
