"""Test which instances count as registered, also through registry outages."""

import pytest

from wasabivalve.placement import core, directory


def entry(name="i-1", born=1, sequence=1, **changes):
    return core.RegisteredInstance(
        name, "desk", "10.0.0.1", 80, "east", 2, False, 0.0, born, sequence
    )._replace(**changes)


def build():
    changes = []
    instances = directory.InstanceDirectory(
        lambda before, after: changes.append((before, after))
    )
    return instances, changes


def test_late_entry_of_an_older_incarnation_is_ignored():
    """The old address may belong to another service by now."""
    instances, _ = build()
    instances.on_entry(entry(born=2, sequence=1, host="10.0.0.2"))
    instances.on_entry(entry(born=1, sequence=9))
    assert instances.instance_by_id["i-1"].host == "10.0.0.2"


def test_entry_older_than_a_removal_is_ignored():
    """A late entry must not restore an instance that has left."""
    instances, _ = build()
    instances.on_entry(entry(sequence=4))
    instances.on_removed("i-1", 0.0)
    instances.on_entry(entry(sequence=4))
    instances.on_entry(entry(sequence=3))
    assert not instances.instance_by_id
    instances.on_entry(entry(sequence=5))
    assert instances.instance_by_id


@pytest.mark.parametrize("ends", ["stays", "lapses"])
@pytest.mark.parametrize("known_late", [False, True])
def test_foreign_entry_that_is_read_first_hides_no_instance(ends, known_late):
    """Its later time of birth kept the instance's own entries out for good."""
    configured = set() if known_late else {"desk"}
    instances = directory.InstanceDirectory(
        lambda before, after: None, is_configured=configured.__contains__
    )
    if known_late:
        instances.on_entry(entry(sequence=1))
    instances.on_entry(entry(service="ledger", host="10.0.0.9", born=9_000))
    if ends == "lapses":
        instances.on_removed("i-1", 0.0)
    instances.on_entry(entry(sequence=2))
    configured.add("desk")
    instances.on_entry(entry(sequence=3))
    assert instances.instance_by_id == {"i-1": entry(sequence=3)}
    # Old entries that come late are ignored as before.
    instances.on_entry(entry(sequence=2, host="10.0.0.9"))
    assert instances.instance_by_id == {"i-1": entry(sequence=3)}


def test_draining_is_applied_at_once():
    """A draining instance must get no request that it would break off."""
    instances, changes = build()
    instances.on_entry(entry())
    instances.on_entry(entry(sequence=2, draining=True))
    assert instances.instance_by_id["i-1"].draining
    assert len(changes) == 2


def test_heartbeats_are_not_reported_as_changes():
    """Changes are relayed and logged; heartbeats would flood both."""
    instances, changes = build()
    for sequence in range(1, 10):
        instances.on_entry(entry(sequence=sequence, warmup_left_ms=10.0 - sequence))
    assert len(changes) == 1


def test_instance_that_became_cold_again_is_a_change():
    """VMs that follow relays get only the entries that change anything."""
    instances, changes = build()
    instances.on_entry(entry())
    instances.on_entry(entry(sequence=2, warmup_left_ms=3_000.0))
    instances.on_entry(entry(sequence=3, warmup_left_ms=2_000.0))
    assert len(changes) == 2


def test_entries_that_expired_in_an_outage_have_a_grace_period():
    """Running instances that could not write must not lose their keys at once."""
    instances, _ = build()
    instances.on_entry(entry())
    instances.on_unreachable(0.0)
    instances.on_reachable(4_000.0)
    instances.on_removed("i-1", 4_000.0)
    instances.tick(6_000.0)
    assert instances.instance_by_id
    instances.tick(4_000.0 + directory.REREGISTRATION_GRACE_MS)
    assert not instances.instance_by_id


def test_outage_that_only_the_relaying_vm_noticed_has_a_grace_period():
    """A VM that follows relays dropped all instances that an outage let expire."""
    instances, _ = build()
    instances.on_entry(entry())
    instances.on_reachable(0.0)
    instances.on_reachable(2_900.0)
    instances.on_removed("i-1", 2_900.0)
    assert instances.instance_by_id


