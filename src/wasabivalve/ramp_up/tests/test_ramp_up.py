"""Play load against the pace of instances and compare what callers get without it."""

import itertools
import random

import pytest

from wasabivalve import ramp_up, shared_facts
from wasabivalve.desired_state import core as desired_state
from wasabivalve.placement import core as placement
from wasabivalve.placement import rate_limit
from wasabivalve.slot_dispatch import core as slot_dispatch
from wasabivalve.slot_dispatch import messages

WARMUP_MS = 3_000.0
WARMUP_PER_S = 4.2
BOUNDS = ramp_up.WarmupBounds(1.5, 8.0)
MAX_IN_ONE_SECOND = 1.5 * WARMUP_PER_S + 8.0
SERVICE = desired_state.ServiceConfig(
    "desk", 500, False, warmup_ms=WARMUP_MS, warmup_per_s=WARMUP_PER_S
)
UNPACED = SERVICE._replace(warmup_ms=0.0)
WORK_MS = 60.0
"""Short work, so that slots alone don't keep a cold instance below its bound."""

PATIENCE_MS = 900.0
RESTART_MS = 3_000.0
STEP_MS = 10.0
TARGET_MS = 600.0


def most_in_one_second(times):
    """Return the most requests in any second of a sequence of times in ms."""
    return max(sum(start <= at < start + 1_000.0 for at in times) for start in times)


class Instance:
    """Serve requests in slots; a cold one is slow and ends above its bound."""

    def __init__(self, name="i-1", slots=4, factor=lambda now: 1.0):
        self.registered = placement.RegisteredInstance(
            name, "desk", "h", 1, "a1", slots, False, 0.0, 1, 1
        )
        self.factor = factor
        self.cold_until = -1.0
        self.ended_until = -1.0
        self.arrivals = []
        self.free_at = [0.0] * slots

    def become_cold(self, now):
        """Start again; the registry entry says so."""
        self.cold_until = now + WARMUP_MS
        entry = self.registered
        self.registered = entry._replace(
            warmup_left_ms=WARMUP_MS, sequence=entry.sequence + 1
        )

    def serve(self, now):
        """Return when a request is answered and whether it succeeds."""
        if now < self.ended_until:
            return now + 1.0, False
        self.arrivals.append(now)
        cold_since = max(now - 1_000.0, self.cold_until - WARMUP_MS)
        recent = [at for at in self.arrivals if at >= cold_since]
        if now < self.cold_until and len(recent) > MAX_IN_ONE_SECOND:
            self.ended_until = now + RESTART_MS
            self.cold_until = self.ended_until + WARMUP_MS
            return now + 1.0, False
        cold_factor = 2.0 if now < self.cold_until else 1.0
        slot = min(range(len(self.free_at)), key=self.free_at.__getitem__)
        started_at = max(now, self.free_at[slot])
        self.free_at[slot] = started_at + WORK_MS * cold_factor * self.factor(now)
        return self.free_at[slot], True


def play(instances, service, demand_per_s, duration_ms, actions=(), seed=1):
    """Return the times from arrival to success of the requests of a dispatcher."""
    generator = random.Random(seed)
    limits = ramp_up.PacedLimits(shared_facts.FactBoard(), lambda name: service, BOUNDS)
    dispatcher = slot_dispatch.SlotDispatcher(
        "vm-0",
        "a",
        {"a1": "a"},
        lambda name: [instance.registered for instance in instances],
        random.Random(seed),
        limits,
    )
    instance_by_id = {instance.registered.id: instance for instance in instances}
    arrived_at, running, durations = {}, [], []
    actions = list(actions)
    next_at, now = 0.0, 0.0

    def handle(replies):
        for addressed in replies:
            number = addressed.reply.number
            if addressed.reply.state == messages.ReplyState.GRANTED:
                chosen = instance_by_id[addressed.reply.instance]
                running.append((*chosen.serve(now), number, now))

    while now < duration_ms:
        while actions and actions[0][0] <= now:
            actions.pop(0)[1](now)
        while next_at <= now:
            number = len(arrived_at)
            arrived_at[number] = now
            request = messages.SlotRequest(
                "vm-1", number, "a1", "desk", "r", 0, 600, 600, 900, 1_500, [], True
            )
            handle(dispatcher.on_request(request, now))
            next_at += generator.expovariate(demand_per_s / 1_000.0)
        for ended in sorted(running):
            ended_at, succeeds, number, sent_at = ended
            if ended_at > now:
                break
            running.remove(ended)
            result = messages.SlotResult.DONE
            if succeeds:
                durations.append(ended_at - arrived_at[number])
            else:
                result = messages.SlotResult.FAILED
            release = messages.SlotRelease(
                "vm-1", number, result, max(1, round(ended_at - sent_at))
            )
            handle(dispatcher.on_release(release, now))
        if round(now) % 100 == 0:
            held = messages.SlotsHeld("vm-1", [number for _, _, number, _ in running])
            handle(dispatcher.on_held(held, now))
            handle(dispatcher.tick(now))
        now += STEP_MS
    return durations


