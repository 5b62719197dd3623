"""Store the newest owner tables and let requests wait for a change."""

import threading

from wasabivalve import ownership, routing
from wasabivalve.schema import messages_generated


class OwnerTables:
    """Store the newest owner table of each shard; thread-safe."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._index_by_shard: dict[str, routing.OwnerIndex] = {}
        self._message_by_shard: dict[str, messages_generated.OwnerTable] = {}

    def publish(self, message: messages_generated.OwnerTable) -> bool:
        """Store a table if it is valid and newer than the stored one.

        Return whether it was stored.
        """
        if routing.validate_owner_table(message):
            return False
        with self._condition:
            current = self._index_by_shard.get(message["shard"])
            owner_index = routing.newest_owner_index(current, message)
            if owner_index is current:
                return False
            self._index_by_shard[message["shard"]] = owner_index
            self._message_by_shard[message["shard"]] = message
            self._condition.notify_all()
            return True

    def find(self, shard: str) -> routing.OwnerIndex | None:
        """Return the index of the newest table of a shard, None if there is none."""
        return self._index_by_shard.get(shard)

    def request_for(self, shard: str) -> messages_generated.OwnerTableRequest:
        """Return the message that requests a newer table from a peer."""
        owner_index = self._index_by_shard.get(shard)
        known = owner_index.generation if owner_index else ownership.NO_TOKEN
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
        """Return the stored table if its generation is higher than the known one."""
        owner_index = self._index_by_shard.get(shard)
        generation = (known["term"], known["position"], known["step"])
        if owner_index is None or owner_index.generation <= generation:
            return None
        return self._message_by_shard[shard]

    def wait_for_change(
        self, shard: str, known_index: routing.OwnerIndex | None, timeout_ms: float
    ) -> None:
        """Wait until the table of a shard is no longer ``known_index``.

        Return after ``timeout_ms`` at the latest.
        """
        with self._condition:
            self._condition.wait_for(
                lambda: self._index_by_shard.get(shard) is not known_index,
                timeout_ms / 1000,
            )
