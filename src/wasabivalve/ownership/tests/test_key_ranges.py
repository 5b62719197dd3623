"""Check that the map of key ranges loses no position and shares load evenly."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabivalve.ownership import key_ranges

positions = st.integers(0, key_ranges.POSITION_COUNT - 1)
assignments = st.lists(
    st.tuples(positions, positions, st.sampled_from("abc")).filter(
        lambda item: item[0] < item[1]
    ),
    max_size=12,
)


@given(assignments, positions)
def test_last_assignment_that_covers_a_position_is_in_force(items, position):
    """A wrong bound would assign a key to a server that is not in its list."""
    range_map = key_ranges.RangeMap()
    expected = ()
    for start, end, server in items:
        item = key_ranges.PositionRange(start, end, (server,))
        range_map = range_map.assign([item])
        if start <= position < end:
            expected = (server,)
    assert range_map.servers_at(position) == expected
    assert range_map.range_at(position).servers == expected
    # The constructor raises RangeError unless the ranges cover the key space once.
    assert key_ranges.RangeMap(range_map, range_map.exceptions) == range_map


@given(st.lists(positions, min_size=1, unique=True), positions)
def test_split_and_merge_restore_the_map(bounds, position):
    """A split that loses servers would make keys unavailable."""
    start = key_ranges.initial_ranges(["a", "b"], 2)
    servers_before = start.servers_at(position)
    inner = [bound for bound in bounds if start.range_at(bound).start != bound]
    range_map = start
    for bound in inner:
        range_map = range_map.split(bound)
    assert range_map.servers_at(position) == servers_before
    assert len(range_map) == len(start) + len(inner)
    for bound in inner:
        range_map = range_map.merge(bound)
    assert range_map == start


def test_merge_refuses_ranges_with_different_servers():
    """A merge would otherwise move keys without a record on the log."""
    range_map = key_ranges.initial_ranges(["a", "b"], 1)
    with pytest.raises(key_ranges.RangeError):
        range_map.merge(key_ranges.POSITION_COUNT // 2)


def test_changed_map_leaves_the_published_one_alone():
    """A request that reads the map must not observe a part of a change."""
    first = key_ranges.initial_ranges(["a", "b"], 4)
    ranges = tuple(first)
    second = first.assign(
        [key_ranges.PositionRange(5, 900, ("c",))], {"hot": ["c", "a"]}, ["cold"]
    )
    assert (tuple(first), dict(first.exceptions)) == (ranges, {})
    assert second.servers_of_key("hot") == ("c", "a")
    assert second.assign(removed_exceptions=["hot"]).exceptions == {}


@pytest.mark.parametrize(
    "ranges", [[], [(0, 5, ())], [(0, 9, ()), (8, key_ranges.POSITION_COUNT, ())]]
)
def test_ranges_that_do_not_tile_are_refused(ranges):
    """An invalid map would route keys to a wrong server."""
    with pytest.raises(key_ranges.RangeError):
        key_ranges.RangeMap([key_ranges.PositionRange(*item) for item in ranges])


@pytest.mark.parametrize("servers, ranges_each", [(12, 64), (9, 64), (2, 3)])
def test_loss_of_any_server_spreads_its_share(servers, ranges_each):
    """A single successor of all ranges would be overloaded after a loss."""
    names = [f"s{index}" for index in range(servers)]
    data_centre_by_server = {name: f"dc{index % 4}" for index, name in enumerate(names)}
    range_map = key_ranges.initial_ranges(names, ranges_each, data_centre_by_server)
    for lost in names:
        owned = collections.Counter(
            next(name for name in item.servers if name != lost) for item in range_map
        )
        mean = len(range_map) / (servers - 1)
        assert max(owned.values()) <= 1.05 * mean


def test_lists_use_distinct_data_centres():
    """The loss of a data centre must not take all servers of a list."""
    names = [f"s{index}" for index in range(9)]
    data_centre_by_server = {name: f"dc{index % 4}" for index, name in enumerate(names)}
    for item in key_ranges.initial_ranges(names, 8, data_centre_by_server):
        assert len({data_centre_by_server[name] for name in item.servers}) == 3
