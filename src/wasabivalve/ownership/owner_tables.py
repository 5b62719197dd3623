"""Build the owner table that routers use."""

from ..schema import messages_generated
from . import fencing, range_lists, server_lease, tenure


def build(
    held: tenure.Tenure, generation: fencing.FencingToken, now: float
) -> messages_generated.OwnerTable:
    """Return the owners of all ranges and single keys with the tokens of grants.

    The ranges cover the key space without gaps. The position of a single key also
    belongs to a range; routers look at the exceptions first.
    """
    ranges: list[messages_generated.RangeOwner] = []
    exceptions: list[messages_generated.KeyOwner] = []
    for span, unit in held.unit_by_span.items():
        owner = held.last_owner(span)
        view = held.view_by_server.get(owner)
        known = view is not None and view.may_hold(*span, now)
        pieces = view.pieces(*span) if view is not None and known else []
        if unit.key:
            granted = pieces[0].token if pieces else fencing.NO_TOKEN
            server = owner if pieces else ""
            exceptions.append(
                {"key": unit.key, "server": server, "token": as_message(granted)}
            )
        else:
            _add_pieces(ranges, unit, owner, pieces)
    if ranges and held.unit_by_span:
        ranges[-1]["last"] = max(end for _, end in held.unit_by_span) - 1
    return {
        "shard": held.shard,
        "generation": as_message(generation),
        "ranges": ranges,
        "exceptions": exceptions,
        "provisional": is_provisional(held),
    }


def is_provisional(held: tenure.Tenure) -> bool:
    """Return whether an owner is not yet the first in its committed list."""
    return any(
        held.unit_by_span[span].servers[0] != owner
        for span, owner in held.owner_by_span.items()
    )


def as_message(token: fencing.FencingToken) -> messages_generated.Token:
    """Return a token as message."""
    return {"term": token.term, "position": token.position, "step": token.step}


def _add_pieces(
    ranges: list[messages_generated.RangeOwner],
    unit: range_lists.Unit,
    owner: str,
    pieces: list[server_lease.HeldRange],
) -> None:
    at = unit.start
    for piece in pieces:
        if at < piece.start:
            _add(ranges, at, piece.start, "", fencing.NO_TOKEN)
        _add(ranges, piece.start, piece.end, owner, piece.token)
        at = piece.end
    if at < unit.end:
        _add(ranges, at, unit.end, "", fencing.NO_TOKEN)


def _add(
    ranges: list[messages_generated.RangeOwner],
    start: int,
    end: int,
    server: str,
    token: fencing.FencingToken,
) -> None:
    """Append a range, joined to the last one if the owner and token are equal."""
    message = as_message(token)
    if ranges:
        last = ranges[-1]
        last["last"] = start - 1
        if (last["server"], last["token"]) == (server, message):
            last["last"] = end - 1
            return
    start = start if ranges else 0
    ranges.append({"start": start, "last": end - 1, "server": server, "token": message})
