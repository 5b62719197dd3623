"""Play requests of many VMs against instances of few slots, in virtual time."""

import heapq
import itertools
import random
from typing import NamedTuple

from wasabivalve.placement import core as placement
from wasabivalve.slot_dispatch import core, messages

TOPOLOGY_REGIONS = {f"a{number}": "a" for number in range(4)}


class Load(NamedTuple):
    """Describe the load: requests/s, mean work in ms, target and timeout in ms."""

    rate_per_s: float
    work_ms: float = 120.0
    target_ms: float = 500.0
    timeout_ms: float = 1_500.0
    rank: int = 0
    route: str = "invoice"


class Outcomes(NamedTuple):
    """Count the outcomes of requests; ``refused_ms`` are the waits before refusals."""

    on_time: int
    late: int
    refused: int
    refused_ms: list[float]

    @property
    def on_time_share(self):
        """Return the share of requests answered within the target latency."""
        return self.on_time / max(1, self.on_time + self.late + self.refused)


def create_instances(speeds, slots=2, service="desk"):
    """Return one registered instance per speed, over four data centres."""
    return [
        placement.RegisteredInstance(
            f"i-{number}", service, "h", 1, f"a{number % 4}", slots, False, 0.0, 1, 1
        )
        for number in range(len(speeds))
    ]


class _Playback:
    """Hold the running play of one dispatcher."""

    def __init__(self, speeds, loads, seed, delay_ms, lost_share):
        self.generator = random.Random(seed)
        self.speed_by_instance = {f"i-{n}": speed for n, speed in enumerate(speeds)}
        self.instances = create_instances(speeds)
        self.dispatcher = core.SlotDispatcher(
            "vm-0",
            "a",
            TOPOLOGY_REGIONS,
            lambda service: self.instances,
            random.Random(1),
        )
        self.loads = loads
        self.delay_ms = delay_ms
        self.lost_share = lost_share
        self.events = []
        self.order = itertools.count()
        self.free_at_by_instance = {
            instance.id: [0.0] * instance.slots for instance in self.instances
        }
        self.outcome_by_route = {load.route: ([], [], []) for load in loads}
        self.request_by_number = {}

    def at(self, time_ms, action, *details):
        heapq.heappush(self.events, (time_ms, next(self.order), action, details))

    def deliver(self, now, action, *details):
        if self.generator.random() >= self.lost_share:
            self.at(now + self.delay_ms, action, *details)

    def arrive(self, now, load, number):
        self.request_by_number[number] = (load, now)
        request = messages.SlotRequest(
            f"vm-{number % 98}",
            number,
            f"a{number % 4}",
            "desk",
            load.route,
            load.rank,
            load.target_ms,
            load.target_ms,
            0.6 * load.timeout_ms,
            load.timeout_ms,
            [],
            True,
        )
        self.deliver(now, self.ask, request)

    def ask(self, now, request):
        self.send(now, self.dispatcher.on_request(request, now))

    def send(self, now, replies):
        for addressed in replies:
            self.deliver(now, self.receive, addressed.reply)

    def receive(self, now, reply):
        if reply.number not in self.request_by_number:
            return
        load, arrived_at = self.request_by_number[reply.number]
        on_time, late, refused = self.outcome_by_route[load.route]
        if reply.state == messages.ReplyState.REFUSED:
            refused.append(now - arrived_at)
        elif reply.state == messages.ReplyState.GRANTED:
            work_ms = load.work_ms * self.generator.lognormvariate(-0.11, 0.47)
            work_ms /= self.speed_by_instance[reply.instance]
            slots = self.free_at_by_instance[reply.instance]
            slot = min(range(len(slots)), key=slots.__getitem__)
            slots[slot] = max(now, slots[slot]) + work_ms
            ended_at = slots[slot]
            (on_time if ended_at - arrived_at <= load.target_ms else late).append(
                ended_at - arrived_at
            )
            release = messages.SlotRelease(
                f"vm-{reply.number % 98}",
                reply.number,
                messages.SlotResult.DONE,
                ended_at - now,
                1 + sum(1 for free_at in slots if free_at > ended_at),
            )
            self.at(ended_at, self.end, release)

    def end(self, now, release):
        self.deliver(now, self.free, release)

    def free(self, now, release):
        self.send(now, self.dispatcher.on_release(release, now))

    def tick(self, now):
        self.send(now, self.dispatcher.tick(now))
        self.at(now + 100.0, self.tick)


def play(speeds, loads, duration_s, seed, delay_ms=1.0, lost_share=0.0):
    """Return the outcomes by route; ``speeds`` has one entry per instance."""
    playback = _Playback(speeds, loads, seed, delay_ms, lost_share)
    number = 0
    for load in loads:
        now = 0.0
        while now < 1000.0 * duration_s:
            now += playback.generator.expovariate(load.rate_per_s / 1000.0)
            number += 1
            playback.at(now, playback.arrive, load, number)
    playback.at(100.0, playback.tick)
    while playback.events:
        now, _, action, details = heapq.heappop(playback.events)
        if now > 1000.0 * duration_s + 20_000.0:
            break
        action(now, *details)
    return {
        route: Outcomes(len(on_time), len(late), len(refused), refused)
        for route, (on_time, late, refused) in playback.outcome_by_route.items()
    }
