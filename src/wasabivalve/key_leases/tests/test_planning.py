"""Test how ranges are assigned to instances and how VMs follow the changes."""

import itertools
import random

import pytest

from wasabivalve.key_leases import core, key_loads, leases, planning, view

CANDIDATES = [planning.CandidateInstance(f"i-{number}", 1, 40.0) for number in range(3)]


def profile(rate_by_key):
    return key_loads.LoadProfile(rate_by_key)


def test_first_plan_covers_all_keys_once():
    """A gap leaves keys without a holder, an overlap gives them two."""
    ranges = planning.plan_initial_assignment("s", CANDIDATES, profile({}))
    assert ranges[0].first == 0 and ranges[-1].last == core.KEY_COUNT - 1
    for current, following in itertools.pairwise(ranges):
        assert current.last + 1 == following.first


def test_range_rate_and_split_key_agree():
    """A split key that disagrees with the rates moves too much or nothing."""
    loads = profile({10: 5.0, 11: 5.0, 500: 2.0})
    last = loads.find_split_key(0, 1_000, 6.0)
    assert last == 10
    assert loads.range_rate(0, 10) <= 6.0 < loads.range_rate(0, 11)


def test_single_hot_key_goes_alone_to_a_faster_instance():
    """A key that overloads an instance must not slow the other keys there."""
    candidates = [
        planning.CandidateInstance("slow", 1, 15.0),
        planning.CandidateInstance("fast", 1, 50.0),
    ]
    ranges = (
        core.RangeAssignment(0, 99, "slow", 1),
        core.RangeAssignment(100, 65_535, "fast", 1),
    )
    loads = profile({50: 30.0, 20: 1.0})
    moves = planning.plan_balancing_moves("s", ranges, candidates, loads, 6)
    assert any(move.first <= 50 <= move.last for move in moves)


def test_hot_key_moves_to_the_fastest_instance_and_not_to_the_idlest():
    """A key that saturates one instance needs the one with the highest capacity."""
    candidates = [
        planning.CandidateInstance("slow", 1, 15.0),
        planning.CandidateInstance("idle", 1, 20.0),
        planning.CandidateInstance("fast", 1, 50.0),
    ]
    ranges = (
        core.RangeAssignment(0, 99, "slow", 1),
        core.RangeAssignment(100, 199, "idle", 1),
        core.RangeAssignment(200, 65_535, "fast", 1),
    )
    loads = profile({50: 50.0, 300: 10.0})
    moves = planning.plan_balancing_moves("s", ranges, candidates, loads, 6)
    holders = [move.to_instance for move in moves if move.first <= 50 <= move.last]
    assert holders == ["fast"]


def test_moves_never_overlap():
    """The wrong holder would release a range that moves twice in one round."""
    ranges = planning.plan_initial_assignment("s", CANDIDATES, profile({}))
    loads = profile({key: 1.5 for key in range(100)})
    moves = planning.plan_balancing_moves("s", ranges, CANDIDATES, loads, 6)
    assert moves
    spans = sorted((move.first, move.last) for move in moves)
    for (_, last), (first, _) in itertools.pairwise(spans):
        assert last < first


def test_lost_ranges_are_covered_by_the_moves():
    """A part without a move stays without a holder."""
    lost_ranges = [core.RangeAssignment(0, 30_000, "gone", 1)]
    kept_ranges = [core.RangeAssignment(30_001, 65_535, "i-0", 1)]
    loads = profile({key: 0.5 for key in range(100)})
    moves = planning.plan_reassignment("s", lost_ranges, kept_ranges, CANDIDATES, loads)
    covered = sorted((move.first, move.last) for move in moves)
    assert covered[0][0] == 0 and covered[-1][1] == 30_000
    assert sum(last - first + 1 for first, last in covered) == 30_001


def test_map_round_trips_through_its_encoding():
    """A map that decodes differently names other holders than were granted."""
    assignment_map = core.AssignmentMap(
        3, "vm", "w", 4, {"s": (core.RangeAssignment(0, 65_535, "i-0", 7),)}
    )
    assert core.decode(core.encode(assignment_map)) == assignment_map


def test_tokens_rise_with_terms():
    """A new controller's token below an old one's would be refused."""
    assert core.fencing_token(2, 1) > core.fencing_token(1, 500_000)


def test_view_ignores_older_maps():
    """A stale read must not restore an old holder."""
    key_view = view.KeyView()
    assert key_view.on_assignment_map(core.AssignmentMap(2, "vm", "w", 1, {}))
    assert not key_view.on_assignment_map(core.AssignmentMap(1, "vm", "w", 9, {}))


def test_view_has_no_holder_for_moving_keys_until_confirmed():
    """Requests sent while a key moves are refused by both holders."""
    key_view = view.KeyView()
    key_view.on_assignment_map(
        core.AssignmentMap(
            1, "vm", "w", 1, {"s": (core.RangeAssignment(0, 65_535, "i-0", 1),)}
        )
    )
    key_view.on_ranges_moving([view.MovingRange("s", 10, 20)], 500.0)
    assert key_view.find_holder("s", 15, 100.0).instance is None
    assert key_view.find_holder("s", 21, 100.0).instance == "i-0"
    key_view.on_ranges_confirmed(1, 2, "s", [core.RangeAssignment(10, 20, "i-1", 1)])
    assert key_view.find_holder("s", 15, 100.0).instance == "i-1"
    assert key_view.find_holder("s", 21, 100.0).instance == "i-0"


