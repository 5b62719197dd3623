"""Choose the record holders of a key by the views at the time it was first sent."""

from collections.abc import Mapping
from typing import NamedTuple

from wasabivalve import rendezvous
from wasabivalve.routing import localities

HOLDER_COUNT = 3
"""Number of copies of a record; a majority decides, so one copy may be lost."""

VIEW_AGE_MS = 5_000.0
"""Time before a key was first sent at which the view determines its holders.

The timestamp of a key may be 2 s in the future, and each VM must already have
recorded the view that is 3 s older.
"""

VIEW_ERROR_MS = 3_000.0
"""VMs detect a change up to 2 s apart and their clocks differ by up to 1 s."""

MAX_RECORDING_GAP_MS = 1_000.0
"""A longer time between two calls counts as a pause, during which views are missed."""

MAX_VIEWS = 256
"""Number of stored views; with more changes in one window old keys have no holders."""

HolderSet = frozenset[str]


class ReachableVms(NamedTuple):
    """List the entry VMs that exchange messages with this VM in both directions.

    ``locality_by_vm`` includes this VM; ``total_vms`` is the number of all entry VMs.
    """

    locality_by_vm: Mapping[str, localities.Locality]
    total_vms: int

    def has_majority(self) -> bool:
        """Return whether more than half of all entry VMs are reachable."""
        return 2 * len(self.locality_by_vm) > self.total_vms


def choose_record_holders(key: str, view: ReachableVms) -> HolderSet | None:
    """Return the record holders of a key, or None without a reachable majority.

    The second holder is in another data centre of the first one's region if there is
    one, and the third holder in a third data centre, so that the loss of a data
    centre or of the link between regions leaves a majority.
    """
    if not view.has_majority():
        return None
    remaining = list(rendezvous.rank_names(f"holder/{key}", view.locality_by_vm))
    chosen = [remaining.pop(0)]
    region = view.locality_by_vm[chosen[0]].region
    while remaining and len(chosen) < HOLDER_COUNT:
        used_data_centres = {view.locality_by_vm[vm].data_centre for vm in chosen}

        def sort_key(
            vm: str, used_data_centres: set[str] = used_data_centres
        ) -> tuple[bool, bool]:
            locality = view.locality_by_vm[vm]
            return locality.data_centre in used_data_centres, locality.region != region

        # min() keeps the order of the ranking among VMs with equal sort keys.
        preferred = min(remaining, key=sort_key)
        remaining.remove(preferred)
        chosen.append(preferred)
    return frozenset(chosen)


def has_quorum(holders: HolderSet, reserved: frozenset[str]) -> bool:
    """Return whether a majority of the holders reserved a key."""
    return 2 * len(holders & reserved) > len(holders)


class _RecordedView(NamedTuple):
    view: ReachableVms
    recorded_at: float


class ReachabilityHistory:
    """Hold the views of one VM over a window of ``window_ms``."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._recorded_views: list[_RecordedView] = []
        self._last_recorded_at: float | None = None
        self._last_wall_ms = 0.0

    def record_view(self, view: ReachableVms, wall_now_ms: float, now: float) -> None:
        """Record the current view; must be called on each change and regularly.

        After a pause the history is cleared, because this VM did not observe what the
        others decided meanwhile. Some hosts stop the monotonic clock of a paused VM,
        so a jump of the wall clock counts as a pause as well.
        """
        if self._last_recorded_at is not None:
            gap_ms = max(
                now - self._last_recorded_at, abs(wall_now_ms - self._last_wall_ms)
            )
            if gap_ms > MAX_RECORDING_GAP_MS:
                self._recorded_views.clear()
        self._last_recorded_at = now
        self._last_wall_ms = wall_now_ms
        if not self._recorded_views or self._recorded_views[-1].view != view:
            self._recorded_views.append(_RecordedView(view, now))
            self._remove_old_views(now)

    def candidate_holder_sets(
        self, key: str, first_sent_at_ms: float, wall_now_ms: float, now: float
    ) -> frozenset[HolderSet]:
        """Return the holder sets that any VM may choose for a key.

        Two VMs may have different views of one instant, but each had the view of
        the other within ``VIEW_ERROR_MS``, so their candidates have one set in
        common. A majority of every candidate set therefore intersects the majority
        of any earlier reservation. The result is empty when the history does not
        cover the time or a view of that time had no majority.
        """
        middle_ms = now - (wall_now_ms - first_sent_at_ms) - VIEW_AGE_MS
        earliest_ms, latest_ms = middle_ms - VIEW_ERROR_MS, middle_ms + VIEW_ERROR_MS
        if (
            not self._recorded_views
            or self._recorded_views[0].recorded_at > earliest_ms
        ):
            return frozenset()
        holder_sets = set()
        for index, recorded in enumerate(self._recorded_views):
            next_views = self._recorded_views[index + 1 : index + 2]
            if recorded.recorded_at > latest_ms or (
                next_views and next_views[0].recorded_at < earliest_ms
            ):
                continue
            holders = choose_record_holders(key, recorded.view)
            if holders is None:
                return frozenset()
            holder_sets.add(holders)
        return frozenset(holder_sets)

    def _remove_old_views(self, now: float) -> None:
        # The newest view that is older than the window applies to its start.
        while len(self._recorded_views) > 1 and (
            self._recorded_views[1].recorded_at < now - self._window_ms
            or len(self._recorded_views) > MAX_VIEWS
        ):
            del self._recorded_views[0]
