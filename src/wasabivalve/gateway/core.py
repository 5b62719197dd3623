"""Forward requests to instances within their time, their attempts and the budget."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from wasabivalve import events, retries
from wasabivalve.desired_state import core as desired_state
from wasabivalve.key_leases import view as key_view
from wasabivalve.metrics import served
from wasabivalve.placement import core as placement

from . import caller_connection, messages, pool, upstream_connection, waiting

BACKLOG = 512
"""Connections that the kernel holds until they are accepted."""

LEAST_ATTEMPT_S = 0.012
"""With less time left no instance can answer, a round trip included."""

HOPELESS_SHARE = 0.6
"""A request is given up when it has less than this share of a service time left."""

LEAST_RETRY_AFTER_S = 0.05
LONGEST_RETRY_AFTER_S = 1.0
"""Bounds of Retry-After; callers wait at most a third of their time."""

MOST_REFUSED_SENDS = 6
"""Sends of one request that instances may refuse; its attempts count runs only."""

LONGEST_MOVE_S = 0.5
"""Part of the announced time of a move that is usually not needed."""

MOVED_WAIT_S = 0.12
"""Wait after an instance says that it does not hold a key, while the key moves."""

LONGEST_SLEEP_S = 0.05
"""A waiting request looks for room at least this often, as estimates age by time."""

WAIT_SHARE = 0.6
"""Share of the time of a request that it may wait for room."""

SILENCE_FACTOR = 4.0
"""Multiple of the estimate after which an attempt counts as unanswered."""

AVERAGE_WEIGHT = 0.1
"""Weight of the newest sample in the averages of a route or service."""


LEAST_SPEED_SAMPLES = 8
SLOWEST = 2.5
FASTEST = 0.5
"""Bounds of the slowness of an instance for the keys that it gets."""


class Bounds(NamedTuple):
    """Bound the repeats of all VMs together; the window is in ms."""

    repeat_share: float
    repeat_window_ms: float
    repeat_allowance: float


class Surroundings(NamedTuple):
    """Give the gateway what other parts know.

    ``owner`` names the instance that holds a key of a divided service; ``admits``
    takes one request from the share that an overloaded holder can serve;
    ``live_vms`` is the number of entry VMs; ``on_key`` counts requests by key.
    """

    instances: Callable[[str], list[placement.Instance]]
    owner: Callable[[str, int], key_view.Holder]
    admits: Callable[[str | None], bool]
    live_vms: Callable[[], int]
    on_key: Callable[[str, int], None]


class _Attempt(NamedTuple):
    outcome: upstream_connection.Outcome | upstream_connection.NotSent
    timed_out: bool = False


class _Work:
    """Hold the state of one request."""

    def __init__(
        self,
        request: messages.Request,
        route: desired_state.Route,
        service: desired_state.Service,
        request_id: str,
        time_left_s: float,
        key: int | None,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.request_id = request_id
        self.key = key
        self.time_left_s = time_left_s
        self.end_at = request.received_at + min(time_left_s, route.timeout_ms / 1000.0)
        self.urgent = True
        self.admitted = False
        self.attempts = 0
        self.may_have_run = False
        self.excluded: set[str] = set()
        self.sends = 0
        self.moved_from: str | None = None
        self.not_before = 0.0
        self.last_failure: messages.Answer | None = None
        self.trail: list[str] = []


class Gateway:
    """Serve callers and forward their requests."""

    def __init__(
        self,
        dialect: messages.Dialect,
        places: placement.Places,
        bounds: Bounds,
        surroundings: Surroundings,
    ) -> None:
        self.stopping = False
        self.ends_by = math.inf
        self.metrics = served.ServedMetrics()
        self.pool = pool.Pool()
        self._dialect = dialect
        self._places = places
        self._bounds = bounds
        self._surroundings = surroundings
        self._table: desired_state.RouteTable | None = None
        self._splits = desired_state.SplitChooser()
        self._load_by_life: dict[pool.Life, placement.InstanceLoad] = {}
        self._line_by_name: dict[str, waiting.WaitingLine] = {}
        self._window_by_service: dict[str, retries.RepeatWindow] = {}
        self._service_time_by_route: dict[str, float] = {}
        self._service_time_by_service: dict[str, float] = {}
        self._kilobytes_by_route: dict[str, float] = {}
        self._connections: set[caller_connection.CallerConnection] = set()
        self._generator = random.Random()
        self._owners_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    async def start(self, host: str, port: int) -> None:
        """Accept connections of callers."""
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(
            lambda: caller_connection.CallerConnection(self),
            host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def close(self) -> None:
        """Close all connections at once."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        self.pool.close()

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def close_idle_callers(self) -> None:
        """Close the connections of callers on which no request is in work."""
        for connection in list(self._connections):
            if not connection.busy:
                connection.close()

    @property
    def port(self) -> int:
        """Return the port on which callers are accepted."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def busy(self) -> int:
        """Return the number of connections with a request in work."""
        return sum(1 for connection in self._connections if connection.busy)

    def set_state(self, state: desired_state.DesiredState) -> None:
        """Put a desired state in force for the requests that come from now on."""
        self._table = desired_state.RouteTable(state)
        self._splits.forget_except(state)

    def limits(self) -> desired_state.CallerLimits:
        """Return the limits in force."""
        if self._table is None:
            return caller_connection.DEFAULT_LIMITS
        return self._table.state.limits

    def on_open(self, connection: caller_connection.CallerConnection) -> None:
        """Note an open connection."""
        self._connections.add(connection)

    def on_closed(self, connection: caller_connection.CallerConnection) -> None:
        """Note a closed connection."""
        self._connections.discard(connection)

    def on_instance_change(
        self, before: placement.Instance | None, after: placement.Instance | None
    ) -> None:
        """Forget a life that ended and wake requests that wait for an instance."""
        if before is not None and (after is None or after.born != before.born):
            self._load_by_life.pop(pool.Life(before.id, before.born), None)
            self.pool.close_idle(before)
        for line in self._line_by_name.values():
            line.wake_first(asyncio.get_running_loop().time())

    def on_owners_changed(self) -> None:
        """Let waiting requests look again, as keys have other holders."""
        self._owners_changed.set()
        for line in self._line_by_name.values():
            line.wake_first(asyncio.get_running_loop().time())

    async def handle(self, request: messages.Request) -> messages.Answer:
        """Return the answer to a request; cancelled when its caller leaves."""
        identity = request.header(self._dialect.request_id)
        request_id = identity.decode("latin-1") if identity else "-"
        if self._table is None:
            events.emit(410, request=request_id, reason="no desired state")
            return messages.own_answer(503, "no desired state is known yet", 0.3)
        route = self._table.find(request.host, request.path)
        version = self._table.state.version
        if route is None:
            events.emit(411, request=request_id, host=request.host, version=version)
            return messages.own_answer(404, "no route has this host and path")
        service_name = self._splits.choose(route)
        service = self._table.state.service_by_name.get(service_name)
        if service is None:
            events.emit(410, request=request_id, reason="unknown service")
            return messages.own_answer(503, "the service is not known", 0.3)
        work = self._start_work(request, route, service, request_id)
        self._window(service.name).on_request(request.received_at * 1000.0)
        try:
            answer = await self._forward(work)
        except asyncio.CancelledError:
            events.emit(412, request=request_id, attempts=work.attempts)
            self.metrics.count("request.caller_left")
            raise
        self._report(work, answer, version)
        return answer

    def _report(self, work: _Work, answer: messages.Answer, version: int) -> None:
        """Log and count the outcome of a request."""
        assert self._loop is not None
        duration_ms = 1000.0 * (self._loop.time() - work.request.received_at)
        own = answer.header(self._dialect.proof) is None
        refused = own and answer.status == 503
        fields = {} if work.key is None else {"key": work.key}
        events.emit(
            420 if answer.status < 500 else 413,
            request=work.request_id,
            route=work.route.name,
            service=work.service.name,
            version=version,
            **fields,
            status=answer.status,
            own=own,
            ms=round(duration_ms),
            trail=";".join(work.trail),
        )
        outcome = "request.unknown" if own else "request.done"
        if refused:
            outcome = "request.not_run"
        self.metrics.count(outcome, str(answer.status))
        self.metrics.timing("request.duration", duration_ms, work.service.name)
        if len(work.trail) > 1:
            self.metrics.count("request.retry", work.trail[-1][:20])

    def _start_work(
        self,
        request: messages.Request,
        route: desired_state.Route,
        service: desired_state.Service,
        request_id: str,
    ) -> _Work:
        time_left = request.header(self._dialect.time_left)
        left_s = self._dialect.decode_time_left(time_left) if time_left else None
        key = None
        if service.divided:
            value = request.header(self._dialect.key)
            key = self._dialect.decode_key(value) if value else None
            if key is not None:
                self._surroundings.on_key(service.name, key)
        limit = route.timeout_ms / 1000.0
        work = _Work(
            request,
            route,
            service,
            request_id,
            limit if left_s is None else left_s,
            key,
        )
        work.end_at = min(work.end_at, self.ends_by)
        assert self._table is not None
        work.urgent = self._table.is_most_urgent(route, service.name)
        # The most urgent work takes no share: what is less urgent makes room for it.
        work.admitted = work.urgent and route.rank == 0
        return work

    async def _forward(self, work: _Work) -> messages.Answer:
        assert self._loop is not None
        while True:
            choice = await self._find_room(work)
            if choice is None:
                return self._give_up(work)
            if (work.attempts or work.sends) and not self._may_repeat(work):
                return self._give_up(work)
            attempt = await self._attempt(work, choice.load, choice.estimate_ms)
            answer = self._judge(work, choice.load, attempt)
            if answer is not None:
                return answer
            if work.attempts >= work.route.most_attempts:
                return self._give_up(work)

    def _may_repeat(self, work: _Work) -> bool:
        assert self._loop is not None
        now_ms = 1000.0 * self._loop.time()
        window = self._window(work.service.name)
        allowed = window.try_take(self._surroundings.live_vms(), now_ms)
        if not allowed:
            work.trail.append("no-budget")
        return allowed

    async def _find_room(self, work: _Work) -> placement.Choice | None:
        """Wait for an instance with room; None when the request is hopeless."""
        assert self._loop is not None
        give_up_at = self._give_up_at(work)
        while True:
            if work.end_at - self._loop.time() < LEAST_ATTEMPT_S:
                work.trail.append("no-time")
                return None
            if not await self._wait_for_owner(work, give_up_at):
                return None
            name = self._line_name(work)
            line = self._line(name)
            if not len(line):
                choice = self._choose(work)
                if choice is not None:
                    return choice
            now = self._loop.time()
            service_time_s = self._service_time_ms(work.route) / 1000.0
            start_by = self._start_by(work)
            expected = line.expected_wait_s(work.route.rank, start_by, now)
            if expected + HOPELESS_SHARE * service_time_s > work.end_at - now:
                work.trail.append(f"hopeless expected={expected:.2f}s")
                return None
            waiter = line.join(work.route.rank, start_by, now)
            try:
                while self._line_name(work) == name:
                    if line.is_first(waiter, self._loop.time()):
                        choice = self._choose(work)
                        if choice is not None:
                            return choice
                    if not await self._pause(waiter.wake, give_up_at):
                        work.trail.append("no-room")
                        return None
            finally:
                line.leave(waiter, self._loop.time())
                line.wake_first(self._loop.time())

    def _start_by(self, work: _Work) -> float:
        """Return the time by which a request must start to meet its target."""
        spare = work.route.target_latency_ms - self._service_time_ms(work.route)
        return work.request.received_at + spare / 1000.0

    def _give_up_at(self, work: _Work) -> float:
        service_time_s = self._service_time_ms(work.route) / 1000.0
        last_start = work.end_at - max(LEAST_ATTEMPT_S, HOPELESS_SHARE * service_time_s)
        total = work.end_at - work.request.received_at
        return min(last_start, work.request.received_at + WAIT_SHARE * total)

    async def _wait_for_owner(self, work: _Work, give_up_at: float) -> bool:
        """Wait while the key of a request moves; return False when it is hopeless."""
        assert self._loop is not None
        if work.key is None:
            return True
        while True:
            holder = self._surroundings.owner(work.service.name, work.key)
            now = self._loop.time()
            moved = holder.instance == work.moved_from and now < work.not_before
            if holder.instance is not None and not moved:
                if work.admitted or self._surroundings.admits(holder.instance):
                    work.admitted = True
                    return True
                work.trail.append("over-share")
                return False
            until = holder.moving_until
            if until is not None and until / 1000.0 - LONGEST_MOVE_S > give_up_at:
                work.trail.append("key-lost")
                return False
            if not await self._pause(self._owners_changed, give_up_at):
                work.trail.append("key-moving")
                return False

    async def _pause(self, wake: asyncio.Event, give_up_at: float) -> bool:
        """Wait for a short time or until woken; return False once time is up."""
        assert self._loop is not None
        left = give_up_at - self._loop.time()
        if left <= 0.0:
            return False
        wake.clear()
        try:
            await asyncio.wait_for(wake.wait(), min(LONGEST_SLEEP_S, left))
        except TimeoutError:
            # The pause is over; estimates age with time and may have room now.
            pass
        return True

    def _choose(self, work: _Work) -> placement.Choice | None:
        assert self._loop is not None
        now = 1000.0 * self._loop.time()
        instances = self._surroundings.instances(work.service.name)
        if work.key is not None:
            holder = self._surroundings.owner(work.service.name, work.key)
            instances = [one for one in instances if one.id == holder.instance]
        loads = [self._load(instance, now) for instance in instances]
        return placement.choose(
            loads,
            self._places,
            self._service_time_ms(work.route),
            work.route.target_latency_ms,
            self._kilobytes_by_route.get(work.route.name, 2.0),
            work.excluded if work.key is None else (),
            work.urgent,
            self._generator,
            now,
        )

    async def _attempt(
        self, work: _Work, load: placement.InstanceLoad, estimate_ms: float
    ) -> _Attempt:
        assert self._loop is not None
        instance = load.instance
        started = self._loop.time()
        work.trail.append(instance.id)
        load_at_start = load.load(1000.0 * started)
        load.in_flight += 1
        connection: (
            upstream_connection.UpstreamConnection | upstream_connection.NotSent | None
        ) = None
        ended = False
        try:
            most = max(
                2,
                int(
                    pool.CONNECTION_SHARE
                    * work.service.most_connections
                    / max(1, self._surroundings.live_vms())
                ),
            )
            connection = await self.pool.take(
                instance, work.route.idempotent, most, work.end_at - started
            )
            if isinstance(connection, upstream_connection.NotSent):
                ended = True
                return _Attempt(connection)
            now = self._loop.time()
            if connection.opened_at >= started:
                load.round_trip_ms = 1000.0 * (now - started)
            if work.end_at - now < LEAST_ATTEMPT_S:
                ended = True
                self.pool.give_back(instance, connection)
                return _Attempt(upstream_connection.NotSent("no time left"))
            work.attempts += 1
            identity = work.request.header(self._dialect.request_id)
            exchange = connection.exchange(
                self._encode(work, instance, now),
                (self._dialect.request_id, identity) if identity else None,
                work.request.method == b"HEAD",
            )
            ends_at = self._attempt_ends_at(work, estimate_ms, now)
            try:
                async with asyncio.timeout_at(ends_at):
                    outcome = await exchange
            except TimeoutError:
                late = ends_at >= work.end_at - LEAST_ATTEMPT_S
                return _Attempt(upstream_connection.Broken("no answer in time"), late)
            ended = isinstance(outcome, messages.Answer)
            if ended:
                self.pool.give_back(instance, connection)
                self._record_answer(work, load, outcome, started, load_at_start)
            return _Attempt(outcome)
        finally:
            load.in_flight -= 1
            if not ended and isinstance(
                connection, upstream_connection.UpstreamConnection
            ):
                self.pool.discard(instance, connection)
            line = self._line(self._line_name(work))
            line.on_answer(self._loop.time())
            line.wake_first(self._loop.time())

    def _attempt_ends_at(self, work: _Work, estimate_ms: float, now: float) -> float:
        """Return until when an attempt may stay without an answer.

        A full instance may never answer; work that may run twice is then sent again.
        """
        if not work.route.idempotent or work.attempts >= work.route.most_attempts:
            return work.end_at
        if work.key is not None:
            # The same instance would get it again, at the end of its queue.
            return work.end_at
        left_ms = 1000.0 * (work.end_at - now)
        patience_ms = max(work.route.target_latency_ms, SILENCE_FACTOR * estimate_ms)
        # A target that is near the timeout must still leave time for another attempt.
        latest_ms = max(2.0 * estimate_ms, 0.5 * left_ms)
        return now + min(left_ms, patience_ms, latest_ms) / 1000.0

    def _encode(self, work: _Work, instance: placement.Instance, now: float) -> bytes:
        dialect = self._dialect
        own = (dialect.time_left, dialect.expected_instance)
        named = {
            token.strip().lower()
            for name, value in work.request.headers
            if name == b"connection"
            for token in value.split(b",")
        }
        headers = [
            (name, value)
            for name, value in work.request.headers
            if name not in messages.CONNECTION_HEADERS
            and name not in own
            and name not in named
        ]
        left = work.end_at - now
        headers.append((dialect.time_left, dialect.encode_time_left(left)))
        headers.append((dialect.expected_instance, instance.id.encode()))
        chunked = any(name == b"transfer-encoding" for name, _ in work.request.headers)
        return messages.encode_request(
            work.request.method,
            work.request.target,
            headers,
            work.request.body,
            chunked,
        )

    def _record_answer(
        self,
        work: _Work,
        load: placement.InstanceLoad,
        outcome: upstream_connection.Outcome,
        started: float,
        load_at_start: float,
    ) -> None:
        assert self._loop is not None and isinstance(outcome, messages.Answer)
        now = self._loop.time()
        value = outcome.header(self._dialect.report)
        report = self._dialect.decode_report(value) if value else None
        if report is not None:
            load.on_report(report.running, report.waiting, 1000.0 * now)
        if outcome.status >= 500 or outcome.header(self._dialect.not_run):
            return
        typical = self._service_time_ms(work.route)
        sample = load.on_answer(
            1000.0 * (now - started), load_at_start, typical, 1000.0 * now
        )
        route, service = work.route.name, work.service.name
        normal = sample / load.slowness
        _average(self._service_time_by_route, route, normal)
        _average(self._service_time_by_service, service, normal)
        size = (len(outcome.body) + len(work.request.body)) / 1000.0
        _average(self._kilobytes_by_route, route, size)

    def _judge(
        self, work: _Work, load: placement.InstanceLoad, attempt: _Attempt
    ) -> messages.Answer | None:
        """Return the final answer, or None where another attempt may follow."""
        assert self._loop is not None
        now_ms = 1000.0 * self._loop.time()
        outcome = attempt.outcome
        instance = load.instance
        if isinstance(outcome, upstream_connection.NotSent):
            work.trail.append(outcome.reason)
            if outcome.reason.startswith("connection"):
                load.on_failure(now_ms, connected=False)
                self.pool.close_idle(instance)
            return self._on_refusal(work, instance)
        if isinstance(outcome, upstream_connection.Broken):
            work.trail.append(outcome.reason)
            load.on_failure(now_ms, connected=True)
            self.pool.close_idle(instance)
            work.may_have_run = True
            work.excluded.add(instance.id)
            return (
                None
                if work.route.idempotent and not attempt.timed_out
                else (self._give_up(work))
            )
        if outcome.header(self._dialect.not_run) is not None or outcome.status == 421:
            work.trail.append(f"not-run-{outcome.status}")
            answering = outcome.header(self._dialect.answering_instance)
            if outcome.status == 421 and answering not in (None, instance.id.encode()):
                work.trail.append("other-instance")
                load.on_other_instance(now_ms)
            work.attempts -= 1
            return self._on_refusal(work, instance)
        if self._is_garbled(outcome):
            work.trail.append("garbled")
            work.may_have_run = True
            work.excluded.add(instance.id)
            return None if work.route.idempotent else self._give_up(work)
        if outcome.status >= 500:
            load.on_error_answer()
            work.trail.append(str(outcome.status))
            if work.route.idempotent and outcome.status != 504:
                work.may_have_run = True
                work.excluded.add(instance.id)
                work.last_failure = outcome
                return None
        return self._pass_on(outcome)

    def _on_refusal(
        self, work: _Work, instance: placement.Instance
    ) -> messages.Answer | None:
        """Look for another holder or instance after one certainly did not run it."""
        assert self._loop is not None
        work.excluded.add(instance.id)
        work.sends += 1
        if work.sends >= MOST_REFUSED_SENDS:
            return self._give_up(work)
        work.moved_from = instance.id
        work.not_before = self._loop.time() + MOVED_WAIT_S
        return None

    def _is_garbled(self, answer: messages.Answer) -> bool:
        if answer.header(b"content-encoding") is not None:
            return True
        success = 200 <= answer.status < 300
        return success and answer.header(self._dialect.proof) is None

    def _pass_on(self, answer: messages.Answer) -> messages.Answer:
        dropped = (self._dialect.report,)
        headers = [
            (name, value)
            for name, value in answer.headers
            if name not in messages.CONNECTION_HEADERS and name not in dropped
        ]
        return answer._replace(headers=headers)

    def _give_up(self, work: _Work) -> messages.Answer:
        """Return the final answer of a request that no instance answered."""
        assert self._loop is not None
        if work.last_failure is not None:
            return self._pass_on(work.last_failure)
        if work.may_have_run:
            late = self._loop.time() >= work.end_at - LEAST_ATTEMPT_S
            status = 504 if late else 502
            return messages.own_answer(status, "it is not known whether it has run")
        line = self._line(self._line_name(work))
        now = self._loop.time()
        expected = line.expected_wait_s(work.route.rank, self._start_by(work), now)
        retry_after = min(
            LONGEST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, 0.5 * expected)
        )
        return messages.own_answer(503, "the request has not run", retry_after)

    def _load(self, instance: placement.Instance, now: float) -> placement.InstanceLoad:
        life = pool.Life(instance.id, instance.born)
        load = self._load_by_life.get(life)
        if load is None:
            load = self._load_by_life[life] = placement.InstanceLoad(instance, now)
        load.instance = instance
        return load

    def _line_name(self, work: _Work) -> str:
        if work.key is None:
            return work.service.name
        holder = self._surroundings.owner(work.service.name, work.key)
        return f"{work.service.name}/{holder.instance}"

    def _line(self, name: str) -> waiting.WaitingLine:
        line = self._line_by_name.get(name)
        if line is None:
            line = self._line_by_name[name] = waiting.WaitingLine()
        return line

    def _window(self, service: str) -> retries.RepeatWindow:
        window = self._window_by_service.get(service)
        if window is None:
            window = self._window_by_service[service] = retries.RepeatWindow(
                self._bounds.repeat_window_ms,
                self._bounds.repeat_share,
                self._bounds.repeat_allowance,
            )
        return window

    def _service_time_ms(self, route: desired_state.Route) -> float:
        return self._service_time_by_route.get(
            route.name, placement.INITIAL_SERVICE_TIME_MS
        )

    def capacity(self, instance: placement.Instance) -> float:
        """Return the requests per second that an instance can serve."""
        typical = self._service_time_by_service.get(
            instance.service, placement.INITIAL_SERVICE_TIME_MS
        )
        own = self._load_by_life.get(pool.Life(instance.id, instance.born))
        slowness = 1.0
        if own is not None and own.samples >= LEAST_SPEED_SAMPLES:
            slowness = min(SLOWEST, max(FASTEST, own.slowness))
        return max(1, instance.slots) * 1000.0 / (typical * slowness)


def _average(known_by_name: dict[str, float], name: str, sample: float) -> None:
    known = known_by_name.get(name, sample)
    known_by_name[name] = known + AVERAGE_WEIGHT * (sample - known)
