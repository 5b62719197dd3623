"""Forward requests to instances within their timeouts, attempts and retry budget."""

import asyncio
import math
import socket
from collections.abc import Sequence

from wasabivalve import events, quarantine, ramp_up, shared_facts
from wasabivalve.desired_state import core as desired_state
from wasabivalve.metrics import metrics_registry
from wasabivalve.placement import core as placement
from wasabivalve.placement import service_times
from wasabivalve.slot_dispatch import client as slot_client

from . import (
    caller_connection,
    connection_limit,
    crash_watch,
    instance_responses,
    instance_selection,
    messages,
    outcome_log,
    pending_request,
    pool,
    receiving,
    reset_watch,
    response_order,
    retry_windows,
    sending,
    transfer_admission,
    upstream_connection,
)

BACKLOG = 512
"""Connections that the kernel queues until they are accepted."""

ACCEPTS_PER_TURN = 16
"""Connections accepted in one turn of the event loop.

Each step of a request in progress waits for the end of a turn.
"""

DEFAULT_RECEIVE_BUFFER_BYTES = 32 * receiving.MIB
"""Bytes of requests and responses that are held at once."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
"""Bounds of Retry-After; callers wait for at most a third of their time limit."""

MAX_REFUSED_SENDS = 6
"""Refused sends after which a request gets no further attempt.

Refused sends do not count as attempts, because the request has not run.
"""

HEDGE_RECHECK_S = 0.2
"""Interval of the search for a second instance; about one service time."""

STOP_TIME_FACTOR = 4.0
"""Multiple of the expected response time that a stopping VM must have left to send.

Few requests take longer; one that is cut at an instance may have run in vain.
"""

KEY_MOVE_RETRY_DELAY_S = 0.12
"""Delay before a key's holder that refused a request is asked again.

