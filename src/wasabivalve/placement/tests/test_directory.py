"""Guard which registered instances count, also through outages of the registry."""

from wasabivalve.placement import core, directory


def entry(name="i-1", born=1, sequence=1, **changes):
    return core.RegisteredInstance(
        name, "desk", "10.0.0.1", 80, "east", 2, False, 0.0, born, sequence
    )._replace(**changes)


def build():
    changes = []
    known = directory.InstanceDirectory(
        lambda before, after: changes.append((before, after))
    )
    return known, changes


def test_late_entry_of_an_older_life_is_ignored():
    """An old address may belong to another service by now."""
    known, _ = build()
    known.on_entry(entry(born=2, sequence=1, host="10.0.0.2"))
    known.on_entry(entry(born=1, sequence=9))
    assert known.instance_by_id["i-1"].host == "10.0.0.2"


def test_entry_from_before_a_removal_does_not_come_back():
    """A late entry must not bring back an instance that has left."""
    known, _ = build()
    known.on_entry(entry(sequence=4))
    known.on_removed("i-1", 0.0)
    known.on_entry(entry(sequence=4))
    known.on_entry(entry(sequence=3))
    assert not known.instance_by_id
    known.on_entry(entry(sequence=5))
    assert known.instance_by_id


def test_draining_shows_at_once():
    """A leaving instance gets no request that it would cut."""
    known, changes = build()
    known.on_entry(entry())
    known.on_entry(entry(sequence=2, draining=True))
    assert known.instance_by_id["i-1"].draining
    assert len(changes) == 2


def test_heartbeats_are_no_changes():
    """Changes are relayed and logged; heartbeats would flood both."""
    known, changes = build()
    for sequence in range(1, 10):
        known.on_entry(entry(sequence=sequence, warmup_left_ms=10.0 - sequence))
    assert len(changes) == 1


def test_entries_that_lapsed_in_an_outage_get_time_to_return():
    """Instances that live but could not write must not lose their keys at once."""
    known, _ = build()
    known.on_entry(entry())
    known.on_unreachable(0.0)
    known.on_reachable(4_000.0)
    known.on_removed("i-1", 4_000.0)
    known.tick(6_000.0)
    assert known.instance_by_id
    known.tick(4_000.0 + directory.REREGISTRATION_GRACE_MS)
    assert not known.instance_by_id


def test_single_lost_answer_gives_no_time_of_grace():
    """An instance that left must get no request for the sake of a lost answer."""
    known, _ = build()
    known.on_entry(entry())
    known.on_unreachable(0.0)
    known.on_reachable(500.0)
    known.on_removed("i-1", 600.0)
    assert not known.instance_by_id


def test_entry_that_returns_after_an_outage_stays():
    """A removal that was put off must not hit an instance that came back."""
    known, _ = build()
    known.on_entry(entry())
    known.on_unreachable(-4_000.0)
    known.on_reachable(0.0)
    known.on_removed("i-1", 0.0)
    known.on_entry(entry(sequence=2))
    known.tick(10_000.0)
    assert known.instance_by_id


def test_nothing_is_removed_while_the_registry_is_away():
    """Silence of the registry proves nothing about an instance."""
    known, _ = build()
    known.on_entry(entry())
    known.on_unreachable(-4_000.0)
    known.on_reachable(0.0)
    known.on_removed("i-1", 0.0)
    known.on_unreachable(1_000.0)
    known.tick(60_000.0)
    assert known.instance_by_id


def test_listing_removes_what_it_lacks():
    """A removal whose record was deleted shows only in the listing."""
    known, _ = build()
    known.on_entry(entry())
    known.on_listing([entry("i-2")], 0.0)
    assert set(known.instance_by_id) == {"i-2"}


def test_removals_are_remembered_within_a_bound():
    """Restarts over weeks must not fill the memory."""
    known, _ = build()
    for number in range(directory.MAX_STORED_INCARNATIONS + 50):
        known.on_entry(entry(f"i-{number}"))
        known.on_removed(f"i-{number}", 0.0)
    assert len(known._life_by_id) == directory.MAX_STORED_INCARNATIONS
