"""Choose the two record holders of a key and follow their changes."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wasabivalve.routing import places, rendezvous

LONGEST_GAP_MS = 1_000.0
"""A longer time between two calls counts as a pause of this VM.

Other VMs suspect it after this time and may have chosen other holders.
"""

MOST_VIEWS = 256
"""Views kept; with more changes in one window, keys count as unknown sooner."""


class View(NamedTuple):
    """Describe the entry VMs that exchange messages with this VM both ways.

    ``place_by_vm`` includes this VM. A VM that is heard but does not hear this
    VM must be left out, since it may have chosen other holders. ``total`` is
    the number of all entry VMs.
    """

    place_by_vm: Mapping[str, places.Place]
    total: int

    def has_majority(self) -> bool:
        """Return whether more than half of the entry VMs are in view."""
        return 2 * len(self.place_by_vm) > self.total


def holders_of(key: str, view: View) -> tuple[str, str] | None:
    """Return the two holders of a key, or None without a majority or second VM.

    The second is in another data centre of the first one's region if there is
    one, else in another data centre, else on any other VM.
    """
    return _pick(rendezvous.rank_names(f"holder/{key}", view.place_by_vm), view)


def _pick(ranked: Iterable[str], view: View) -> tuple[str, str] | None:
    if not view.has_majority():
        return None
    live = [name for name in ranked if name in view.place_by_vm]
    if len(live) < 2:
        return None
    first = view.place_by_vm[live[0]]

    def distance(name: str) -> int:
        place = view.place_by_vm[name]
        if place.data_centre == first.data_centre:
            return 2
        return int(place.region != first.region)

    # min() keeps the order of the ranking among equals.
    return live[0], min(live[1:], key=distance)


class _Noted(NamedTuple):
    view: View
    now: float
    wall_ms: float


class ViewHistory:
    """Hold the views of one window, to tell since when holders are holders."""

    def __init__(self, vm: str, window_ms: float) -> None:
        self._vm = vm
        self._window_ms = window_ms
        self._noted: list[_Noted] = []
        self._last_now: float | None = None
        self._last_wall_ms = 0.0

    def note(self, view: View, wall_now_ms: float, now: float) -> None:
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
            self._noted.append(_Noted(view, now, wall_now_ms))
            self._forget(now)

    def holders(self, key: str) -> tuple[str, str] | None:
        """Return the present holders of a key in the view of this VM."""
        return holders_of(key, self._noted[-1].view)

    def holder_since_ms(self, key: str, wall_now_ms: float, now: float) -> float | None:
        """Return the wall time in ms since which the present pair holds a key.

        The result is None when this VM is not one of the pair.
        """
        names = {name for noted in self._noted for name in noted.view.place_by_vm}
        ranked = rendezvous.rank_names(f"holder/{key}", names)
        pair = _pick(ranked, self._noted[-1].view)
        if pair is None or self._vm not in pair:
            return None
        since = self._noted[-1]
        for noted in reversed(self._noted):
            if _pick(ranked, noted.view) != pair:
                break
            since = noted
        # The later of two readings is safe when the wall clock was set meanwhile.
        return max(since.wall_ms, wall_now_ms - (now - since.now))

    def _forget(self, now: float) -> None:
        # The newest view that is older than the window still describes its start.
        while len(self._noted) > 1 and (
            self._noted[1].now < now - self._window_ms or len(self._noted) > MOST_VIEWS
        ):
            del self._noted[0]
