"""Run a small deployment under load through the loss of a server and a VM."""

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
CALLERS = 12
# Few keys, so that each is asked several times a second: the measured time without
# service ends with the next request for the key.
KEYS = 8
# A key may be unavailable for 1 s after a loss; a caller notices up to two of its
# own requests later.
UNAVAILABLE_LIMIT_MS = 1_000.0
RANK_WEIGHTS = {"urgent": 3, "standard": 5, "bulk": 2}


class Answer(NamedTuple):
    """Record what a caller was told."""

    service: str
    rank: str
    key: str
    idempotency_key: str
    outcome: str
    sent_ms: float
    ended_ms: float
    attempts: int


class Caller:
    """Send a mixed load through every entry VM in turn."""

    def __init__(self, fleet: local_fleet.Fleet, seed: int, stopping: threading.Event):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stopping = stopping
        self._http = urllib3.PoolManager(retries=False, maxsize=4)
        self.answers: list[Answer] = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Wait for the last answer."""
        self._thread.join()
        self._http.clear()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.answers.append(self._send_one())
            self._stopping.wait(self._random.uniform(0.0, 0.03))

    def _send_one(self) -> Answer:
        services = self._fleet.shape.services
        weights = [3 if service.divided_by_key else 1 for service in services]
        service = self._random.choices(services, weights)[0]
        ranks = list(RANK_WEIGHTS)
        rank = self._random.choices(ranks, list(RANK_WEIGHTS.values()))[0]
        key = f"lodge-{self._random.randrange(KEYS)}" if service.divided_by_key else ""
        method = self._random.choice(("GET", "GET", "POST"))
        identity = _uuid7(self._random)
        headers = {
            "Wasabivalve-Service": service.name,
            "Wasabivalve-Rank": rank,
            "Wasabivalve-Deadline-Ms": str(DEADLINE_MS),
        }
        if key:
            headers["Wasabivalve-Key"] = key
        if method == "POST":
            headers["Idempotency-Key"] = identity
        sent = time.monotonic() * 1000
        outcome, attempts = self._send_until_answered(method, headers)
        ended = time.monotonic() * 1000
        recorded = identity if method == "POST" else ""
        return Answer(service.name, rank, key, recorded, outcome, sent, ended, attempts)

    def _send_until_answered(
        self, method: str, headers: dict[str, str]
    ) -> tuple[str, int]:
        # As a balancer and its callers do: a lost entry VM means another one.
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
            return _outcome(response), attempt
        return "no_entry", len(ports)


def _outcome(response: urllib3.BaseHTTPResponse) -> str:
    if response.headers.get("Content-Type") != "application/problem+json":
        return "done"
    kind = json.loads(response.data)["type"].rsplit(":", 1)[-1]
    return {"not-run": "not_run"}.get(kind, kind)


def _uuid7(generator: random.Random) -> str:
    milliseconds = time.time_ns() // 1_000_000
    value = milliseconds << 80 | generator.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def read_runs(fleet: local_fleet.Fleet) -> list[history.Run]:
    """Return the runs that every upstream recorded, also those that were lost."""
    runs: list[history.Run] = []
    for instance in fleet.instances:
        path = fleet.history_path(instance)
        if path.exists():
            lines = path.read_text().splitlines()
            runs += [history.Run(**json.loads(line)) for line in lines]
    return runs


def run_load(fleet: local_fleet.Fleet, seconds: float, seed: int) -> list[Answer]:
    """Send load, lose a server after a third and an entry VM after two thirds."""
    stopping = threading.Event()
    callers = [Caller(fleet, seed + index, stopping) for index in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(seconds / 3)
    click.echo("losing server slotbook-1")
    fleet.kill("slotbook-1")
    time.sleep(seconds / 3)
    click.echo("losing entry VM entry-1")
    fleet.kill("entry-1")
    time.sleep(seconds / 3)
    stopping.set()
    for caller in callers:
        caller.close()
    return [answer for caller in callers for answer in caller.answers]


def report(answers: list[Answer], runs: list[history.Run]) -> list[str]:
    """Print the table and return the promises that broke."""
    doubled = history.check_single_runs(runs)
    told = [
        history.CallerOutcome(
            row.idempotency_key, row.key, row.outcome, row.sent_ms, row.ended_ms
        )
        for row in answers
        if row.outcome in ("done", "not_run", "unknown")
    ]
    untrue = history.check_not_run_claims(runs, told)
    owners = history.check_single_owners(runs)
    counts = collections.Counter((row.rank, row.outcome) for row in answers)
    columns = ("done", "not_run", "unknown", "no_entry")
    titles = ("rank", "requests", "answered", *columns[1:], "doubled")
    click.echo("".join(f"{title:>10}" for title in titles))
    for rank in RANK_WEIGHTS:
        row = [counts[rank, column] for column in columns]
        cells = (rank, sum(row), *row, len(doubled))
        click.echo("".join(f"{cell:>10}" for cell in cells))
    unavailable = longest_unavailable_ms(answers)
    click.echo(f"longest time that a key was unavailable: {unavailable:.0f} ms")
    broken = [str(finding) for finding in (*doubled, *untrue, *owners)]
    if unavailable > UNAVAILABLE_LIMIT_MS:
        broken.append(f"a key was unavailable for {unavailable:.0f} ms")
    if not counts["urgent", "done"]:
        broken.append("no urgent request was answered")
    return broken


def longest_unavailable_ms(answers: list[Answer]) -> float:
    """Return the longest time in ms in which a key was not served.

    A request that was answered late counts with its whole duration; one that
    failed makes its key unavailable until the end of the next that is served.
    """
    longest = 0.0
    rows_by_key: dict[str, list[Answer]] = collections.defaultdict(list)
    for row in answers:
        if row.key:
            rows_by_key[row.key].append(row)
    for rows in rows_by_key.values():
        since = None
        for row in sorted(rows, key=lambda row: row.ended_ms):
            start = row.sent_ms if since is None else min(since, row.sent_ms)
            if row.outcome == "done":
                longest = max(longest, row.ended_ms - start)
                since = None
            else:
                since = start
        if since is not None:
            longest = max(longest, rows[-1].ended_ms - since)
    return longest


@click.command()
@click.option("--seconds", default=15.0, show_default=True, help="Time of load.")
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
def main(seconds: float, seed: int) -> None:
    """Show the whole path; exit with 1 when a promise broke."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = local_fleet.Fleet(local_fleet.KAOKOVELD_SMALL, pathlib.Path(directory))
        try:
            click.echo("starting 1 log, 9 upstreams and 3 entry VMs")
            fleet.start()
            answers = run_load(fleet, seconds, seed)
            runs = read_runs(fleet)
        finally:
            fleet.close()
    broken = report(answers, runs)
    for line in broken:
        click.echo(f"broken promise: {line}", err=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
