"""Read what the operator writes: desired states and evacuations of data centres."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from wasabivalve import events, untrusted_data
from wasabivalve.desired_state import core as desired_state
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.placement import evacuation

from . import desired_state as desired_state_decoder

TOPIC = "keyed.op"
DESIRED_STATE_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

RECORDS_WAIT_S = 10.0
"""Time after a restore of the store for which an evacuation needs no record.

The operator writes what was lost again; ending an evacuation too late costs capacity,
ending it too early sends requests to instances that are about to lose power.
"""


class OperatorRecords:
    """Hold the newest desired state and the evacuated data centres.

    ``put_copy`` gets each record that has an effect, for other VMs to copy.
    """

    def __init__(
        self,
        put_copy: Callable[[str, keyed_log.Record], None],
        on_desired_state: Callable[[desired_state.DesiredState], None],
        on_evacuations: Callable[[], None],
    ) -> None:
        self.desired_state: desired_state.DesiredState | None = None
        self.evacuated = evacuation.EvacuatedDataCentres()
        self._put_copy = put_copy
        self._on_desired_state = on_desired_state
        self._on_evacuations = on_evacuations
        self._wait: asyncio.TimerHandle | None = None

    def removable_keys(self) -> list[str]:
        """Return the known keys whose absence from a listing has an effect."""
        if self.evacuated.awaits_records:
            return []
        return [f"{EVACUATION_PREFIX}{name}" for name in self.evacuated.data_centres]

    def on_new_era(self) -> None:
        """Keep evacuations until their records may have been written again."""
        self.evacuated.on_store_restored()
        if self._wait is not None:
            self._wait.cancel()
        self._wait = asyncio.get_running_loop().call_later(
            RECORDS_WAIT_S, self._end_wait
        )

    def close(self) -> None:
        """Cancel the wait for records."""
        if self._wait is not None:
            self._wait.cancel()

    def _end_wait(self) -> None:
        self._report_evacuations(self.evacuated.end_wait())

    def on_listing(self, records: Sequence[keyed_log.Record]) -> None:
        """Apply the newest record of each key; evacuations without one end."""
        evacuations = [
            record
            for record in records
            if record.key.startswith(EVACUATION_PREFIX) and record.value
        ]
        changed = self.evacuated.on_listing(
            record.key.removeprefix(EVACUATION_PREFIX) for record in evacuations
        )
        self._report_evacuations(changed)
        states = [record for record in records if record.key == DESIRED_STATE_KEY]
        keyed_log.handle_each(TOPIC, states, self.on_record)

    def on_record(self, record: keyed_log.Record) -> None:
        """Apply a record."""
        if record.key.startswith(EVACUATION_PREFIX):
            self._on_evacuation(record)
        elif record.key == DESIRED_STATE_KEY and record.value is not None:
            self._on_state(record, record.value)

    def _on_evacuation(self, record: keyed_log.Record) -> None:
        data_centre = record.key.removeprefix(EVACUATION_PREFIX)
        if record.value and not _is_object(record.value):
            # The key says what the operator wants; the value has nothing to add.
            problem = f"value of {record.key} is not a JSON object"
            events.emit(503, offset=record.offset, problem=problem)
        self._put_copy(TOPIC, record)
        if self.evacuated.on_record(data_centre, bool(record.value)):
            self._report_evacuations((data_centre,))

    def _report_evacuations(self, changed: Iterable[str]) -> None:
        is_changed = False
        for data_centre in sorted(changed):
            is_changed = True
            is_evacuated = self.evacuated.is_evacuated(data_centre)
            events.emit(
                504 if is_evacuated else 505,
                data_centre=data_centre,
                evacuated=",".join(sorted(self.evacuated.data_centres)),
            )
        if is_changed:
            self._on_evacuations()

    def _on_state(self, record: keyed_log.Record, value: bytes) -> None:
        try:
            state = desired_state_decoder.decode(value)
        except desired_state_decoder.MalformedDesiredState as error:
            events.emit(503, offset=record.offset, problem=str(error))
            return
        known = self.desired_state
        if known is not None and state.version <= known.version:
            return
        self.desired_state = state
        self._put_copy(TOPIC, record)
        self._on_desired_state(state)
        events.emit(
            500, version=state.version, offset=record.offset, routes=len(state.routes)
        )


def _is_object(value: bytes) -> bool:
    try:
        return isinstance(untrusted_data.decode_json(value), dict)
    except untrusted_data.UndecodableError:
        return False
