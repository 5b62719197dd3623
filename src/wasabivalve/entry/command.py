"""Run the entry daemon from the command line."""

import pathlib
import signal
import sys
import threading

import click

from wasabivalve import events, settings, supervision

from . import core

EXIT_BAD_SETTINGS = 2
EXIT_CONTROL_FAILED = 70


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    required=True,
    help="Settings file in JSON.",
)
@click.option(
    "--log-level", default="INFO", show_default=True, help="Lowest level to log."
)
@click.option("--log-json", is_flag=True, help="Write log events as JSON.")
def entry(path: pathlib.Path, log_level: str, log_json: bool) -> None:
    """Run one entry process until SIGTERM; exit with 2 for invalid settings.

    Exit with 70 after the control actor failed, so that the platform starts a new
    process.
    """
    events.configure(log_level, log_json)
    threading.excepthook = supervision.log_thread_error
    loaded = settings.load(path)
    if isinstance(loaded, settings.InvalidSettings):
        for finding in loaded.findings:
            click.echo(str(finding), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    failed = threading.Event()

    def stop_as_failed() -> None:
        failed.set()
        stopped.set()

    daemon = core.EntryDaemon(loaded.settings, stop_as_failed)
    daemon.start()
    click.echo("ready")
    stopped.wait()
    daemon.close()
    sys.exit(EXIT_CONTROL_FAILED if failed.is_set() else 0)
