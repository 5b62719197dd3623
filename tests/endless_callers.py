"""Run one engine for callers that keep to no limits, until its input ends.

Arguments: the engine, the port of the instances, the memory of the VM in MB and the
size of large bodies of requests and responses. Prints the port for callers.
"""

import asyncio
import dataclasses
import socket
import sys
import threading

TIMEOUT_S = 20.0
MAX_HEADER_BYTES = 16_384


@dataclasses.dataclass
class Instances:
    """Name the port of instances that run in another process."""

    port: int

    async def start(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""

    def instance(self, name):
        """Return an instance as the registry lists it."""
        from wasabivalve.placement import core as placement

        return placement.RegisteredInstance(
            name, "desk", "127.0.0.1", self.port, "east", 500, False, 0.0, 1, 1
        )


async def run_gateway(port, memory_mb, body_bytes):
    """Run a gateway with the share of memory that is the default."""
    from wasabivalve.desired_state import core as desired_state
    from wasabivalve.gateway.tests import gateway_harness
    from wasabivalve.platform import settings

    harness = gateway_harness.GatewayHarness(
        Instances(port), timeout_ms=1000.0 * TIMEOUT_S
    )
    limit_bytes = memory_mb * settings.BYTES_PER_MB
    limit_bytes *= settings.DEFAULT_RECEIVE_BUFFER_SHARE
    harness.gateway.buffers.limit_bytes = int(limit_bytes)
    limits = desired_state.CallerLimits(
        MAX_HEADER_BYTES, body_bytes, 1000.0 * TIMEOUT_S, 1000.0 * TIMEOUT_S
    )
    harness.state = harness.state._replace(limits=limits)
    async with harness:
        print(harness.port, flush=True)
        await asyncio.to_thread(sys.stdin.read)


def run_threaded(memory_mb, body_bytes):
    """Run the caller server of the threaded daemon, without instances."""
    from wasabivalve import outcomes, settings
    from wasabivalve.entry import caller_server
    from wasabivalve.settings.tests import test_settings

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]
    limits = {
        "body_bytes": body_bytes + 1,
        "header_bytes": MAX_HEADER_BYTES,
        "threads": 8,
        "memory_mb": memory_mb,
    }
    document = test_settings.DOCUMENT | {
        "callers": {"host": "127.0.0.1", "port": port},
        "limits": limits,
    }

    def serve(request):
        large = request.target.endswith("large")
        return outcomes.Done(200, (), b"x" * (body_bytes if large else 4))

    server = caller_server.CallerServer(
        settings.merge_defaults(document), serve, {}, lambda: True
    )
    server.start()
    print(port, flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    engine, instance_port, vm_memory_mb, size_bytes = (
        sys.argv[1],
        *map(int, sys.argv[2:]),
    )
    if engine == "gateway":
        asyncio.run(run_gateway(instance_port, vm_memory_mb, size_bytes))
    else:
        threading.Thread(target=run_threaded, args=(vm_memory_mb, size_bytes)).start()
