"""Choose the record holders of a key by the views around its first sending."""

from collections.abc import Mapping
from typing import NamedTuple

from wasabivalve import rendezvous
from wasabivalve.routing import localities

HOLDERS = 3
"""Copies of a record; a majority of them decides, so one may be lost."""

VIEW_AGE_MS = 5_000.0
"""A key's holders are chosen by the view this long before it was first sent.

Keys may be 2 s in the future; each VM must have seen the view that is 3 s older.
"""

VIEW_ERROR_MS = 3_000.0
"""VMs see a change up to 2 s apart and their clocks differ by up to 1 s."""

LONGEST_GAP_MS = 1_000.0
"""A longer time between two notes counts as a pause, in which views were missed."""

MOST_VIEWS = 256
"""Views kept; with more changes in one window, older keys have no holders."""

HolderSet = frozenset[str]


class ReachableVms(NamedTuple):
    """Describe the entry VMs that exchange messages with this VM both ways.

    ``place_by_vm`` includes this VM; ``total`` is the number of all entry VMs.
    """

    place_by_vm: Mapping[str, localities.Locality]
    total: int

    def has_majority(self) -> bool:
        """Return whether more than half of the entry VMs are in view."""
        return 2 * len(self.place_by_vm) > self.total


def choose_record_holders(key: str, view: ReachableVms) -> HolderSet | None:
    """Return the holders of a key, or None without a majority in view.

    The second is in another data centre of the first one's region if there is
    one, and the third in a third data centre, so that the loss of a data centre
    or of the link between regions leaves a majority.
    """
    if not view.has_majority():
        return None
    waiting = list(rendezvous.rank_names(f"holder/{key}", view.place_by_vm))
    chosen = [waiting.pop(0)]
    region = view.place_by_vm[chosen[0]].region
    while waiting and len(chosen) < HOLDERS:
        used = {view.place_by_vm[name].data_centre for name in chosen}

        def distance(name: str, used: set[str] = used) -> tuple[bool, bool]:
            place = view.place_by_vm[name]
            return place.data_centre in used, place.region != region

        # min() keeps the order of the ranking among equals.
        nearest = min(waiting, key=distance)
        waiting.remove(nearest)
        chosen.append(nearest)
    return frozenset(chosen)


def has_quorum(holders: HolderSet, reserved: frozenset[str]) -> bool:
    """Return whether a majority of the holders has reserved a key."""
    return 2 * len(holders & reserved) > len(holders)


class _Noted(NamedTuple):
    view: ReachableVms
    now: float


class ReachabilityHistory:
    """Hold the views of one VM over one window."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._noted: list[_Noted] = []
        self._last_now: float | None = None
        self._last_wall_ms = 0.0

    def record_view(self, view: ReachableVms, wall_now_ms: float, now: float) -> None:
        """Note the present view; must be called on each change and regularly.

        After a pause the history starts anew, because this VM did not see what
        the others decided meanwhile. Some hosts stop the monotonic clock of a
        paused VM, so a jump of the wall clock counts as well.
        """
        if self._last_now is not None:
            gap = max(now - self._last_now, abs(wall_now_ms - self._last_wall_ms))
            if gap > LONGEST_GAP_MS:
                self._noted.clear()
        self._last_now = now
        self._last_wall_ms = wall_now_ms
        if not self._noted or self._noted[-1].view != view:
            self._noted.append(_Noted(view, now))
            self._forget(now)

    def candidate_holder_sets(
        self, key: str, first_sent_ms: float, wall_now_ms: float, now: float
    ) -> frozenset[HolderSet]:
        """Return the holder sets that any VM may choose for a key.

        Two VMs may have different views of one instant, but each has seen the
        other's within the error, so their candidates have one set in common. A
        majority of every candidate therefore meets every earlier majority. The
        result is empty when the history does not cover the time or a view in it
        had no majority.
        """
        middle = now - (wall_now_ms - first_sent_ms) - VIEW_AGE_MS
        earliest, latest = middle - VIEW_ERROR_MS, middle + VIEW_ERROR_MS
        if not self._noted or self._noted[0].now > earliest:
            return frozenset()
        found = set()
        for index, noted in enumerate(self._noted):
            following = self._noted[index + 1 : index + 2]
            if noted.now > latest or (following and following[0].now < earliest):
                continue
            holders = choose_record_holders(key, noted.view)
            if holders is None:
                return frozenset()
            found.add(holders)
        return frozenset(found)

    def _forget(self, now: float) -> None:
        # The newest view that is older than the window still describes its start.
        while len(self._noted) > 1 and (
            self._noted[1].now < now - self._window_ms or len(self._noted) > MOST_VIEWS
        ):
            del self._noted[0]
