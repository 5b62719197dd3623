"""Execute the requests of an upstream in slots, under leases; record the runs."""

import collections
import contextlib
import random
import threading
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec
import xxhash

from wasabivalve import ownership

from . import (
    history,
    http_server,
    json_http,
    ownership_codec,
    slots,
    upstream_options,
)

REQUEST_ID_HEADER = "Wasabivalve-Request-Id"
KEY_HEADER = "Wasabivalve-Key"
TOKEN_HEADER = "Wasabivalve-Token"
DEADLINE_HEADER = "Wasabivalve-Deadline-Ms"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_DEADLINE_MS = 1e9
MAX_SHARDS = 64
MAX_LOAD_SAMPLES = 10_000

CRASH_REASON = "upstream crashed"
CANCELLATION_REASON = "request was cancelled"
DEADLINE_REASON = "deadline has passed"


class RequestNotCommitted(Exception):
    """Raised to end a request without effect, with the response's status and reason."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class LoadSample(NamedTuple):
    """Represent the number of running and waiting requests at a time in ms."""

    at_ms: float
    running: int
    waiting: int


class _Call(NamedTuple):
    """Represent one received request, with its deadline in ms of the clock."""

    request: http_server.StandInRequest
    ticket: slots.Ticket
    idempotency_key: str
    key: str
    token: ownership.FencingToken
    deadline_at_ms: float


class RequestExecutor:
    """Hold the slots, leases and recorded runs of one upstream."""

    def __init__(
        self,
        options: upstream_options.UpstreamOptions,
        now_ms: Callable[[], float],
    ):
        """Initialize with a clock that returns ms."""
        self._options = options
        self._now_ms = now_ms
        self._random = random.Random(options.seed)
        self._changed = threading.Condition(threading.RLock())
        self._slots = slots.SlotTable(
            options.slots, options.backlog, self._changed, self._record_load_sample
        )
        self._lease_by_shard: dict[str, ownership.ServerLease] = {}
        self._load_samples: collections.deque[LoadSample] = collections.deque(
            maxlen=MAX_LOAD_SAMPLES
        )
        self._runs: collections.deque[history.Run] = collections.deque(
            maxlen=options.history_limit
        )
        self._recorded_run_count = 0
        self._incarnation = 0
        self._frozen = False
        self._started_at_ms = 0.0
        self._draining_since_ms: float | None = None
        self._last_received_ms: float | None = None
        self.faults = upstream_options.UpstreamFaults()

    @contextlib.contextmanager
    def unfrozen_lock(self) -> Iterator[None]:
        """Hold the lock once unfrozen, as a suspended process changes no state."""
        with self._changed:
            while self._frozen:
                self._changed.wait()
            yield

    @property
    def draining(self) -> bool:
        """Return whether new requests are refused."""
        return self._draining_since_ms is not None

    def start(self) -> None:
        """Start the cold-start period."""
        with self._changed:
            self._started_at_ms = self._now_ms()

    def abort_and_reset(self) -> None:
        """Abort all requests and discard all state except the recorded runs."""
        with self._changed:
            self._incarnation += 1
            self._lease_by_shard.clear()
            self._draining_since_ms = None
            self._frozen = False
            self._changed.notify_all()

    def freeze(self, frozen: bool) -> None:
        """Suspend or resume all changes of state."""
        with self._changed:
            self._frozen = frozen
            self._changed.notify_all()

    def set_draining(self, draining: bool) -> int:
        """Refuse or accept new requests; return the number of running ones."""
        with self._changed:
            self._draining_since_ms = self._now_ms() if draining else None
            self._changed.notify_all()
            return self._slots.running_count

    def cancel(self, request_id: str) -> bool:
        """Abort the requests with an id; return whether there are any."""
        with self.unfrozen_lock():
            return self._slots.cancel(request_id)

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Change some faults; raise BadRequest if one is invalid."""
        with self._changed:
            self.faults = json_http.update_faults(self.faults, changes)

    def apply_ownership(
        self, command: ownership.OwnershipCommand
    ) -> ownership.OwnershipReply:
        """Apply a command of a controller; raise BadRequest for one shard too many."""
        with self.unfrozen_lock():
            shard = command.shard
            if shard not in self._lease_by_shard:
                if len(self._lease_by_shard) >= MAX_SHARDS:
                    raise json_http.BadRequest(
                        f"{shard!r} is beyond {MAX_SHARDS} shards"
                    )
                self._lease_by_shard[shard] = ownership.ServerLease(
                    self._options.checks_fencing, self._options.lease_ms
                )
            return self._lease_by_shard[shard].handle(command, self._now_ms())

    def delayed_load(self) -> LoadSample:
        """Return the number of running and waiting requests ``load_lag_ms`` ago."""
        with self.unfrozen_lock():
            visible_until_ms = self._now_ms() - self.faults.load_lag_ms
            for sample in reversed(self._load_samples):
                if sample.at_ms <= visible_until_ms:
                    return sample
            return LoadSample(0.0, 0, 0)

    def history_document(self) -> dict[str, Any]:
        """Return the recorded runs and the times that a check of a drain needs."""
        with self.unfrozen_lock():
            return {
                "runs": [run._asdict() for run in self._runs],
                "runs_dropped": self._recorded_run_count - len(self._runs),
                "draining_since_ms": self._draining_since_ms,
                "last_received_ms": self._last_received_ms,
            }

    def runs(self) -> tuple[history.Run, ...]:
        """Return the recorded runs."""
        with self._changed:
            return tuple(self._runs)

    def execute(
        self, request: http_server.StandInRequest, crash: Callable[[], None]
    ) -> http_server.StandInResponse:
        """Run one request; raise RequestNotCommitted if refused or not committed."""
        call = self._decode_request(request)
        with self.unfrozen_lock():
            incarnation = self._incarnation
            self._last_received_ms = self._now_ms()
            self._acquire_slot(call, incarnation)
        try:
            return self._run_in_slot(call, incarnation, crash)
        finally:
            with self._changed:
                self._slots.release(call.ticket)

    def _decode_request(self, request: http_server.StandInRequest) -> _Call:
        deadline_text = request.header(DEADLINE_HEADER)
        deadline_at_ms = float("inf")
        if deadline_text is not None:
            remaining_ms = json_http.read_number(
                {DEADLINE_HEADER: deadline_text}, DEADLINE_HEADER, 0.0, MAX_DEADLINE_MS
            )
            deadline_at_ms = self._now_ms() + remaining_ms
        token = request.header(TOKEN_HEADER)
        return _Call(
            request,
            slots.Ticket(request.header(REQUEST_ID_HEADER) or ""),
            request.header(IDEMPOTENCY_KEY_HEADER) or "",
            request.header(KEY_HEADER) or "",
            ownership_codec.parse_token_header(token) if token else ownership.NO_TOKEN,
            deadline_at_ms,
        )

    def _acquire_slot(self, call: _Call, incarnation: int) -> None:
        def stop_reason() -> str | None:
            if self.draining:
                return "upstream is draining"
            if call.request.client_disconnected():
                return "client has left"
            return self._stop_reason(call, incarnation)

        if reason := stop_reason():
            raise RequestNotCommitted(503, reason)
        refusal = self._slots.acquire(
            call.ticket,
            stop_reason,
            lambda: (call.deadline_at_ms - self._now_ms()) / 1000,
        )
        if refusal:
            self._abort_if_crashed(refusal.reason)
            raise RequestNotCommitted(503, refusal.reason)

    def _stop_reason(self, call: _Call, incarnation: int) -> str | None:
        if incarnation != self._incarnation:
            return CRASH_REASON
        if call.ticket.cancelled:
            return CANCELLATION_REASON
        if self._now_ms() >= call.deadline_at_ms:
            return DEADLINE_REASON
        return None

    def _run_in_slot(
        self, call: _Call, incarnation: int, crash: Callable[[], None]
    ) -> http_server.StandInResponse:
        with self.unfrozen_lock():
            lease = self._find_lease(call)
            started_ms = self._now_ms()
            finishes_at_ms = started_ms + self.draw_service_time_ms()
            if lease:
                lease.on_request_started(call.key)
        marker = self.faults.poison_marker.encode()
        if marker and marker in call.request.body:
            crash()
        self._wait_until(finishes_at_ms, call, incarnation)
        with self.unfrozen_lock():
            if lease:
                lease.on_request_finished(call.key)
            reason = self._stop_reason(call, incarnation)
            status = 503 if reason == DEADLINE_REASON else 409
            if not reason and lease:
                reason = lease.commit_refusal(call.key, call.token, self._now_ms())
            self._record_run(call, started_ms, reason)
            if reason:
                self._abort_if_crashed(reason)
                raise RequestNotCommitted(status, reason)
            return self._build_response(call)

    def _find_lease(self, call: _Call) -> ownership.ServerLease | None:
        if not self._options.divided_by_key:
            return None
        if not call.key:
            raise RequestNotCommitted(421, f"{KEY_HEADER} is missing")
        refusal_reasons = []
        for lease in self._lease_by_shard.values():
            reason = lease.start_refusal(call.key, call.token, self._now_ms())
            if reason is None:
                return lease
            refusal_reasons.append(reason)
        raise RequestNotCommitted(
            421, "; ".join(sorted(set(refusal_reasons))) or "no lease is held"
        )

    def draw_service_time_ms(self) -> float:
        """Return the service time of the next run in ms."""
        options = self._options
        time_ms = options.service_time_ms * self.faults.slow_factor
        if options.service_time_spread:
            time_ms *= self._random.lognormvariate(0.0, options.service_time_spread)
        age_ms = self._now_ms() - self._started_at_ms
        if age_ms < options.cold_start_ms:
            cold_share = 1 - age_ms / options.cold_start_ms
            time_ms *= 1 + (options.cold_factor - 1) * cold_share
        return time_ms

    def _wait_until(self, finishes_at_ms: float, call: _Call, incarnation: int) -> None:
        with self._changed:
            while (now_ms := self._now_ms()) < finishes_at_ms:
                if self._stop_reason(call, incarnation):
                    return
                self._changed.wait(
                    (min(finishes_at_ms, call.deadline_at_ms) - now_ms) / 1000
                )

    def _record_run(self, call: _Call, started_ms: float, reason: str | None) -> None:
        run = history.Run(
            self._options.name,
            call.ticket.request_id,
            call.idempotency_key,
            call.key,
            started_ms,
            self._now_ms(),
            reason is None,
            reason or "",
        )
        self._runs.append(run)
        self._recorded_run_count += 1
        if self._options.history_file:
            with open(self._options.history_file, "ab") as file:
                file.write(msgspec.json.encode(run._asdict()) + b"\n")

    def _abort_if_crashed(self, reason: str) -> None:
        if reason == CRASH_REASON:
            raise http_server.AbortConnection

    def _build_response(self, call: _Call) -> http_server.StandInResponse:
        if self._fault_occurs("lost_answers", self.faults.lost_answer_share):
            raise http_server.AbortConnection
        document = {
            "server": self._options.name,
            "request_id": call.ticket.request_id,
            "key": call.key,
            "digest": xxhash.xxh3_64_hexdigest(call.request.body),
        }
        document["padding"] = "x" * max(0, self._options.response_bytes - 160)
        body = msgspec.json.encode(document)
        if self._fault_occurs("cut_bodies", self.faults.cut_body_share):
            first_half = body[: len(body) // 2]
            return http_server.StandInResponse(
                200, first_half, declared_length_bytes=len(body)
            )
        return http_server.StandInResponse(200, body)

    def _fault_occurs(self, counter_name: str, probability: float) -> bool:
        remaining_count = getattr(self.faults, counter_name)
        if remaining_count:
            self.change_faults({counter_name: remaining_count - 1})
            return True
        return probability > 0 and self._random.random() < probability

    def _record_load_sample(self, running: int, waiting: int) -> None:
        self._load_samples.append(LoadSample(self._now_ms(), running, waiting))
