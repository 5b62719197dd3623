"""Test that large transfers leave room on a slow link."""

import random

from wasabivalve.placement import bandwidth

LINK_MBPS = 5.0
LINK_KB_PER_MS = LINK_MBPS / bandwidth.KILOBITS_PER_KB
TYPICAL_KB = 90.0
CONNECT_TIMEOUT_MS = 350.0


def play_burst(requests_per_s, duration_s, max_wait_ms, is_spaced, seed=1):
    """Return how long a small message waits at most, and the share of transfers."""
    generator = random.Random(seed)
    schedule = bandwidth.BandwidthSchedule(LINK_MBPS if is_spaced else 0.0)
    starts, count, now = [], 0, 0.0
    while now < 1000.0 * duration_s:
        now += generator.expovariate(requests_per_s / 1000.0)
        count += 1
        kilobytes = generator.uniform(0.5, 1.5) * TYPICAL_KB
        wait_ms = schedule.reserve(TYPICAL_KB, max_wait_ms, now)
        if wait_ms is not None:
            starts.append((now + wait_ms, kilobytes))
    busy_until, longest_ms = 0.0, 0.0
    for start_at, kilobytes in sorted(starts):
        longest_ms = max(longest_ms, busy_until - start_at)
        busy_until = max(busy_until, start_at) + kilobytes / LINK_KB_PER_MS
    return longest_ms, len(starts) / count


def test_burst_of_large_transfers_delays_small_messages_by_less_than_a_timeout():
    """Connections to instances timed out behind large responses on a slow link."""
    unspaced_ms, _ = play_burst(8.0, 6.0, 1_800.0, is_spaced=False)
    spaced_ms, served = play_burst(8.0, 6.0, 1_800.0, is_spaced=True)
    assert unspaced_ms > CONNECT_TIMEOUT_MS
    assert spaced_ms < CONNECT_TIMEOUT_MS
    # The link carries 4.2 of 8 transfers a second at the share of large ones.
    assert served > 0.5


def test_transfers_at_the_usual_rate_are_not_refused():
    """A limit for bursts refused callers although the link had room."""
    _, served = play_burst(2.5, 30.0, 1_800.0, is_spaced=True)
    assert served == 1.0


def test_refused_transfer_takes_no_room():
    """Each refusal delayed the next requests, so that nothing was served any more."""
    schedule = bandwidth.BandwidthSchedule(LINK_MBPS)
    assert schedule.reserve(TYPICAL_KB, 0.0, 0.0) == 0.0
    waits = [schedule.reserve(TYPICAL_KB, 100.0, 0.0) for _ in range(50)]
    assert set(waits) == {None}
    assert schedule.wait_ms(0.0) < 300.0


def test_small_transfers_and_unknown_links_are_not_delayed():
    """The schedule holds for large responses on links of a known rate only."""
    schedule = bandwidth.BandwidthSchedule(LINK_MBPS)
    assert [schedule.reserve(5.0, 0.0, 0.0) for _ in range(50)] == [0.0] * 50
    unknown = bandwidth.BandwidthSchedule(0.0)
    assert [unknown.reserve(500.0, 0.0, 0.0) for _ in range(50)] == [0.0] * 50


def test_room_of_a_request_that_no_instance_got_is_given_back():
    """Refused requests filled a link over which nothing went."""
    schedule = bandwidth.BandwidthSchedule(LINK_MBPS)
    for _ in range(20):
        assert schedule.reserve(TYPICAL_KB, 0.0, 0.0) == 0.0
        schedule.give_back(TYPICAL_KB, 0.0)
    schedule.reserve(TYPICAL_KB, 0.0, 0.0)
    assert schedule.reserve(TYPICAL_KB, 0.0, 0.0) is None
