"""Hold the limits of requests that instances name in their answers."""

from wasabivalve import events

from . import core

NO_LIMIT = -1.0

MIN_ABSENCE_MS = 1_000.0
"""Time without the header after which an instance has no limit any more.

Answers from before its first limit may arrive later than those with the header.
"""


class InstanceLimits:
    """Record limits on a board; all times are in ms of its clock."""

    def __init__(self, board: core.FactBoard) -> None:
        self._board = board

    @property
    def has_any(self) -> bool:
        """Return whether any instance has named a limit of late."""
        return self._board.has_any(core.FactKind.LIMIT)

    def on_answer(
        self, instance: str, born: int, limit_per_s: float | None, now: float
    ) -> None:
        """Record what an answer says of the limit of its instance."""
        if limit_per_s is None and not self.has_any:
            return
        subject = incarnation_name(instance, born)
        known = self._board.facts(core.FactKind.LIMIT, subject, now)
        before = known[0].value if known else NO_LIMIT
        if limit_per_s is None:
            if before == NO_LIMIT or known[0].age_ms < MIN_ABSENCE_MS:
                return
            limit_per_s = NO_LIMIT
        self._board.observe(core.FactKind.LIMIT, subject, "", limit_per_s, now)
        if limit_per_s != before:
            events.emit(
                324,
                instance=instance,
                born=born,
                limit=limit_per_s,
                before=before,
            )

    def on_grant(self, vm: str, instance: str, born: int, now: float) -> None:
        """Record that a VM grants slots at an instance that names a limit."""
        subject = incarnation_name(instance, born)
        self._board.observe(core.FactKind.GRANTS, subject, vm, 1.0, now)

    def granting_vm_count(self, vm: str, instance: str, born: int, now: float) -> int:
        """Return how many VMs grant slots at an instance, this one included.

        There are several while a dispatcher ends or returns.
        """
        subject = incarnation_name(instance, born)
        granting = self._board.facts(core.FactKind.GRANTS, subject, now)
        return len({vm, *(fact.member for fact in granting)})

    def limit_per_s(self, instance: str, born: int, now: float) -> float | None:
        """Return the requests per second that an instance takes from all VMs."""
        if not self.has_any:
            return None
        subject = incarnation_name(instance, born)
        for fact in self._board.facts(core.FactKind.LIMIT, subject, now):
            return None if fact.value == NO_LIMIT else fact.value
        return None


def incarnation_name(instance: str, born: int) -> str:
    """Return the name of an incarnation of an instance."""
    return f"{instance}@{born}"


def instance_id(name: str) -> str:
    """Return the instance of the name of an incarnation."""
    return name.rpartition("@")[0]
