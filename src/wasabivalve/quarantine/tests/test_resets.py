"""Test how instances that are full are told from instances that ended."""

from wasabivalve import quarantine, shared_facts
from wasabivalve.quarantine import resets


def test_registered_instance_shows_that_its_service_resets_when_full():
    """Requests under which full instances reset connections were quarantined."""
    known = quarantine.InstanceResets()
    assert not known.on_reset("desk", "i-1", 1, True, 0.0)
    assert not known.on_reset("desk", "i-2", 1, True, 1_000.0)
    # The registry may still name an instance that has just ended.
    early = resets.SURVIVAL_MS - 1.0
    assert known.take_survived(lambda reset: True, early) == []
    (survived,) = known.take_survived(lambda reset: True, early + 1.0)
    assert survived.instance == "i-1"
    now = early + 2.0
    assert known.on_reset("desk", "i-3", 1, True, now)
    # An instance with free slots was not full, and other services may differ.
    assert not known.on_reset("desk", "i-4", 1, False, now)
    assert not known.on_reset("till", "i-5", 1, True, now)
    later = now + resets.FULL_RESETS_TTL_MS
    assert not known.on_reset("desk", "i-6", 1, True, later)


def test_instance_that_is_gone_shows_nothing():
    """A request that ends instances must stay quarantined."""
    known = quarantine.InstanceResets()
    known.on_reset("desk", "i-1", 1, True, 0.0)
    assert known.take_survived(lambda reset: False, 1.0 + resets.SURVIVAL_MS) == []
    assert not known.on_reset("desk", "i-2", 1, True, 2.0 + resets.SURVIVAL_MS)


def test_withdrawn_ends_release_a_request_at_all_vms():
    """A refusal of 60 s for a request that found two full instances helps no one."""
    boards = [shared_facts.FactBoard() for _ in range(2)]
    shared, other = (quarantine.SharedQuarantine(board) for board in boards)
    for instance in ("i-1", "i-2"):
        name = shared_facts.incarnation_name(instance, 1)
        shared.on_ended("f", name, 100.0, 50.0)
    boards[1].receive(boards[0].take_unpublished(100.0), 100.0)
    assert other.left_ms("f", 100.0) > 0.0
    name = shared_facts.incarnation_name("i-1", 1)
    # A later end of the same incarnation still counts.
    assert shared.withdraw_ends("f", name, 99.0, 5_200.0) == 0
    assert shared.withdraw_ends("f", name, 101.0, 5_200.0) == 1
    boards[1].receive(boards[0].take_unpublished(5_200.0), 5_200.0)
    assert shared.left_ms("f", 5_200.0) == other.left_ms("f", 5_200.0) == 0.0


def test_reset_by_an_instance_with_free_slots_says_nothing_of_its_service():
    """The reset of an idle connection hid the crashes of a service for minutes."""
    known = quarantine.InstanceResets()
    assert not known.on_reset("desk", "i-1", 1, False, 0.0)
    later = 1.0 + resets.SURVIVAL_MS
    (survived,) = known.take_survived(lambda reset: True, later)
    assert survived.instance == "i-1"
    assert not known.on_reset("desk", "i-2", 1, True, later + 1.0)
