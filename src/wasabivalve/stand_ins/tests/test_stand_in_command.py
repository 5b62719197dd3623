"""Guard the commands: one line when ready, a graceful stop on SIGTERM."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys

import click.testing
import pytest
import urllib3

import wasabivalve
from wasabivalve import platform_log
from wasabivalve.cli import core
from wasabivalve.stand_ins import upstream

pytestmark = pytest.mark.processes

WAIT_S = 30.0
SOURCE = str(pathlib.Path(wasabivalve.__file__).parents[1])
PROGRAM = "from wasabivalve.cli import core; core.main()"
UPSTREAM = ("upstream", "--name", "s1", "--service", "slotbook")


@contextlib.contextmanager
def running(*arguments):
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, "stand-in", *arguments],
        env=os.environ | {"PYTHONPATH": SOURCE},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield process, process.stdout.readline().strip()
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def stop(process):
    process.send_signal(signal.SIGTERM)
    output, _ = process.communicate(timeout=WAIT_S)
    return process.returncode, output


@pytest.mark.parametrize(
    ("arguments", "path"),
    [
        (("log", "--retention-records", "5"), "/streams/control/records"),
        (UPSTREAM, "/health"),
        (("vm-list", "--lag-ms", "10"), "/vms"),
    ],
)
def test_command_serves_until_sigterm(arguments, path):
    """A script waits for the URL; a stop that fails would leave processes."""
    with running(*arguments) as (process, url):
        reply = urllib3.request("GET", url + path, retries=False, timeout=WAIT_S)
        assert reply.status == 200
        assert stop(process) == (0, "")


def test_sigterm_ends_a_long_poll():
    """A reader that waits would otherwise delay the stop."""
    with running("log") as (process, url):
        client = platform_log.LogClient(url, WAIT_S * 1000)
        assert client.append("control", [{}]) == platform_log.Appended(0)
        assert stop(process) == (0, "")
        assert isinstance(client.read("control", 1), platform_log.LogUnavailable)
        client.close()


def test_crash_ends_the_process_when_told():
    """A crash of a whole process could otherwise not be tried."""
    arguments = (*UPSTREAM, "--exit-on-crash", "--poison-marker", "poison")
    with running(*arguments) as (process, url):
        with pytest.raises(urllib3.exceptions.ProtocolError):
            urllib3.request("POST", url, body=b"poison", retries=False)
        assert process.wait(timeout=WAIT_S) == upstream.CRASH_EXIT_STATUS


def test_taken_port_is_named():
    """The cause would otherwise be hidden in a traceback."""
    with running("vm-list") as (_, url):
        port = url.rpartition(":")[2]
        result = click.testing.CliRunner().invoke(
            core.main, ["stand-in", "log", "--port", port]
        )
        assert result.exit_code == 1
        assert url in result.output
