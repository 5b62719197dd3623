"""Play controllers, a ledger and instances in virtual time.

Every message takes a random time, may be lost, or may be carried out late. The world
checks that no key has two holders.
"""

import asyncio
import itertools
import random

from wasabivalve.key_leases import controller, core, key_loads, leases
from wasabivalve.placement import core as placement

SERVICE = "desk"
HANG_S = 30.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers without waiting for them."""

    def __init__(self):
        super().__init__()
        self._virtual_s = 0.0
        select = self._selector.select

        def advance(timeout=None):
            if timeout:
                self._virtual_s += timeout
            return select(0)

        self._selector.select = advance

    def time(self):
        """Return the virtual time in s."""
        return self._virtual_s


class Instance:
    """Hold grants as an instance does, each until it runs out."""

    def __init__(self, world, name, born=1, clock_rate=1.0):
        self.world = world
        self.name = name
        self.born = born
        self.clock_rate = clock_rate
        self.reachable = True
        self.ended = False
        self.holds = []
        self.highest = []

    def entry(self):
        """Return the instance as the registry shows it."""
        return placement.RegisteredInstance(
            self.name, SERVICE, "h", 1, "east", 2, False, 0.0, self.born, 1
        )

    def grant(self, first, last, token, hold_s, arrived_at):
        """Take a grant whose time counts from its arrival; return whether taken."""
        for low, high, seen in self.highest:
            if low <= last and first <= high and seen > token:
                return False
        self.highest.append((first, last, token))
        until = arrived_at + hold_s / self.clock_rate
        self._cut(first, last)
        if until > self.world.now_s():
            self.holds.append((first, last, token, until))
        self.world.check()
        return True

    def release(self, first, last):
        """Give keys up."""
        self._cut(first, last)

    def held(self):
        """Return the ranges that are held now."""
        now = self.world.now_s()
        return [hold for hold in self.holds if hold[3] > now]

    def _cut(self, first, last):
        kept = []
        for low, high, token, until in self.holds:
            if low < first:
                kept.append((low, min(high, first - 1), token, until))
            if high > last:
                kept.append((max(low, last + 1), high, token, until))
        self.holds = kept


class World:
    """Hold everything that controllers talk to."""

    def __init__(self, instances=3, seed=0):
        self.random = random.Random(seed)
        self.loss = 0.0
        self.late = 0.0
        self.store_up = True
        self.refuse_only = False
        self.lose_append = 0
        self.ledger = []
        self.instances = {}
        self.listed = {}
        self.overlaps = []
        self.settled = []
        self.announced = []
        self.shares = []
        self.controllers = {}
        self.slow_append_s = 0.0
        self.unreachable_vms = set()
        self.confirmed_at = {}
        self.announced_after_s = []
        self.loads = key_loads.KeyLoads()
        for number in range(instances):
            self.add(f"i-{number}")

    def add(self, name, born=1, clock_rate=1.0):
        """Add an instance, or a new life of one."""
        instance = Instance(self, name, born, clock_rate)
        self.instances[name] = instance
        self.listed[name] = instance.entry()

    def now_s(self):
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def check(self):
        """Note two instances that hold the same key."""
        held = [
            (low, high, instance.name)
            for instance in self.instances.values()
            for low, high, _, _ in instance.held()
        ]
        held.sort()
        for (_, high, one), (low, _, other) in itertools.pairwise(held):
            if low <= high and one != other:
                self.overlaps.append((self.now_s(), one, other, low))

    def holder(self, key):
        """Return the instance that holds a key now, or None."""
        for instance in self.instances.values():
            if any(low <= key <= high for low, high, _, _ in instance.held()):
                return instance.name
        return None

    def uncovered(self):
        """Return how many keys nobody holds."""
        held = 0
        for instance in self.instances.values():
            held += sum(high - low + 1 for low, high, _, _ in instance.held())
        return core.KEY_COUNT - held

    def build(self, name):
        """Return a controller of this world."""
        calls = leases.RemoteCalls(
            lambda: 1000.0 * self.now_s(),
            self._read,
            self._append,
            self._grant,
            self._release,
        )
        surroundings = leases.ControllerDependencies(
            lambda: [SERVICE],
            self.listed.get,
            lambda service: list(self.listed.values()),
            lambda instance: 40.0,
            lambda service: self.loads.profile(service, 1000.0 * self.now_s()),
            lambda assignment_map: None,
            self._on_moving,
            lambda term, number, service, ranges: self.settled.append(ranges),
            self.shares.append,
            lambda vm, term: self._ask_to_yield(name, vm, term),
        )
        self.controllers[name] = controller.KeyLeaseController(
            name, 10_000.0, calls, surroundings
        )
        return self.controllers[name]

    def _ask_to_yield(self, asker, vm, term):
        """Carry the question and the answer, each of which may be lost."""
        loop = asyncio.get_running_loop()
        asked = self.controllers.get(vm)
        if asked is None or vm in self.unreachable_vms:
            return

        def ask():
            if asked.yield_to(term) and self.random.random() >= self.loss:
                delay = self.random.uniform(0.001, 0.03)
                left = asked.remaining_lease_ms_by_instance()
                loop.call_later(
                    delay, self.controllers[asker].on_yielded, vm, term, left
                )

        if self.random.random() >= self.loss:
            loop.call_later(self.random.uniform(0.001, 0.03), ask)

    def _on_moving(self, ranges, pause_ms):
        """Note announced ranges, and how long ago their grant was confirmed."""
        self.announced.extend(ranges)
        for one in ranges:
            confirmed_at = self.confirmed_at.get(one.first)
            if confirmed_at is not None:
                self.announced_after_s.append(self.now_s() - confirmed_at)

    async def lead(self, leader, duration_s):
        """Keep confirming a controller for a time."""
        end = self.now_s() + duration_s
        while self.now_s() < end:
            leader.on_elected(1000.0 * self.now_s())
            if self.ledger and self.store_up:
                leader.on_recorded_map(self.ledger[-1])
            await asyncio.sleep(0.5)
            self.check()

    async def _read(self):
        await asyncio.sleep(self.random.uniform(0.005, 0.05))
        if not self.store_up:
            return None
        newest = self.ledger[-1] if self.ledger else core.EMPTY_MAP
        return leases.AssignmentLogTail(newest, len(self.ledger))

    async def _append(self, assignment_map, at):
        await asyncio.sleep(self.random.uniform(0.005, 0.05))
        if not self.store_up:
            if self.refuse_only:
                return "refused"
            return self.random.choice(("refused", "unknown"))
        if self.lose_append:
            self.lose_append -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.random.uniform(1.0, 6.0), self._put, assignment_map, at
            )
            return "unknown"
        done = self._put(assignment_map, at)
        # The answer may take longer than the append.
        await asyncio.sleep(self.slow_append_s)
        return "done" if done else "moved"

    def _put(self, assignment_map, at):
        if at != len(self.ledger):
            return False
        self.ledger.append(assignment_map)
        return True

    async def _grant(self, entry, first, last, token, hold_s, handover, timeout_ms):
        delay = self.random.uniform(0.001, 0.04)
        instance = self.instances[entry.id]
        if instance.ended:
            return "gone"
        if not instance.reachable:
            await asyncio.sleep(0.4)
            return "not_sent"
        if self.random.random() < self.loss:
            await asyncio.sleep(timeout_ms / 1000.0)
            return "no_answer"
        if self.random.random() < self.late:
            # It arrives at the end of its time and is carried out seconds later.
            await asyncio.sleep(timeout_ms / 1000.0)
            if instance.born == entry.born:
                arrived_at = self.now_s()
                asyncio.get_running_loop().call_later(
                    self.random.uniform(0.0, 10.0),
                    instance.grant,
                    first,
                    last,
                    token,
                    hold_s,
                    arrived_at,
                )
            return "no_answer"
        await asyncio.sleep(delay)
        # A new life at the same address takes what is sent to the one before.
        instance = self.instances[entry.id]
        taken = instance.grant(first, last, token, hold_s, self.now_s())
        if taken:
            self.confirmed_at[first] = self.now_s()
        await asyncio.sleep(delay)
        return "granted" if taken else "refused"

    async def _release(self, entry, first, last, token, timeout_ms):
        instance = self.instances[entry.id]
        if instance.ended:
            return leases.ReleaseResult(None, ended=True)
        if not instance.reachable or self.random.random() < self.loss:
            await asyncio.sleep(timeout_ms / 1000.0)
            return None
        await asyncio.sleep(self.random.uniform(0.001, 0.3))
        instance.release(first, last)
        await asyncio.sleep(self.random.uniform(0.001, 0.04))
        return leases.ReleaseResult("h")


def play(scenario, *arguments, **options):
    """Run a scenario of a world in virtual time; it must keep one holder per key."""
    loop = VirtualLoop()

    async def main():
        world = World(*arguments, **options)
        await scenario(world)
        assert not world.overlaps
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
