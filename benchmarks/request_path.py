"""Compare an entry process with a minimal proxy of waitress and urllib3 alone."""

import argparse
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from typing import NamedTuple

import urllib3
import waitress

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tools"))
import local_fleet

WARM_UP_S = 2.0
CALLER_COUNT = 8
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProcessResult(NamedTuple):
    """Hold throughput, CPU time per request and latency of one process."""

    name: str
    requests_per_s: float
    cpu_us_per_request: float
    p50_ms: float
    p99_ms: float


def serve_baseline(port: int, upstream_port: int) -> None:
    """Forward each request with waitress and urllib3 and nothing else."""
    pool = urllib3.HTTPConnectionPool("127.0.0.1", upstream_port, maxsize=32)

    def application(environ, start_response):
        response = pool.urlopen(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            body=environ["wsgi.input"].read(),
            retries=False,
        )
        start_response(f"{response.status} OK", [])
        return [response.data]

    waitress.serve(application, host="127.0.0.1", port=port, threads=64)


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def measure(name: str, port: int, pid: int, seconds: float) -> ProcessResult:
    """Send requests from several threads and return the results after the warm-up."""
    stopping = threading.Event()
    latencies_ms_by_caller: list[list[float]] = [[] for _ in range(CALLER_COUNT)]
    headers = {
        "Wasabivalve-Service": "vanlog",
        "Wasabivalve-Rank": "urgent",
        "Wasabivalve-Deadline-Ms": "2000",
    }

    def run(latencies_ms: list[float]) -> None:
        pool = urllib3.HTTPConnectionPool("127.0.0.1", port, retries=False)
        while not stopping.is_set():
            started = time.monotonic()
            response = pool.urlopen("GET", "/x", headers=headers)
            assert response.status == 200, response.data
            latencies_ms.append((time.monotonic() - started) * 1000)

    threads = [
        threading.Thread(target=run, args=(row,)) for row in latencies_ms_by_caller
    ]
    for thread in threads:
        thread.start()
    time.sleep(WARM_UP_S)
    warm_up_counts = [len(row) for row in latencies_ms_by_caller]
    cpu_before_s, started = cpu_seconds(pid), time.monotonic()
    time.sleep(seconds)
    cpu_s, elapsed_s = cpu_seconds(pid) - cpu_before_s, time.monotonic() - started
    measured_ms = [
        value
        for row, warm_up_count in zip(
            latencies_ms_by_caller, warm_up_counts, strict=True
        )
        for value in list(row)[warm_up_count:]
    ]
    stopping.set()
    for thread in threads:
        thread.join()
    percentiles_ms = statistics.quantiles(measured_ms, n=100)
    return ProcessResult(
        name,
        round(len(measured_ms) / elapsed_s, 1),
        round(cpu_s / len(measured_ms) * 1e6, 1),
        round(percentiles_ms[49], 2),
        round(percentiles_ms[98], 2),
    )


def main() -> None:
    """Print both results and the ratio of their CPU time as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--serve-floor", type=int, nargs=2, metavar=("PORT", "TO"))
    arguments = parser.parse_args()
    if arguments.serve_floor:
        serve_baseline(*arguments.serve_floor)
        return
    fleet_options = local_fleet.SMALL_FLEET._replace(
        entry_vm_count=1,
        services=(local_fleet.ServiceOptions("vanlog", 4, 8, service_time_ms=0.0),),
    )
    with tempfile.TemporaryDirectory() as directory:
        fleet = local_fleet.Fleet(fleet_options, pathlib.Path(directory))
        try:
            fleet.start()
            (port,) = local_fleet.find_free_ports(1)
            baseline = subprocess.Popen(
                [
                    *(sys.executable, __file__, "--serve-floor"),
                    *(str(port), str(fleet.instances[0].port)),
                ]
            )
            fleet.process_by_name["floor"] = baseline
            time.sleep(1.0)
            pid = fleet.process_by_name["entry-1"].pid
            idle_cpu_before_s = cpu_seconds(pid)
            time.sleep(5.0)
            idle_share = (cpu_seconds(pid) - idle_cpu_before_s) / 5.0
            results = [
                measure("floor", port, baseline.pid, arguments.seconds),
                measure(
                    "entry",
                    fleet.entry_port_by_vm["entry-1"],
                    pid,
                    arguments.seconds,
                ),
            ]
        finally:
            fleet.close()
    ratio = results[1].cpu_us_per_request / results[0].cpu_us_per_request
    document = {
        "results": [row._asdict() for row in results],
        "cpu_ratio": round(ratio, 2),
        "idle_cpu_share": round(idle_share, 4),
    }
    print(json.dumps(document, indent=2))


if __name__ == "__main__":
    main()
