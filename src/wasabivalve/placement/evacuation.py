"""Hold which data centres the operator has evacuated."""

from collections.abc import Iterable


class EvacuatedDataCentres:
    """Hold the evacuated data centres by the newest records known.

    Their instances count as leaving until the evacuation ends. Without word of the
    store the newest known state holds.
    """

    def __init__(self) -> None:
        self._data_centres: frozenset[str] = frozenset()
        self._unconfirmed: frozenset[str] | None = None

    @property
    def data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres."""
        return self._data_centres

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether no request may reach instances in a data centre."""
        return data_centre in self._data_centres

    def on_record(self, data_centre: str, is_evacuated: bool) -> bool:
        """Begin or end the evacuation of a data centre; return whether it changes."""
        changed = self._data_centres ^ {data_centre}
        self._confirm({data_centre})
        if is_evacuated == self.is_evacuated(data_centre):
            return False
        self._data_centres = changed
        return True

    def on_listing(self, data_centres: Iterable[str]) -> frozenset[str]:
        """Replace all evacuations by the listed ones; return the changed ones.

        The record that ended one may be deleted, so that its absence ends it.
        """
        listed = frozenset(data_centres)
        self._confirm(listed)
        listed |= self._unconfirmed or frozenset()
        changed = listed ^ self._data_centres
        self._data_centres = listed
        return changed

    @property
    def awaits_records(self) -> bool:
        """Return whether records of evacuations may still be written again."""
        return self._unconfirmed is not None

    def on_store_restored(self) -> None:
        """Keep all evacuations although listings may lack them.

        The store may have lost their records, and the operator writes them again.
        """
        self._unconfirmed = self._data_centres

    def end_wait(self) -> frozenset[str]:
        """End those whose records were not written again, and return them."""
        ended = self._unconfirmed or frozenset()
        self._unconfirmed = None
        self._data_centres -= ended
        return ended

    def _confirm(self, data_centres: Iterable[str]) -> None:
        if self._unconfirmed is not None:
            self._unconfirmed -= frozenset(data_centres)
