"""Follow the configuration stream and maintain the active configuration."""

import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

from wasabivalve import events, platform_log, resources, supervision

from . import log_relay

LONG_POLL_MS = 1_000.0
RETRY_DELAY_MS = 200.0


class ActiveConfiguration:
    """Replay configuration records; the revision of the view never decreases."""

    def __init__(
        self,
        keys_by_operator: Mapping[str, str],
        on_change: Callable[[resources.ConfigurationView], None] = lambda view: None,
    ):
        self._keys_by_operator = keys_by_operator
        self._on_change = on_change
        self._lock = threading.Lock()
        self._state = resources.EMPTY_CONFIGURATION
        self._view: resources.ConfigurationView | None = None
        self._gap: _Gap | None = None

    @property
    def state(self) -> resources.ConfigurationState:
        """Return the replayed state."""
        return self._state

    def current_view(self) -> resources.ConfigurationView | None:
        """Return the active configuration, None until one was read without gaps."""
        return self._view

    def apply_records(self, records: tuple[platform_log.LoggedRecord, ...]) -> None:
        """Apply consecutive records; those already applied are ignored."""
        with self._lock:
            previous_revision = self._state.revision
            if self._gap is None:
                self._apply_records(records)
            else:
                self._restore_from_snapshot(self._gap, records)
            revision = self._state.revision
            if revision == 0 or (
                revision == previous_revision and self._view is not None
            ):
                return
            self._view = resources.view.build(self._state)
            view = self._view
        events.emit(500, revision=revision)
        self._on_change(view)

    def record_gap(self, oldest_offset: int) -> None:
        """Record that the records before an offset were missed.

        The active configuration stays until a snapshot closes the gap.
        """
        with self._lock:
            if oldest_offset > self._state.next_offset:
                self._gap = _Gap(oldest_offset, [])

    def _apply_records(self, records: tuple[platform_log.LoggedRecord, ...]) -> None:
        for offset, record in records:
            self._state = resources.apply(
                self._state, offset, record, self._keys_by_operator
            ).state

    def _restore_from_snapshot(
        self, gap: "_Gap", records: tuple[platform_log.LoggedRecord, ...]
    ) -> None:
        gap.records.extend(records)
        state = resources.snapshots.restore(
            gap.records, gap.oldest_offset, self._keys_by_operator, False
        )
        if state is not None and state.revision >= self._state.revision:
            self._state = state
            self._gap = None
            # Apply the writes after the offset that the snapshot covers; they were read
            # together with it.
            self._apply_records(tuple(gap.records))


class _Gap(NamedTuple):
    oldest_offset: int
    records: list[platform_log.LoggedRecord]


class LogFollower:
    """Read one stream of the log on a thread and pass its records to a callback."""

    def __init__(
        self,
        log_client: log_relay.RelayingLogClient,
        stream: str,
        on_batch: Callable[[platform_log.ReadBatch, bool], None],
        on_gap: Callable[[platform_log.Gap], None],
        on_availability: Callable[[bool], None] = lambda available: None,
    ):
        self._log_client = log_client
        self._stream = stream
        self._on_batch = on_batch
        self._on_gap = on_gap
        self._on_availability = on_availability
        self._offset = 0
        self._available = True
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"log-{stream}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Request the stop of the thread, which may take as long as one read."""
        self._closing.set()

    def _run(self) -> None:
        supervision.run_steps(
            f"follower of {self._stream}", self._follow, self._closing
        )

    def _follow(self) -> None:
        """Read once, and pass on what was read."""
        result, from_log = self._log_client.read_log_or_copy(
            self._stream, self._offset, LONG_POLL_MS
        )
        try:
            if isinstance(result, platform_log.ReadBatch):
                self._on_batch(result, from_log)
                self._offset = result.next_offset
            elif isinstance(result, platform_log.Gap):
                events.emit(202, stream=self._stream, offset=self._offset)
                self._on_gap(result)
                self._offset = result.oldest_offset
        except Exception:
            # The records are read again; until they take effect the log is of no use.
            self._report_availability(False)
            raise
        self._report_availability(from_log)
        if not from_log:
            self._closing.wait(RETRY_DELAY_MS / 1000)

    def _report_availability(self, available: bool) -> None:
        if available == self._available:
            return
        self._available = available
        events.emit(201 if available else 200, stream=self._stream)
        self._on_availability(available)
