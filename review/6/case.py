"""A controller that only the lost part of the store knew goes on granting keys."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import case as cases  # noqa: E402
from common2 import fleet, key_holder, proxy  # noqa: E402

SAMPLED_KEYS = range(0, key_holder.KEYS, 32)
REQUESTS_PER_S = 55
"""Enough for keys to be moved to an instance that is added."""

CALM_REQUESTS_PER_S = 6
"""From then on, so that no keys are moved for their load."""

COPY_AGE_LIMIT_S = 9.0
OVERLAP_S = 0.5
CUT_S = 5.5
"""How long the controller is cut off from the store; the site has 5.5 for core_cut."""


async def ask(vm, request_id, key):
    """Send a request for a key on a new connection; return how it ended."""
    writer = None
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", vm.front)
            writer.write(
                f"GET /keyed/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}"
                f"\r\nShard-Key: {key}\r\nDeadline-Ms: 2000\r\nConnection: close\r\n"
                "\r\n".encode()
            )
            data = await reader.read()
            return data[9:12].decode() or "closed"
    except (OSError, TimeoutError) as error:
        return type(error).__name__
    finally:
        if writer is not None:
            writer.close()


class Consumers:
    """Send requests for random keys to the machines that are in rotation."""

    def __init__(self):
        self.vms = []
        self.requests_per_s = REQUESTS_PER_S
        self.ends = {}
        self._tasks = set()

    async def run(self):
        """Send until cancelled."""
        generator = random.Random(1)
        number = 0
        while True:
            await asyncio.sleep(generator.expovariate(self.requests_per_s))
            if not self.vms:
                continue
            number += 1
            vm = self.vms[number % len(self.vms)]
            key = generator.randrange(key_holder.KEYS)
            task = asyncio.create_task(self._one(vm, f"q-{number}", key))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _one(self, vm, request_id, key):
        end = await ask(vm, request_id, key)
        self.ends[end] = self.ends.get(end, 0) + 1


class Watch:
    """Look ten times a second for keys that two instances hold."""

    def __init__(self, case):
        self.case = case
        self.longest_s = 0.0
        self._since = {}

    async def run(self):
        """Watch until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for key in SAMPLED_KEYS:
                names = [s.name for s in self.case.instances if s.holds(key, now)]
                if len(names) < 2:
                    self._since.pop(key, None)
                    continue
                if key not in self._since:
                    self._since[key] = now
                    if len(self._since) == 1:
                        self.case.note(f"key {key} is held by {names}")
                self.longest_s = max(self.longest_s, now - self._since[key])
            await asyncio.sleep(0.1)


def held_keys(server, now):
    """Return how many sampled keys an instance holds."""
    return sum(server.holds(key, now) for key in SAMPLED_KEYS)


async def wait_for(condition, timeout_s, text):
    """Wait until a condition holds; the case could not run if it never does."""
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    while not condition():
        if loop.time() > until:
            raise cases.CouldNotRunError(text)
        await asyncio.sleep(0.05)


def is_controller(case, vm):
    """Return whether the newest map in the store names a machine as controller."""
    records = case.store.records.get("keyed.wasabivalve.keys", [])
    return bool(records) and vm.name.encode() in records[-1]


async def scenario(case):
    """Return whether two instances held the same keys for over half a second."""
    loop = asyncio.get_running_loop()
    routes = [fleet.route("r-1", "h.example", "/keyed/", "safe", "slots", 2)]
    state = fleet.desired_state(1, routes, ("slots",))
    case.store.put("keyed.op", "config", state)
    sequences = {}

    async def add(name):
        sequences[name] = 1
        return await case.add_instance(
            "slots",
            name,
            kind=key_holder.KeyHolder,
            answer=lambda request: b"x" * 1_500,
            work_s=lambda request: 0.06,
        )

    def write_entries():
        for server in case.instances:
            sequences[server.name] += 1
            address = f"127.0.0.1:{server.port}"
            entry = fleet.entry("slots", address, sequences[server.name])
            case.store.put("keyed.servers", server.name, entry)

    def heal():
        link.cut = False
        case.note("the cut is healed")

    for name in ("i-1", "i-2"):
        await add(name)
    link = proxy.Proxy(case.store.port)
    await link.start()
    old = case.add_vm("front-khomas-a-1")
    new = case.add_vm("front-khomas-a-2", store_port=link.port)
    old.start()
    await case.wait_ready([old])
    consumers, watch = Consumers(), Watch(case)
    tasks = [asyncio.create_task(consumers.run()), asyncio.create_task(watch.run())]
    consumers.vms = [old]
    await wait_for(
        lambda: all(held_keys(s, loop.time()) for s in case.instances),
        15.0,
        "the keys have no holders",
    )
    await asyncio.sleep(4.0)
    copy, copied_at = case.store.copy(), loop.time()
    case.note("the store is copied")
    new.start()
    await case.wait_ready([new])
    consumers.vms = [new]
    old.signal(signal.SIGTERM)
    case.note(f"{new.name} is added, {old.name} gets SIGTERM")
    third = await add("i-3")
    await wait_for(lambda: is_controller(case, new), 6.0, "no other controller")
    case.note(f"{new.name} is the controller")
    await wait_for(
        lambda: held_keys(third, loop.time()) > 0, 8.0, "no keys for a new instance"
    )
    consumers.requests_per_s = CALM_REQUESTS_PER_S
    await asyncio.sleep(0.4)
    case.note(
        f"i-3 holds {held_keys(third, loop.time())} of {len(SAMPLED_KEYS)} sampled"
        f" keys, {loop.time() - copied_at:.1f} s after the copy"
    )
    if case.trouble:
        if loop.time() - copied_at > COPY_AGE_LIMIT_S:
            raise cases.CouldNotRunError("the copy is too old")
        link.cut = True
        case.store.away = True
        case.note(f"{new.name} is cut off from the store, which is away")
        await asyncio.sleep(0.5)
        case.store.restore(copy)
        case.store.away = False
        case.store.put("keyed.op", "config", state)
        write_entries()
        case.note("the store is back from the copy; entries are written again")
        loop.call_later(CUT_S - 0.5, heal)
    await wait_for(lambda: old.process.poll() is not None, 8.0, "no end after SIGTERM")
    old.start()
    case.note(f"{old.name} starts again")
    await case.wait_ready([old])
    consumers.vms = [old, new]
    await asyncio.sleep(14.0)
    for task in tasks:
        task.cancel()
    link.close()
    for server in case.instances:
        refused = sum(order[5] == 409 for order in server.orders)
        case.note(f"{server.name}: {len(server.orders)} orders, {refused} refused")
        for order in server.orders:
            case.note(f"  {order[0] - case.began_at_loop:8.3f} {order[1:]}")
    case.note(f"requests ended: {consumers.ends}")
    case.note(
        f"OWNER: two holders of one key for {watch.longest_s:.1f} s at the longest"
    )
    return watch.longest_s > OVERLAP_S


if __name__ == "__main__":
    cases.run(FOLDER, scenario)
