"""Entries of another writer, nested deeply, must leave the other entries in force."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common2 import case as cases  # noqa: E402
from common2 import fleet  # noqa: E402

DEPTHS = range(930, 1_010)
"""Levels of nesting of the entries' ``state``, one entry each, 6 KB at most."""

DRAIN_S = 2.5
RECOVERY_S = 15.0


def foreign_entry(depth):
    """Return an entry whose state is an object in place of a text."""
    state = b'{"a":' * depth + b"1" + b"}" * depth
    return b'{"service":"svc","state":' + state + b',"sequence":1}'


async def ask(vm, request_id):
    """Send an ordinary request on a new connection; return how it ended."""
    writer = None
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", vm.front)
            writer.write(
                f"GET /plain/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}"
                "\r\nDeadline-Ms: 2000\r\nConnection: close\r\n\r\n".encode()
            )
            data = await reader.read()
            return data[9:12].decode() or "closed"
    except (OSError, TimeoutError) as error:
        return type(error).__name__
    finally:
        if writer is not None:
            writer.close()


async def send(case, vms, name, seconds):
    """Send ten requests a second to each machine; return the counts of the ends."""
    tasks = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for vm in vms:
            request_id = f"{name}-{vm.name}-{len(tasks)}"
            tasks.append(asyncio.create_task(ask(vm, request_id)))
        await asyncio.sleep(0.1)
    ends = await asyncio.gather(*tasks)
    counts = {end: ends.count(end) for end in sorted(set(ends))}
    case.note(f"{name}: {counts}")
    return counts


def served_share(counts):
    """Return the share of requests with status 200."""
    return counts.get("200", 0) / max(1, sum(counts.values()))


async def scenario(case):
    """Return whether too little is served after the machines are back."""
    routes = [fleet.route("r-1", "h.example", "/plain/", "safe", "svc", 2)]
    case.store.put("keyed.op", "config", fleet.desired_state(1, routes))
    for number in range(4):
        await case.add_instance(
            "svc", f"i-{number}", answer=lambda request: b"x" * 1_500
        )
    vms = [case.add_vm(f"front-khomas-a-{number}") for number in (1, 2)]
    for vm in vms:
        vm.start()
    await case.wait_ready(vms)
    await asyncio.sleep(1.0)
    before = await send(case, vms, "calm", 3.0)
    if served_share(before) < 0.25:
        raise cases.CouldNotRunError("less than a quarter is served in calm")
    if case.trouble:
        case.note(f"{len(DEPTHS)} entries of another writer arrive")
        for depth in DEPTHS:
            case.store.put("keyed.servers", f"x-{depth}", foreign_entry(depth))
    await asyncio.sleep(1.0)
    leaving = case.instances[0]
    case.store.put(
        "keyed.servers",
        leaving.name,
        fleet.entry("svc", f"127.0.0.1:{leaving.port}", 2, "draining"),
    )
    drained_at = asyncio.get_running_loop().time() + DRAIN_S
    await send(case, vms, "one instance leaves", 6.0)
    late = sum(1 for at, *_ in leaving.runs if at > drained_at)
    case.note(f"DRAIN: {late} requests reached {leaving.name} later than drain_s")
    for vm in vms:
        vm.signal(signal.SIGKILL)
        vm.process.wait()
        vm.start()
    back_at = time.monotonic()
    case.note("all processes were killed and started again")
    await asyncio.sleep(RECOVERY_S)
    ready = {vm.name: await asyncio.to_thread(vm.is_ready) for vm in vms}
    after = await send(case, vms, "after recovery_s", 5.0)
    share = served_share(after)
    case.note(
        f"RECOVER: {share:.0%} served from {RECOVERY_S} s after the start on, ready:"
        f" {ready}, {time.monotonic() - back_at:.0f} s after the start"
    )
    return share < 0.25


if __name__ == "__main__":
    cases.run(FOLDER, scenario)
