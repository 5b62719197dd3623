"""Run the requests of an upstream in slots, under leases, and record the runs."""

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
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_DEADLINE_MS = 1e9
MAX_SHARDS = 64
MAX_LOAD_SAMPLES = 10_000

CRASHED = "upstream crashed"
CANCELLED = "request was cancelled"
LATE = "deadline has passed"


class RequestNotCommitted(Exception):
    """End a request without effect: status and reason of the response."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class LoadSample(NamedTuple):
    """Record how many requests were running and waiting at a time in ms."""

    at_ms: float
    running: int
    waiting: int


class _Call(NamedTuple):
    """Carry one request for work, with its time limit in ms of the clock."""

    request: http_server.StandInRequest
    ticket: slots.Ticket
    idempotency_key: str
    key: str
    token: ownership.FencingToken
    ends_at: float


class RequestExecutor:
    """Hold the slots, leases and runs of one upstream."""

    def __init__(
        self,
        options: upstream_options.UpstreamOptions,
        now: Callable[[], float],
    ):
        """Take options and a clock in ms."""
        self._options = options
        self._now = now
        self._random = random.Random(options.seed)
        self._changed = threading.Condition(threading.RLock())
        self._slots = slots.SlotTable(
            options.slots, options.backlog, self._changed, self._note_load
        )
        self._lease_by_shard: dict[str, ownership.ServerLease] = {}
        self._load_samples: collections.deque[LoadSample] = collections.deque(
            maxlen=MAX_LOAD_SAMPLES
        )
        self._runs: collections.deque[history.Run] = collections.deque(
            maxlen=options.history_limit
        )
        self._runs_recorded = 0
        self._generation = 0
        self._frozen = False
        self._started_at = 0.0
        self._draining_since: float | None = None
        self._last_received: float | None = None
        self.faults = upstream_options.UpstreamFaults()

    @contextlib.contextmanager
    def unfrozen_lock(self) -> Iterator[None]:
        """Hold the lock while not frozen, as a stopped process changes nothing."""
        with self._changed:
            while self._frozen:
                self._changed.wait()
            yield

    @property
    def draining(self) -> bool:
        """Return whether new requests are refused."""
        return self._draining_since is not None

    def start(self) -> None:
        """Begin the cold start."""
        with self._changed:
            self._started_at = self._now()

    def abort_and_reset(self) -> None:
        """Abort all requests and lose all state but the recorded runs."""
        with self._changed:
            self._generation += 1
            self._lease_by_shard.clear()
            self._draining_since = None
            self._frozen = False
            self._changed.notify_all()

    def freeze(self, frozen: bool) -> None:
        """Stop or resume all changes of state."""
        with self._changed:
            self._frozen = frozen
            self._changed.notify_all()

    def set_draining(self, draining: bool) -> int:
        """Refuse new requests, or end that; return the number of running ones."""
        with self._changed:
            self._draining_since = self._now() if draining else None
            self._changed.notify_all()
            return self._slots.running_count

    def cancel(self, request_id: str) -> bool:
        """Abort the requests with an id; return whether there is one."""
        with self.unfrozen_lock():
            return self._slots.cancel(request_id)

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Change some faults; raise BadRequest for a wrong one."""
        with self._changed:
            self.faults = json_http.update_faults(self.faults, changes)

    def apply_ownership(
        self, command: ownership.OwnershipCommand
    ) -> ownership.OwnershipReply:
        """Apply a command of a controller."""
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
            return self._lease_by_shard[shard].handle(command, self._now())

    def delayed_load(self) -> LoadSample:
        """Return the load as it was ``load_lag_ms`` ago."""
        with self.unfrozen_lock():
            shown_until = self._now() - self.faults.load_lag_ms
            for sample in reversed(self._load_samples):
                if sample.at_ms <= shown_until:
                    return sample
            return LoadSample(0.0, 0, 0)

    def history_document(self) -> dict[str, Any]:
        """Return the recorded runs with what a check of drains needs."""
        with self.unfrozen_lock():
            return {
                "runs": [run._asdict() for run in self._runs],
                "runs_dropped": self._runs_recorded - len(self._runs),
                "draining_since_ms": self._draining_since,
                "last_received_ms": self._last_received,
            }

    def runs(self) -> tuple[history.Run, ...]:
        """Return the recorded runs."""
        with self._changed:
            return tuple(self._runs)

    def execute(
        self, request: http_server.StandInRequest, crash: Callable[[], None]
    ) -> http_server.StandInResponse:
        """Run one request; raise NoEffect when it is refused or not committed."""
        call = self._read_call(request)
        with self.unfrozen_lock():
            generation = self._generation
            self._last_received = self._now()
            self._take_slot(call, generation)
        try:
            return self._run(call, generation, crash)
        finally:
            with self._changed:
                self._slots.release(call.ticket)

    def _read_call(self, request: http_server.StandInRequest) -> _Call:
        deadline = request.header(DEADLINE_HEADER)
        ends_at = float("inf")
        if deadline is not None:
            limit_ms = json_http.read_number(
                {DEADLINE_HEADER: deadline}, DEADLINE_HEADER, 0.0, MAX_DEADLINE_MS
            )
            ends_at = self._now() + limit_ms
        token = request.header(TOKEN_HEADER)
        return _Call(
            request,
            slots.Ticket(request.header(REQUEST_ID_HEADER) or ""),
            request.header(IDEMPOTENCY_HEADER) or "",
            request.header(KEY_HEADER) or "",
            ownership_codec.parse_token_header(token) if token else ownership.NO_TOKEN,
            ends_at,
        )

    def _take_slot(self, call: _Call, generation: int) -> None:
        def stop_reason() -> str | None:
            if self.draining:
                return "upstream is draining"
            if call.request.client_disconnected():
                return "client has left"
            return self._stop_reason(call, generation)

        if reason := stop_reason():
            raise RequestNotCommitted(503, reason)
        refused = self._slots.acquire(
            call.ticket, stop_reason, lambda: (call.ends_at - self._now()) / 1000
        )
        if refused:
            self._check_crash(refused.reason)
            raise RequestNotCommitted(503, refused.reason)

    def _stop_reason(self, call: _Call, generation: int) -> str | None:
        if generation != self._generation:
            return CRASHED
        if call.ticket.cancelled:
            return CANCELLED
        if self._now() >= call.ends_at:
            return LATE
        return None

    def _run(
        self, call: _Call, generation: int, crash: Callable[[], None]
    ) -> http_server.StandInResponse:
        with self.unfrozen_lock():
            lease = self._lease_for(call)
            started_ms = self._now()
            ready_at = started_ms + self.draw_service_time_ms()
            if lease:
                lease.on_request_started(call.key)
        marker = self.faults.poison_marker.encode()
        if marker and marker in call.request.body:
            crash()
        self._wait_until(ready_at, call, generation)
        with self.unfrozen_lock():
            if lease:
                lease.on_request_finished(call.key)
            reason = self._stop_reason(call, generation)
            status = 503 if reason == LATE else 409
            if not reason and lease:
                reason = lease.commit_refusal(call.key, call.token, self._now())
            self._record(call, started_ms, reason)
            if reason:
                self._check_crash(reason)
                raise RequestNotCommitted(status, reason)
            return self._response(call)

    def _lease_for(self, call: _Call) -> ownership.ServerLease | None:
        if not self._options.divided_by_key:
            return None
        if not call.key:
            raise RequestNotCommitted(421, f"{KEY_HEADER} is missing")
        reasons = []
        for lease in self._lease_by_shard.values():
            reason = lease.start_refusal(call.key, call.token, self._now())
            if reason is None:
                return lease
            reasons.append(reason)
        raise RequestNotCommitted(
            421, "; ".join(sorted(set(reasons))) or "no lease is held"
        )

    def draw_service_time_ms(self) -> float:
        """Return the service time of the next run in ms."""
        options = self._options
        time_ms = options.service_time_ms * self.faults.slow_factor
        if options.service_time_spread:
            time_ms *= self._random.lognormvariate(0.0, options.service_time_spread)
        age_ms = self._now() - self._started_at
        if age_ms < options.cold_start_ms:
            left = 1 - age_ms / options.cold_start_ms
            time_ms *= 1 + (options.cold_factor - 1) * left
        return time_ms

    def _wait_until(self, ready_at: float, call: _Call, generation: int) -> None:
        with self._changed:
            while (now := self._now()) < ready_at:
                if self._stop_reason(call, generation):
                    return
                self._changed.wait((min(ready_at, call.ends_at) - now) / 1000)

    def _record(self, call: _Call, started_ms: float, reason: str | None) -> None:
        run = history.Run(
            self._options.name,
            call.ticket.request_id,
            call.idempotency_key,
            call.key,
            started_ms,
            self._now(),
            reason is None,
            reason or "",
        )
        self._runs.append(run)
        self._runs_recorded += 1
        if self._options.history_file:
            with open(self._options.history_file, "ab") as file:
                file.write(msgspec.json.encode(run._asdict()) + b"\n")

    def _check_crash(self, reason: str) -> None:
        if reason == CRASHED:
            raise http_server.AbortConnection

    def _response(self, call: _Call) -> http_server.StandInResponse:
        if self._happens("lost_answers", self.faults.lost_answer_share):
            raise http_server.AbortConnection
        document = {
            "server": self._options.name,
            "request_id": call.ticket.request_id,
            "key": call.key,
            "digest": xxhash.xxh3_64_hexdigest(call.request.body),
        }
        document["padding"] = "x" * max(0, self._options.response_bytes - 160)
        body = msgspec.json.encode(document)
        if self._happens("cut_bodies", self.faults.cut_body_share):
            half = body[: len(body) // 2]
            return http_server.StandInResponse(
                200, half, declared_length_bytes=len(body)
            )
        return http_server.StandInResponse(200, body)

    def _happens(self, counter: str, share: float) -> bool:
        left = getattr(self.faults, counter)
        if left:
            self.change_faults({counter: left - 1})
            return True
        return share > 0 and self._random.random() < share

    def _note_load(self, running: int, waiting: int) -> None:
        self._load_samples.append(LoadSample(self._now(), running, waiting))
