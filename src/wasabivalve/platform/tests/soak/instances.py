"""Stand in for instances that hold keys, and note what they run."""

import asyncio

import msgspec

from wasabivalve.gateway import messages
from wasabivalve.platform.tests import instance_stand_in

KEYS = 65_536
WORK_S = (0.005, 0.04)
CLOCK_RATE = 0.98
"""An instance's clock may run 2 % slow."""

HEALED_S = 0.5
"""Grants that a relay or a pause held up may arrive for this long behind its end."""


class Run:
    """Note one run of a request."""

    def __init__(self, request_id, instance, at):
        self.request_id = request_id
        self.instance = instance
        self.at = at


class Book:
    """Hold what all instances run and which rules they saw broken."""

    def __init__(self):
        self.runs_by_id = {}
        self.unsafe_ids = set()
        self.problems = []
        self.instances = []
        self.drained_at = {}

    def begin(self, instance, request_id, at, unsafe):
        """Note the start of a run."""
        runs = self.runs_by_id.setdefault(request_id, [])
        runs.append(Run(request_id, instance.name, at))
        if unsafe:
            self.unsafe_ids.add(request_id)
            if len(runs) > 1:
                self.problems.append(f"unsafe {request_id} runs {len(runs)} times")

    def check_holder(self, instance, key, now):
        """Note a key that another instance holds as well."""
        for other in self.instances:
            if other is instance or other.excused(now) or instance.excused(now):
                continue
            if other.holds(key, now):
                self.problems.append(
                    f"{now:.2f} {instance.name} and {other.name} both hold key {key}"
                )


class SoakInstance(instance_stand_in.InstanceStandIn):
    """Serve plain requests, and keyed ones for keys that it holds."""

    def __init__(self, name, service, book, generator):
        super().__init__(name, service)
        self.relay = None
        self.born = 1
        self._book = book
        self._generator = generator
        self._granted = []
        self._highest = []
        self._working = 0
        book.instances.append(self)

    def restart(self):
        """Start a new life, which holds and knows nothing."""
        self.born += 1
        self._granted, self._highest = [], []
        for connection in list(self._connections):
            connection.abort()

    def excused(self, now):
        """Return whether grants may still arrive that were held up on their way."""
        relay = self.relay
        return bool(relay.held or relay.delay_s) or now < relay.healed_at + HEALED_S

    def holds(self, key, now):
        """Return whether a key is held now."""
        return any(
            first <= key <= last and now < end for first, last, end in self._granted
        )

    async def handle(self, request):
        """Run a request unless it is for another instance or a key not held."""
        now = asyncio.get_running_loop().time()
        expected = request.header(b"expected-instance")
        if expected is not None and expected.decode() != self.name:
            return self._not_run(request, 421)
        if request.path == "/api/grant":
            return self._take_grant(msgspec.json.decode(request.body), now)
        if request.path == "/api/release":
            return self._release(msgspec.json.decode(request.body))
        key = request.header(b"shard-key")
        if self.service == "keyed":
            if key is None or not self.holds(int(key), now):
                return self._not_run(request, 421)
            self._book.check_holder(self, int(key), now)
        if self._working >= 10:
            return self._not_run(request, 503)
        return await self._run(request, now)

    async def _run(self, request, now):
        request_id = request.header(b"request-id").decode()
        self._book.begin(self, request_id, now, request.method == b"POST")
        drained_at = self._book.drained_at.get(self.name)
        if drained_at is not None and now > drained_at:
            self._book.problems.append(f"{self.name} runs {request_id} after its drain")
        self._working += 1
        try:
            await asyncio.sleep(self._generator.uniform(*WORK_S))
        finally:
            self._working -= 1
        return self.success(request, f"{request_id} {request.path}".encode())

    def _not_run(self, request, status):
        identity = request.header(b"request-id") or b"-"
        headers = [(b"request-id", identity), (b"not-executed", b"1")]
        headers.append((b"instance-id", self.name.encode()))
        return messages.HttpResponse(status, b"", headers, b"")

    def _take_grant(self, document, now):
        first, last, token = document["from"], document["target"], document["fence"]
        for low, high, seen in self._highest:
            if low <= last and first <= high and seen > token:
                return messages.HttpResponse(409, b"", [], b"")
        self._highest = [
            one
            for one in self._highest
            if not (first <= one[0] and one[1] <= last and one[2] <= token)
        ]
        self._highest.append((first, last, token))
        self._cut(first, last)
        end = now + document["hold_s"] / CLOCK_RATE
        self._granted.append((first, last, end))
        return messages.HttpResponse(200, b"", [], b"")

    def _release(self, document):
        self._cut(document["from"], document["target"])
        return messages.HttpResponse(200, b"", [(b"handover", b"h1")], b"")

    def _cut(self, first, last):
        kept = []
        for low, high, end in self._granted:
            if low < first:
                kept.append((low, min(high, first - 1), end))
            if high > last:
                kept.append((max(low, last + 1), high, end))
        self._granted = kept
