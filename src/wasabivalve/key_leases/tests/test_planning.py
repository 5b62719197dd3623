"""Guard how ranges are divided among instances."""

import itertools

from wasabivalve.key_leases import core, key_loads, leases, planning, view

TARGETS = [planning.CandidateInstance(f"i-{n}", 1, 40.0) for n in range(3)]


def profile(rate_by_key):
    return key_loads.LoadProfile(rate_by_key)


def test_first_plan_covers_all_keys_once():
    """A gap leaves keys without a holder, an overlap gives them two."""
    ranges = planning.plan_initial_assignment("s", TARGETS, profile({}))
    assert ranges[0].first == 0 and ranges[-1].last == core.KEY_COUNT - 1
    for one, other in itertools.pairwise(ranges):
        assert one.last + 1 == other.first


def test_range_load_and_split_agree():
    """A split that disagrees with the load moves too much or nothing."""
    loads = profile({10: 5.0, 11: 5.0, 500: 2.0})
    last = loads.find_split_key(0, 1_000, 6.0)
    assert last == 10
    assert loads.range_rate(0, 10) <= 6.0 < loads.range_rate(0, 11)


def test_single_hot_key_goes_alone_to_a_faster_instance():
    """A key that no instance can serve with others must not drag them down."""
    targets = [
        planning.CandidateInstance("slow", 1, 15.0),
        planning.CandidateInstance("fast", 1, 50.0),
    ]
    ranges = (
        core.RangeAssignment(0, 99, "slow", 1),
        core.RangeAssignment(100, 65_535, "fast", 1),
    )
    loads = profile({50: 30.0, 20: 1.0})
    moves = planning.plan_balancing_moves("s", ranges, targets, loads, 6)
    assert any(move.first <= 50 <= move.last for move in moves)