def in_time(durations):
    """Return the number of requests answered within their target."""
    return sum(duration <= TARGET_MS for duration in durations)


def test_flood_at_the_start_ends_no_cold_instance():
    """A cold instance that gets all it has slots for ends again and again."""
    served = {}
    for service in (SERVICE, UNPACED):
        instance = Instance()
        start = [(0.0, instance.become_cold)]
        durations = play([instance], service, 40.0, 10_000.0, start)
        served[service] = in_time(durations)
        if service is SERVICE:
            assert instance.ended_until < 0.0
            cold = [at for at in instance.arrivals if at < WARMUP_MS]
            assert len(cold) > 0.6 * WARMUP_PER_S * WARMUP_MS / 1_000.0
    assert served[SERVICE] > 2 * served[UNPACED]


def test_instance_that_becomes_cold_again_is_held_to_its_bound():
    """Permission saved at the full pace must not be used while it is cold."""
    served = {}
    for service in (SERVICE, UNPACED):
        instances = [Instance("i-1"), Instance("i-2")]
        again = [(5_000.0, instances[0].become_cold)]
        served[service] = in_time(play(instances, service, 60.0, 12_000.0, again))
        if service is SERVICE:
            cold = [at for at in instances[0].arrivals if 5_000.0 <= at < 8_000.0]
            assert most_in_one_second(cold) <= MAX_IN_ONE_SECOND
            warm = [at for at in instances[0].arrivals if at >= 10_000.0]
            assert len(warm) > 2.0 * WARMUP_PER_S * 2.0
    assert served[SERVICE] > served[UNPACED]


def test_recovered_instance_gets_its_share_again():
    """An instance that was ten times slower keeps a high estimate and stays idle."""
    share = {}
    for service in (SERVICE, UNPACED):
        slow = Instance("i-1", factor=lambda now: 10.0 if now < 4_000.0 else 1.0)
        others = [Instance("i-2"), Instance("i-3")]
        play([slow, *others], service, 100.0, 10_000.0)
        late = [at for at in slow.arrivals if at >= 7_000.0]
        share[service] = len(late)
    assert share[SERVICE] > 0.5 * 100.0 * 3.0 / 3.0
    assert share[SERVICE] > share[UNPACED]


def test_new_instance_gets_requests_soon_beside_idle_ones():
    """One that gets none for 4 s although others do costs value."""
    new, old = Instance("i-1"), [Instance("i-2"), Instance("i-3")]
    play([new, *old], SERVICE, 10.0, 8_000.0, [(0.0, new.become_cold)])
    times = [0.0, *new.arrivals, 8_000.0]
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert max(gaps) < 4_000.0


@pytest.mark.parametrize("vm_count", [1, 4, 29, 77])
@pytest.mark.parametrize("silence_ms", [0.0, 1_900.0])
def test_vms_without_a_dispatcher_keep_to_the_bound_of_a_cold_instance(
    vm_count, silence_ms
):
    """Each VM may save one request, and all of them could send it in one second."""
    for seed in range(20):
        generator = random.Random(seed)
        limiters = [
            rate_limit.RateLimiter(
                WARMUP_PER_S / vm_count, 0.0, generator.random(), lapses=True
            )
            for _ in range(vm_count)
        ]
        sent, now = [], silence_ms
        while now < WARMUP_MS:
            for limiter in limiters:
                if limiter.wait_ms(0, now) <= 0.0:
                    limiter.take(now)
                    sent.append(now)
            now += STEP_MS
        assert most_in_one_second(sent) <= MAX_IN_ONE_SECOND