def test_view_stops_waiting_for_a_confirmation():
    """A lost message of the controller must not block a key forever."""
    key_view = view.KeyView()
    key_view.on_assignment_map(
        core.AssignmentMap(
            1, "vm", "w", 1, {"s": (core.RangeAssignment(0, 65_535, "i-0", 1),)}
        )
    )
    key_view.on_ranges_moving([view.MovingRange("s", 10, 20)], 500.0)
    assert key_view.find_holder("s", 15, 500.0).instance == "i-0"


def test_view_keeps_its_write_number_after_a_missed_message():
    """A missed change must not count as applied."""
    key_view = view.KeyView()
    key_view.on_assignment_map(
        core.AssignmentMap(
            1, "vm", "w", 1, {"s": (core.RangeAssignment(0, 65_535, "i-0", 1),)}
        )
    )
    key_view.on_ranges_confirmed(1, 3, "s", [core.RangeAssignment(10, 20, "i-1", 1)])
    assert key_view.find_holder("s", 15, 0.0).instance == "i-1"
    assert key_view.assignment_map.write_number == 1
    key_view.on_ranges_confirmed(1, 2, "s", [core.RangeAssignment(30, 40, "i-1", 1)])
    assert key_view.assignment_map.write_number == 2


def test_confirmation_without_a_write_hides_no_missed_change():
    """A holder that answers again does not report what moved in the meantime."""
    key_view = view.KeyView()
    key_view.on_assignment_map(
        core.AssignmentMap(
            1, "vm", "w", 1, {"s": (core.RangeAssignment(0, 65_535, "i-0", 1),)}
        )
    )
    key_view.on_ranges_moving([view.MovingRange("s", 10, 20)], 500.0)
    key_view.on_ranges_confirmed(
        1, leases.NO_WRITE_NUMBER, "s", [core.RangeAssignment(10, 20, "i-0", 1)]
    )
    assert key_view.assignment_map.write_number == 1
    assert key_view.find_holder("s", 15, 0.0).instance == "i-0"


def test_counts_decay_and_include_reports():
    """Counts that do not decay would keep a range spread after it cooled down."""
    loads = key_loads.KeyLoads()
    loads.count_request("s", 5, 0.0)
    loads.on_report({"s": {5: 99}}, 0.0)
    early = loads.profile("s", 100.0).range_rate(5, 5)
    late = loads.profile("s", 8_000.0).range_rate(5, 5)
    assert early > 50.0 > 1.0 > late
    assert loads.take_unreported() == {"s": {5: 1}}
    assert loads.take_unreported() == {}


def count_rounds_until_balanced(instance_count, max_moves):
    """Play balancing rounds on skewed keys; return rounds until no one is overloaded.

    One instance in three is slow, one is fast, and the first plan knew no loads.
    """
    generator = random.Random(7)
    candidates = [
        planning.CandidateInstance(f"i-{number}", 1, (8.0, 12.0, 16.0)[number % 3])
        for number in range(instance_count)
    ]
    ranges = planning.plan_initial_assignment("s", candidates, profile({}))
    centre = core.KEY_COUNT // 3
    rate_by_key = {}
    for _ in range(40 * instance_count):
        key = int(generator.gauss(centre, core.KEY_COUNT / 8)) % core.KEY_COUNT
        rate_by_key[key] = rate_by_key.get(key, 0.0) + 0.17
    loads = profile(rate_by_key)
    for rounds in range(60):
        busiest = planning.find_busiest_instance(ranges, candidates, loads)
        if busiest.rate <= busiest.capacity:
            return rounds
        moves = planning.plan_balancing_moves("s", ranges, candidates, loads, max_moves)
        for move in moves:
            ranges = (
                *core.subtract_range(ranges, move.first, move.last),
                core.RangeAssignment(
                    move.first, move.last, move.to_instance, move.to_born
                ),
            )
    return rounds


@pytest.mark.parametrize("instance_count", [12, 103, 300])
def test_skewed_load_is_balanced_within_three_seconds(instance_count):
    """Six moves a round left 100 instances out of balance for 16 s of traffic.

    A round takes about 0.6 s.
    """
    max_moves = planning.max_moves_per_round(instance_count)
    assert 0.6 * count_rounds_until_balanced(instance_count, max_moves) <= 3.0


def test_first_plan_waits_longer_for_more_instances():
    """A first plan for half of 103 instances is followed by moves to the others."""
    delays_ms = [planning.first_plan_delay_ms(count) for count in (3, 12, 103, 900)]
    assert delays_ms[0] == delays_ms[1] == planning.MIN_PLAN_DELAY_MS
    assert delays_ms[1] < delays_ms[2] <= delays_ms[3] == planning.MAX_PLAN_DELAY_MS


def test_holder_that_becomes_cold_keeps_its_keys_and_a_new_one_gets_few():
    """Keys moved for a warm-up of seconds would move back after it."""
    cold = planning.CandidateInstance("i-1", 1, 4.0, True)
    new = planning.CandidateInstance("i-2", 1, 4.0, True)
    warm = planning.CandidateInstance("i-3", 1, 14.0)
    assert planning.find_warming_holders([cold, new, warm], {"i-1", "i-3"}) == {"i-1"}
    loads = key_loads.LoadProfile({key: 0.1 for key in range(100)})
    ranges = [core.RangeAssignment(0, core.KEY_COUNT - 1, "i-3", 1)]
    moves = planning.plan_balancing_moves("desk", ranges, [new, warm], loads, 1)
    (moved,) = moves
    assert moved.to_instance == "i-2"
    assert 0.0 < loads.range_rate(moved.first, moved.last) <= 4.0
