"""Test that the commands print their URL when ready and stop on SIGTERM."""

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
SOURCE_DIRECTORY = str(pathlib.Path(wasabivalve.__file__).parents[1])
PROGRAM = "from wasabivalve.cli import core; core.main()"
UPSTREAM_ARGUMENTS = ("upstream", "--name", "s1", "--service", "slotbook")


@contextlib.contextmanager
def running(*arguments):
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, "stand-in", *arguments],
        env=os.environ | {"PYTHONPATH": SOURCE_DIRECTORY},
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
        (UPSTREAM_ARGUMENTS, "/health"),
        (("vm-list", "--lag-ms", "10"), "/vms"),
    ],
)
def test_command_serves_until_sigterm(arguments, path):
    """Scripts wait for the URL; a failed stop would leave processes running."""
    with running(*arguments) as (process, url):
        response = urllib3.request("GET", url + path, retries=False, timeout=WAIT_S)
        assert response.status == 200
        assert stop(process) == (0, "")


def test_sigterm_ends_a_long_poll():
    """A waiting reader must not delay the stop."""
    with running("log") as (process, url):
        client = platform_log.LogClient(url, WAIT_S * 1000)
        assert client.append("control", [{}]) == platform_log.Appended(0)
        assert stop(process) == (0, "")
        assert isinstance(client.read("control", 1), platform_log.LogUnavailable)
        client.close()


def test_exit_on_crash_ends_the_process():
    """Tests of a process crash need the upstream to end its process."""
    arguments = (*UPSTREAM_ARGUMENTS, "--exit-on-crash", "--poison-marker", "poison")
    with running(*arguments) as (process, url):
        with pytest.raises(urllib3.exceptions.ProtocolError):
            urllib3.request("POST", url, body=b"poison", retries=False)
        assert process.wait(timeout=WAIT_S) == upstream.CRASH_EXIT_STATUS


def test_port_in_use_is_reported():
    """The error must name the address instead of printing a traceback."""
    with running("vm-list") as (_, url):
        port = url.rpartition(":")[2]
        result = click.testing.CliRunner().invoke(
            core.main, ["stand-in", "log", "--port", port]
        )
        assert result.exit_code == 1
        assert url in result.output
