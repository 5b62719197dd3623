"""Run an entry VM in a separate process."""

import asyncio
import os
import pathlib
import signal
import sys

SETTINGS = """
node = "{name}"
ip = "127.0.0.1"
zone = "{data_centre}"
internal_ports = [{link}, {link}]
bounds = ["grace_s={grace_s}", "retry_budget_ratio=0.2", "budget_window_s=10",
    "budget_slack=50", "hold_max_s=10", "drain_s=2.5", "config_apply_s=2.5"]
[zones]
east = "coast"
west = "coast"
[listen]
front = "127.0.0.1:{callers}"
ready_address = "127.0.0.1:{readiness}"
[limits]
link_mbps = 100.0
memory_mb = 300
[platform]
address = "127.0.0.1:{store}"
ttl_min_s = 1
"""


class VMProcess:
    """Run the process of a VM; times are in s of the event loop.

    Timing bounds aren't checked for the VM before ``disturbed_until``.
    """

    def __init__(self, name, data_centre, ports, store_relay, folder, grace_s=3):
        self.name = name
        (
            self.caller_port,
            self.readiness_port,
            self.vm_link_port,
            self.metrics_port,
        ) = ports
        self.store_relay = store_relay
        self.disturbed_until = 0.0
        self.stopping_since = None
        self.last_stopped_at = -1e9
        self.killed_at = -1e9
        self.paused = False
        self._process = None
        self._log = pathlib.Path(folder, f"{name}.log")
        self._settings = pathlib.Path(folder, f"{name}.toml")
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                data_centre=data_centre,
                link=self.vm_link_port,
                callers=self.caller_port,
                readiness=self.readiness_port,
                store=store_relay.port,
                grace_s=grace_s,
            )
        )

    async def start(self):
        """Start the process, which appends its log to a file."""
        source = pathlib.Path(__file__).parents[4]
        environment = {
            **os.environ,
            "WASABIVALVE_CONFIG": str(self._settings),
            "WASABIVALVE_METRICS_PORT": str(self.metrics_port),
            "PYTHONPATH": str(source),
        }
        self.stopping_since = None
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "wasabivalve.platform",
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self):
        """Return the id of the running process, or None."""
        if self._process is None or self._process.returncode is not None:
            return None
        return self._process.pid

    def signal(self, number):
        """Send a signal to the process if it is running."""
        if self.pid is not None:
            self._process.send_signal(number)

    async def stop(self, grace_s):
        """Send SIGTERM, and SIGKILL after the grace period.

        Return whether the process ended within the grace period.
        """
        self.stopping_since = asyncio.get_running_loop().time()
        self.last_stopped_at = self.stopping_since
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), grace_s)
        except TimeoutError:
            await self.kill()
            return False
        return True

    async def kill(self):
        """End the process by SIGKILL."""
        self.killed_at = asyncio.get_running_loop().time()
        if self.pid is not None:
            self._process.kill()
            await self._process.wait()

    def log_text(self):
        """Return the log of the process."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""
