"""Guard the slot queue: floors, bounds, deadlines and permits."""

import hypothesis
import pytest
from hypothesis import strategies

from wasabivalve import admission
from wasabivalve.admission import core

URGENT = admission.RankPolicy(0, 0.0)
LOW = admission.RankPolicy(2, 0.1)


def queue(slots=1, urgent=URGENT, low=LOW, ahead=0):
    return admission.InstanceQueue(slots, {"low": low, "urgent": urgent}, ahead)


def ask(permit_id, rank="urgent", deadline_at=10_000.0, **options):
    return admission.SlotRequest(permit_id, rank, deadline_at, **options)


def granted(decisions):
    return [
        item.permit_id
        for item in decisions
        if isinstance(item, admission.PermitGranted)
    ]


def refused(decisions):
    return {
        item.permit_id: item.reason
        for item in decisions
        if isinstance(item, admission.PermitRefused)
    }


def test_most_urgent_rank_goes_first():
    slots = queue()
    assert granted(slots.offer(ask("a", "low"), 0.0)) == ["a"]
    assert slots.offer(ask("b", "low"), 0.0) == ()
    assert slots.offer(ask("c"), 0.0) == ()
    assert granted(slots.release("a", 10.0)) == ["c"]
    assert granted(slots.release("c", 20.0)) == ["b"]


def test_repeated_offer_and_release_have_no_further_effect():
    """A repeated message would otherwise take or free a second slot."""
    slots = queue()
    first = slots.offer(ask("a"), 0.0)
    assert slots.offer(ask("a"), 1.0) == first
    slots.offer(ask("b"), 1.0)
    slots.offer(ask("c"), 1.0)
    assert granted(slots.release("a", 5.0)) == ["b"]
    assert slots.release("a", 6.0) == ()
    assert slots.permit_count == 1


def test_deadline_that_cannot_be_met_takes_no_slot():
    slots = queue()
    slots.offer(ask("a"), 0.0)
    slots.offer(ask("b", deadline_at=90.0), 0.0)
    assert refused(slots.release("a", 50.0)) == {"b": "deadline"}
    assert refused(slots.offer(ask("c", deadline_at=130.0), 100.0)) == {"c": "deadline"}
    # Without recent measurements one request is let through to measure again.
    assert granted(slots.offer(ask("d", deadline_at=2_030.0), 2_000.0)) == ["d"]


def test_waiting_request_is_refused_as_soon_as_its_deadline_is_lost():
    slots = queue()
    slots.offer(ask("a"), 0.0)
    slots.release("a", 50.0)
    slots.offer(ask("b"), 50.0)
    slots.offer(ask("c", deadline_at=200.0), 50.0)
    assert slots.next_expiry_at() == 150.0
    assert refused(slots.expire(150.0)) == {"c": "deadline"}


def test_bounds_on_number_bytes_and_age():
    low = admission.RankPolicy(2, 0.1, 2, 1_000, 300.0)
    slots = queue(low=low)
    slots.offer(ask("a"), 0.0)
    slots.offer(ask("b", "low", body_bytes=900), 0.0)
    big = slots.offer(ask("c", "low", body_bytes=200), 0.0)
    assert refused(big) == {"c": "queue_bytes"}
    slots.offer(ask("d", "low"), 1.0)
    assert refused(slots.offer(ask("e", "low"), 1.0)) == {"e": "queue_requests"}
    assert refused(slots.expire(300.0)) == {"b": "queue_age"}
    # The refused request no longer counts against the bounds.
    assert slots.offer(ask("g", "low", body_bytes=900), 300.0) == ()
    assert refused(slots.offer(ask("f", "none"), 300.0)) == {"f": "unknown_rank"}


def test_newest_request_goes_first_after_a_long_wait():
    """In a flood the oldest request would get a slot too late to be on time."""
    slots = queue(urgent=admission.RankPolicy(0, 0.0, queue_age_ms=100.0))
    slots.offer(ask("a"), 0.0)
    slots.offer(ask("b"), 0.0)
    slots.offer(ask("c"), 10.0)
    assert granted(slots.release("a", 49.0)) == ["b"]
    slots.offer(ask("d"), 55.0)
    assert granted(slots.release("b", 60.0)) == ["d"]
    assert refused(slots.expire(110.0)) == {"c": "queue_age"}


def test_policy_of_a_declared_rank_waits_for_a_share_of_its_target():
    spec = {"order": 1, "floor": 0.1, "target_ms": 200, "objective": 0.99}
    policy = admission.policy_of_spec(spec)
    assert (policy.order, policy.floor, policy.queue_age_ms) == (1, 0.1, 140.0)
    declared = admission.policy_of_spec(spec | {"queue_age_ms": 50})
    assert declared.queue_age_ms == 50


