"""Choose the servers that follow an owner in a list committed in advance."""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence

from wasabivalve.routing import rendezvous


def chooser(
    servers: Sequence[str],
    data_centre_by_server: Mapping[str, str],
    list_length: int,
    committed: Iterable[Sequence[str]] = (),
) -> Callable[[str], tuple[str, ...]]:
    """Return a function that extends an owner to a list with its successors.

    A list takes servers in data centres that it does not have yet, where possible;
    among those, the one that follows this owner least often, so that the loss of a
    server spreads its share evenly. ``committed`` holds the lists already in force.
    """
    uses: collections.Counter[tuple[int, str, str]] = collections.Counter()
    order_by_owner: dict[str, tuple[str, ...]] = {}

    def count(servers_of_range: Sequence[str]) -> None:
        for place, name in enumerate(servers_of_range[1:], 1):
            uses[place, servers_of_range[0], name] += 1

    def next_server(order: Sequence[str], chosen: Sequence[str]) -> str:
        used = collections.Counter(map(data_centre_by_server.get, chosen))
        place, owner = len(chosen), chosen[0]

        def preference(name: str) -> tuple[int, int]:
            return used[data_centre_by_server.get(name)], uses[place, owner, name]

        return min((name for name in order if name not in chosen), key=preference)

    def choose(owner: str) -> tuple[str, ...]:
        order = order_by_owner.get(owner)
        if order is None:
            order = rendezvous.rank_names(f"after {owner}", {owner, *servers})
            order_by_owner[owner] = order
        chosen = [owner]
        while len(chosen) < min(list_length, len(order)):
            chosen.append(next_server(order, chosen))
        count(chosen)
        return tuple(chosen)

    for servers_of_range in committed:
        if servers_of_range:
            count(servers_of_range)
    return choose
