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
