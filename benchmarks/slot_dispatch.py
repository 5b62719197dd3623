"""Measure the processor time of a dispatcher for one request and its release.

Messages are decoded and encoded as they are on the wire; no sockets are used.
"""

import argparse
import random
import time

from wasabivalve.placement import core as placement
from wasabivalve.slot_dispatch import core, messages
from wasabivalve.vm_link import core as vm_link

REGIONS = {f"a{number}": "a" for number in range(4)}


def measure(instance_count: int, request_count: int) -> float:
    """Return the processor time in us of a request that gets a slot at once."""
    instances = [
        placement.RegisteredInstance(
            f"i-{number:010x}", "desk", "h", 1, f"a{number % 4}", 2, False, 0.0, 1, 1
        )
        for number in range(instance_count)
    ]
    dispatcher = core.SlotDispatcher(
        "vm-0", "a", REGIONS, lambda service: instances, random.Random(1)
    )
    started_s = time.process_time()
    for number in range(request_count):
        now = 10.0 * number
        request = vm_link.encode(
            messages.SlotRequest(
                "vm-1",
                number,
                "a0",
                "desk",
                "order",
                0,
                500,
                500,
                900,
                1_500,
                [],
                True,
            )
        )
        for addressed in dispatcher.on_request(vm_link.decode(request), now):
            vm_link.encode(addressed.reply)
        release = vm_link.encode(
            messages.SlotRelease("vm-1", number, messages.SlotResult.DONE, 120, 1, 2.0)
        )
        dispatcher.on_release(vm_link.decode(release), now)
    return 1e6 * (time.process_time() - started_s) / request_count


def main() -> None:
    """Print one line for each number of instances."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=5_000)
    arguments = parser.parse_args()
    for instance_count in (4, 20, 40, 100):
        cost_us = measure(instance_count, arguments.requests)
        print(f"instances={instance_count} us_per_request={cost_us:.0f}")


if __name__ == "__main__":
    main()
