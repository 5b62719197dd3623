"""Convert ownership commands and their replies to and from JSON."""

import math
from typing import Annotated, NotRequired, TypedDict

import msgspec

from wasabivalve import ownership

from . import json_http


class TokenDocument(TypedDict):
    """Represent a fencing token."""

    term: int
    position: int
    step: int


class RangeDocument(TypedDict):
    """Represent a key range; ``key`` is a single hot key, ``token`` that of a grant."""

    start: Annotated[int, msgspec.Meta(ge=0)]
    end: int
    key: NotRequired[str]
    token: NotRequired[TokenDocument]
    draining: NotRequired[bool]


class CommandDocument(TypedDict):
    """Represent an ownership command of a controller."""

    action: ownership.server_lease.Action
    shard: str
    token: TokenDocument
    stamp: float
    ranges: list[RangeDocument]


class ReplyDocument(TypedDict):
    """Represent the reply of a server to an ownership command."""

    accepted: bool
    stamp: float
    highest_token: TokenDocument
    held: list[RangeDocument]


def decode_command(body: bytes) -> ownership.OwnershipCommand:
    """Decode a command; raise BadRequest if it is invalid."""
    document = json_http.decode_body(body, CommandDocument)
    if not math.isfinite(document["stamp"]):
        raise json_http.BadRequest(f"stamp: {document['stamp']} is not finite")
    return ownership.OwnershipCommand(
        document["action"],
        document["shard"],
        _decode_token(document["token"]),
        document["stamp"],
        tuple(_decode_range(range_document) for range_document in document["ranges"]),
    )


def reply_document(reply: ownership.OwnershipReply) -> ReplyDocument:
    """Return the JSON document of a reply."""
    return {
        "accepted": reply.accepted,
        "stamp": reply.stamp,
        "highest_token": _encode_token(reply.highest_token),
        "held": [
            {
                "start": held_range.start,
                "end": held_range.end,
                "key": held_range.key,
                "token": _encode_token(held_range.token),
                "draining": held_range.draining,
            }
            for held_range in reply.held
        ],
    }


def parse_token_header(text: str) -> ownership.FencingToken:
    """Parse ``term/position/step``; raise BadRequest if it is malformed."""
    try:
        term, position, step = (int(part) for part in text.split("/"))
    except ValueError as error:
        problem = f"Wasabivalve-Token: {text!r} is not term/position/step"
        raise json_http.BadRequest(problem) from error
    return ownership.FencingToken(term, position, step)


def _decode_token(document: TokenDocument) -> ownership.FencingToken:
    return ownership.FencingToken(
        document["term"], document["position"], document["step"]
    )


def _encode_token(token: ownership.FencingToken) -> TokenDocument:
    return {"term": token.term, "position": token.position, "step": token.step}


def _decode_range(document: RangeDocument) -> ownership.HeldRange:
    start, end = document["start"], document["end"]
    if not start < end <= ownership.POSITION_COUNT:
        raise json_http.BadRequest(f"ranges: [{start}, {end}) is not a range")
    token = document.get("token")
    return ownership.HeldRange(
        start,
        end,
        document.get("key", ""),
        _decode_token(token) if token else ownership.NO_TOKEN,
    )
