"""Hold the instances that say in their answers that they leave."""

from wasabivalve import events

from . import core, instance_limits

LEAVING = 1.0


class LeavingInstances:
    """Record leaving instances on a board; all times are in ms of its clock."""

    def __init__(self, board: core.FactBoard) -> None:
        self._board = board

    @property
    def has_any(self) -> bool:
        """Return whether any instance has said that it leaves."""
        return self._board.has_any(core.FactKind.LEAVING)

    def leaving_ids(self) -> set[str]:
        """Return the ids of instances of which an incarnation has said it leaves."""
        return {
            instance_limits.instance_id(subject)
            for subject in self._board.subjects(core.FactKind.LEAVING)
        }

    def on_leaving(self, instance: str, born: int, now: float) -> None:
        """Record that an answer says that its instance leaves."""
        if self.is_leaving(instance, born, now):
            return
        subject = instance_limits.incarnation_name(instance, born)
        self._board.observe(core.FactKind.LEAVING, subject, "", LEAVING, now)
        events.emit(325, instance=instance, born=born)

    def is_leaving(self, instance: str, born: int, now: float) -> bool:
        """Return whether an incarnation has said that it leaves."""
        if not self.has_any:
            return False
        subject = instance_limits.incarnation_name(instance, born)
        return bool(self._board.facts(core.FactKind.LEAVING, subject, now))