def test_hot_key_goes_to_the_fastest_instance_and_not_to_the_idlest():
    """A key that fills one instance is served best by the one with most capacity."""
    targets = [
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
    moves = planning.plan_balancing_moves("s", ranges, targets, loads, 6)
    holder = [one.to_instance for one in moves if one.first <= 50 <= one.last]
    assert holder == ["fast"]


def test_moves_never_overlap():
    """A range that is moved twice in one round is released by the wrong holder."""
    ranges = planning.plan_initial_assignment("s", TARGETS, profile({}))
    loads = profile({key: 1.5 for key in range(100)})
    moves = planning.plan_balancing_moves("s", ranges, TARGETS, loads, 6)
    assert moves
    spans = sorted((move.first, move.last) for move in moves)
    for (_, last), (first, _) in itertools.pairwise(spans):
        assert last < first


def test_lost_ranges_are_covered_by_the_moves():
    """A part that no move covers stays without a holder."""
    lost = [core.RangeAssignment(0, 30_000, "gone", 1)]
    kept = [core.RangeAssignment(30_001, 65_535, "i-0", 1)]
    loads = profile({key: 0.5 for key in range(100)})
    moves = planning.plan_reassignment("s", lost, kept, TARGETS, loads)
    covered = sorted((move.first, move.last) for move in moves)
    assert covered[0][0] == 0 and covered[-1][1] == 30_000
    assert sum(last - first + 1 for first, last in covered) == 30_001


def test_map_survives_its_encoding():
    """A map that reads back differently has other holders than were granted."""
    assignment_map = core.AssignmentMap(
        3, "vm", "w", 4, {"s": (core.RangeAssignment(0, 65_535, "i-0", 7),)}
    )
    assert core.decode(core.encode(assignment_map)) == assignment_map


def test_tokens_rise_with_terms():
    """A new controller's token below an old one's would be refused."""
    assert core.fencing_token(2, 1) > core.fencing_token(1, 500_000)


def test_view_ignores_older_maps():
    """A stale read must not bring back an old holder."""
    known = view.KeyView()
    assert known.on_assignment_map(core.AssignmentMap(2, "vm", "w", 1, {}))
    assert not known.on_assignment_map(core.AssignmentMap(1, "vm", "w", 9, {}))


def test_view_holds_back_moving_keys_until_they_settle():
    """Requests sent while a key moves are refused by both holders."""
    known = view.KeyView()
    known.on_assignment_map(
        core.AssignmentMap(
            1, "vm", "w", 1, {"s": (core.RangeAssignment(0, 65_535, "i-0", 1),)}
        )
    )
    known.on_ranges_moving([view.MovingRange("s", 10, 20)], 500.0)
    assert known.find_holder("s", 15, 100.0).instance is None
    assert known.find_holder("s", 21, 100.0).instance == "i-0"
    known.on_ranges_confirmed(1, 2, "s", [core.RangeAssignment(10, 20, "i-1", 1)])
    assert known.find_holder("s", 15, 100.0).instance == "i-1"
    assert known.find_holder("s", 21, 100.0).instance == "i-0"


def test_view_does_not_hold_back_keys_forever():
    """A lost message of the controller must not stop a key for good."""
    known = view.KeyView()
    known.on_assignment_map(
        core.AssignmentMap(
            1, "vm", "w", 1, {"s": (core.RangeAssignment(0, 65_535, "i-0", 1),)}
        )
    )
    known.on_ranges_moving([view.MovingRange("s", 10, 20)], 500.0)
    assert known.find_holder("s", 15, 500.0).instance == "i-0"


def test_shares_add_up_to_what_the_holder_can_serve():
    """VMs that each send little overload the holder of a hot key together."""
    targets = [
        planning.CandidateInstance("hot", 1, 20.0),
        planning.CandidateInstance("idle", 1, 20.0),
    ]
    ranges = (
        core.RangeAssignment(0, 9, "hot", 1),
        core.RangeAssignment(10, 65_535, "idle", 1),
    )
    shares = planning.find_admission_shares(
        ranges, targets, profile({5: 100.0, 50: 10.0})
    )
    assert set(shares) == {"hot"}
    views = [view.KeyView() for _ in range(20)]
    for one in views:
        one.on_admission_shares(shares, 0.0)
    admitted = sum(one.admit_request("hot", 1.0) for one in views for _ in range(5))
    assert 15 <= admitted <= 25
    assert views[0].admit_request("idle", 1.0)
    assert all(views[0].admit_request("hot", 5_000.0) for _ in range(5))


def test_view_reads_the_record_after_a_missed_message():
    """A change that was missed must not be taken as known."""
    known = view.KeyView()
    known.on_assignment_map(
        core.AssignmentMap(
            1, "vm", "w", 1, {"s": (core.RangeAssignment(0, 65_535, "i-0", 1),)}
        )
    )
    known.on_ranges_confirmed(1, 3, "s", [core.RangeAssignment(10, 20, "i-1", 1)])
    assert known.find_holder("s", 15, 0.0).instance == "i-1"
    assert known.assignment_map.write_number == 1
    known.on_ranges_confirmed(1, 2, "s", [core.RangeAssignment(30, 40, "i-1", 1)])
    assert known.assignment_map.write_number == 2


def test_confirmation_without_a_record_hides_no_missed_change():
    """A holder that answers again says nothing of what moved meanwhile."""
    known = view.KeyView()
    known.on_assignment_map(
        core.AssignmentMap(
            1, "vm", "w", 1, {"s": (core.RangeAssignment(0, 65_535, "i-0", 1),)}
        )
    )
    known.on_ranges_moving([view.MovingRange("s", 10, 20)], 500.0)
    known.on_ranges_confirmed(
        1, leases.NO_WRITE_NUMBER, "s", [core.RangeAssignment(10, 20, "i-0", 1)]
    )
    assert known.assignment_map.write_number == 1
    assert known.find_holder("s", 15, 0.0).instance == "i-0"


def test_loads_fade_and_count_reports():
    """Counts that stay would keep a range spread that is no longer hot."""
    loads = key_loads.KeyLoads()
    loads.count_request("s", 5, 0.0)
    loads.on_report({"s": {5: 99}}, 0.0)
    early = loads.profile("s", 100.0).range_rate(5, 5)
    late = loads.profile("s", 8_000.0).range_rate(5, 5)
    assert early > 50.0 > 1.0 > late
    assert loads.take_unreported() == {"s": {5: 1}}
    assert loads.take_unreported() == {}