def test_relays_without_a_gap_give_no_grace_period():
    """An instance that left must get no requests because one relay was lost."""
    instances, _ = build()
    instances.on_entry(entry())
    for now in (0.0, 600.0, 1_800.0):
        instances.on_reachable(now)
    instances.on_removed("i-1", 1_800.0)
    assert not instances.instance_by_id


def test_change_of_the_relaying_vm_gives_no_grace_period():
    """An instance that had left got requests for 4.4 s after it."""
    instances = directory.InstanceDirectory(lambda before, after: None, 3_500.0)
    instances.on_entry(entry())
    for now in (0.0, 2_400.0, 5_600.0):
        instances.on_reachable(now)
    instances.on_removed("i-1", 5_600.0)
    assert not instances.instance_by_id


def test_outage_that_a_relaying_vm_reports_has_a_grace_period():
    """Receivers of relays hear nothing of an outage that is shorter than their gaps."""
    relaying, _ = build()
    relaying.on_unreachable(0.0)
    assert relaying.ms_since_recovery(900.0) is None
    relaying.on_reachable(1_500.0)
    instances = directory.InstanceDirectory(lambda before, after: None, 3_500.0)
    instances.on_entry(entry())
    instances.on_reachable(100.0)
    instances.on_relayed_recovery(relaying.ms_since_recovery(2_000.0), 2_000.0)
    instances.on_removed("i-1", 2_000.0)
    assert instances.instance_by_id
    instances.tick(1_500.0 + directory.REREGISTRATION_GRACE_MS)
    assert not instances.instance_by_id
    assert relaying.ms_since_recovery(9_000.0) is None


def test_single_lost_response_gives_no_grace_period():
    """An instance that left must not get requests because of a lost response."""
    instances, _ = build()
    instances.on_entry(entry())
    instances.on_unreachable(0.0)
    instances.on_reachable(500.0)
    instances.on_removed("i-1", 600.0)
    assert not instances.instance_by_id


def test_entry_that_returns_after_an_outage_stays():
    """A deferred removal must not apply to an instance that has returned."""
    instances, _ = build()
    instances.on_entry(entry())
    instances.on_unreachable(-4_000.0)
    instances.on_reachable(0.0)
    instances.on_removed("i-1", 0.0)
    instances.on_entry(entry(sequence=2))
    instances.tick(10_000.0)
    assert instances.instance_by_id


def test_nothing_is_removed_while_the_registry_is_unreachable():
    """An unreachable registry says nothing about an instance."""
    instances, _ = build()
    instances.on_entry(entry())
    instances.on_unreachable(-4_000.0)
    instances.on_reachable(0.0)
    instances.on_removed("i-1", 0.0)
    instances.on_unreachable(1_000.0)
    instances.tick(60_000.0)
    assert instances.instance_by_id


def test_listing_removes_absent_instances():
    """A removal whose record was deleted shows only in the listing."""
    instances, _ = build()
    instances.on_entry(entry())
    instances.on_listing([entry("i-2")], 0.0)
    assert set(instances.instance_by_id) == {"i-2"}


def test_number_of_stored_versions_is_bounded():
    """Restarts over weeks must not exhaust the memory."""
    instances, _ = build()
    for number in range(directory.MAX_REMOVED_INSTANCES + 50):
        instances.on_entry(entry(f"i-{number}"))
        instances.on_removed(f"i-{number}", 0.0)
    stored = len(instances.instance_by_id) + len(instances._removed_by_id)
    assert stored == directory.MAX_REMOVED_INSTANCES


def test_versions_of_thousands_of_instances_are_stored():
    """Beyond 2,000 instances each entry went through all others and lost its version.

    300 VMs with 3,000 instances spent more time on that than on anything else.
    """
    instances, _ = build()
    names = [f"i-{number}" for number in range(3 * directory.MAX_REMOVED_INSTANCES)]
    for name in names:
        instances.on_entry(entry(name, sequence=5))
    for name in names:
        instances.on_entry(entry(name, sequence=4, draining=True))
    assert not any(item.draining for item in instances.instance_by_id.values())
    # Versions of removed instances are bounded, and the newest ones are kept.
    for name in names:
        instances.on_removed(name, 0.0)
    instances.on_entry(entry(names[-1], sequence=5))
    assert not instances.instance_by_id
    assert len(instances._removed_by_id) == directory.MAX_REMOVED_INSTANCES
