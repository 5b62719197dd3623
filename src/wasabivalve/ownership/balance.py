"""Plan which ranges and hot keys move between servers."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import key_ranges, successors

BUDGET_WINDOW_MS = 60_000.0


class BalancePolicy(NamedTuple):
    """Set the limits of planning; shares are of the mean load of a server."""

    # The target of imbalance is 1.15; the rest covers the noise of measured loads.
    start_band: float = 1.10
    # Once planning starts it brings a server down to this share, so that noise does
    # not start it again at once.
    stop_band: float = 1.03
    # A server below this share has joined lately and is filled.
    joined_share: float = 0.5
    # A lighter key moves as well with its range, whose mean share is 1/64.
    single_share: float = 0.01
    # A heavier range or key needs room made for it; lighter ones fill gaps.
    heavy_share: float = 0.1
    # Servers may be filled up to this share to make room for a heavy key.
    room_band: float = 1.05
    # Lists are chosen anew for the servers whose loss would leave the worst peak.
    refreshed_servers: int = 2
    exception_limit: int = 256
    list_length: int = 3


class OwnershipMove(NamedTuple):
    """Hand ranges and keys over from one server to another.

    Each range and key carries its new list. ``source`` is empty when there was no
    owner, and equals ``target`` when only successors or exceptions change.
    """

    source: str
    target: str
    ranges: tuple[key_ranges.AssignedRange, ...]
    exceptions: tuple[tuple[str, key_ranges.ServerList], ...]
    removed_exceptions: tuple[str, ...]
    reason: str

    @property
    def changes_owner(self) -> bool:
        """Tell whether the owner changes."""
        return self.source != self.target


class MoveBudget:
    """Limit planned changes of owner within any minute."""

    def __init__(self, moves_per_minute: int = 6):
        """Start with the whole budget."""
        self._limit = moves_per_minute
        self._spent_at: collections.deque[float] = collections.deque()

    def available(self, now: float) -> int:
        """Return how many moves may start at ``now`` (milliseconds)."""
        while self._spent_at and self._spent_at[0] <= now - BUDGET_WINDOW_MS:
            self._spent_at.popleft()
        return max(0, self._limit - len(self._spent_at))

    def spend(self, moves: Iterable[OwnershipMove], now: float) -> None:
        """Charge the moves that were planned and carried out."""
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
    """Return the changes that bring the servers into balance.

    Loads are requests per second. ``load_by_key`` holds the keys in
    ``range_map.exceptions`` and the hottest other keys; ``load_by_range`` has the
    start of a range as its key and leaves out all keys of ``load_by_key``.
    ``servers`` maps the live servers to their data centres; a server that is missing
    there is lost. The budget is only read: charge it with ``MoveBudget.spend`` once
    the moves are logged. Moves away from a lost server and changes that keep the
    owner are outside the budget.
    """
    if not servers:
        return ()
    plan = _collect(range_map, load_by_range, load_by_key, servers, policy)
    _repair_lists(plan)
    _place_hot_keys_singly(plan, load_by_key)
    # A controller has already gone down the lists of a lost server. Its ranges move
    # on only after a record contains their present owners.
    if not any(item.reason == "loss" for item in _items(plan)):
        moves_left = _balance(plan, budget.available(now))
        _drop_cold_exceptions(plan, moves_left)
        _refresh_successors(plan)
    return _grouped(plan)


def apply_moves(
    range_map: key_ranges.RangeMap, moves: Iterable[OwnershipMove]
) -> key_ranges.RangeMap:
    """Return the map with the moves in force."""
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
    live: Mapping[str, str]
    ranges: key_ranges.RangeMap
    item_by_start: dict[int, _Item]
    item_by_key: dict[str, _Item]
    items_by_server: dict[str, list[_Item]]
    load_by_server: dict[str, float]
    mean: float
    choose: successors.Choose = lambda kept, load: tuple(kept)


def _collect(
    range_map: key_ranges.RangeMap,
    load_by_range: Mapping[int, float],
    load_by_key: Mapping[str, float],
    live: Mapping[str, str],
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
        # Without traffic the sizes of the ranges stand in for their loads.
        for item in item_by_start.values():
            item.load = (item.end - item.start) / key_ranges.POSITION_COUNT
        total = 1.0
    plan = _Plan(
        policy,
        live,
        range_map,
        item_by_start,
        item_by_key,
        {name: [] for name in live},
        dict.fromkeys(live, 0.0),
        total / len(live),
    )
    for item in items:
        if item.servers and item.servers[0] in live:
            _put(plan, item)
    plan.choose = successors.chooser(
        tuple(live),
        live,
        policy.list_length,
        plan.load_by_server,
        ((item.servers, item.load) for item in items),
    )
    return plan


def _owner(servers: key_ranges.ServerList) -> str:
    return servers[0] if servers else ""


def _put(plan: _Plan, item: _Item) -> None:
    plan.items_by_server[item.servers[0]].append(item)
    plan.load_by_server[item.servers[0]] += item.load


def _items(plan: _Plan) -> list[_Item]:
    return [*plan.item_by_start.values(), *plan.item_by_key.values()]


def _repair_lists(plan: _Plan) -> None:
    length = min(plan.policy.list_length, len(plan.live))
    for item in sorted(_items(plan), key=lambda item: -item.load):
        kept = [name for name in item.servers if name in plan.live]
        if len(kept) == len(item.servers) and len(kept) >= length:
            continue
        lost = not item.servers or item.servers[0] not in plan.live
        if not kept:
            kept = [min(plan.load_by_server, key=plan.load_by_server.__getitem__)]
        item.servers = plan.choose(kept, item.load)
        item.reason = "loss" if lost else "successors"
        if lost:
            _put(plan, item)


def _place_hot_keys_singly(plan: _Plan, load_by_key: Mapping[str, float]) -> None:
    threshold = plan.policy.single_share * plan.mean
    free = plan.policy.exception_limit - len(plan.item_by_key)
    hottest = sorted(
        (-load, key)
        for key, load in load_by_key.items()
        if load >= threshold and key not in plan.item_by_key
    )
    for negative_load, key in hottest[: max(0, free)]:
        load = -negative_load
        range_item = plan.item_by_start[_range_start(plan.ranges, key)]
        owner = range_item.servers[0]
        range_item.load -= load
        servers = plan.choose([owner], load)
        item = _Item(load, servers, owner, reason="single", key=key)
        plan.item_by_key[key] = item
        plan.items_by_server[owner].append(item)


def _drop_cold_exceptions(plan: _Plan, moves_left: int) -> None:
    # Half the threshold of placing a key singly, so that a key near it stays put.
    threshold = plan.policy.single_share * plan.mean / 2
    away: dict[tuple[str, str], list[_Item]] = collections.defaultdict(list)
    for item in list(plan.item_by_key.values()):
        if item.load >= threshold or item.reason or item.key is None:
            continue
        start = _range_start(plan.ranges, item.key)
        home = plan.item_by_start[start].servers[0]
        if home == item.servers[0]:
            _remove_exception(plan, item)
        else:
            away[item.servers[0], home].append(item)
    # These change owner, so they wait until the table of exceptions fills up.
    if len(plan.item_by_key) <= plan.policy.exception_limit * 3 // 4:
        return
    groups = sorted(away.items(), key=lambda group: (-len(group[1]), group[0]))
    for (_, home), items in groups[:moves_left]:
        for item in items:
            _move_item(plan, item, home, "cold")
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
    item.servers = plan.choose([target], item.load)
    item.reason = reason
    _put(plan, item)


def _balance(plan: _Plan, moves_left: int) -> int:
    """Plan moves between servers; return how many may follow."""
    loads = plan.load_by_server
    policy = plan.policy
    joined = {name for name in loads if loads[name] < policy.joined_share * plan.mean}
    start = policy.start_band * plan.mean
    overloaded = {name for name in loads if loads[name] > start}
    stuck: set[str] = set()
    while moves_left > 0:
        target = min(loads, key=lambda name: (loads[name], name))
        source = _next_source(plan, overloaded, stuck)
        if source:
            moved = _relieve(plan, source, target)
            if not moved and loads[source] > start:
                moved = _make_room(plan, source)
            if not moved:
                stuck.add(source)
                continue
        elif target not in joined or not _fill(plan, target):
            break
        moves_left -= 1
    return moves_left


def _next_source(plan: _Plan, overloaded: set[str], stuck: set[str]) -> str:
    # Only servers that left the dead band are brought below it; otherwise those that
    # made room for others would be relieved at once.
    loads = plan.load_by_server
    above = [
        name
        for name in loads.keys() - stuck
        if loads[name] > plan.policy.start_band * plan.mean
        or (name in overloaded and loads[name] > plan.policy.stop_band * plan.mean)
    ]
    return max(above, key=lambda name: (loads[name], name), default="")


def _fill(plan: _Plan, target: str) -> bool:
    """Move load from the most loaded server to one that has joined."""
    loads = plan.load_by_server
    source = max(loads, key=lambda name: (loads[name], name))
    amount = min(loads[source] - plan.mean, plan.mean - loads[target])
    picked = _pick(plan.items_by_server[source], amount)
    return _move_items(plan, picked, target, "join")


def _relieve(plan: _Plan, source: str, target: str) -> bool:
    """Move the excess of a server to the least loaded one."""
    policy = plan.policy
    excess = plan.load_by_server[source] - policy.stop_band * plan.mean
    room = policy.room_band * plan.mean - plan.load_by_server[target]
    key = _fitting_key(plan, source, excess, room)
    if key is not None:
        return _move_items(plan, [key], target, "balance")
    room = policy.stop_band * plan.mean - plan.load_by_server[target]
    picked = _pick(plan.items_by_server[source], min(excess, room))
    return _move_items(plan, picked, target, "balance")


def _fitting_key(plan: _Plan, source: str, excess: float, room: float) -> _Item | None:
    # One heavy key that is about the excess is a cheaper move than many ranges, also
    # when the source then falls somewhat below the mean.
    slack = plan.policy.heavy_share * plan.mean
    fitting = [
        item
        for item in plan.items_by_server[source]
        if slack <= item.load <= min(room, excess + slack) and item.load >= excess / 2
    ]
    return min(fitting, key=lambda item: abs(item.load - excess), default=None)


def _make_room(plan: _Plan, source: str) -> bool:
    """Move light ranges off a server that can then take a heavy key."""
    light = plan.policy.heavy_share * plan.mean
    heavy = [item for item in plan.items_by_server[source] if item.load > light]
    if len(heavy) < 2:
        return False
    fixed_by_server = {
        name: sum(item.load for item in items if item.load > light)
        for name, items in plan.items_by_server.items()
        if name != source
    }
    if len(fixed_by_server) < 2:
        return False
    needed = min(item.load for item in heavy)
    taker = min(fixed_by_server, key=lambda name: (fixed_by_server[name], name))
    if fixed_by_server[taker] + needed > plan.policy.room_band * plan.mean:
        return False
    loads = plan.load_by_server
    helper = min(fixed_by_server.keys() - {taker}, key=lambda name: (loads[name], name))
    room = plan.policy.room_band * plan.mean - loads[helper]
    excess = loads[taker] + needed - plan.policy.stop_band * plan.mean
    items = [item for item in plan.items_by_server[taker] if item.load <= light]
    return _move_items(plan, _pick(items, min(room, excess)), helper, "room")


def _pick(items: list[_Item], amount: float) -> list[_Item]:
    picked = []
    for item in sorted(items, key=lambda item: -item.load):
        if 0.0 < item.load <= amount:
            picked.append(item)
            amount -= item.load
    return picked


def _move_items(plan: _Plan, items: list[_Item], target: str, reason: str) -> bool:
    for item in items:
        _move_item(plan, item, target, reason)
    return bool(items)


def _refresh_successors(plan: _Plan) -> None:
    if len(plan.live) < 3:
        return
    peaks = {}
    for owner, items in plan.items_by_server.items():
        after = successors.loads_after_loss(plan.load_by_server, owner, items)
        peaks[owner] = max(after.values())
    mean_after = plan.mean * len(plan.live) / (len(plan.live) - 1)
    limit = plan.policy.start_band * mean_after
    worst = sorted(peaks, key=lambda name: (-peaks[name], name))
    for owner in worst[: plan.policy.refreshed_servers]:
        if peaks[owner] > limit:
            _refresh_lists_of(plan, owner, limit)


def _refresh_lists_of(plan: _Plan, owner: str, limit: float) -> None:
    items = sorted(plan.items_by_server[owner], key=lambda item: -item.load)
    after = successors.loads_after_loss(plan.load_by_server, owner, items)
    # A smaller gain is within the noise of measured loads.
    least_gain = plan.policy.heavy_share * plan.mean / 4
    for item in items:
        first = item.servers[1]
        if after[first] <= limit:
            continue
        servers = successors.with_first(item.servers, plan.live, after)
        if after[servers[1]] + item.load > after[first] - least_gain:
            continue
        after[first] -= item.load
        after[servers[1]] += item.load
        item.servers = servers
        item.reason = item.reason or "successors"


def _grouped(plan: _Plan) -> tuple[OwnershipMove, ...]:
    items_by_move: dict[tuple[str, str, str], list[_Item]] = {}
    for item in _items(plan):
        if item.reason:
            group = (item.source, item.servers[0], item.reason)
            items_by_move.setdefault(group, []).append(item)
    return tuple(
        OwnershipMove(
            *group[:2],
            ranges=tuple(
                key_ranges.AssignedRange(item.start, item.end, item.servers)
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