def test_dispatcher_that_restarts_and_one_that_is_cut_off_keep_to_the_bound():
    """A VM starts without saved state, and one that hears nothing counts itself alone.

    One failure leaves at most these two to grant at a time, beside the equal parts of
    the VMs that reach neither.
    """
    generator = random.Random(1)
    boards = [shared_facts.FactBoard() for _ in range(3)]
    instance = Instance()
    instance.become_cold(0.0)

    def create(board):
        limits = ramp_up.PacedLimits(board, lambda name: SERVICE, BOUNDS)
        return slot_dispatch.SlotDispatcher(
            "vm-0",
            "a",
            {"a1": "a"},
            lambda name: [instance.registered],
            generator,
            limits,
        )

    dispatchers = [create(board) for board in boards[:2]]
    sent, number, now = [], 0, 0.0
    while now < WARMUP_MS:
        if now == 1_000.0:
            dispatchers[0] = create(boards[2])
        for dispatcher in dispatchers:
            number += 1
            request = messages.SlotRequest(
                "vm-1", number, "a1", "desk", "r", 0, 600, 600, 900, 1_500, [], False
            )
            for addressed in dispatcher.on_request(request, now):
                if addressed.reply.state == messages.ReplyState.GRANTED:
                    sent.append(now)
                    answered = messages.SlotRelease(
                        "vm-1", addressed.reply.number, messages.SlotResult.DONE, 120
                    )
                    dispatcher.on_release(answered, now)
        now += STEP_MS
    assert most_in_one_second(sent) <= MAX_IN_ONE_SECOND
    assert len(sent) > WARMUP_PER_S


def test_pace_falls_while_an_instance_queues_and_not_because_of_its_neighbours():
    """Fewer requests make no machine quicker that others keep busy."""
    queueing = ramp_up.PaceFinder(4, 0.0, 100.0)
    crowded = ramp_up.PaceFinder(4, 0.0, 100.0)
    for finder in (queueing, crowded):
        finder.on_recovery(0.0)
    for number in range(12):
        now = 250.0 * number
        queueing.on_load(2, None, now)
        queueing.on_answer(1.0, 100.0, now)
        crowded.on_load(0, 3.0 if number >= 3 else 1.0, now)
        crowded.on_answer(3.0 if number >= 3 else 1.0, 100.0, now)
    start = queueing.start_pace_per_s()
    assert queueing.pace_per_s(3_000.0) < 0.5 * start
    assert crowded.pace_per_s(3_000.0) >= start


def test_instance_that_still_answers_like_a_cold_one_gains_slowly():
    """A warm-up that lasts longer than announced must not end in a flood."""
    still_cold = ramp_up.PaceFinder(4, WARMUP_PER_S, 100.0)
    warm = ramp_up.PaceFinder(4, WARMUP_PER_S, 100.0)
    for finder, ratio in ((still_cold, 2.0), (warm, 1.0)):
        finder.on_cold(WARMUP_MS, 0.0)
        now = 0.0
        while now < WARMUP_MS + 2_000.0:
            assert now >= WARMUP_MS or finder.pace_per_s(now) <= WARMUP_PER_S
            now += 1_000.0 / (finder.pace_per_s(now) or 40.0)
            finder.on_answer(ratio, 100.0, now)
    assert still_cold.pace_per_s(now) < MAX_IN_ONE_SECOND
    assert (warm.pace_per_s(now) or 40.0) > MAX_IN_ONE_SECOND


def test_service_without_a_warm_up_is_not_paced():
    """All other services stay as they were."""
    instance = Instance()
    instance.become_cold(0.0)
    limits = ramp_up.PacedLimits(shared_facts.FactBoard(), lambda name: UNPACED, BOUNDS)
    limits.on_warmup_report(instance.registered, WARMUP_MS, 0.0)
    limits.on_recovery(instance.registered, 0.0)
    limits.on_sent(instance.registered, 0.0)
    assert limits.limit_per_s(instance.registered, 1.0) is None
    assert not limits.has_any


def test_warm_up_that_one_vm_hears_of_binds_the_others():
    """The store may be away when an instance becomes cold again."""
    boards = [shared_facts.FactBoard() for _ in range(2)]
    limits = [ramp_up.PacedLimits(board, lambda name: SERVICE) for board in boards]
    instance = Instance().registered
    limits[0].on_warmup_report(instance, 2_000.0, 0.0)
    boards[1].receive(boards[0].take_unpublished(10.0), 20.0)
    assert limits[1].limit_per_s(instance, 20.0) == WARMUP_PER_S
    assert limits[1].limit_per_s(instance, 2_100.0) is None
