"""Start an entry VM with the settings file that the platform names."""

import asyncio
import gc
import os
import pathlib
import signal
import sys

from wasabivalve import events

from . import core, settings

EXIT_SETTINGS = 2

COLLECT_AFTER = 20_000
"""Allocations between collections; the default spends time on long-lived objects."""


async def _run(path: pathlib.Path, loaded: settings.Settings) -> None:
    vm = core.EntryVM(loaded)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, vm.reload, path)
    await vm.start()
    await stopped.wait()
    await vm.close()


def main() -> int:
    """Run until SIGTERM; return 2 for settings that were rejected."""
    events.configure_stream(sys.stdout.fileno())
    path = pathlib.Path(os.environ.get(settings.VARIABLE, ""))
    loaded = settings.load(path)
    if isinstance(loaded, settings.Rejected):
        for finding in loaded.findings:
            events.emit(4, finding=str(finding))
        return EXIT_SETTINGS
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER)
    asyncio.run(_run(path, loaded))
    return 0


if __name__ == "__main__":
    sys.exit(main())
