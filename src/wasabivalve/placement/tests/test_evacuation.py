"""Test which data centres count as evacuated."""

from wasabivalve.placement import evacuation


def test_listing_replaces_all_evacuations():
    """The record that ended an evacuation may be deleted before it was read."""
    evacuated = evacuation.EvacuatedDataCentres()
    assert evacuated.on_record("a1", True)
    assert not evacuated.on_record("a1", True)
    assert evacuated.on_listing(["b1"]) == {"a1", "b1"}
    assert not evacuated.is_evacuated("a1") and evacuated.is_evacuated("b1")
    assert evacuated.on_record("b1", False)
    assert not evacuated.on_record("b1", False)
    assert not evacuated.data_centres


def test_restored_store_ends_no_evacuation_before_its_record_may_be_back():
    """A listing that had lost the record ended an evacuation in force."""
    evacuated = evacuation.EvacuatedDataCentres()
    for data_centre in ("east", "west", "north"):
        evacuated.on_record(data_centre, True)
    evacuated.on_store_restored()
    evacuated.on_listing([])
    assert evacuated.data_centres == {"east", "west", "north"}
    evacuated.on_record("east", True)
    evacuated.on_record("north", False)
    evacuated.on_listing(["east"])
    assert evacuated.data_centres == {"east", "west"}
    assert evacuated.end_wait() == {"west"}
    assert evacuated.data_centres == {"east"}
