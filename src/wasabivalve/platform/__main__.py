"""Run an entry VM with the settings file whose path the platform provides."""

import asyncio
import gc
import os
import pathlib
import signal
import sys

from wasabivalve import events, supervision

from . import core, settings

EXIT_SETTINGS_REJECTED = 2

GC_THRESHOLD = 20_000
"""Net allocations between garbage collections.

The lower default would spend time on scanning long-lived objects.
"""


async def _run(settings_path: pathlib.Path, vm_settings: settings.VmSettings) -> None:
    entry_vm = core.EntryVM(vm_settings)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(supervision.log_loop_error)
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, entry_vm.reload, settings_path)
    await entry_vm.start()
    await stop_requested.wait()
    await entry_vm.close()


def main() -> int:
    """Run until SIGTERM or SIGINT; return 2 if the settings were rejected."""
    events.configure_stream(sys.stdout.fileno())
    settings_path = pathlib.Path(os.environ.get(settings.SETTINGS_PATH_VARIABLE, ""))
    vm_settings = settings.load(settings_path)
    if isinstance(vm_settings, settings.RejectedSettings):
        for finding in vm_settings.findings:
            events.emit(4, finding=str(finding))
        return EXIT_SETTINGS_REJECTED
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(_run(settings_path, vm_settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
