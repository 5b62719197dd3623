"""Convert ownership commands and their replies to and from JSON."""

import math
from typing import Annotated, NotRequired, TypedDict

import msgspec

from wasabivalve import ownership

from . import json_http


class TokenDocument(TypedDict):
    """Carry a fencing token."""

    term: int
    position: int
    step: int


class RangeDocument(TypedDict):
    """Carry a range; ``key`` names a single hot key, ``token`` is that of a grant."""

    start: Annotated[int, msgspec.Meta(ge=0)]
    end: int
    key: NotRequired[str]
    token: NotRequired[TokenDocument]
    draining: NotRequired[bool]


class CommandDocument(TypedDict):
    """Carry a command of a controller."""

    action: ownership.server_lease.Action
    shard: str
    token: TokenDocument
    stamp: float
    ranges: list[RangeDocument]


class ReplyDocument(TypedDict):
    """Carry the reply of a server."""

    accepted: bool
    stamp: float
    highest_token: TokenDocument
    held: list[RangeDocument]


def decode_command(body: bytes) -> ownership.OwnershipCommand:
    """Decode a command; raise BadRequest with the problem."""
    document = json_http.decode_body(body, CommandDocument)
    if not math.isfinite(document["stamp"]):
        raise json_http.BadRequest(f"stamp: {document['stamp']} is not finite")
    return ownership.OwnershipCommand(
        document["action"],
        document["shard"],
        _token(document["token"]),
        document["stamp"],
        tuple(_range(item) for item in document["ranges"]),
    )


def reply_document(reply: ownership.OwnershipReply) -> ReplyDocument:
    """Return the JSON document of a reply."""
    return {
        "accepted": reply.accepted,
        "stamp": reply.stamp,
        "highest_token": _token_document(reply.highest_token),
        "held": [
            {
                "start": held.start,
                "end": held.end,
                "key": held.key,
                "token": _token_document(held.token),
                "draining": held.draining,
            }
            for held in reply.held
        ],
    }


def parse_token_header(text: str) -> ownership.FencingToken:
    """Parse ``term/position/step``; raise BadRequest when it is damaged."""
    try:
        term, position, step = (int(part) for part in text.split("/"))
    except ValueError as error:
        problem = f"Wasabivalve-Token: {text!r} is not term/position/step"
        raise json_http.BadRequest(problem) from error
    return ownership.FencingToken(term, position, step)


def _token(document: TokenDocument) -> ownership.FencingToken:
    return ownership.FencingToken(
        document["term"], document["position"], document["step"]
    )


def _token_document(token: ownership.FencingToken) -> TokenDocument:
    return {"term": token.term, "position": token.position, "step": token.step}


def _range(document: RangeDocument) -> ownership.HeldRange:
    start, end = document["start"], document["end"]
    if not start < end <= ownership.POSITION_COUNT:
        raise json_http.BadRequest(f"ranges: [{start}, {end}) is not a range")
    token = document.get("token")
    return ownership.HeldRange(
        start,
        end,
        document.get("key", ""),
        _token(token) if token else ownership.NO_TOKEN,
    )
