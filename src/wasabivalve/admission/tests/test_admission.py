"""Test the slot queue: floors, queue limits, deadlines and permits."""

import hypothesis
import pytest
from hypothesis import strategies

from wasabivalve import admission
from wasabivalve.admission import core

URGENT = admission.RankPolicy(0, 0.0)
LOW = admission.RankPolicy(2, 0.1)


def make_queue(slots=1, urgent=URGENT, low=LOW, extra_permits=0):
    return admission.InstanceQueue(slots, {"low": low, "urgent": urgent}, extra_permits)


def slot_request(permit_id, rank="urgent", deadline_at=10_000.0, **options):
    return admission.SlotRequest(permit_id, rank, deadline_at, **options)


def granted_ids(decisions):
    return [
        decision.permit_id
        for decision in decisions
        if isinstance(decision, admission.PermitGranted)
    ]


def reason_by_refused_id(decisions):
    return {
        decision.permit_id: decision.reason
        for decision in decisions
        if isinstance(decision, admission.PermitRefused)
    }


def test_most_urgent_rank_goes_first():
    instance_queue = make_queue()
    assert granted_ids(instance_queue.offer(slot_request("a", "low"), 0.0)) == ["a"]
    assert instance_queue.offer(slot_request("b", "low"), 0.0) == ()
    assert instance_queue.offer(slot_request("c"), 0.0) == ()
    assert granted_ids(instance_queue.release("a", 10.0)) == ["c"]
    assert granted_ids(instance_queue.release("c", 20.0)) == ["b"]


def test_repeated_offer_and_release_have_no_further_effect():
    """A duplicate message would otherwise occupy or free a second slot."""
    instance_queue = make_queue()
    first_decisions = instance_queue.offer(slot_request("a"), 0.0)
    assert instance_queue.offer(slot_request("a"), 1.0) == first_decisions
    instance_queue.offer(slot_request("b"), 1.0)
    instance_queue.offer(slot_request("c"), 1.0)
    assert granted_ids(instance_queue.release("a", 5.0)) == ["b"]
    assert instance_queue.release("a", 6.0) == ()
    assert instance_queue.permit_count == 1


def test_request_that_cannot_meet_its_deadline_gets_no_slot():
    instance_queue = make_queue()
    instance_queue.offer(slot_request("a"), 0.0)
    instance_queue.offer(slot_request("b", deadline_at=90.0), 0.0)
    assert reason_by_refused_id(instance_queue.release("a", 50.0)) == {"b": "deadline"}
    assert reason_by_refused_id(
        instance_queue.offer(slot_request("c", deadline_at=130.0), 100.0)
    ) == {"c": "deadline"}
    # Without a recent measurement one request is granted, which measures again.
    assert granted_ids(
        instance_queue.offer(slot_request("d", deadline_at=2_030.0), 2_000.0)
    ) == ["d"]


def test_waiting_request_is_refused_once_its_deadline_cannot_be_met():
    instance_queue = make_queue()
    instance_queue.offer(slot_request("a"), 0.0)
    instance_queue.release("a", 50.0)
    instance_queue.offer(slot_request("b"), 50.0)
    instance_queue.offer(slot_request("c", deadline_at=200.0), 50.0)
    assert instance_queue.next_expiry_at() == 150.0
    assert reason_by_refused_id(instance_queue.expire(150.0)) == {"c": "deadline"}


def test_queue_limits_on_requests_bytes_and_age():
    low = admission.RankPolicy(2, 0.1, 2, 1_000, 300.0)
    instance_queue = make_queue(low=low)
    instance_queue.offer(slot_request("a"), 0.0)
    instance_queue.offer(slot_request("b", "low", body_bytes=900), 0.0)
    decisions = instance_queue.offer(slot_request("c", "low", body_bytes=200), 0.0)
    assert reason_by_refused_id(decisions) == {"c": "queue_bytes"}
    instance_queue.offer(slot_request("d", "low"), 1.0)
    assert reason_by_refused_id(
        instance_queue.offer(slot_request("e", "low"), 1.0)
    ) == {"e": "queue_requests"}
    assert reason_by_refused_id(instance_queue.expire(300.0)) == {"b": "queue_age"}
    # The refused request no longer counts towards the limits.
    assert instance_queue.offer(slot_request("g", "low", body_bytes=900), 300.0) == ()
    assert reason_by_refused_id(
        instance_queue.offer(slot_request("f", "none"), 300.0)
    ) == {"f": "unknown_rank"}


def test_newest_request_goes_first_after_a_long_wait():
    """Under overload the oldest request would get a slot too late for its deadline."""
    instance_queue = make_queue(urgent=admission.RankPolicy(0, 0.0, queue_age_ms=100.0))
    instance_queue.offer(slot_request("a"), 0.0)
    instance_queue.offer(slot_request("b"), 0.0)
    instance_queue.offer(slot_request("c"), 10.0)
    assert granted_ids(instance_queue.release("a", 49.0)) == ["b"]
    instance_queue.offer(slot_request("d"), 55.0)
    assert granted_ids(instance_queue.release("b", 60.0)) == ["d"]
    assert reason_by_refused_id(instance_queue.expire(110.0)) == {"c": "queue_age"}


def test_policy_of_a_declared_rank_limits_the_wait_to_a_share_of_its_target():
    spec = {"order": 1, "floor": 0.1, "target_ms": 200, "objective": 0.99}
    policy = admission.policy_of_spec(spec)
    assert (policy.order, policy.floor, policy.queue_age_ms) == (1, 0.1, 140.0)
    declared = admission.policy_of_spec(spec | {"queue_age_ms": 50})
    assert declared.queue_age_ms == 50