The key may be moving to another instance.
"""


RetryLimits = retry_windows.RetryLimits


class Gateway:
    """Accept connections of callers and forward their requests to instances."""

    def __init__(
        self,
        header_format: messages.HeaderFormat,
        topology: placement.Topology,
        retry_limits: RetryLimits,
        callbacks: instance_selection.GatewayCallbacks,
        shared_service_times: service_times.ServiceTimes,
        message_limits: receiving.MessageLimits = receiving.DEFAULT_LIMITS,
        receive_buffer_bytes: int = DEFAULT_RECEIVE_BUFFER_BYTES,
        slots: slot_client.SlotClient | None = None,
        limits: ramp_up.PacedLimits | None = None,
        claim_trial: crash_watch.TrialClaim | None = None,
        link_mbps: float = math.inf,
        max_connections: float = math.inf,
    ) -> None:
        limits = limits or ramp_up.PacedLimits(shared_facts.FactBoard())
        self.stopping = False
        self.stop_deadline_at = math.inf
        self.refuse_from = math.inf
        self.metrics = metrics_registry.MetricsRegistry()
        self.buffers = receiving.ReceiveBuffers(receive_buffer_bytes)
        self.pipelining = response_order.Pipelining(
            lambda request: (
                self._route_table is None
                or self._route_table.may_run_twice(request.host, request.path)
            ),
            self.metrics.count,
        )
        self.pool = pool.ConnectionPool(message_limits, self.buffers)
        self._header_format = header_format
        self.selector = instance_selection.InstanceSelector(
            header_format,
            topology,
            callbacks,
            shared_service_times,
            self.metrics,
            slots,
            limits,
        )
        self._transfers = transfer_admission.TransferAdmission(
            link_mbps, self.selector.typical_exchange_kb, self.metrics
        )
        self._crash_watch = crash_watch.CrashWatch(
            quarantine.SharedQuarantine(limits.board),
            self.metrics,
            claim_trial,
        )
        self.resets = reset_watch.ResetWatch(
            callbacks.list_instances, self._crash_watch.on_survived
        )
        self._sender = sending.Sender(
            header_format, self.selector, self.pool, self.resets
        )
        self._retry_windows = retry_windows.RetryWindows(retry_limits)
        self._callbacks = callbacks
        self._route_table: desired_state.RouteTable | None = None
        self._service_chooser = desired_state.WeightedRoundRobin()
        self._max_connections = max_connections
        self._connections: set[caller_connection.CallerConnection] = set()
        self._stop_timeouts: set[asyncio.Timeout] = set()
        self._server: asyncio.Server | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    async def start(self, host: str, port: int) -> None:
        """Accept connections of callers."""
        self._loop = asyncio.get_running_loop()
        self._retry_windows.started_at = 1000.0 * self._loop.time()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family)
        self._server = await self._loop.create_server(
            lambda: caller_connection.CallerConnection(self),
            sock=listener,
            backlog=ACCEPTS_PER_TURN,
        )
        # The event loop takes its backlog for the kernel's as well.
        listener.listen(BACKLOG)

    def close(self) -> None:
        """Stop listening and close all connections immediately.

        The process may end next, which would close them like complete ones.
        """
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.cut()
        self.pool.close()

    def stop(self, stop_deadline_at: float, refuse_from: float = math.inf) -> None:
        """Respond to all requests by a deadline in s of the event loop's clock.

        Connections of callers are closed after their next response. Requests that are
        received from ``refuse_from`` on are refused, as other VMs can serve them whole.
        """
        self.stopping = True
        self.refuse_from = refuse_from
        self.stop_deadline_at = stop_deadline_at
        for stop_timeout in self._stop_timeouts:
            stop_timeout.reschedule(stop_deadline_at)

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle_callers(self) -> None:
        """Close the connections of callers that wait for nothing."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    @property
    def port(self) -> int:
        """Return the port on which callers connect."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def busy_connections(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(1 for connection in self._connections if connection.busy)

    @property
    def is_idle(self) -> bool:
        """Return whether no caller waits for a response or for the rest of one."""
        return all(connection.is_idle for connection in self._connections)

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that callers have not acknowledged."""
        return sum(connection.unsent_bytes() for connection in self._connections)

    def set_desired_state(self, state: desired_state.DesiredState) -> None:
        """Apply a desired state to requests that arrive from now on."""
        self._route_table = desired_state.RouteTable(state)
        self.selector.eligible.set_desired_state(state)
        self._service_chooser.retain_routes(state)

    def limits(self) -> desired_state.CallerLimits:
        """Return the limits that apply to callers."""
        if self._route_table is None:
            return caller_connection.DEFAULT_LIMITS
        return self._route_table.state.limits

    def on_open(self, connection: caller_connection.CallerConnection) -> None:
        """Record that a connection was opened; close others if there are too many."""
        self._connections.add(connection)
        if len(self._connections) > self._max_connections:
            self._make_room(connection)

    def _make_room(self, opened: caller_connection.CallerConnection) -> None:
        """Close connections that wait for their callers, or else the opened one."""
        assert self._loop is not None
        others = self._connections - {opened}
        closed = connection_limit.choose_closed(
            ((connection, connection.activity) for connection in others),
            self._loop.time(),
            self._max_connections,
        ) or [opened]
        for connection in closed:
            # An orderly end could wait for a caller that keeps its side open.
            connection.abort()
            self._connections.discard(connection)
        self.metrics.count("connection.dropped", amount=len(closed))
        events.emit(417, open=len(self._connections), closed=len(closed))

    def on_closed(self, connection: caller_connection.CallerConnection) -> None:
        """Record that a connection was closed."""
        self._connections.discard(connection)

    def on_instance_change(
        self,
        before: placement.RegisteredInstance | None,
        after: placement.RegisteredInstance | None,
    ) -> None:
        """Discard an ended incarnation and wake requests that wait for an instance."""
        if before is not None and (after is None or after.born != before.born):
            if self._loop is not None:
                self._crash_watch.on_instance_ended(before, 1000.0 * self._loop.time())
            self.selector.remove_instance(before)
            self.pool.close_idle(before)
        self.selector.wake_waiting_requests()

    def on_holders_changed(self) -> None:
        """Wake waiting requests, as keys have new holders."""
        self.selector.wake_waiting_requests()

    def on_shared_facts(self, facts: Sequence[shared_facts.Fact]) -> None:
        """Apply facts that were learned from other VMs."""
        assert self._loop is not None
        self._crash_watch.on_news(facts, 1000.0 * self._loop.time())
        if any(fact.kind != shared_facts.FactKind.CRASH for fact in facts):
            # Evidence of crashes changes no capacity.
            self.selector.wake_waiting_requests()

    async def handle(self, request: messages.HttpRequest) -> messages.HttpResponse:
        """Return the response to a request; cancelled when its caller disconnects."""
        encoded_request_id = request.header(self._header_format.request_id)
        request_id = encoded_request_id.decode("latin-1") if encoded_request_id else "-"
        if request.received_at >= self.refuse_from:
            events.emit(410, request=request_id, reason="stopping")
            return messages.local_response(503, "this VM stops", MIN_RETRY_AFTER_S)
        if self._route_table is None:
            events.emit(410, request=request_id, reason="no desired state")
            return messages.local_response(503, "no desired state is known yet", 0.3)
        route = self._route_table.find(request.host, request.path)
        version = self._route_table.state.version
        if route is None:
            events.emit(411, request=request_id, host=request.host, version=version)
            return messages.local_response(404, "no route has this host and path")
        service_name = self._service_chooser.choose(route)
        service = self._route_table.state.service_by_name.get(service_name)
        if service is None:
            events.emit(410, request=request_id, reason="unknown service")
            return messages.local_response(503, "the service is not known", 0.3)
        pending = self._create_pending(request, route, service, request_id)
        window = self._retry_windows.of_service(service.name)
        window.on_request(request.received_at * 1000.0)
        stop_timeout = asyncio.timeout(None)
        try:
            async with stop_timeout:
                self._stop_timeouts.add(stop_timeout)
                response = await self._forward(pending)
        except TimeoutError:
            pending.steps.append("stopping")
            pending.may_have_run = pending.may_have_run or pending.attempts > 0
            response = self._failure_response(pending)
        except asyncio.CancelledError:
            events.emit(412, request=request_id, attempts=pending.attempts)
            self.metrics.count("request.caller_left")
            raise
        finally:
            self._stop_timeouts.discard(stop_timeout)
        local = response.header(self._header_format.origin_proof) is None
        assert self._loop is not None
        outcome_log.record_outcome(
            self.metrics, pending, response, local, version, self._loop.time()
        )
        return response

    def _create_pending(
        self,
        request: messages.HttpRequest,
        route: desired_state.RouteConfig,
        service: desired_state.ServiceConfig,
        request_id: str,
    ) -> pending_request.PendingRequest:
        encoded_time_left = request.header(self._header_format.time_left)
        time_left_s = (
            self._header_format.decode_time_left(encoded_time_left)
            if encoded_time_left
            else None
        )
        key = None
        if service.partitioned:
            encoded_key = request.header(self._header_format.key)
            key = self._header_format.decode_key(encoded_key) if encoded_key else None
            if key is not None:
                self._callbacks.record_key_request(service.name, key)
        route_timeout_s = route.timeout_ms / 1000.0
        pending = pending_request.PendingRequest(
            request,
            route,
            service,
            request_id,
            route_timeout_s if time_left_s is None else time_left_s,
            key,
        )
        pending.deadline_at = min(pending.deadline_at, self.stop_deadline_at)
        assert self._route_table is not None
        pending.urgent = self._route_table.is_most_urgent(route, service.name)
        # The most urgent requests bypass the admission limit of an overloaded holder;
        # less urgent ones are refused to leave capacity for them.
        pending.admitted = pending.urgent and route.rank == 0
        return pending

    async def _forward(
        self, pending: pending_request.PendingRequest
    ) -> messages.HttpResponse:
        """Make attempts until one gives the final response or no other may follow.

        A second attempt runs concurrently when an instance stays silent.
        """
        running_attempts: set[asyncio.Task[messages.HttpResponse | None]] = set()
        hedge_delay_s: float | None = None
        wait_deadline_at = self.selector.wait_deadline_at(pending)
        if not await self._transfers.wait_for_bandwidth(
            pending, wait_deadline_at, self.selector.eligible.refuses
        ):
            return self._failure_response(pending)
        try:
            while True:
                if not running_attempts and not await self._wait_for_verdict(pending):
                    return self._failure_response(pending)
                choice = (
                    await self.selector.wait_for_instance(pending)
                    if not running_attempts
                    else None
                )
                if choice is not None and not await self._keeps_slot(pending, choice):
                    continue
                if not running_attempts and (
                    choice is None
                    or not self._may_attempt(pending)
                    or self._outlasts_stop(pending, choice)
                ):
                    if choice is not None:
                        self.selector.release_slot(
                            choice, instance_selection.UNUSED_SLOT
                        )
                    return self._failure_response(pending)
                if choice is not None:
                    running_attempts.add(self._start_attempt(pending, choice))
                    hedge_delay_s = self._sender.hedge_delay_s(
                        pending, choice.estimate_ms
                    )
                done, _ = await asyncio.wait(
                    running_attempts,
                    timeout=hedge_delay_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for attempt in done:
                    running_attempts.discard(attempt)
                    response = attempt.result()
                    if response is not None:
                        return response
                if not running_attempts and pending.no_more_attempts:
                    return self._failure_response(pending)
                if not done:
                    hedge_delay_s = self._start_hedge(pending, running_attempts)
        finally:
            if not pending.attempts:
                self._transfers.on_refused(pending)
            for attempt in running_attempts:
                sending.give_up(attempt)
            assert self._loop is not None
            self._crash_watch.end_trial(pending, 1000.0 * self._loop.time())

    def _may_attempt(self, pending: pending_request.PendingRequest) -> bool:
        """Return whether the next attempt is the first or within the retry budget."""
        return not (pending.attempts or pending.refused_sends) or self._may_retry(
            pending
        )

    def _outlasts_stop(
        self,
        pending: pending_request.PendingRequest,
        choice: instance_selection.Selection,
    ) -> bool:
        """Return whether this VM may end before a response arrives."""
        assert self._loop is not None
        needed_s = STOP_TIME_FACTOR * choice.estimate_ms / 1000.0
        if self._loop.time() + needed_s <= self.stop_deadline_at:
            return False
        pending.steps.append("stopping")
        return True

    def _start_attempt(
        self,
        pending: pending_request.PendingRequest,
        choice: instance_selection.Selection,
    ) -> asyncio.Task[messages.HttpResponse | None]:
        """Start an attempt; its result is None if another one may follow."""
        pending.latest_load = choice.load

        assert self._loop is not None
        slot_use = instance_selection.UNUSED_SLOT
        began_at = 1000.0 * self._loop.time()
        requests_at_start = choice.load.estimated_requests(began_at)
        # Of requests that arrive together, each must see the choices of the others.
        choice.load.in_flight += 1
        counted_by_sender = False

        async def attempt() -> messages.HttpResponse | None:
            nonlocal slot_use, counted_by_sender
            counted_by_sender = True
            live_vm_count = self._callbacks.count_live_vms()
            try:
                result = await self._sender.send(
                    pending, choice.load, requests_at_start, live_vm_count
                )
            except asyncio.CancelledError:
                self._crash_watch.on_unanswered(pending, choice.load.instance, began_at)
                raise
            slot_use = result.slot_use
            return self._evaluate(pending, choice.load, result, began_at)

        task = self._loop.create_task(attempt())

        def on_done(attempt: sending.Attempt) -> None:
            # A task that is cancelled before its first step runs no code of its own.
            if not counted_by_sender:
                choice.load.in_flight -= 1
            sending.when_received(
                attempt, lambda: self.selector.release_slot(choice, slot_use)
            )

        task.add_done_callback(on_done)
        return task

    def _start_hedge(
        self,
        pending: pending_request.PendingRequest,
        running_attempts: set[asyncio.Task[messages.HttpResponse | None]],
    ) -> float | None:
        """Start a concurrent attempt at another instance if one has free capacity.

        Return the time in s until the next check; None waits for the running attempts.
        The first attempt continues, as the silent instance may be processing the
        request.
        """
        assert self._loop is not None and pending.latest_load is not None
        silent_load = pending.latest_load
        if silent_load.instance.id not in pending.excluded_instances:
            pending.steps.append("silent")
            pending.excluded_instances.add(silent_load.instance.id)
            silent_load.on_failure(1000.0 * self._loop.time(), connected=True)
            self.pool.close_idle(silent_load.instance)
        now_ms = 1000.0 * self._loop.time()
        admission = self._crash_watch.admission(pending, now_ms)
        if pending.no_more_attempts or admission != crash_watch.ADMITTED:
            return None
        choice = self.selector.choose_instance(pending)
        if choice is None or not self._may_retry(pending):
            return HEDGE_RECHECK_S
        running_attempts.add(self._start_attempt(pending, choice))
        return self._sender.hedge_delay_s(pending, choice.estimate_ms)

    def _may_retry(self, pending: pending_request.PendingRequest) -> bool:
        assert self._loop is not None
        now_ms = 1000.0 * self._loop.time()
        window = self._retry_windows.of_service(pending.service.name)
        allowed = window.try_acquire(self._callbacks.count_live_vms(), now_ms)
        if not allowed and pending.steps[-1:] != ["no-budget"]:
            pending.steps.append("no-budget")
        return allowed

    def _evaluate(
        self,
        pending: pending_request.PendingRequest,
        load: placement.InstanceLoad,
        result: sending.SendResult,
        began_at: float,
    ) -> messages.HttpResponse | None:
        """Return the final response, or None if another attempt may follow."""
        assert self._loop is not None
        now_ms = 1000.0 * self._loop.time()
        outcome = result.outcome
        instance = load.instance
        if isinstance(outcome, upstream_connection.NotSent):
            pending.steps.append(outcome.reason)
            if result.is_full:
                load.on_full(now_ms)
            elif outcome.reason.startswith("connection"):
                load.on_failure(now_ms, connected=outcome.was_reset)
                self.pool.close_idle(instance)
            self._on_refusal(pending, instance)
            return None
        if isinstance(outcome, upstream_connection.ExchangeFailed):
            pending.steps.append(outcome.reason)
            if outcome.over_limit:
                events.emit(
                    403,
                    request=pending.request_id,
                    instance=instance.id,
                    reason=outcome.reason,
                )
                self.metrics.count("upstream.over_limit")
            if result.is_full:
                # It counts as an end only if the registry shows one.
                load.on_full(now_ms)
            else:
                load.on_failure(now_ms, connected=True)
            if outcome.ended_by_peer and not result.is_full:
                self._crash_watch.on_ended(pending, instance, began_at, now_ms)
            elif result.timed_out or result.is_full:
                self._crash_watch.on_unanswered(pending, instance, began_at)
            self.pool.close_idle(instance)
            pending.may_have_run = True
            pending.excluded_instances.add(instance.id)
            pending.attempts_forbidden = (
                not pending.route.idempotent or result.timed_out
            )
            return None
        if result.is_refusal:
            pending.steps.append(f"not-run-{outcome.status}")
            responding_instance = outcome.header(
                self._header_format.responding_instance
            )
            if outcome.status == 421 and responding_instance not in (
                None,
                instance.id.encode(),
            ):
                pending.steps.append("other-instance")
                load.on_identity_mismatch(now_ms)
            pending.attempts -= 1
            self._on_refusal(pending, instance)
            return None
        if instance_responses.is_invalid(outcome, self._header_format):
            pending.steps.append("garbled")
            pending.may_have_run = True
            pending.excluded_instances.add(instance.id)
            pending.attempts_forbidden = not pending.route.idempotent
            return None
        self._crash_watch.on_answered(
            pending, instance, outcome.status, began_at, now_ms
        )
        if outcome.status >= 500:
            load.on_error_response()
            pending.steps.append(str(outcome.status))
            if pending.route.idempotent and outcome.status != 504:
                pending.may_have_run = True
                pending.excluded_instances.add(instance.id)
                pending.last_error_response = outcome
                return None
        return instance_responses.caller_response(outcome, self._header_format)

    async def _wait_for_verdict(self, pending: pending_request.PendingRequest) -> bool:
        """Return whether a request may be sent once an instance has capacity.

        Wait while its response has no room, or while evidence is on its way that it
        ends no instances.
        """
        assert self._loop is not None
        wait_deadline_at = self.selector.wait_deadline_at(pending)
        if self.buffers.is_filled:
            pending.steps.append("no-memory")
            return False
        if not await pending.wait_for_room(wait_deadline_at):
            return False
        while True:
            now = self._loop.time()
            admission = self._crash_watch.admission(pending, 1000.0 * now)
            if admission.action in (
                crash_watch.AdmissionAction.RUN,
                crash_watch.AdmissionAction.TRIAL,
            ):
                return True
            left_s = wait_deadline_at - now
            if admission.action == crash_watch.AdmissionAction.REFUSE or left_s <= 0.0:
                pending.steps.append("quarantined")
                pending.retry_after_s = admission.left_ms / 1000.0
                return False
            if pending.steps[-1:] != ["suspected"]:
                pending.steps.append("suspected")
            await self._crash_watch.wait_for_evidence(left_s)

    async def _keeps_slot(
        self,
        pending: pending_request.PendingRequest,
        choice: instance_selection.Selection,
    ) -> bool:
        """Return whether a request may be sent to an instance, else free its slot."""
        admitted = False
        try:
            admitted = pending.has_room and await self._is_admitted(pending)
        finally:
            if not admitted:
                self.selector.release_slot(choice, instance_selection.UNUSED_SLOT)
        return admitted

    async def _is_admitted(self, pending: pending_request.PendingRequest) -> bool:
        """Return whether a request may be sent now; claim its trial if it needs one."""
        assert self._loop is not None
        now_ms = 1000.0 * self._loop.time()
        admission = self._crash_watch.admission(pending, now_ms)
        if admission.action == crash_watch.AdmissionAction.TRIAL:
            return await self._crash_watch.claim(pending, admission)
        return admission.action == crash_watch.AdmissionAction.RUN

    def _on_refusal(
        self,
        pending: pending_request.PendingRequest,
        instance: placement.RegisteredInstance,
    ) -> None:
        """Exclude an instance that certainly did not run a request."""
        assert self._loop is not None
        pending.excluded_instances.add(instance.id)
        pending.refused_sends += 1
        pending.attempts_forbidden = (
            pending.attempts_forbidden or pending.refused_sends >= MAX_REFUSED_SENDS
        )
        pending.refusing_instance = instance.id
        pending.refusing_until = self._loop.time() + KEY_MOVE_RETRY_DELAY_S

    def _failure_response(
        self, pending: pending_request.PendingRequest
    ) -> messages.HttpResponse:
        """Return the final response to a request without a successful attempt."""
        assert self._loop is not None
        if pending.last_error_response is not None:
            return instance_responses.caller_response(
                pending.last_error_response, self._header_format
            )
        if pending.may_have_run:
            late = (
                self._loop.time() >= pending.deadline_at - pending_request.MIN_ATTEMPT_S
            )
            status = 504 if late else 502
            return messages.local_response(status, "it is not known whether it has run")
        wanted_s = max(
            pending.retry_after_s, 0.5 * self.selector.expected_wait_s(pending)
        )
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wanted_s))
        return messages.local_response(503, "the request has not run", retry_after_s)
