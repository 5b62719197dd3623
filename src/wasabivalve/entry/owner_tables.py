"""Hold the newest owner tables and let requests wait for a change."""

import threading

from wasabivalve import ownership, routing
from wasabivalve.schema import messages_generated


class OwnerTables:
    """Hold one owner table per shard; safe to use from threads."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._table_by_shard: dict[str, routing.OwnerIndex] = {}
        self._message_by_shard: dict[str, messages_generated.OwnerTable] = {}

    def publish(self, message: messages_generated.OwnerTable) -> bool:
        """Take in a table; return whether it is newer than the one held."""
        if routing.validate_owner_table(message):
            return False
        with self._condition:
            current = self._table_by_shard.get(message["shard"])
            table = routing.newest_owner_index(current, message)
            if table is current:
                return False
            self._table_by_shard[message["shard"]] = table
            self._message_by_shard[message["shard"]] = message
            self._condition.notify_all()
            return True

    def find(self, shard: str) -> routing.OwnerIndex | None:
        """Return the newest table of a shard, if any."""
        return self._table_by_shard.get(shard)

    def request_for(self, shard: str) -> messages_generated.OwnerTableRequest:
        """Return the message that asks a peer for a newer table."""
        table = self._table_by_shard.get(shard)
        known = table.generation if table else ownership.NO_TOKEN
        return {
            "shard": shard,
            "known": {
                "term": known.term,
                "position": known.position,
                "step": known.step,
            },
        }

    def newer_than(
        self, shard: str, known: messages_generated.Token
    ) -> messages_generated.OwnerTable | None:
        """Return the table held if its generation is higher than the known one."""
        table = self._table_by_shard.get(shard)
        generation = (known["term"], known["position"], known["step"])
        if table is None or table.generation <= generation:
            return None
        return self._message_by_shard[shard]

    def wait_for_change(
        self, shard: str, seen: routing.OwnerIndex | None, timeout_ms: float
    ) -> None:
        """Wait until the table of a shard is another than the one seen."""
        with self._condition:
            self._condition.wait_for(
                lambda: self._table_by_shard.get(shard) is not seen,
                timeout_ms / 1000,
            )
