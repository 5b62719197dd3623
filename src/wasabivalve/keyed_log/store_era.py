"""Track the era of the store, which rises each time it is restored from a copy.

Offsets of two eras are not comparable: the store assigns those after the end of the
copy a second time.
"""

from collections.abc import Callable

from wasabivalve import events

NO_ERA = 0
"""Era of a store that names none."""


class StoreEra:
    """Hold the newest era that this VM has seen, in an answer or a message.

    ``change_count`` counts how often it has risen; ``is_named`` says whether the store
    names any, as one does that may come back from a copy.
    """

    def __init__(self) -> None:
        self.newest = NO_ERA
        self.change_count = 0
        self.is_named = False
        self._is_known = False
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a function that is called when the store has been restored."""
        self._listeners.append(listener)

    def observe(self, era: int, source: str) -> bool:
        """Record an era; return whether it is the newest one.

        ``source`` names where it was seen. Nothing has been read before the first era.
        """
        is_first, self._is_known = not self._is_known, True
        if era > self.newest:
            previous, self.newest = self.newest, era
            self.change_count += 1
            if is_first:
                events.emit(207, era=era)
                return True
            events.emit(205, era=era, previous=previous, source=source)
            for listener in self._listeners:
                listener()
        return era == self.newest
