"""Plan which ranges and hot keys move between servers."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import key_ranges, successors

BUDGET_WINDOW_MS = 60_000.0


class Policy(NamedTuple):
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
    exception_limit: int = 256
    list_length: int = 3


class Move(NamedTuple):
    """Hand ranges and keys over from one server to another.

    Each range and key carries its new list. ``source`` is empty when there was no
    owner, and equals ``target`` when only successors or exceptions change.
    """

    source: str
    target: str
    ranges: tuple[key_ranges.KeyRange, ...]
    exceptions: tuple[tuple[str, key_ranges.Servers], ...]
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

    def spend(self, moves: Iterable[Move], now: float) -> None:
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
    policy: Policy = Policy(),  # noqa: B008
) -> tuple[Move, ...]:
    """Return the changes that bring the servers into balance.

    Loads are requests per second. ``load_by_range`` has the start of a range as its
    key and leaves out the keys in ``range_map.exceptions``; ``load_by_key`` holds
    those and the hottest other keys. ``servers`` maps the live servers to their data
    centres; a server that is missing there is lost. The budget is only read: charge
    it with ``MoveBudget.spend`` once the moves are logged. Moves away from a lost
    server and changes that keep the owner are outside the budget.
    """
    if not servers:
        return ()
    plan = _collect(range_map, load_by_range, load_by_key, servers, policy)
    _repair_lists(plan)
    _place_hot_keys_singly(plan, load_by_key)
    _drop_cold_exceptions(plan)
    # A controller has already gone down the lists of a lost server. Its ranges move
    # on only after a record contains their present owners.
    if not any(item.reason == "loss" for item in _items(plan)):
        _balance(plan, budget.available(now))
    return _grouped(plan)


def apply_moves(
    range_map: key_ranges.RangeMap, moves: Iterable[Move]
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
    servers: key_ranges.Servers
    source: str
    reason: str = ""
    key: str | None = None
    start: int = 0
    end: int = 0
    removed: bool = False


@dataclasses.dataclass(slots=True)
class _Plan:
    policy: Policy
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
    policy: Policy,
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
    items = [*item_by_start.values(), *item_by_key.values()]
    total = sum(item.load for item in items)
    if total <= 0.0:
        # Without traffic the sizes of the ranges stand in for their loads.
        for item in item_by_start.values():
            item.load = (item.end - item.start) / key_ranges.POSITIONS
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


def _owner(servers: key_ranges.Servers) -> str:
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
        range_item = plan.item_by_start[_range_start(plan, key)]
        load = min(-negative_load, range_item.load)
        owner = range_item.servers[0]
        range_item.load -= load
        servers = plan.choose([owner], load)
        item = _Item(load, servers, owner, reason="single", key=key)
        plan.item_by_key[key] = item
        plan.items_by_server[owner].append(item)


def _drop_cold_exceptions(plan: _Plan) -> None:
    # Half the threshold of placing a key singly, so that a key near it stays put.
    threshold = plan.policy.single_share * plan.mean / 2
    cold = sorted(
        (item for item in plan.item_by_key.values() if item.load < threshold),
        key=lambda item: item.load,
    )
    # A key that lies elsewhere than its range changes owner when it goes back, so
    # this waits until the table of exceptions fills up.
    excess = len(plan.item_by_key) - plan.policy.exception_limit * 3 // 4
    for item in cold:
        assert item.key is not None
        range_item = plan.item_by_start[_range_start(plan, item.key)]
        if item.servers[0] != range_item.servers[0] and excess <= 0:
            continue
        excess -= 1
        _move_item(plan, item, range_item.servers[0], "cold")
        item.removed = True
        plan.items_by_server[range_item.servers[0]].remove(item)


def _range_start(plan: _Plan, key: str) -> int:
    return plan.ranges.range_at(key_ranges.position_of_key(key)).start


def _move_item(plan: _Plan, item: _Item, target: str, reason: str) -> None:
    source = item.servers[0]
    plan.items_by_server[source].remove(item)
    plan.load_by_server[source] -= item.load
    item.servers = plan.choose([target], item.load)
    item.reason = reason
    _put(plan, item)


def _balance(plan: _Plan, moves_left: int) -> None:
    loads = plan.load_by_server
    policy = plan.policy
    joined = {name for name in loads if loads[name] < policy.joined_share * plan.mean}
    limit = policy.start_band * plan.mean
    stuck: set[str] = set()
    while moves_left > 0 and len(stuck) < len(loads):
        source = max(loads.keys() - stuck, key=lambda name: (loads[name], name))
        target = min(loads, key=lambda name: (loads[name], name))
        fills = target in joined and loads[target] < policy.stop_band * plan.mean
        if loads[source] > limit:
            limit = policy.stop_band * plan.mean
            room = policy.stop_band * plan.mean - loads[target]
            reason = "balance"
        elif fills and loads[source] > plan.mean:
            room = plan.mean - loads[target]
            reason = "join"
        else:
            break
        amount = min(loads[source] - plan.mean, room)
        picked = _pick(plan.items_by_server[source], amount)
        for item in picked:
            _move_item(plan, item, target, reason)
        if picked:
            moves_left -= 1
        else:
            stuck.add(source)


def _pick(items: list[_Item], amount: float) -> list[_Item]:
    picked = []
    for item in sorted(items, key=lambda item: -item.load):
        if 0.0 < item.load <= amount:
            picked.append(item)
            amount -= item.load
    return picked


def _grouped(plan: _Plan) -> tuple[Move, ...]:
    items_by_move: dict[tuple[str, str, str], list[_Item]] = {}
    for item in _items(plan):
        if item.reason:
            group = (item.source, item.servers[0], item.reason)
            items_by_move.setdefault(group, []).append(item)
    return tuple(
        Move(
            *group[:2],
            ranges=tuple(
                key_ranges.KeyRange(item.start, item.end, item.servers)
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
