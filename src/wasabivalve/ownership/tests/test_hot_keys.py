"""Check that the sketch of hot keys misses no hot key and stays bounded."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from wasabivalve.ownership import hot_keys

streams = st.lists(st.sampled_from("abcdefghij"), max_size=200)


def check(sketch, exact):
    """Assert the bounds that callers rely on."""
    for entry in sketch.hottest(len(sketch)):
        assert entry.requests - entry.error <= exact[entry.key] <= entry.requests
    reported = {entry.key for entry in sketch.hottest(len(sketch))}
    for key, count in exact.items():
        assert key in reported or count <= sketch.max_untracked_count()


@given(streams, st.integers(1, 12))
def test_counts_stay_within_their_errors(stream, counters):
    """A count that is too low would hide the key that overloads a server."""
    sketch = hot_keys.SpaceSaving(counters)
    for key in stream:
        sketch.add(key)
    assert len(sketch) <= counters
    assert sketch.total == len(stream)
    check(sketch, collections.Counter(stream))


@given(st.lists(streams, max_size=4), st.integers(1, 12), st.integers(1, 12))
def test_merge_keeps_the_bounds(streams_by_vm, counters, merged_counters):
    """Each VM counts a part of the requests; a key hot in total must be found."""
    sketches = []
    for stream in streams_by_vm:
        sketches.append(hot_keys.SpaceSaving(counters))
        for key in stream:
            sketches[-1].add(key)
    exact = collections.Counter(key for stream in streams_by_vm for key in stream)
    merged = hot_keys.merge(sketches, counters=merged_counters)
    check(merged, exact)
    assert merged.total == sum(exact.values())
    merged.add("a", 3)
    check(merged, exact + collections.Counter(a=3))


def test_halving_lets_a_new_key_overtake():
    """Counts that never fall would keep keys at the top that are no longer hot."""
    sketch = hot_keys.SpaceSaving(4, now=0.0)
    sketch.add("old", 100)
    sketch.advance(29_999.0)
    assert sketch.hottest(1)[0].requests == 100
    sketch.advance(120_000.0)
    sketch.add("new", 7)
    assert [entry.key for entry in sketch.hottest(2)] == ["new", "old"]
    assert sketch.hottest(2)[1].requests == 100 / 16


def test_long_keys_take_no_counter():
    """Counters for keys of any length would use unbounded memory."""
    sketch = hot_keys.SpaceSaving(4)
    sketch.add("x" * (hot_keys.MAX_KEY_LENGTH + 1))
    assert (len(sketch), sketch.total) == (0, 1)
