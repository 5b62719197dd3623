"""Encode and decode the messages between entry VMs."""

from collections.abc import Mapping
from typing import Any

import msgspec

from wasabivalve.schema import messages_generated as messages

MESSAGE_TYPE_BY_KIND: dict[str, Any] = {
    "heartbeat": messages.Heartbeat,
    "probe": messages.Probe,
    "probe_reply": messages.ProbeReply,
    "promise_request": messages.PromiseRequest,
    "promise_reply": messages.PromiseReply,
    "owner_table": messages.OwnerTable,
    "owner_table_request": messages.OwnerTableRequest,
    "permit_request": messages.PermitRequest,
    "permit_reply": messages.PermitReply,
    "permit_release": messages.PermitRelease,
    "reserve_request": messages.ReserveRequest,
    "reserve_reply": messages.ReserveReply,
    "record_answer": messages.RecordAnswer,
    "quarantine_notice": messages.QuarantineNotice,
    "log_relay_request": messages.LogRelayRequest,
    "log_relay_reply": messages.LogRelayReply,
    "configuration_relay": messages.ConfigurationRelay,
    "observation": messages.Observation,
    "load_report": messages.LoadReport,
}

_ENCODER = msgspec.msgpack.Encoder()
_DECODER_BY_KIND = {
    kind: msgspec.msgpack.Decoder(message_type)
    for kind, message_type in MESSAGE_TYPE_BY_KIND.items()
}


def encode(kind: str, message: Mapping[str, Any]) -> bytes:
    """Return the MessagePack payload; raise KeyError for an unknown kind."""
    MESSAGE_TYPE_BY_KIND[kind]
    return _ENCODER.encode(message)


def decode(kind: str, payload: bytes) -> Any | None:
    """Return the message, or None if the kind is unknown or the payload invalid."""
    decoder = _DECODER_BY_KIND.get(kind)
    if decoder is None:
        return None
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
