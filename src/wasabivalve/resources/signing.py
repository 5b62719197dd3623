"""Sign and verify records with HMAC-SHA256 over canonical JSON."""

import hashlib
import hmac
import json
from collections.abc import Mapping
from typing import Any


def canonical_json(record: Mapping[str, Any]) -> bytes:
    """Return the canonical JSON of a record without its signature.

    Raises ValueError or TypeError for a value that JSON cannot represent.
    """
    unsigned = {name: value for name, value in record.items() if name != "signature"}
    return json.dumps(
        unsigned, sort_keys=True, separators=(",", ":"), allow_nan=False
    ).encode("ascii")


def sign(record: Mapping[str, Any], key_hex: str) -> str:
    """Return the signature of a record in hex; ``key_hex`` is the key in hex."""
    key = bytes.fromhex(key_hex)
    return hmac.new(key, canonical_json(record), hashlib.sha256).hexdigest()


def verify(record: Mapping[str, Any], key_hex: str) -> bool:
    """Return whether a record has a valid signature by this key."""
    try:
        expected_signature = sign(record, key_hex)
    except (ValueError, TypeError, RecursionError):
        return False
    signature = record.get("signature")
    if not isinstance(signature, str):
        return False
    return hmac.compare_digest(
        expected_signature.encode(), signature.encode("utf-8", "replace")
    )
