"""Choose the servers that succeed the owner of a range, before it is lost."""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from wasabivalve import rendezvous


class PlacedItem(Protocol):
    """Describe a range or key with its load and its ordered server list."""

    load: float
    servers: tuple[str, ...]


ExtendList = Callable[[Sequence[str], float], tuple[str, ...]]


def list_extender(
    servers: Sequence[str],
    data_centre_by_server: Mapping[str, str],
    list_length: int,
    load_by_server: Mapping[str, float] | None = None,
    committed: Iterable[tuple[Sequence[str], float]] = (),
) -> ExtendList:
    """Return a function that extends a server list, which starts with its owner.

    The arguments of the function are the list and the load of the range or key;
    ``committed`` holds the present lists with the loads of their ranges. A list is
    extended by servers of data centres that it lacks, where possible. Among those, the
    server with the least load after the loss of the owner is chosen, so that a loss
    distributes the owner's load evenly.
    """
    base_load_by_server = load_by_server or {}
    inherited_load: dict[tuple[int, str, str], float] = collections.defaultdict(float)
    order_by_owner: dict[str, tuple[str, ...]] = {}

    def next_server(candidates: Sequence[str], chosen: Sequence[str]) -> str:
        count_by_data_centre = collections.Counter(
            map(data_centre_by_server.get, chosen)
        )
        index, owner = len(chosen), chosen[0]

        def cost(name: str) -> tuple[int, float]:
            load = (
                base_load_by_server.get(name, 0.0) + inherited_load[index, owner, name]
            )
            return count_by_data_centre[data_centre_by_server.get(name)], load

        return min((name for name in candidates if name not in chosen), key=cost)

    def add_inherited_load(chosen: Sequence[str], load: float) -> None:
        for index, name in enumerate(chosen[1:], 1):
            inherited_load[index, chosen[0], name] += load

    def extend(servers_so_far: Sequence[str], load: float) -> tuple[str, ...]:
        owner = servers_so_far[0]
        candidates = order_by_owner.get(owner)
        if candidates is None:
            candidates = rendezvous.rank_names(f"after {owner}", {owner, *servers})
            order_by_owner[owner] = candidates
        chosen = list(servers_so_far)
        while len(chosen) < min(list_length, len(candidates)):
            chosen.append(next_server(candidates, chosen))
        add_inherited_load(chosen, load)
        return tuple(chosen)

    for servers_of_range, load in committed:
        add_inherited_load(servers_of_range, load)
    return extend


def loads_after_loss(
    load_by_server: Mapping[str, float], owner: str, items: Iterable[PlacedItem]
) -> dict[str, float]:
    """Return the loads of the others once an owner's items pass to successors."""
    loads = {name: load for name, load in load_by_server.items() if name != owner}
    for item in items:
        loads[item.servers[1]] += item.load
    return loads


def with_least_loaded_successor(
    servers: Sequence[str],
    data_centre_by_server: Mapping[str, str],
    load_by_server: Mapping[str, float],
) -> tuple[str, ...]:
    """Return a list whose first successor is the least loaded allowed server.

    The number of distinct data centres in the list does not fall: a new successor
    replaces a server of its own data centre, or else the first successor.
    """
    data_centres = [data_centre_by_server.get(name) for name in servers]

    def is_allowed(name: str) -> bool:
        data_centre = data_centre_by_server.get(name)
        return (
            name in servers[1:]
            or data_centre != data_centres[0]
            or len(set(data_centres)) == 1
        )

    names = [name for name in load_by_server if name != servers[0] and is_allowed(name)]
    successor = min(names, key=lambda name: (load_by_server[name], name))
    others = [name for name in servers[1:] if name != successor]
    if successor not in servers:
        data_centre = data_centre_by_server.get(successor)
        replaceable = [
            name for name in others if data_centre_by_server.get(name) == data_centre
        ]
        others.remove(replaceable[0] if replaceable else others[0])
    return servers[0], successor, *others
