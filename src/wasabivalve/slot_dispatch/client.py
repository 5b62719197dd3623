"""Ask the dispatcher of a service for a slot, and choose another one when it is silent.

Datagrams may be lost and dispatchers may end, so that every wait has a bound. A request
that reaches no dispatcher is left to the caller of this module.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from wasabivalve import events
from wasabivalve.placement import eligibility

from . import messages, reply_times

REPLY_TIMEOUT_S = 0.08
"""Least time to wait for a reply; a machine without processor time pauses for less."""

REMOTE_REPLY_TIMEOUT_S = 0.2
"""Time to wait for a reply from another region."""

MAX_SENDS = 2
"""Unanswered sends after which a dispatcher counts as silent."""

QUEUE_CHECK_INTERVAL_S = 0.5
"""Interval at which a queued request asks whether it is still queued."""

MIN_SUSPICION_S = 1.0
MAX_SUSPICION_S = 8.0
"""Bounds of the time without requests to a silent dispatcher.

It doubles each time, as the first request after it waits in vain again.
"""

MAX_SUSPECTED = 3
"""Silent dispatchers of a service beyond which no further one is tried.

This VM itself is then likely to be cut off.
"""

HELD_INTERVAL_S = 0.3
"""Interval of sending the list of held slots."""

HELD_AFTER_USE_S = 0.7
"""Time after the last slot of a dispatcher for which it gets lists."""

SECOND_MS = 1000.0

NUMBER_BITS = 30
"""Size of the first number, so that a new incarnation repeats none."""


class SlotDemand(NamedTuple):
    """Describe a request that needs a slot; times are in ms from now.

    ``only`` names the one instance that can serve it, in the region ``region``; without
    it, any instance in one of ``allowed_regions`` can, of any region if that is empty.
    """

    service: str
    route: str
    rank: int
    target_latency_ms: float
    target_left_ms: float
    max_wait_ms: float
    time_left_ms: float
    excluded: Sequence[str]
    only: str = ""
    region: str = ""
    allowed_regions: frozenset[str] = frozenset()
    has_large_response: bool = False


class SlotGranted(NamedTuple):
    """Name the incarnation whose slot is granted, and the expected response time."""

    instance: str
    born: int
    estimate_ms: float
    permit: "SlotPermit"


class SlotRefused(NamedTuple):
    """Say that no slot will be free in time; others wait for ``wait_ms``."""

    wait_ms: float


class NoDispatcher(NamedTuple):
    """Say why no dispatcher decides about a request."""

    reason: str


SlotAnswer = SlotGranted | SlotRefused | NoDispatcher


class SlotPermit(NamedTuple):
    """Identify a granted slot."""

    dispatcher: str
    number: int


class _Suspicion(NamedTuple):
    """Hold until when a dispatcher is avoided, and for how long; times in s."""

    until: float
    duration_s: float


class SlotClient:
    """Hold the requests of this VM that wait for slots, and the slots that it holds.

    ``rank_dispatchers`` returns the VMs that may assign the slots of a service in a
    region, in the order in which all VMs ask them; ``region`` is that of this VM.
    ``send`` sends a message to a VM.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        rank_dispatchers: Callable[[str, str], Sequence[str]],
        send: Callable[[str, messages.DispatchMessage], None],
        generator: random.Random,
        region: str,
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._region = region
        self._rank_dispatchers = rank_dispatchers
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._next_number = generator.getrandbits(NUMBER_BITS)
        self._replies_by_number: dict[int, asyncio.Queue[messages.SlotReply]] = {}
        self._suspicion_by_vm: dict[str, _Suspicion] = {}
        self._reply_times = reply_times.ReplyTimes()
        self._held_by_dispatcher: dict[str, set[int]] = {}
        self._used_at_by_dispatcher: dict[str, float] = {}

    async def acquire(self, demand: SlotDemand) -> SlotAnswer:
        """Wait for a slot, a refusal, or the silence of the dispatcher."""
        started_at = self._loop.time()
        dispatcher = self._choose_dispatcher(demand)
        if dispatcher is None:
            return NoDispatcher("no dispatcher")
        self._next_number += 1
        number = self._next_number
        asked = {dispatcher}
        may_go_elsewhere = not demand.only
        is_settled = False
        self._replies_by_number[number] = asyncio.Queue()
        try:
            while True:
                reply = await self._ask(
                    dispatcher, number, demand, started_at, may_go_elsewhere
                )
                if reply is None:
                    if self._loop.time() >= self._give_up_at(demand, started_at):
                        return SlotRefused(0.0)
                    self._suspect(dispatcher, demand.service)
                    return NoDispatcher("no reply")
                if reply.state == messages.ReplyState.GRANTED:
                    is_settled = True
                    permit = SlotPermit(dispatcher, number)
                    return SlotGranted(
                        reply.instance, reply.born, reply.wait_ms, permit
                    )
                if reply.state == messages.ReplyState.REFUSED:
                    is_settled = True
                    return SlotRefused(reply.wait_ms)
                if reply.state == messages.ReplyState.NO_INSTANCE:
                    is_settled = True
                    return NoDispatcher("no instance in the region")
                if reply.state == messages.ReplyState.UNAVAILABLE:
                    self._suspect(dispatcher, demand.service)
                    dispatcher = self._choose_dispatcher(demand) or ""
                    if not dispatcher or dispatcher in asked:
                        return NoDispatcher("no dispatcher is available")
                    asked.add(dispatcher)
                else:
                    dispatcher, may_go_elsewhere = reply.instance, False
        finally:
            del self._replies_by_number[number]
            if not is_settled:
                self.release(SlotPermit(dispatcher, number), messages.SlotResult.UNUSED)

    async def _ask(
        self,
        dispatcher: str,
        number: int,
        demand: SlotDemand,
        started_at: float,
        may_go_elsewhere: bool,
    ) -> messages.SlotReply | None:
        """Send a request until a reply settles it; return None for silence."""
        is_near = may_go_elsewhere and self._regions_to_ask(demand)[0] == self._region
        timeout_s = self._reply_times.timeout_s(
            REPLY_TIMEOUT_S if is_near else REMOTE_REPLY_TIMEOUT_S
        )
        self._used_at_by_dispatcher[dispatcher] = self._loop.time()
        unanswered = 0
        self._reply_times.on_sent(number, self._loop.time())
        give_up_at = self._give_up_at(demand, started_at)
        while unanswered < MAX_SENDS and self._loop.time() < give_up_at:
            waited_ms = SECOND_MS * (self._loop.time() - started_at)
            self._send(
                dispatcher,
                messages.SlotRequest(
                    self._vm,
                    number,
                    self._data_centre,
                    demand.service,
                    demand.route,
                    demand.rank,
                    round(demand.target_latency_ms),
                    round(demand.target_left_ms - waited_ms),
                    round(demand.max_wait_ms - waited_ms),
                    round(demand.time_left_ms - waited_ms),
                    list(demand.excluded),
                    may_go_elsewhere,
                    demand.only,
                    sorted(demand.allowed_regions),
                    demand.has_large_response,
                ),
            )
            unanswered += 1
            resend_at = self._loop.time() + timeout_s
            while True:
                reply = await self._next_reply(number, min(resend_at, give_up_at))
                if reply is None:
                    break
                if reply.vm != dispatcher:
                    self._give_back(reply)
                    continue
                self._suspicion_by_vm.pop(dispatcher, None)
                if reply.state == messages.ReplyState.GRANTED:
                    self._held_by_dispatcher.setdefault(dispatcher, set()).add(number)
                    self._used_at_by_dispatcher[dispatcher] = self._loop.time()
                if reply.state != messages.ReplyState.QUEUED:
                    return reply
                unanswered = 0
                resend_at = self._loop.time() + QUEUE_CHECK_INTERVAL_S
        return None

    def _give_up_at(self, demand: SlotDemand, started_at: float) -> float:
        """Return until when to wait; usually the dispatcher refuses just before."""
        return started_at + demand.max_wait_ms / SECOND_MS + REPLY_TIMEOUT_S

    async def _next_reply(self, number: int, until: float) -> messages.SlotReply | None:
        """Return the next reply to a request, or None after a time in s."""
        try:
            async with asyncio.timeout_at(until):
                return await self._replies_by_number[number].get()
        except TimeoutError:
            # Silence is an outcome of its own; the caller sends again or gives up.
            return None

    def release(
        self,
        permit: SlotPermit,
        result: messages.SlotResult,
        service_time_ms: float = 0.0,
        reported_requests: int = -1,
        kilobytes: float = 0.0,
        slowness: float = 0.0,
    ) -> None:
        """Give a slot back; ``service_time_ms`` leaves out the round trip."""
        self._held_by_dispatcher.get(permit.dispatcher, set()).discard(permit.number)
        self._send(
            permit.dispatcher,
            messages.SlotRelease(
                self._vm,
                permit.number,
                result,
                max(1, round(service_time_ms)),
                reported_requests,
                round(kilobytes, 1),
                round(slowness, 2),
            ),
        )

    def on_reply(self, reply: messages.SlotReply) -> None:
        """Settle the request that a reply answers; give back slots of no request."""
        self._reply_times.on_reply(reply.number, self._loop.time())
        replies = self._replies_by_number.get(reply.number)
        if replies is not None:
            replies.put_nowait(reply)
        elif reply.number not in self._held_by_dispatcher.get(reply.vm, set()):
            self._give_back(reply)

    def _give_back(self, reply: messages.SlotReply) -> None:
        """Release a slot that was granted to a request that no longer wants it."""
        if reply.state == messages.ReplyState.GRANTED:
            permit = SlotPermit(reply.vm, reply.number)
            self.release(permit, messages.SlotResult.UNUSED)

    def send_held(self) -> None:
        """Send each dispatcher in use the list of the slots held from it."""
        now = self._loop.time()
        for dispatcher, used_at in list(self._used_at_by_dispatcher.items()):
            held = self._held_by_dispatcher.get(dispatcher, set())
            if not held and now > used_at + HELD_AFTER_USE_S:
                del self._used_at_by_dispatcher[dispatcher]
                self._held_by_dispatcher.pop(dispatcher, None)
                continue
            self._send(dispatcher, messages.SlotsHeld(self._vm, sorted(held)))

    def _choose_dispatcher(self, demand: SlotDemand) -> str | None:
        now = self._loop.time()
        for region in self._regions_to_ask(demand):
            ranked_vms = self._rank_dispatchers(demand.service, region)
            for vm in ranked_vms[: MAX_SUSPECTED + 1]:
                suspicion = self._suspicion_by_vm.get(vm)
                if suspicion is None or now >= suspicion.until:
                    return vm
        return None

    def _regions_to_ask(self, demand: SlotDemand) -> list[str]:
        """Return the regions whose dispatchers may assign a slot, in order."""
        if demand.region:
            return [demand.region]
        return eligibility.order_regions(demand.allowed_regions, self._region)

    def _suspect(self, dispatcher: str, service: str) -> None:
        now = self._loop.time()
        before = self._suspicion_by_vm.get(dispatcher)
        if before is not None and now < before.until:
            return
        duration_s = min(
            MAX_SUSPICION_S, 2.0 * before.duration_s if before else MIN_SUSPICION_S
        )
        self._suspicion_by_vm[dispatcher] = _Suspicion(now + duration_s, duration_s)
        events.emit(340, dispatcher=dispatcher, service=service, s=duration_s)
