"""Build the owner table that routers use."""

from ..schema import messages_generated
from . import fencing, range_lists, server_lease, tenure


def build(
    current_tenure: tenure.Tenure, generation: fencing.FencingToken, now: float
) -> messages_generated.OwnerTable:
    """Return the owners of all ranges and single keys with the tokens of their grants.

    The ranges cover the key space without gaps. The position of a single key also
    belongs to a range; routers search the exceptions first.
    """
    ranges: list[messages_generated.RangeOwner] = []
    exceptions: list[messages_generated.KeyOwner] = []
    for span, unit in current_tenure.unit_by_span.items():
        owner = current_tenure.last_owner(span)
        view = current_tenure.view_by_server.get(owner)
        may_hold_unit = view is not None and view.may_hold(*span, now)
        parts = view.held_parts(*span) if view is not None and may_hold_unit else []
        if unit.key:
            token = parts[0].token if parts else fencing.NO_TOKEN
            server = owner if parts else ""
            exceptions.append(
                {"key": unit.key, "server": server, "token": token_message(token)}
            )
        else:
            _append_parts(ranges, unit, owner, parts)
    if ranges and current_tenure.unit_by_span:
        ranges[-1]["last"] = max(end for _, end in current_tenure.unit_by_span) - 1
    return {
        "shard": current_tenure.shard,
        "generation": token_message(generation),
        "ranges": ranges,
        "exceptions": exceptions,
        "provisional": is_provisional(current_tenure),
    }


def is_provisional(current_tenure: tenure.Tenure) -> bool:
    """Return whether the committed list of an owned unit names another owner."""
    return any(
        current_tenure.unit_by_span[span].servers[0] != owner
        for span, owner in current_tenure.owner_by_span.items()
    )


def token_message(token: fencing.FencingToken) -> messages_generated.Token:
    """Return the message form of a token."""
    return {"term": token.term, "position": token.position, "step": token.step}


def _append_parts(
    ranges: list[messages_generated.RangeOwner],
    unit: range_lists.GrantUnit,
    owner: str,
    parts: list[server_lease.HeldRange],
) -> None:
    position = unit.start
    for part in parts:
        if position < part.start:
            _append_range(ranges, position, part.start, "", fencing.NO_TOKEN)
        _append_range(ranges, part.start, part.end, owner, part.token)
        position = part.end
    if position < unit.end:
        _append_range(ranges, position, unit.end, "", fencing.NO_TOKEN)


def _append_range(
    ranges: list[messages_generated.RangeOwner],
    start: int,
    end: int,
    server: str,
    token: fencing.FencingToken,
) -> None:
    """Append a range, merged with the last one if owner and token are equal."""
    message = token_message(token)
    if ranges:
        last = ranges[-1]
        last["last"] = start - 1
        if (last["server"], last["token"]) == (server, message):
            last["last"] = end - 1
            return
    start = start if ranges else 0
    ranges.append({"start": start, "last": end - 1, "server": server, "token": message})