def test_permit_ends_at_its_deadline_and_on_cancel():
    """A lost requester must not hold a slot for ever."""
    slots = queue()
    slots.offer(ask("a", deadline_at=100.0), 0.0)
    slots.offer(ask("b"), 0.0)
    slots.offer(ask("c"), 0.0)
    slots.cancel("b", 50.0)
    assert granted(slots.expire(100.0)) == ["c"]
    assert slots.cancel("c", 110.0) == ()
    assert (slots.permit_count, slots.waiting_count("urgent")) == (0, 0)


def test_request_that_runs_alone_shares_the_instance_with_none():
    """A suspect would otherwise crash other requests with it."""
    slots = queue(slots=2)
    slots.offer(ask("a"), 0.0)
    assert slots.offer(ask("s", alone=True), 0.0) == ()
    assert slots.offer(ask("b"), 0.0) == ()
    assert granted(slots.release("a", 10.0)) == ["s"]
    assert slots.offer(ask("c"), 11.0) == ()
    assert granted(slots.release("s", 20.0)) == ["b", "c"]


def test_floors_beyond_all_slots_are_rejected():
    with pytest.raises(ValueError, match=r"1\.2"):
        queue(urgent=admission.RankPolicy(0, 0.6), low=admission.RankPolicy(2, 0.6))


@pytest.mark.parametrize("service_ms", [2.0, 10.0, 45.0])
@pytest.mark.parametrize("floor", [0.05, 0.3])
def test_floor_is_kept_in_each_second_of_a_flood(service_ms, floor):
    """The most urgent rank in flood must not starve the lower one."""
    slots = queue(slots=2, low=admission.RankPolicy(2, floor))
    number = 0
    running = []
    used = [0.0] * 6
    now = 0.0
    while now < 6_000.0:
        decisions = []
        for rank in ("urgent", "low"):
            while slots.waiting_count(rank) < 4:
                number += 1
                permit = f"{rank}-{number}"
                decisions += slots.offer(ask(permit, rank, now + 900.0), now)
        running += [(now + service_ms, permit) for permit in granted(decisions)]
        running.sort()
        now, permit = running.pop(0)
        if permit.startswith("low") and now < 6_000.0:
            used[int(now // 1_000)] += service_ms
        decisions = slots.release(permit, now)
        running += [(now + service_ms, permit) for permit in granted(decisions)]
    shares = [amount / 2_000.0 for amount in used]
    # One request more or less falls on either side of a second's end.
    tolerance = 1.5 * service_ms / 2_000.0
    assert min(shares) >= floor - tolerance
    most = floor * core.FLOOR_MARGIN + tolerance
    assert floor <= sum(shares) / 6 <= most


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["offer", "release", "cancel", "expire"]),
        strategies.integers(0, 30),
        strategies.sampled_from(["urgent", "low"]),
        strategies.integers(0, 200),
        strategies.booleans(),
    ),
    max_size=80,
)


def check_decisions(decisions, state_by_permit):
    """Apply decisions to the state that each request must have had before."""
    for item in decisions:
        state = state_by_permit[item.permit_id]
        if isinstance(item, admission.PermitGranted):
            assert state in ("waiting", "held")
            state_by_permit[item.permit_id] = "held"
        else:
            assert state == "waiting"
            state_by_permit[item.permit_id] = "ended"


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(ACTIONS, strategies.integers(1, 3), strategies.integers(0, 1))
def test_no_schedule_breaks_the_queue(actions, slots, ahead):
    """Guard the limit on permits, the bounds and one decision per request."""
    policy = admission.RankPolicy(2, 0.2, 3, 400, 150.0)
    instance = queue(slots, policy._replace(order=0), policy, ahead)
    now = 0.0
    request_by_permit = {}
    state_by_permit = {}
    for action, number, rank, step, alone in actions:
        now += step
        permit = f"{number}"
        for name, state in state_by_permit.items():
            if state == "held" and request_by_permit[name].deadline_at <= now:
                state_by_permit[name] = "ended"
        state = state_by_permit.get(permit)
        if action == "offer" and state != "ended":
            new = ask(permit, rank, now + 4 * step, body_bytes=step, alone=alone)
            state_by_permit.setdefault(permit, "waiting")
            request = request_by_permit.setdefault(permit, new)
            decisions = instance.offer(request, now)
        elif action == "release":
            if state == "held":
                state_by_permit[permit] = "ended"
            decisions = instance.release(permit, now)
        elif action == "cancel":
            if state is not None:
                state_by_permit[permit] = "ended"
            decisions = instance.cancel(permit, now)
        else:
            decisions = instance.expire(now)
        check_decisions(decisions, state_by_permit)
        states = list(state_by_permit.values())
        held = [name for name, state in state_by_permit.items() if state == "held"]
        assert instance.permit_count == len(held) <= slots + ahead
        if any(request_by_permit[name].alone for name in held):
            assert len(held) == 1
        waiting = [instance.waiting_count(name) for name in ("urgent", "low")]
        assert sum(waiting) == states.count("waiting")
        assert max(waiting) <= 3
        wake = instance.next_expiry_at()
        assert wake is None or wake > now
    check_decisions(instance.expire(now + 1_000.0), state_by_permit)
    assert "waiting" not in state_by_permit.values()
