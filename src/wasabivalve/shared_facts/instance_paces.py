"""Hold which instances are cold, and the paces that dispatchers have found."""

from . import core, instance_limits

MIN_EXTENSION_MS = 300.0
"""Difference of two ends of a warm-up that is only the age of the later report."""


class InstancePaces:
    """Record warm-ups and paces on a board; all times are in ms of its clock."""

    def __init__(self, board: core.FactBoard) -> None:
        self._board = board

    @property
    def has_any(self) -> bool:
        """Return whether any warm-up or pace is known."""
        return self._board.has_any(core.FactKind.COLD) or self._board.has_any(
            core.FactKind.PACE
        )

    def on_cold(self, instance: str, born: int, left_ms: float, now: float) -> bool:
        """Record that an instance stays cold; return whether that is new."""
        known_until = self.cold_until(instance, born, now)
        if known_until is not None and now + left_ms < known_until + MIN_EXTENSION_MS:
            return False
        subject = instance_limits.incarnation_name(instance, born)
        # An equal time that is left again is news, as it begins later.
        self._board.observe(core.FactKind.COLD, subject, "", left_ms, now, now)
        return True

    def cold_until(self, instance: str, born: int, now: float) -> float | None:
        """Return until when an instance is reported to be cold, None if it is not."""
        if not self._board.has_any(core.FactKind.COLD):
            return None
        subject = instance_limits.incarnation_name(instance, born)
        for fact in self._board.facts(core.FactKind.COLD, subject, now):
            until = now - fact.age_ms + fact.value
            return until if until > now else None
        return None

    def on_pace(self, instance: str, born: int, pace_per_s: float, now: float) -> None:
        """Record the pace that this VM has found as the dispatcher of an instance."""
        subject = instance_limits.incarnation_name(instance, born)
        self._board.observe(core.FactKind.PACE, subject, "", pace_per_s, now)

    def pace_per_s(self, instance: str, born: int, now: float) -> float | None:
        """Return the pace that a dispatcher has found of late, None without one."""
        if not self._board.has_any(core.FactKind.PACE):
            return None
        subject = instance_limits.incarnation_name(instance, born)
        for fact in self._board.facts(core.FactKind.PACE, subject, now):
            return fact.value
        return None
