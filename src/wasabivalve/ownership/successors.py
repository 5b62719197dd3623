"""Choose the servers that follow an owner in a list committed in advance."""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from wasabivalve import rendezvous


class Listed(Protocol):
    """Have a load and an ordered server list."""

    load: float
    servers: tuple[str, ...]


Choose = Callable[[Sequence[str], float], tuple[str, ...]]


def chooser(
    servers: Sequence[str],
    data_centre_by_server: Mapping[str, str],
    list_length: int,
    load_by_server: Mapping[str, float] | None = None,
    committed: Iterable[tuple[Sequence[str], float]] = (),
) -> Choose:
    """Return a function that extends a list, which starts with its owner.

    The function takes the list and the load of the range or key; ``committed`` holds
    the lists in force with the loads of their ranges. A list takes servers in data
    centres that it does not have yet, where possible; among those, the one with the
    least load after the loss of the owner, so that a loss spreads the owner's share
    evenly.
    """
    base = load_by_server or {}
    inherited: dict[tuple[int, str, str], float] = collections.defaultdict(float)
    order_by_owner: dict[str, tuple[str, ...]] = {}

    def next_server(order: Sequence[str], chosen: Sequence[str]) -> str:
        used = collections.Counter(map(data_centre_by_server.get, chosen))
        place, owner = len(chosen), chosen[0]

        def preference(name: str) -> tuple[int, float]:
            load = base.get(name, 0.0) + inherited[place, owner, name]
            return used[data_centre_by_server.get(name)], load

        return min((name for name in order if name not in chosen), key=preference)

    def commit(chosen: Sequence[str], load: float) -> None:
        for place, name in enumerate(chosen[1:], 1):
            inherited[place, chosen[0], name] += load

    def choose(kept: Sequence[str], load: float) -> tuple[str, ...]:
        owner = kept[0]
        order = order_by_owner.get(owner)
        if order is None:
            order = rendezvous.rank_names(f"after {owner}", {owner, *servers})
            order_by_owner[owner] = order
        chosen = list(kept)
        while len(chosen) < min(list_length, len(order)):
            chosen.append(next_server(order, chosen))
        commit(chosen, load)
        return tuple(chosen)

    for servers_of_range, load in committed:
        commit(servers_of_range, load)
    return choose


def loads_after_loss(
    load_by_server: Mapping[str, float], owner: str, items: Iterable[Listed]
) -> dict[str, float]:
    """Return the loads of the others when an owner's items go to their successors."""
    loads = {name: load for name, load in load_by_server.items() if name != owner}
    for item in items:
        loads[item.servers[1]] += item.load
    return loads


def with_first(
    servers: Sequence[str],
    data_centre_by_server: Mapping[str, str],
    load_by_server: Mapping[str, float],
) -> tuple[str, ...]:
    """Return a list whose first successor is the least loaded permitted server.

    The data centres of a list stay as distinct as they are: the new successor takes
    the place of one of its own data centre, or of the first.
    """
    centres = [data_centre_by_server.get(name) for name in servers]

    def allowed(name: str) -> bool:
        centre = data_centre_by_server.get(name)
        return name in servers[1:] or centre != centres[0] or len(set(centres)) == 1

    names = [name for name in load_by_server if name != servers[0] and allowed(name)]
    first = min(names, key=lambda name: (load_by_server[name], name))
    rest = [name for name in servers[1:] if name != first]
    if first not in servers:
        centre = data_centre_by_server.get(first)
        same = [name for name in rest if data_centre_by_server.get(name) == centre]
        rest.remove(same[0] if same else rest[0])
    return servers[0], first, *rest
