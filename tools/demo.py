"""Run a small deployment under load while a server and an entry VM are killed."""

import collections
import json
import pathlib
import random
import sys
import tempfile
import threading
import time
import uuid
from typing import NamedTuple

import click
import local_fleet
import urllib3

from wasabivalve.stand_ins import history

DEADLINE_MS = 3_000
CALLER_COUNT = 12
# Few keys, so that each is requested several times a second: the measured time without
# service ends only with the next request for the key.
KEY_COUNT = 8
# A key may be unavailable for 1 s after the loss of its server; a caller measures this
# with a delay of up to two of its own requests.
MAX_UNAVAILABLE_MS = 1_000.0
WEIGHT_BY_RANK = {"urgent": 3, "standard": 5, "bulk": 2}


class CallerResult(NamedTuple):
    """Record one request and its outcome for the caller; times in monotonic ms."""

    service: str
    rank: str
    key: str
    idempotency_key: str
    outcome: str
    sent_ms: float
    ended_ms: float
    attempts: int


class Caller:
    """Send random requests from one thread, each through a random entry VM first."""

    def __init__(self, fleet: local_fleet.Fleet, seed: int, stopping: threading.Event):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stopping = stopping
        self._http = urllib3.PoolManager(retries=False, maxsize=4)
        self.results: list[CallerResult] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Wait for the last response; ``stopping`` has to be set before."""
        self._thread.join()
        self._http.clear()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.results.append(self._send_random_request())
            self._stopping.wait(self._random.uniform(0.0, 0.03))

    def _send_random_request(self) -> CallerResult:
        services = self._fleet.options.services
        weights = [3 if service.partitioned else 1 for service in services]
        service = self._random.choices(services, weights)[0]
        ranks = list(WEIGHT_BY_RANK)
        rank = self._random.choices(ranks, list(WEIGHT_BY_RANK.values()))[0]
        key = (
            f"lodge-{self._random.randrange(KEY_COUNT)}" if service.partitioned else ""
        )
        method = self._random.choice(("GET", "GET", "POST"))
        request_uuid = _uuid7(self._random)
        headers = {
            "Wasabivalve-Service": service.name,
            "Wasabivalve-Rank": rank,
            "Wasabivalve-Deadline-Ms": str(DEADLINE_MS),
        }
        if key:
            headers["Wasabivalve-Key"] = key
        if method == "POST":
            headers["Idempotency-Key"] = request_uuid
        sent_ms = time.monotonic() * 1000
        outcome, attempts = self._send_until_answered(method, headers)
        ended_ms = time.monotonic() * 1000
        idempotency_key = request_uuid if method == "POST" else ""
        return CallerResult(
            service.name,
            rank,
            key,
            idempotency_key,
            outcome,
            sent_ms,
            ended_ms,
            attempts,
        )

    def _send_until_answered(
        self, method: str, headers: dict[str, str]
    ) -> tuple[str, int]:
        # A failed connection is retried at the next entry VM, as by a load balancer.
        ports = list(self._fleet.entry_port_by_vm.values())
        self._random.shuffle(ports)
        for attempt, port in enumerate(ports, start=1):
            url = f"http://127.0.0.1:{port}/work"
            try:
                response = self._http.request(
                    method, url, headers=headers, timeout=DEADLINE_MS / 1000 + 1
                )
            except urllib3.exceptions.HTTPError:
                continue
            return _outcome_of_response(response), attempt
        return "no_entry", len(ports)


def _outcome_of_response(response: urllib3.BaseHTTPResponse) -> str:
    if response.headers.get("Content-Type") != "application/problem+json":
        return "done"
    problem_type = json.loads(response.data)["type"].rsplit(":", 1)[-1]
    return {"not-run": "not_run"}.get(problem_type, problem_type)


def _uuid7(generator: random.Random) -> str:
    unix_time_ms = time.time_ns() // 1_000_000
    value = unix_time_ms << 80 | generator.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def read_runs(fleet: local_fleet.Fleet) -> list[history.Run]:
    """Return the runs that all upstreams recorded, also the killed one."""
    runs: list[history.Run] = []
    for instance in fleet.instances:
        path = fleet.history_path(instance)
        if path.exists():
            lines = path.read_text().splitlines()
            runs += [history.Run(**json.loads(line)) for line in lines]
    return runs


def run_load(fleet: local_fleet.Fleet, seconds: float, seed: int) -> list[CallerResult]:
    """Send load; kill a server after 1/3 of the time and an entry VM after 2/3."""
    stopping = threading.Event()
    callers = [Caller(fleet, seed + index, stopping) for index in range(CALLER_COUNT)]
    for caller in callers:
        caller.start()
    time.sleep(seconds / 3)
    click.echo("killing server slotbook-1")
    fleet.kill("slotbook-1")
    time.sleep(seconds / 3)
    click.echo("killing entry VM entry-1")
    fleet.kill("entry-1")
    time.sleep(seconds / 3)
    stopping.set()
    for caller in callers:
        caller.close()
    return [result for caller in callers for result in caller.results]


def report(results: list[CallerResult], runs: list[history.Run]) -> list[str]:
    """Print the table of outcomes and return the violated guarantees."""
    repeated_runs = history.check_single_runs(runs)
    caller_outcomes = [
        history.CallerOutcome(
            result.idempotency_key,
            result.key,
            result.outcome,
            result.sent_ms,
            result.ended_ms,
        )
        for result in results
        if result.outcome in ("done", "not_run", "unknown")
    ]
    false_not_run_claims = history.check_not_run_claims(runs, caller_outcomes)
    concurrent_owners = history.check_single_owners(runs)
    counts = collections.Counter((result.rank, result.outcome) for result in results)
    columns = ("done", "not_run", "unknown", "no_entry")
    titles = ("rank", "requests", "answered", *columns[1:], "run twice")
    click.echo("".join(f"{title:>10}" for title in titles))
    for rank in WEIGHT_BY_RANK:
        rank_counts = [counts[rank, column] for column in columns]
        cells = (rank, sum(rank_counts), *rank_counts, len(repeated_runs))
        click.echo("".join(f"{cell:>10}" for cell in cells))
    unavailable_ms = max_unavailable_ms(results)
    click.echo(f"longest time that a key was unavailable: {unavailable_ms:.0f} ms")
    violations = [
        str(finding)
        for finding in (*repeated_runs, *false_not_run_claims, *concurrent_owners)
    ]
    if unavailable_ms > MAX_UNAVAILABLE_MS:
        violations.append(f"a key was unavailable for {unavailable_ms:.0f} ms")
    if not counts["urgent", "done"]:
        violations.append("no urgent request was answered")
    return violations


def max_unavailable_ms(results: list[CallerResult]) -> float:
    """Return the longest time in ms in which a key was not served.

    A successful request counts with its whole duration. A failed request makes its
    key unavailable from its sending to the end of the next successful request.
    """
    longest_ms = 0.0
    results_by_key: dict[str, list[CallerResult]] = collections.defaultdict(list)
    for result in results:
        if result.key:
            results_by_key[result.key].append(result)
    for key_results in results_by_key.values():
        unavailable_since_ms = None
        for result in sorted(key_results, key=lambda result: result.ended_ms):
            start_ms = (
                result.sent_ms
                if unavailable_since_ms is None
                else min(unavailable_since_ms, result.sent_ms)
            )
            if result.outcome == "done":
                longest_ms = max(longest_ms, result.ended_ms - start_ms)
                unavailable_since_ms = None
            else:
                unavailable_since_ms = start_ms
        if unavailable_since_ms is not None:
            longest_ms = max(
                longest_ms, key_results[-1].ended_ms - unavailable_since_ms
            )
    return longest_ms


@click.command()
@click.option("--seconds", default=15.0, show_default=True, help="Time of load.")
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
def main(seconds: float, seed: int) -> None:
    """Run the demo; exit with 1 when a guarantee was violated."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = local_fleet.Fleet(local_fleet.SMALL_FLEET, pathlib.Path(directory))
        try:
            click.echo("starting 1 log, 9 upstreams and 3 entry VMs")
            fleet.start()
            results = run_load(fleet, seconds, seed)
            runs = read_runs(fleet)
        finally:
            fleet.close()
    violations = report(results, runs)
    for violation in violations:
        click.echo(f"violated guarantee: {violation}", err=True)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