def test_permit_ends_at_its_deadline_and_on_cancel():
    """The slot of a VM that failed must become free."""
    instance_queue = make_queue()
    instance_queue.offer(slot_request("a", deadline_at=100.0), 0.0)
    instance_queue.offer(slot_request("b"), 0.0)
    instance_queue.offer(slot_request("c"), 0.0)
    instance_queue.cancel("b", 50.0)
    assert granted_ids(instance_queue.expire(100.0)) == ["c"]
    assert instance_queue.cancel("c", 110.0) == ()
    assert (instance_queue.permit_count, instance_queue.waiting_count("urgent")) == (
        0,
        0,
    )


def test_request_that_must_run_alone_has_the_instance_to_itself():
    """A suspected request that crashes the instance would fail the others with it."""
    instance_queue = make_queue(slots=2)
    instance_queue.offer(slot_request("a"), 0.0)
    assert instance_queue.offer(slot_request("s", alone=True), 0.0) == ()
    assert instance_queue.offer(slot_request("b"), 0.0) == ()
    assert granted_ids(instance_queue.release("a", 10.0)) == ["s"]
    assert instance_queue.offer(slot_request("c"), 11.0) == ()
    assert granted_ids(instance_queue.release("s", 20.0)) == ["b", "c"]


def test_floors_above_all_slots_are_rejected():
    with pytest.raises(ValueError, match=r"1\.2"):
        make_queue(
            urgent=admission.RankPolicy(0, 0.6), low=admission.RankPolicy(2, 0.6)
        )


@pytest.mark.parametrize("service_ms", [2.0, 10.0, 45.0])
@pytest.mark.parametrize("floor", [0.05, 0.3])
def test_floor_is_met_in_each_second_of_overload(service_ms, floor):
    """Overload of the most urgent rank must not starve a lower one."""
    instance_queue = make_queue(slots=2, low=admission.RankPolicy(2, floor))
    number = 0
    running = []
    used_ms_by_second = [0.0] * 6
    now = 0.0
    while now < 6_000.0:
        decisions = []
        for rank in ("urgent", "low"):
            while instance_queue.waiting_count(rank) < 4:
                number += 1
                permit = f"{rank}-{number}"
                decisions += instance_queue.offer(
                    slot_request(permit, rank, now + 900.0), now
                )
        running += [(now + service_ms, permit) for permit in granted_ids(decisions)]
        running.sort()
        now, permit = running.pop(0)
        if permit.startswith("low") and now < 6_000.0:
            used_ms_by_second[int(now // 1_000)] += service_ms
        decisions = instance_queue.release(permit, now)
        running += [(now + service_ms, permit) for permit in granted_ids(decisions)]
    shares = [used_ms / 2_000.0 for used_ms in used_ms_by_second]
    # One request more or less may fall on either side of a second boundary.
    tolerance = 1.5 * service_ms / 2_000.0
    assert min(shares) >= floor - tolerance
    max_mean_share = floor * core.FLOOR_MARGIN + tolerance
    assert floor <= sum(shares) / 6 <= max_mean_share


ACTION_LISTS = strategies.lists(
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
    """Check decisions against the states of the requests and update the states."""
    for decision in decisions:
        state = state_by_permit[decision.permit_id]
        if isinstance(decision, admission.PermitGranted):
            assert state in ("waiting", "granted")
            state_by_permit[decision.permit_id] = "granted"
        else:
            assert state == "waiting"
            state_by_permit[decision.permit_id] = "ended"


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(ACTION_LISTS, strategies.integers(1, 3), strategies.integers(0, 1))
def test_random_schedules_keep_the_queue_invariants(actions, slots, extra_permits):
    """Check the permit limit, the queue limits and one decision per request."""
    policy = admission.RankPolicy(2, 0.2, 3, 400, 150.0)
    instance_queue = make_queue(slots, policy._replace(order=0), policy, extra_permits)
    now = 0.0
    request_by_permit = {}
    state_by_permit = {}
    for action, number, rank, step, alone in actions:
        now += step
        permit = f"{number}"
        for name, state in state_by_permit.items():
            if state == "granted" and request_by_permit[name].deadline_at <= now:
                state_by_permit[name] = "ended"
        state = state_by_permit.get(permit)
        if action == "offer" and state != "ended":
            new = slot_request(
                permit, rank, now + 4 * step, body_bytes=step, alone=alone
            )
            state_by_permit.setdefault(permit, "waiting")
            request = request_by_permit.setdefault(permit, new)
            decisions = instance_queue.offer(request, now)
        elif action == "release":
            if state == "granted":
                state_by_permit[permit] = "ended"
            decisions = instance_queue.release(permit, now)
        elif action == "cancel":
            if state is not None:
                state_by_permit[permit] = "ended"
            decisions = instance_queue.cancel(permit, now)
        else:
            decisions = instance_queue.expire(now)
        check_decisions(decisions, state_by_permit)
        states = list(state_by_permit.values())
        granted_permits = [
            name for name, state in state_by_permit.items() if state == "granted"
        ]
        assert (
            instance_queue.permit_count == len(granted_permits) <= slots + extra_permits
        )
        if any(request_by_permit[name].alone for name in granted_permits):
            assert len(granted_permits) == 1
        waiting = [instance_queue.waiting_count(name) for name in ("urgent", "low")]
        assert sum(waiting) == states.count("waiting")
        assert max(waiting) <= 3
        expiry_at = instance_queue.next_expiry_at()
        assert expiry_at is None or expiry_at > now
    check_decisions(instance_queue.expire(now + 1_000.0), state_by_permit)
    assert "waiting" not in state_by_permit.values()
