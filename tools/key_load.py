"""Read many keys continuously through the entry VMs and record the answers."""

import itertools
import json
import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import local_fleet
import urllib3

from wasabivalve.stand_ins import history

DEADLINE_MS = 3_000
PAUSE_MS = (20.0, 60.0)
POLL_INTERVAL_S = 0.05
# The connection was refused, so no VM had the request.
REFUSED = "refused"
# The connection ended or went silent before the response was complete.
CUT = "cut"


class Answer(NamedTuple):
    """Record one request and what the caller was told; times in monotonic ms."""

    key: str
    vm: str
    outcome: str
    server: str
    sent_ms: float
    ended_ms: float
    detail: str = ""


def now_ms() -> float:
    """Return the monotonic time in ms, which all processes share."""
    return time.monotonic() * 1000


def send(
    http: urllib3.PoolManager,
    fleet: local_fleet.Fleet,
    vm: str,
    service: str,
    key: str,
    idempotency_key: str = "",
) -> Answer:
    """Send a read, or a POST when an idempotency key is given, through one VM."""
    headers = {
        "Wasabivalve-Service": service,
        "Wasabivalve-Key": key,
        "Wasabivalve-Rank": "urgent",
        "Wasabivalve-Deadline-Ms": str(DEADLINE_MS),
    }
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    method = "POST" if idempotency_key else "GET"
    url = f"http://127.0.0.1:{fleet.entry_port_by_vm[vm]}/work"
    sent = now_ms()
    try:
        response = http.request(
            method, url, headers=headers, timeout=DEADLINE_MS / 1000 + 1
        )
    except urllib3.exceptions.NewConnectionError as error:
        return Answer(key, vm, REFUSED, "", sent, now_ms(), repr(error))
    except urllib3.exceptions.HTTPError as error:
        return Answer(key, vm, CUT, "", sent, now_ms(), repr(error))
    ended = now_ms()
    try:
        document = json.loads(response.data)
    except ValueError:
        detail = f"{response.status} {dict(response.headers)} {response.data[:200]!r}"
        return Answer(key, vm, CUT, "", sent, ended, detail)
    if response.headers.get("Content-Type") == "application/problem+json":
        kind = document["type"].rsplit(":", 1)[-1].replace("-", "_")
        return Answer(key, vm, kind, "", sent, ended, document.get("detail", ""))
    return Answer(key, vm, "done", document["server"], sent, ended)


class KeyLoad:
    """Read each key from one thread until closed."""

    def __init__(
        self,
        fleet: local_fleet.Fleet,
        service: str,
        keys: Sequence[str],
        seed: int,
        vms: Callable[[], Sequence[str]] | None = None,
    ):
        """Take the keys, a seed and a function that returns the VMs to use."""
        self._fleet = fleet
        self._service = service
        self._vms = vms or (lambda: tuple(fleet.entry_port_by_vm))
        self._stopping = threading.Event()
        self._http = urllib3.PoolManager(retries=False, maxsize=len(keys))
        self.answers_by_key: dict[str, list[Answer]] = {key: [] for key in keys}
        self._threads = [
            threading.Thread(target=self._run, args=(key, seed + index), daemon=True)
            for index, key in enumerate(keys)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Wait for the last answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        self._http.clear()

    def answers(self) -> list[Answer]:
        """Return all answers so far."""
        return [row for rows in self.answers_by_key.values() for row in tuple(rows)]

    def latest_by_key(self) -> dict[str, Answer]:
        """Return the latest answer of each key that has one."""
        return {key: rows[-1] for key, rows in self.answers_by_key.items() if rows}

    def wait_until_served(self, since_ms: float, timeout_s: float) -> None:
        """Wait for an answered read of each key that was sent after a time.

        Raise TimeoutError with the keys that were not served.
        """
        wait_for(
            lambda: not self._not_served(since_ms),
            timeout_s,
            lambda: f"keys without service: {self._not_served(since_ms)}",
        )

    def _not_served(self, since_ms: float) -> dict[str, Answer | None]:
        return {
            key: rows[-1] if rows else None
            for key, rows in self.answers_by_key.items()
            if first_served(rows, since_ms) is None
        }

    def _run(self, key: str, seed: int) -> None:
        generator = random.Random(seed)
        for turn in itertools.count(seed):
            vms = self._vms()
            vm = vms[turn % len(vms)]
            answer = send(self._http, self._fleet, vm, self._service, key)
            self.answers_by_key[key].append(answer)
            if self._stopping.wait(generator.uniform(*PAUSE_MS) / 1000):
                return


def first_served(rows: Sequence[Answer], since_ms: float) -> Answer | None:
    """Return the first answered request that was sent after a time.

    Only the newest rows are searched; they are in the order of sending.
    """
    found = None
    for row in reversed(tuple(rows)):
        if row.sent_ms < since_ms:
            break
        if row.outcome == "done":
            found = row
    return found


def wait_for(
    condition: Callable[[], bool],
    timeout_s: float,
    describe: Callable[[], str],
) -> None:
    """Wait for a condition; raise TimeoutError with a description."""
    ends_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= ends_at:
            raise TimeoutError(describe())
        time.sleep(POLL_INTERVAL_S)


def set_faults(port: int, **faults: object) -> None:
    """Set faults of a stand-in; raise RuntimeError when it refuses them."""
    response = urllib3.request(
        "POST", f"http://127.0.0.1:{port}/faults", json=faults, timeout=5.0
    )
    if response.status != 200:
        raise RuntimeError(f"faults {faults} were refused: {response.data!r}")


def read_status(fleet: local_fleet.Fleet, vm: str) -> dict:
    """Return the status page of an entry VM."""
    url = f"http://127.0.0.1:{fleet.entry_port_by_vm[vm]}/-/status"
    return json.loads(urllib3.request("GET", url, timeout=2.0).data)


def read_runs(fleet: local_fleet.Fleet) -> list[history.Run]:
    """Return the runs that the upstreams recorded.

    The last line of a killed process may be incomplete; it was never answered.
    """
    runs = []
    for instance in fleet.instances:
        path = fleet.history_path(instance)
        if path.exists():
            lines = path.read_text().split("\n")[:-1]
            runs += [history.Run(**json.loads(line)) for line in lines]
    return runs
