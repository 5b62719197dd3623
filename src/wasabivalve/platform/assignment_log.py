"""Read and write the log of key assignments in the store."""

from collections.abc import Callable, Sequence

from wasabivalve import events, untrusted_data
from wasabivalve.key_leases import core as key_leases
from wasabivalve.key_leases import leases
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.vm_link import copies

from . import store

ASSIGNMENT_LOG_TOPIC = "keyed.wasabivalve.keys"
ASSIGNMENT_MAP_KEY = "map"


class AssignmentLog:
    """Hold the calls of a controller to the log, and handle the records followed.

    ``on_map`` is called with each map that is read; it returns whether the map is the
    newest one.
    """

    def __init__(
        self,
        store_client: store.StoreClient,
        document_copies: copies.DocumentCopies,
        on_map: Callable[[key_leases.AssignmentMap], bool],
    ) -> None:
        self._store_client = store_client
        self._copies = document_copies
        self._on_map = on_map

    def on_listing(self, records: Sequence[keyed_log.Record]) -> None:
        """Handle the maps of a listing of the topic."""
        keyed_log.handle_each(ASSIGNMENT_LOG_TOPIC, records, self.on_record)

    def on_record(self, record: keyed_log.Record) -> None:
        """Handle one record; log one that can't be decoded."""
        if record.key != ASSIGNMENT_MAP_KEY or record.value is None:
            return
        assignment_map = _decode(record)
        if assignment_map is not None and self._on_map(assignment_map):
            self._copies.put(ASSIGNMENT_LOG_TOPIC, record)

    async def read_tail(self) -> leases.AssignmentLogTail | None:
        """Return the newest map and the end of the log, or None if that failed."""
        listing = await self._store_client.list_newest(ASSIGNMENT_LOG_TOPIC)
        era = self._store_client.era.newest
        if isinstance(listing, keyed_log.Unavailable):
            return None
        for record in listing.records:
            if record.key != ASSIGNMENT_MAP_KEY or record.value is None:
                continue
            if record.offset != listing.end_offset - 1:
                # A record was appended after this one was listed, so the map may be
                # outdated.
                return None
            assignment_map = _decode(record)
            if assignment_map is None:
                return None
            return leases.AssignmentLogTail(assignment_map, listing.end_offset, era)
        return leases.AssignmentLogTail(key_leases.EMPTY_MAP, listing.end_offset, era)

    async def append(
        self, assignment_map: key_leases.AssignmentMap, end_offset: int, era: int
    ) -> leases.AppendResult:
        """Append a map if the log ends at an offset of an era."""
        data = key_leases.encode(assignment_map)
        return await self._store_client.append(
            ASSIGNMENT_LOG_TOPIC, ASSIGNMENT_MAP_KEY, data, end_offset, era
        )


def _decode(record: keyed_log.Record) -> key_leases.AssignmentMap | None:
    try:
        return key_leases.decode(record.value or b"")
    except untrusted_data.UndecodableError as error:
        events.emit(
            203, topic=ASSIGNMENT_LOG_TOPIC, offset=record.offset, error=str(error)
        )
        return None
