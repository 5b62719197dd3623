"""Run a case: start stand-ins and entry VMs, keep a record, end all processes."""

import asyncio
import contextlib
import os
import pathlib
import resource
import signal
import sys
import tempfile
import time
import traceback

from . import fleet, instance, store

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 112
MAX_FDS = 4_100


class CouldNotRunError(Exception):
    """Say that a case has shown nothing, as its set-up failed."""


class Case:
    """Hold the record, the stand-ins and the processes of a case."""

    def __init__(self, folder, trouble):
        self.trouble = trouble
        self.began_at = time.monotonic()
        self.began_at_loop = asyncio.get_running_loop().time()
        self.store = store.Store()
        self.instances = []
        self.vms = []
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self._record = (pathlib.Path(folder) / "record.txt").open("w")
        self.note(f"trouble={trouble}")

    def note(self, text):
        """Write a line to the record and to standard output."""
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()
        print(line, flush=True)

    def note_runs(self):
        """Write how many requests have run at each instance, and at several."""
        runs = {server.name: len(server.runs) for server in self.instances}
        ids = [run[1] for server in self.instances for run in server.runs]
        self.note(
            f"run at instances: {runs}, more than once: {len(ids) - len(set(ids))}"
        )

    async def add_instance(self, service, name, kind=instance.Instance, **options):
        """Start an instance and register it in the store."""
        server = kind(name, **options)
        await server.start()
        self.instances.append(server)
        address = f"127.0.0.1:{server.port}"
        self.store.put("keyed.servers", name, fleet.entry(service, address))
        return server

    def add_vm(self, name, zone="khomas-a", store_port=None):
        """Return an entry VM that is not started yet."""
        port = store_port or self.store.port
        vm = fleet.EntryVM(name, self.temporary.name, port, zone)
        self.vms.append(vm)
        return vm

    async def wait_ready(self, vms, timeout_s=20.0):
        """Wait until entry VMs are ready; raise an error if they are not in time."""
        until = time.monotonic() + timeout_s
        for vm in vms:
            while not await asyncio.to_thread(vm.is_ready):
                if time.monotonic() > until:
                    raise CouldNotRunError(f"{vm.name} is not ready")
                await asyncio.sleep(0.1)

    def close(self):
        """End all processes and stand-ins."""
        for vm in self.vms:
            vm.end()
        for server in [*self.instances, self.store]:
            server.close()
        self._record.close()
        with contextlib.suppress(OSError):
            self.temporary.cleanup()


def run(folder, scenario):
    """Run a coroutine function of a case, which returns whether the rule was broken."""
    if not (fleet.ROOT / "target/deps/wasabivalve").is_dir():
        print("the build line of deploy/system.toml has not run")
        sys.exit(NOT_RUN)
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def on_signal(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_signal)

    async def main():
        case = Case(folder, trouble)
        try:
            await case.store.start()
            async with asyncio.timeout(TIME_LIMIT_S):
                broken = await scenario(case)
                case.note_runs()
                return BROKEN if broken else HELD
        except (CouldNotRunError, TimeoutError, OSError) as error:
            traceback.print_exc()
            case.note(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            case.close()

    loop = asyncio.new_event_loop()
    try:
        status = loop.run_until_complete(main())
    except BaseException:
        traceback.print_exc()
        status = NOT_RUN
    sys.stdout.flush()
    # Clients that still wait are not waited for; all processes have ended.
    os._exit(status)
