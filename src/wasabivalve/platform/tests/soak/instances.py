"""Provide stand-ins for instances that hold keys, and track the requests they run."""

import asyncio

import msgspec

from wasabivalve.gateway import messages
from wasabivalve.platform.tests import instance_stand_in

KEY_COUNT = 65_536
SERVICE_TIME_RANGE_S = (0.005, 0.04)
MIN_CLOCK_RATE = 0.98
"""Rate of the slowest allowed clock of an instance, which runs 2 % slow."""

POISON_PREFIX = "/safe/poison"
"""Paths of requests that end each instance which begins to run them."""

CHANGING_PREFIX = "/safe/changing"
"""Paths of requests that are answered until ``RunTracker.ending_paths`` has them."""

LARGE_PATH = "/safe/large"
"""Path of requests with a large answer, which a VM holds until its caller reads.

Its status keeps it from being passed on while it is read, so that no fault of an
instance cuts it.
"""

LARGE_BODY = b"0123456789abcdef" * 16_000

RESTART_DELAY_S = 0.4
"""Time from the end of an instance until its new incarnation registers."""

DELAYED_GRANT_MARGIN_S = 0.5
"""Time after the end of a delay or a pause in which delayed grants may arrive."""


class RequestRun:
    """Hold one run of a request by an instance."""

    def __init__(self, request_id, instance, started_at):
        self.request_id = request_id
        self.instance = instance
        self.started_at = started_at


class RunTracker:
    """Track the requests that all instances run, and the violated rules found."""

    def __init__(self):
        self.runs_by_id = {}
        self.unsafe_ids = set()
        self.problems = []
        self.instances = []
        self.drained_at = {}
        self.ended_at_by_path = {}
        self.ending_paths = set()

    def record_start(self, instance, request_id, started_at, unsafe):
        """Record the start of a run; an unsafe request must run only once."""
        runs = self.runs_by_id.setdefault(request_id, [])
        runs.append(RequestRun(request_id, instance.name, started_at))
        if unsafe:
            self.unsafe_ids.add(request_id)
            if len(runs) > 1:
                self.problems.append(f"unsafe {request_id} runs {len(runs)} times")

    def record_end(self, path, ended_at):
        """Record that a request ended an instance."""
        self.ended_at_by_path.setdefault(path, []).append(ended_at)

    def check_other_holders(self, instance, key, now):
        """Record a problem if another instance holds the key too."""
        for other in self.instances:
            if (
                other is instance
                or other.may_get_delayed_grants(now)
                or instance.may_get_delayed_grants(now)
            ):
                continue
            if other.holds_key(key, now):
                self.problems.append(
                    f"{now:.2f} {instance.name} and {other.name} both hold key {key}"
                )


class SoakInstance(instance_stand_in.InstanceStandIn):
    """Serve plain requests, and keyed ones for keys that it holds."""

    def __init__(self, name, service, run_tracker, generator):
        super().__init__(name, service)
        self.relay = None
        self.on_restarted = None
        self.born = 1
        self._run_tracker = run_tracker
        self._generator = generator
        self._granted_leases = []
        self._highest_tokens = []
        self._in_flight = 0
        run_tracker.instances.append(self)

    def restart(self):
        """Start a new incarnation, without leases and without known tokens."""
        self.born += 1
        self._granted_leases, self._highest_tokens = [], []
        self.reset_connections()

    def may_get_delayed_grants(self, now):
        """Return whether grants that were delayed in transit may still arrive."""
        relay = self.relay
        return (
            bool(relay.blocked_directions or relay.delay_s)
            or now < relay.healed_at + DELAYED_GRANT_MARGIN_S
        )

    def holds_key(self, key, now):
        """Return whether this instance has a lease of a key now."""
        return any(
            first <= key <= last and now < end
            for first, last, end in self._granted_leases
        )

    async def handle(self, request):
        """Run a request unless it names another instance or its key isn't held."""
        now = asyncio.get_running_loop().time()
        expected = request.header(b"expected-instance")
        if expected is not None and expected.decode() != self.name:
            return self._refuse(request, 421)
        if request.path == "/api/grant":
            return self._handle_grant(msgspec.json.decode(request.body), now)
        if request.path == "/api/release":
            return self._handle_release(msgspec.json.decode(request.body))
        key = request.header(b"shard-key")
        if self.service == "keyed":
            if key is None or not self.holds_key(int(key), now):
                return self._refuse(request, 421)
            self._run_tracker.check_other_holders(self, int(key), now)
        if self._in_flight >= 10:
            return self._refuse(request, 503)
        return await self._run_request(request, now)

    async def _run_request(self, request, now):
        ending_paths = self._run_tracker.ending_paths
        if request.path.startswith(POISON_PREFIX) or request.path in ending_paths:
            self._run_tracker.record_end(request.path, now)
            loop = asyncio.get_running_loop()
            loop.call_soon(self.restart)
            loop.call_later(RESTART_DELAY_S, self.on_restarted, self)
            await asyncio.sleep(3600)
        request_id = request.header(b"request-id").decode()
        self._run_tracker.record_start(self, request_id, now, request.method == b"POST")
        drained_at = self._run_tracker.drained_at.get(self.name)
        if drained_at is not None and now > drained_at:
            self._run_tracker.problems.append(
                f"{self.name} runs {request_id} after its drain"
            )
        self._in_flight += 1
        try:
            await asyncio.sleep(self._generator.uniform(*SERVICE_TIME_RANGE_S))
        finally:
            self._in_flight -= 1
        if request.path == LARGE_PATH:
            return self.success(request, LARGE_BODY)._replace(status=404)
        return self.success(request, f"{request_id} {request.path}".encode())

    def _refuse(self, request, status):
        request_id = request.header(b"request-id") or b"-"
        headers = [(b"request-id", request_id), (b"not-executed", b"1")]
        headers.append((b"instance-id", self.name.encode()))
        return messages.HttpResponse(status, b"", headers, b"")

    def _handle_grant(self, document, now):
        first, last, token = document["from"], document["target"], document["fence"]
        for range_first, range_last, seen_token in self._highest_tokens:
            if range_first <= last and first <= range_last and seen_token > token:
                return messages.HttpResponse(409, b"", [], b"")
        self._highest_tokens = [
            highest
            for highest in self._highest_tokens
            if not (first <= highest[0] and highest[1] <= last and highest[2] <= token)
        ]
        self._highest_tokens.append((first, last, token))
        self._revoke(first, last)
        end = now + document["hold_s"] / MIN_CLOCK_RATE
        self._granted_leases.append((first, last, end))
        return messages.HttpResponse(200, b"", [], b"")

    def _handle_release(self, document):
        self._revoke(document["from"], document["target"])
        return messages.HttpResponse(200, b"", [(b"handover", b"h1")], b"")

    def _revoke(self, first, last):
        remaining_leases = []
        for range_first, range_last, end in self._granted_leases:
            if range_first < first:
                remaining_leases.append((range_first, min(range_last, first - 1), end))
            if range_last > last:
                remaining_leases.append((max(range_first, last + 1), range_last, end))
        self._granted_leases = remaining_leases
