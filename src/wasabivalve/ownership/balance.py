"""Plan moves of ranges and hot keys that balance the load of the servers."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import key_ranges, successors

BUDGET_WINDOW_MS = 60_000.0


class BalancePolicy(NamedTuple):
    """Set the limits of planning; shares are relative to the mean load of a server."""

    # A server above this share sheds load. The target for the highest share is 1.15;
    # the difference allows for noise in measured loads.
    start_share: float = 1.10
    # An overloaded server sheds load down to this share, so that noise in measured
    # loads does not start planning again at once.
    stop_share: float = 1.03
    # A server below this share is treated as newly joined and receives load.
    joined_share: float = 0.5
    # A lighter key stays with its range: the mean share of a range is 1/64.
    single_key_share: float = 0.01
    # A heavier range or key may need other items moved off its target first. Lighter
    # ones fill the remaining capacity.
    heavy_item_share: float = 0.1
    # Moves that place a heavy range or key may load a server up to this share.
    heavy_target_share: float = 1.05
    # Successors are chosen again for this many servers: those whose loss would cause
    # the highest load of another server.
    max_refreshed_servers: int = 2
    max_exceptions: int = 256
    servers_per_list: int = 3


class OwnershipMove(NamedTuple):
    """Describe ranges and keys that pass from one server to another.

    Each range and key has its new server list. ``source`` is empty if there was no
    owner, and equals ``target`` if only successors or exceptions change.
    """

    source: str
    target: str
    ranges: tuple[key_ranges.PositionRange, ...]
    exceptions: tuple[tuple[str, key_ranges.ServerList], ...]
    removed_exceptions: tuple[str, ...]
    reason: str

    @property
    def changes_owner(self) -> bool:
        """Return whether the owner changes."""
        return self.source != self.target


class MoveBudget:
    """Limit the planned changes of owner within any period of one minute."""

    def __init__(self, moves_per_minute: int = 6):
        """Start with no moves spent."""
        self._moves_per_minute = moves_per_minute
        self._spent_at: collections.deque[float] = collections.deque()

    def available(self, now: float) -> int:
        """Return how many moves may start at ``now`` (milliseconds)."""
        while self._spent_at and self._spent_at[0] <= now - BUDGET_WINDOW_MS:
            self._spent_at.popleft()
        return max(0, self._moves_per_minute - len(self._spent_at))

    def spend(self, moves: Iterable[OwnershipMove], now: float) -> None:
        """Charge the moves that were carried out; moves after a loss are free."""
        for move in moves:
            if move.changes_owner and move.reason != "loss":
                self._spent_at.append(now)


def plan_moves(
    range_map: key_ranges.RangeMap,
    load_by_range: Mapping[int, float],
    load_by_key: Mapping[str, float],
    servers: Mapping[str, str],
    budget: MoveBudget,
    now: float,
    policy: BalancePolicy = BalancePolicy(),  # noqa: B008
) -> tuple[OwnershipMove, ...]:
    """Return the moves that balance the load of the servers.

    Loads are requests per second. ``load_by_key`` holds the keys in
    ``range_map.exceptions`` and the hottest other keys; ``load_by_range`` has the
    start of a range as its key and excludes the requests of keys in ``load_by_key``.
    ``servers`` maps the live servers to their data centres; a server that is missing
    there is lost. The budget is only read: charge it with ``MoveBudget.spend`` once
    the moves are logged. Moves away from a lost server and changes that keep the
    owner are not charged.
    """
    if not servers:
        return ()
    plan = _make_plan(range_map, load_by_range, load_by_key, servers, policy)
    _repair_lists(plan)
    _place_hot_keys_singly(plan, load_by_key)
    # The controller has already granted the ranges of a lost server to successors.
    # They move again only after a record names their present owners.
    if not any(item.reason == "loss" for item in _all_items(plan)):
        moves_left = _balance(plan, budget.available(now))
        _remove_cold_exceptions(plan, moves_left)
        _refresh_successors(plan)
    return _group_into_moves(plan)


def apply_moves(
    range_map: key_ranges.RangeMap, moves: Iterable[OwnershipMove]
) -> key_ranges.RangeMap:
    """Return the map after the moves."""
    for move in moves:
        range_map = range_map.assign(
            move.ranges, dict(move.exceptions), move.removed_exceptions
        )
    return range_map


@dataclasses.dataclass(slots=True, eq=False)
class _Item:
    """Hold one range or single key while planning."""

    load: float
    servers: key_ranges.ServerList
    source: str
    reason: str = ""
    key: str | None = None
    start: int = 0
    end: int = 0
    removed: bool = False


@dataclasses.dataclass(slots=True)
class _Plan:
    policy: BalancePolicy
    data_centre_by_server: Mapping[str, str]
    ranges: key_ranges.RangeMap
    item_by_start: dict[int, _Item]
    item_by_key: dict[str, _Item]
    items_by_server: dict[str, list[_Item]]
    load_by_server: dict[str, float]
    mean_load: float
    extend_list: successors.ExtendList = lambda servers, load: tuple(servers)


def _make_plan(
    range_map: key_ranges.RangeMap,
    load_by_range: Mapping[int, float],
    load_by_key: Mapping[str, float],
    data_centre_by_server: Mapping[str, str],
    policy: BalancePolicy,
) -> _Plan:
    item_by_start = {
        item.start: _Item(
            load_by_range.get(item.start, 0.0),
            item.servers,
            _owner(item.servers),
            start=item.start,
            end=item.end,
        )
        for item in range_map
    }
    item_by_key = {
        key: _Item(load_by_key.get(key, 0.0), servers, _owner(servers), key=key)
        for key, servers in range_map.exceptions.items()
    }
    for key, load in load_by_key.items():
        if key not in item_by_key:
            item_by_start[_range_start(range_map, key)].load += load
    items = [*item_by_start.values(), *item_by_key.values()]
    total = sum(item.load for item in items)
    if total <= 0.0:
        # Without traffic, the size of each range is used as its load.
        for item in item_by_start.values():
            item.load = (item.end - item.start) / key_ranges.POSITION_COUNT
        total = 1.0
    plan = _Plan(
        policy,
        data_centre_by_server,
        range_map,
        item_by_start,
        item_by_key,
        {name: [] for name in data_centre_by_server},
        dict.fromkeys(data_centre_by_server, 0.0),
        total / len(data_centre_by_server),
    )
    for item in items:
        if item.servers and item.servers[0] in data_centre_by_server:
            _add_to_owner(plan, item)
    plan.extend_list = successors.list_extender(
        tuple(data_centre_by_server),
        data_centre_by_server,
        policy.servers_per_list,
        plan.load_by_server,
        ((item.servers, item.load) for item in items),
    )
    return plan


def _owner(servers: key_ranges.ServerList) -> str:
    return servers[0] if servers else ""


def _add_to_owner(plan: _Plan, item: _Item) -> None:
    plan.items_by_server[item.servers[0]].append(item)
    plan.load_by_server[item.servers[0]] += item.load


def _all_items(plan: _Plan) -> list[_Item]:
    return [*plan.item_by_start.values(), *plan.item_by_key.values()]


def _repair_lists(plan: _Plan) -> None:
    list_length = min(plan.policy.servers_per_list, len(plan.data_centre_by_server))
    for item in sorted(_all_items(plan), key=lambda item: -item.load):
        live_servers = [
            name for name in item.servers if name in plan.data_centre_by_server
        ]
        if len(live_servers) == len(item.servers) and len(live_servers) >= list_length:
            continue
        owner_is_lost = (
            not item.servers or item.servers[0] not in plan.data_centre_by_server
        )
        if not live_servers:
            live_servers = [
                min(plan.load_by_server, key=plan.load_by_server.__getitem__)
            ]
        item.servers = plan.extend_list(live_servers, item.load)
        item.reason = "loss" if owner_is_lost else "successors"
        if owner_is_lost:
            _add_to_owner(plan, item)


def _place_hot_keys_singly(plan: _Plan, load_by_key: Mapping[str, float]) -> None:
    threshold = plan.policy.single_key_share * plan.mean_load
    free_exceptions = plan.policy.max_exceptions - len(plan.item_by_key)
    hottest = sorted(
        (-load, key)
        for key, load in load_by_key.items()
        if load >= threshold and key not in plan.item_by_key
    )
    for negative_load, key in hottest[: max(0, free_exceptions)]:
        load = -negative_load
        range_item = plan.item_by_start[_range_start(plan.ranges, key)]
        owner = range_item.servers[0]
        range_item.load -= load
        servers = plan.extend_list([owner], load)
        item = _Item(load, servers, owner, reason="single", key=key)
        plan.item_by_key[key] = item
        plan.items_by_server[owner].append(item)


def _remove_cold_exceptions(plan: _Plan, moves_left: int) -> None:
    # Half the threshold of placing a key singly, so that a key near it is not placed
    # and removed in turn.
    threshold = plan.policy.single_key_share * plan.mean_load / 2
    items_by_server_pair: dict[tuple[str, str], list[_Item]] = collections.defaultdict(
        list
    )
    for item in list(plan.item_by_key.values()):
        if item.load >= threshold or item.reason or item.key is None:
            continue
        start = _range_start(plan.ranges, item.key)
        range_owner = plan.item_by_start[start].servers[0]
        if range_owner == item.servers[0]:
            _remove_exception(plan, item)
        else:
            items_by_server_pair[item.servers[0], range_owner].append(item)
    # The other removals change the owner, so they wait until the table of exceptions
    # is three quarters full.
    if len(plan.item_by_key) <= plan.policy.max_exceptions * 3 // 4:
        return
    groups = sorted(
        items_by_server_pair.items(), key=lambda group: (-len(group[1]), group[0])
    )
    for (_, range_owner), items in groups[:moves_left]:
        for item in items:
            _move_item(plan, item, range_owner, "cold")
            _remove_exception(plan, item)


def _remove_exception(plan: _Plan, item: _Item) -> None:
    item.reason = item.reason or "cold"
    item.removed = True
    plan.items_by_server[item.servers[0]].remove(item)


def _range_start(range_map: key_ranges.RangeMap, key: str) -> int:
    return range_map.range_at(key_ranges.position_of_key(key)).start


def _move_item(plan: _Plan, item: _Item, target: str, reason: str) -> None:
    source = item.servers[0]
    plan.items_by_server[source].remove(item)
    plan.load_by_server[source] -= item.load
    item.servers = plan.extend_list([target], item.load)
    item.reason = reason
    _add_to_owner(plan, item)


def _balance(plan: _Plan, moves_left: int) -> int:
    """Plan moves between servers; return how many moves are left in the budget."""
    loads = plan.load_by_server
    policy = plan.policy
    joined_servers = {
        name for name in loads if loads[name] < policy.joined_share * plan.mean_load
    }
    start_load = policy.start_share * plan.mean_load
    overloaded_servers = {name for name in loads if loads[name] > start_load}
    unresolved: set[str] = set()
    while moves_left > 0:
        target = min(loads, key=lambda name: (loads[name], name))
        source = _next_source(plan, overloaded_servers, unresolved)
        if source:
            moved = _shed_excess(plan, source, target)
            if not moved and loads[source] > start_load:
                moved = _make_capacity(plan, source)
            if not moved:
                unresolved.add(source)
                continue
        elif target not in joined_servers or not _fill_joined_server(plan, target):
            break
        moves_left -= 1
    return moves_left


def _next_source(
    plan: _Plan, overloaded_servers: set[str], unresolved: set[str]
) -> str:
    # Only servers that exceeded the start share shed load down to the stop share.
    # Otherwise those that receive load from others would shed it at once.
    loads = plan.load_by_server
    candidates = [
        name
        for name in loads.keys() - unresolved
        if loads[name] > plan.policy.start_share * plan.mean_load
        or (
            name in overloaded_servers
            and loads[name] > plan.policy.stop_share * plan.mean_load
        )
    ]
    return max(candidates, key=lambda name: (loads[name], name), default="")


def _fill_joined_server(plan: _Plan, target: str) -> bool:
    """Move load from the most loaded server to a new one."""
    loads = plan.load_by_server
    source = max(loads, key=lambda name: (loads[name], name))
    max_load = min(loads[source] - plan.mean_load, plan.mean_load - loads[target])
    selected = _select_items(plan.items_by_server[source], max_load)
    return _move_items(plan, selected, target, "join")


def _shed_excess(plan: _Plan, source: str, target: str) -> bool:
    """Move the excess load of a server to the least loaded one."""
    policy = plan.policy
    excess = plan.load_by_server[source] - policy.stop_share * plan.mean_load
    capacity = policy.heavy_target_share * plan.mean_load - plan.load_by_server[target]
    heavy_item = _heavy_item_to_move(plan, source, excess, capacity)
    if heavy_item is not None:
        return _move_items(plan, [heavy_item], target, "balance")
    capacity = policy.stop_share * plan.mean_load - plan.load_by_server[target]
    selected = _select_items(plan.items_by_server[source], min(excess, capacity))
    return _move_items(plan, selected, target, "balance")


def _heavy_item_to_move(
    plan: _Plan, source: str, excess: float, capacity: float
) -> _Item | None:
    # Moving one heavy item with about the excess load is cheaper than moving many
    # ranges, even if the source then falls somewhat below the mean.
    slack = plan.policy.heavy_item_share * plan.mean_load
    fitting = [
        item
        for item in plan.items_by_server[source]
        if slack <= item.load <= min(capacity, excess + slack)
        and item.load >= excess / 2
    ]
    return min(fitting, key=lambda item: abs(item.load - excess), default=None)


def _make_capacity(plan: _Plan, source: str) -> bool:
    """Move light items off a server so that it can receive a heavy one."""
    max_light_load = plan.policy.heavy_item_share * plan.mean_load
    heavy = [
        item for item in plan.items_by_server[source] if item.load > max_light_load
    ]
    if len(heavy) < 2:
        return False
    heavy_load_by_server = {
        name: sum(item.load for item in items if item.load > max_light_load)
        for name, items in plan.items_by_server.items()
        if name != source
    }
    if len(heavy_load_by_server) < 2:
        return False
    needed_load = min(item.load for item in heavy)
    receiver = min(
        heavy_load_by_server, key=lambda name: (heavy_load_by_server[name], name)
    )
    if (
        heavy_load_by_server[receiver] + needed_load
        > plan.policy.heavy_target_share * plan.mean_load
    ):
        return False
    loads = plan.load_by_server
    third_server = min(
        heavy_load_by_server.keys() - {receiver}, key=lambda name: (loads[name], name)
    )
    capacity = plan.policy.heavy_target_share * plan.mean_load - loads[third_server]
    excess = loads[receiver] + needed_load - plan.policy.stop_share * plan.mean_load
    items = [
        item for item in plan.items_by_server[receiver] if item.load <= max_light_load
    ]
    return _move_items(
        plan, _select_items(items, min(capacity, excess)), third_server, "room"
    )


def _select_items(items: list[_Item], max_load: float) -> list[_Item]:
    selected = []
    for item in sorted(items, key=lambda item: -item.load):
        if 0.0 < item.load <= max_load:
            selected.append(item)
            max_load -= item.load
    return selected


def _move_items(plan: _Plan, items: list[_Item], target: str, reason: str) -> bool:
    for item in items:
        _move_item(plan, item, target, reason)
    return bool(items)


def _refresh_successors(plan: _Plan) -> None:
    if len(plan.data_centre_by_server) < 3:
        return
    peak_by_owner = {}
    for owner, items in plan.items_by_server.items():
        load_after_loss = successors.loads_after_loss(plan.load_by_server, owner, items)
        peak_by_owner[owner] = max(load_after_loss.values())
    mean_load_after_loss = (
        plan.mean_load
        * len(plan.data_centre_by_server)
        / (len(plan.data_centre_by_server) - 1)
    )
    max_load = plan.policy.start_share * mean_load_after_loss
    owners_by_peak = sorted(
        peak_by_owner, key=lambda name: (-peak_by_owner[name], name)
    )
    for owner in owners_by_peak[: plan.policy.max_refreshed_servers]:
        if peak_by_owner[owner] > max_load:
            _refresh_lists_of_server(plan, owner, max_load)


def _refresh_lists_of_server(plan: _Plan, owner: str, max_load: float) -> None:
    items = sorted(plan.items_by_server[owner], key=lambda item: -item.load)
    load_after_loss = successors.loads_after_loss(plan.load_by_server, owner, items)
    # A smaller gain is within the noise of measured loads.
    min_gain = plan.policy.heavy_item_share * plan.mean_load / 4
    for item in items:
        successor = item.servers[1]
        if load_after_loss[successor] <= max_load:
            continue
        servers = successors.with_least_loaded_successor(
            item.servers, plan.data_centre_by_server, load_after_loss
        )
        if (
            load_after_loss[servers[1]] + item.load
            > load_after_loss[successor] - min_gain
        ):
            continue
        load_after_loss[successor] -= item.load
        load_after_loss[servers[1]] += item.load
        item.servers = servers
        item.reason = item.reason or "successors"


def _group_into_moves(plan: _Plan) -> tuple[OwnershipMove, ...]:
    items_by_move: dict[tuple[str, str, str], list[_Item]] = {}
    for item in _all_items(plan):
        if item.reason:
            group = (item.source, item.servers[0], item.reason)
            items_by_move.setdefault(group, []).append(item)
    return tuple(
        OwnershipMove(
            *group[:2],
            ranges=tuple(
                key_ranges.PositionRange(item.start, item.end, item.servers)
                for item in items
                if item.key is None
            ),
            exceptions=tuple(
                (item.key, item.servers)
                for item in items
                if item.key is not None and not item.removed
            ),
            removed_exceptions=tuple(
                item.key for item in items if item.key is not None and item.removed
            ),
            reason=group[2],
        )
        for group, items in items_by_move.items()
    )
