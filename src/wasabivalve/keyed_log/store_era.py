"""Track the era of the store, which rises each time it is restored from a copy.

Offsets of two eras are not comparable: the store assigns those after the end of the
copy a second time.
"""

import time
from collections.abc import Callable

from wasabivalve import events

NO_ERA = 0
"""Era of a store that names none."""


class StoreEra:
    """Hold the newest era that this VM has seen, in an answer or a message.

    ``change_count`` counts how often it has risen. ``seen_at`` is when this VM first
    saw the newest one, by ``clock``; it is None while none was named. Only a store that
    may come back from a copy names any.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.newest = NO_ERA
        self.seen_at: float | None = None
        self._clock = clock
        self.change_count = 0
        self._is_known = False
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a function that is called when the store has been restored."""
        self._listeners.append(listener)

    def on_named(self) -> None:
        """Record that an answer of the store names an era."""
        if self.seen_at is None:
            self.seen_at = self._clock()

    def observe(self, era: int, source: str) -> bool:
        """Record an era; return whether it is the newest one.

        ``source`` names where it was seen. Nothing has been read before the first era.
        """
        is_first, self._is_known = not self._is_known, True
        if era > self.newest:
            previous, self.newest = self.newest, era
            self.seen_at = self._clock()
            self.change_count += 1
            if is_first:
                events.emit(207, era=era)
                return True
            events.emit(205, era=era, previous=previous, source=source)
            for listener in self._listeners:
                listener()
        return era == self.newest
