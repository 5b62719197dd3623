"""Check that planning avoids overload, needless moves and lost ranges."""

import itertools

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from wasabivalve.ownership import balance, key_ranges, load_meter

SERVERS = {f"s{index}": f"dc{index % 4}" for index in range(12)}


def even_map(servers=SERVERS):
    """Return an even map and one request per second on each range."""
    range_map = key_ranges.initial_ranges(tuple(servers), 64, servers)
    return range_map, {item.start: 1.0 for item in range_map}


def owned_load(range_map, load_by_range, load_by_key, servers):
    """Return the load of each server."""
    loads = dict.fromkeys(servers, 0.0)
    for item in range_map:
        loads[item.servers[0]] += load_by_range.get(item.start, 0.0)
    for key, listed in range_map.exceptions.items():
        loads[listed[0]] += load_by_key[key]
    return loads


def plan(range_map, by_range, by_key, servers, moves=6):
    """Plan with a full budget."""
    budget = balance.MoveBudget(moves)
    return balance.plan_moves(range_map, by_range, by_key, servers, budget, 0.0)


def test_even_load_moves_nothing():
    """Moves of a balanced load would make keys unavailable without need."""
    range_map, by_range = even_map()
    by_range[next(iter(by_range))] += 5.0
    assert plan(range_map, by_range, {}, SERVERS) == ()


def test_loss_moves_only_the_share_of_the_lost_server():
    """Any other move after a loss would make more keys unavailable than needed."""
    range_map, by_range = even_map()
    live = {name: data_centre for name, data_centre in SERVERS.items() if name != "s3"}
    moves = plan(range_map, by_range, {}, live)
    after = balance.apply_moves(range_map, moves)
    for old, new in zip(range_map, after, strict=True):
        assert "s3" not in new.servers and len(set(new.servers)) == 3
        expected = next(name for name in old.servers if name in live)
        assert new.servers[0] == expected
    assert {move.source for move in moves if move.changes_owner} == {"s3"}
    later = plan(after, by_range, {}, live)
    assert not any(move.changes_owner for move in later)


def test_join_moves_only_the_share_of_the_new_server():
    """Moves between old servers would make more keys unavailable than needed."""
    range_map, by_range = even_map()
    servers = {**SERVERS, "new": "dc0"}
    budget = balance.MoveBudget(6)
    moves = []
    for minute in range(4):
        now = minute * 60_000.0
        planned = balance.plan_moves(range_map, by_range, {}, servers, budget, now)
        budget.spend(planned, now)
        assert sum(move.changes_owner for move in planned) <= 6
        moves += planned
        range_map = balance.apply_moves(range_map, planned)
    moved = [move for move in moves if move.changes_owner]
    assert {move.target for move in moved} == {"new"}
    moved_share = sum(len(move.ranges) for move in moved) / len(range_map)
    assert 0.8 / 13 <= moved_share <= 1.2 / 13


def test_hot_key_is_placed_singly_and_its_server_sheds_load():
    """One hot key would otherwise keep its server above the target load."""
    range_map, by_range = even_map()
    by_key = {"hot": 50.0}
    moves = plan(range_map, by_range, by_key, SERVERS, moves=30)
    after = balance.apply_moves(range_map, moves)
    for listed in [*(item.servers for item in after), after.exceptions["hot"]]:
        assert len({SERVERS[name] for name in listed}) == 3
    loads = owned_load(after, by_range, by_key, SERVERS)
    assert max(loads.values()) <= 1.15 * sum(loads.values()) / 12


def test_cold_exceptions_do_not_fill_the_table():
    """A full table would keep the next hot key from being placed singly."""
    range_map, by_range = even_map()
    cold = {f"cold{index}": ("s1", "s2", "s3") for index in range(256)}
    range_map = range_map.assign(exceptions=cold)
    by_key = dict.fromkeys(cold, 0.0)
    budget = balance.MoveBudget(6)
    for minute in range(8):
        now = minute * 60_000.0
        moves = balance.plan_moves(range_map, by_range, by_key, SERVERS, budget, now)
        budget.spend(moves, now)
        range_map = balance.apply_moves(range_map, moves)
    assert len(range_map.exceptions) <= 192


def test_budget_limits_any_minute():
    """A burst of moves would make many keys unavailable at the same time."""
    budget = balance.MoveBudget(6)
    move = balance.OwnershipMove("a", "b", (), (), (), "balance")
    uncharged = [move._replace(target="a"), move._replace(reason="loss")]
    budget.spend([move] * 4 + uncharged, 0.0)
    budget.spend([move] * 2, 30_000.0)
    assert budget.available(59_999.0) == 0
    assert budget.available(60_000.0) == 4
    assert budget.available(90_000.0) == 6


@pytest.mark.parametrize("servers", [{}, {"only": "dc0"}])
def test_few_servers(servers):
    """Planning must not fail when almost all servers are lost."""
    range_map, by_range = even_map()
    moves = plan(range_map, by_range, {"hot": 3.0}, servers)
    after = balance.apply_moves(range_map, moves)
    assert {item.servers for item in after} == (
        {("only",)} if servers else set(item.servers for item in range_map)
    )


@given(
    st.lists(st.floats(0, 100), min_size=16, max_size=16),
    st.lists(st.floats(0, 200), max_size=8),
    st.sets(st.sampled_from("abcde"), min_size=1),
    st.integers(0, 6),
)
@hypothesis_settings(max_examples=150)
def test_plans_keep_the_map_whole(range_loads, key_loads, live_names, moves):
    """A plan must list live servers only, without repetition, within its budget."""
    servers = {name: f"dc{ord(name) % 2}" for name in "abcd"}
    range_map = key_ranges.initial_ranges("abcd", 4, servers)
    by_range = dict(zip((item.start for item in range_map), range_loads, strict=True))
    by_key = {f"key{index}": load for index, load in enumerate(key_loads)}
    for key in itertools.islice(by_key, 4):
        range_map = range_map.assign(exceptions={key: ("a", "b", "c")})
    live = {name: f"dc{ord(name) % 2}" for name in live_names}
    planned = plan(range_map, by_range, by_key, live, moves)
    after = balance.apply_moves(range_map, planned)
    for listed in [*(item.servers for item in after), *after.exceptions.values()]:
        assert set(listed) <= live.keys()
        assert len(set(listed)) == len(listed) == min(3, len(live))
    charged = [move for move in planned if move.changes_owner and move.reason != "loss"]
    assert len(charged) <= moves


def test_load_meter_follows_a_change_and_removes_low_rates():
    """A rate that never falls would make the planner move ranges without load."""
    meter = load_meter.LoadMeter[str](10_000.0)
    meter.add({"a": 100.0}, 10_000.0)
    assert meter.rate_by_name == {"a": 10.0}
    meter.add({}, 10_000.0)
    assert meter.rate_by_name == {"a": 5.0}
    for _ in range(12):
        meter.add({}, 10_000.0)
    assert meter.rate_by_name == {}
