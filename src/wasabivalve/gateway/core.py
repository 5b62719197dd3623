"""Forward requests to instances within their time, their attempts and the budget."""

import asyncio
import math
from typing import NamedTuple

from wasabivalve import events, retries
from wasabivalve.desired_state import core as desired_state
from wasabivalve.metrics import served
from wasabivalve.placement import core as placement
from wasabivalve.placement import service_times

from . import caller_connection, messages, pool, rooms, sending, upstream_connection
from . import work as works

BACKLOG = 512
"""Connections that the kernel holds until they are accepted."""

LEAST_RETRY_AFTER_S = 0.05
LONGEST_RETRY_AFTER_S = 1.0
"""Bounds of Retry-After; callers wait at most a third of their time."""

MOST_REFUSED_SENDS = 6
"""Sends of one request that instances may refuse; its attempts count runs only."""

SECOND_LOOK_S = 0.2
"""Interval of looking for an instance beside a silent one; about a service time."""

MOVED_WAIT_S = 0.12
"""Wait after an instance says that it does not hold a key, while the key moves."""


class Bounds(NamedTuple):
    """Bound the repeats of all VMs together; the window is in ms."""

    repeat_share: float
    repeat_window_ms: float
    repeat_allowance: float


class Gateway:
    """Serve callers and forward their requests."""

    def __init__(
        self,
        dialect: messages.Dialect,
        places: placement.Topology,
        bounds: Bounds,
        surroundings: rooms.Surroundings,
        instance_speeds: service_times.ServiceTimeRatios,
    ) -> None:
        self.stopping = False
        self.ends_by = math.inf
        self.metrics = served.ServedMetrics()
        self.pool = pool.Pool()
        self._dialect = dialect
        self.rooms = rooms.Rooms(dialect, places, surroundings, instance_speeds)
        self._sender = sending.Sender(dialect, self.rooms, self.pool)
        self._bounds = bounds
        self._surroundings = surroundings
        self._table: desired_state.RouteTable | None = None
        self._splits = desired_state.WeightedRoundRobin()
        self._window_by_service: dict[str, retries.RetryWindow] = {}
        self._connections: set[caller_connection.CallerConnection] = set()
        self._limits: set[asyncio.Timeout] = set()
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

    def stop(self, ends_by: float) -> None:
        """Answer every request by a time in s of the loop, and close after answers."""
        self.stopping = True
        self.ends_by = ends_by
        for limit in self._limits:
            limit.reschedule(ends_by)

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
        self._splits.retain_routes(state)

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
        self,
        before: placement.RegisteredInstance | None,
        after: placement.RegisteredInstance | None,
    ) -> None:
        """Forget a life that ended and wake requests that wait for an instance."""
        if before is not None and (after is None or after.born != before.born):
            self.rooms.forget(before)
            self.pool.close_idle(before)
        self.rooms.wake()

    def on_owners_changed(self) -> None:
        """Let waiting requests look again, as keys have other holders."""
        self.rooms.wake()

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
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._limits.add(limit)
                answer = await self._forward(work)
        except TimeoutError:
            work.trail.append("stopping")
            work.may_have_run = work.may_have_run or work.attempts > 0
            answer = self._give_up(work)
        except asyncio.CancelledError:
            events.emit(412, request=request_id, attempts=work.attempts)
            self.metrics.count("request.caller_left")
            raise
        finally:
            self._limits.discard(limit)
        self._report(work, answer, version)
        return answer

    def _report(self, work: works.Work, answer: messages.Answer, version: int) -> None:
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
            self.metrics.count("request.retry", str(answer.status))

    def _start_work(
        self,
        request: messages.Request,
        route: desired_state.RouteConfig,
        service: desired_state.ServiceConfig,
        request_id: str,
    ) -> works.Work:
        time_left = request.header(self._dialect.time_left)
        left_s = self._dialect.decode_time_left(time_left) if time_left else None
        key = None
        if service.partitioned:
            value = request.header(self._dialect.key)
            key = self._dialect.decode_key(value) if value else None
            if key is not None:
                self._surroundings.on_key(service.name, key)
        limit = route.timeout_ms / 1000.0
        work = works.Work(
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

    async def _forward(self, work: works.Work) -> messages.Answer:
        """Make attempts one after the other, or beside one that stays silent."""
        running: set[asyncio.Task[messages.Answer | None]] = set()
        patience_s: float | None = None
        try:
            while True:
                choice = await self.rooms.find(work) if not running else None
                if not running and (choice is None or not self._may_start(work)):
                    return self._give_up(work)
                if choice is not None:
                    running.add(self._start(work, choice))
                    patience_s = self._sender.patience_s(work, choice.estimate_ms)
                done, _ = await asyncio.wait(
                    running, timeout=patience_s, return_when=asyncio.FIRST_COMPLETED
                )
                for attempt in done:
                    running.discard(attempt)
                    answer = attempt.result()
                    if answer is not None:
                        return answer
                if not running and work.is_over:
                    return self._give_up(work)
                if not done:
                    patience_s = self._start_beside(work, running)
        finally:
            for attempt in running:
                attempt.cancel()

    def _may_start(self, work: works.Work) -> bool:
        """Return whether the next attempt is the first or within the budget."""
        return not (work.attempts or work.sends) or self._may_repeat(work)

    def _start(
        self, work: works.Work, choice: placement.Choice
    ) -> asyncio.Task[messages.Answer | None]:
        """Start an attempt; its result is None where another may follow."""
        work.latest = choice.load

        async def attempt() -> messages.Answer | None:
            live_vms = self._surroundings.live_vms()
            sent = await self._sender.send(work, choice.load, live_vms)
            return self._judge(work, choice.load, sent)

        assert self._loop is not None
        return self._loop.create_task(attempt())

    def _start_beside(
        self, work: works.Work, running: set[asyncio.Task[messages.Answer | None]]
    ) -> float | None:
        """Send a request to a second instance, and return how long to wait now.

        The silent instance may be at work on it, so that its attempt goes on.
        """
        assert self._loop is not None and work.latest is not None
        silent = work.latest
        if silent.instance.id not in work.excluded:
            work.trail.append("silent")
            work.excluded.add(silent.instance.id)
            silent.on_failure(1000.0 * self._loop.time(), connected=True)
            self.pool.close_idle(silent.instance)
        if work.is_over:
            return None
        choice = self.rooms.choose(work)
        if choice is None or not self._may_repeat(work):
            return SECOND_LOOK_S
        running.add(self._start(work, choice))
        return self._sender.patience_s(work, choice.estimate_ms)

    def _may_repeat(self, work: works.Work) -> bool:
        assert self._loop is not None
        now_ms = 1000.0 * self._loop.time()
        window = self._window(work.service.name)
        allowed = window.try_acquire(self._surroundings.live_vms(), now_ms)
        if not allowed and work.trail[-1:] != ["no-budget"]:
            work.trail.append("no-budget")
        return allowed

    def _judge(
        self, work: works.Work, load: placement.InstanceLoad, attempt: sending.Attempt
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
            self._on_refusal(work, instance)
            return None
        if isinstance(outcome, upstream_connection.Broken):
            work.trail.append(outcome.reason)
            load.on_failure(now_ms, connected=True)
            self.pool.close_idle(instance)
            work.may_have_run = True
            work.excluded.add(instance.id)
            work.closed = not work.route.idempotent or attempt.timed_out
            return None
        if outcome.header(self._dialect.not_run) is not None or outcome.status == 421:
            work.trail.append(f"not-run-{outcome.status}")
            answering = outcome.header(self._dialect.answering_instance)
            if outcome.status == 421 and answering not in (None, instance.id.encode()):
                work.trail.append("other-instance")
                load.on_identity_mismatch(now_ms)
            work.attempts -= 1
            self._on_refusal(work, instance)
            return None
        if self._is_garbled(outcome):
            work.trail.append("garbled")
            work.may_have_run = True
            work.excluded.add(instance.id)
            work.closed = not work.route.idempotent
            return None
        if outcome.status >= 500:
            load.on_error_response()
            work.trail.append(str(outcome.status))
            if work.route.idempotent and outcome.status != 504:
                work.may_have_run = True
                work.excluded.add(instance.id)
                work.last_failure = outcome
                return None
        return self._pass_on(outcome)

    def _on_refusal(
        self, work: works.Work, instance: placement.RegisteredInstance
    ) -> None:
        """Look for another holder or instance after one certainly did not run it."""
        assert self._loop is not None
        work.excluded.add(instance.id)
        work.sends += 1
        work.closed = work.closed or work.sends >= MOST_REFUSED_SENDS
        work.moved_from = instance.id
        work.not_before = self._loop.time() + MOVED_WAIT_S

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

    def _give_up(self, work: works.Work) -> messages.Answer:
        """Return the final answer of a request that no instance answered."""
        assert self._loop is not None
        if work.last_failure is not None:
            return self._pass_on(work.last_failure)
        if work.may_have_run:
            late = self._loop.time() >= work.end_at - works.LEAST_ATTEMPT_S
            status = 504 if late else 502
            return messages.own_answer(status, "it is not known whether it has run")
        wanted = max(work.retry_after_s, 0.5 * self.rooms.expected_wait_s(work))
        retry_after = min(LONGEST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wanted))
        return messages.own_answer(503, "the request has not run", retry_after)

    def _window(self, service: str) -> retries.RetryWindow:
        window = self._window_by_service.get(service)
        if window is None:
            window = self._window_by_service[service] = retries.RetryWindow(
                self._bounds.repeat_window_ms,
                self._bounds.repeat_share,
                self._bounds.repeat_allowance,
            )
        return window

    def capacity(self, instance: placement.RegisteredInstance) -> float:
        """Return the requests per second that an instance can serve."""
        return self.rooms.capacity(instance)
