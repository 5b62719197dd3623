"""Read many keys continuously through the entry VMs and record the results."""

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
READ_PAUSE_RANGE_MS = (20.0, 60.0)
POLL_INTERVAL_S = 0.05
# Outcome when the connection was refused, so that no VM received the request.
CONNECTION_REFUSED = "refused"
# Outcome when the connection ended or timed out before a complete response arrived.
CONNECTION_CUT = "cut"


class RequestResult(NamedTuple):
    """Record one request and its outcome for the caller; times in monotonic ms."""

    key: str
    vm: str
    outcome: str
    server: str
    sent_ms: float
    ended_ms: float
    detail: str = ""


def now_ms() -> float:
    """Return the monotonic time in ms, which is the same in all processes."""
    return time.monotonic() * 1000


def send(
    http: urllib3.PoolManager,
    fleet: local_fleet.Fleet,
    vm: str,
    service: str,
    key: str,
    idempotency_key: str = "",
) -> RequestResult:
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
    sent_ms = now_ms()
    try:
        response = http.request(
            method, url, headers=headers, timeout=DEADLINE_MS / 1000 + 1
        )
    except urllib3.exceptions.NewConnectionError as error:
        return RequestResult(
            key, vm, CONNECTION_REFUSED, "", sent_ms, now_ms(), repr(error)
        )
    except urllib3.exceptions.HTTPError as error:
        return RequestResult(
            key, vm, CONNECTION_CUT, "", sent_ms, now_ms(), repr(error)
        )
    ended_ms = now_ms()
    try:
        body = json.loads(response.data)
    except ValueError:
        detail = f"{response.status} {dict(response.headers)} {response.data[:200]!r}"
        return RequestResult(key, vm, CONNECTION_CUT, "", sent_ms, ended_ms, detail)
    if response.headers.get("Content-Type") == "application/problem+json":
        outcome = body["type"].rsplit(":", 1)[-1].replace("-", "_")
        return RequestResult(
            key, vm, outcome, "", sent_ms, ended_ms, body.get("detail", "")
        )
    return RequestResult(key, vm, "done", body["server"], sent_ms, ended_ms)


class KeyLoad:
    """Read each key repeatedly from a thread of its own until closed."""

    def __init__(
        self,
        fleet: local_fleet.Fleet,
        service: str,
        keys: Sequence[str],
        seed: int,
        list_vms: Callable[[], Sequence[str]] | None = None,
    ):
        """Create a thread for each key; without ``list_vms`` all entry VMs are used."""
        self._fleet = fleet
        self._service = service
        self._list_vms = list_vms or (lambda: tuple(fleet.entry_port_by_vm))
        self._stopping = threading.Event()
        self._http = urllib3.PoolManager(retries=False, maxsize=len(keys))
        self.results_by_key: dict[str, list[RequestResult]] = {key: [] for key in keys}
        self._threads = [
            threading.Thread(target=self._run, args=(key, seed + index), daemon=True)
            for index, key in enumerate(keys)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop the threads and wait for their last responses."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        self._http.clear()

    def results(self) -> list[RequestResult]:
        """Return the results of all keys so far."""
        return [
            result
            for results in self.results_by_key.values()
            for result in tuple(results)
        ]

    def latest_result_by_key(self) -> dict[str, RequestResult]:
        """Return the latest result of each key that has one."""
        return {
            key: results[-1] for key, results in self.results_by_key.items() if results
        }

    def wait_until_served(self, since_ms: float, timeout_s: float) -> None:
        """Wait until each key has a successful read that was sent after a time.

        Raise TimeoutError with the latest result of each key without such a read.
        """
        wait_for(
            lambda: not self._latest_by_unserved_key(since_ms),
            timeout_s,
            lambda: f"keys without success: {self._latest_by_unserved_key(since_ms)}",
        )

    def _latest_by_unserved_key(
        self, since_ms: float
    ) -> dict[str, RequestResult | None]:
        return {
            key: results[-1] if results else None
            for key, results in self.results_by_key.items()
            if first_success(results, since_ms) is None
        }

    def _run(self, key: str, seed: int) -> None:
        generator = random.Random(seed)
        for sequence_number in itertools.count(seed):
            vms = self._list_vms()
            vm = vms[sequence_number % len(vms)]
            result = send(self._http, self._fleet, vm, self._service, key)
            self.results_by_key[key].append(result)
            if self._stopping.wait(generator.uniform(*READ_PAUSE_RANGE_MS) / 1000):
                return


def first_success(
    results: Sequence[RequestResult], since_ms: float
) -> RequestResult | None:
    """Return the first successful request that was sent at or after a time.

    The results are in the order of sending, so only the newest are searched.
    """
    earliest = None
    for result in reversed(tuple(results)):
        if result.sent_ms < since_ms:
            break
        if result.outcome == "done":
            earliest = result
    return earliest


def wait_for(
    condition: Callable[[], bool],
    timeout_s: float,
    describe: Callable[[], str],
) -> None:
    """Poll a condition until it holds; raise TimeoutError with a description."""
    deadline_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline_at:
            raise TimeoutError(describe())
        time.sleep(POLL_INTERVAL_S)


def set_faults(port: int, **faults: object) -> None:
    """Inject faults into a stand-in; raise RuntimeError if it rejects them."""
    response = urllib3.request(
        "POST", f"http://127.0.0.1:{port}/faults", json=faults, timeout=5.0
    )
    if response.status != 200:
        raise RuntimeError(f"stand-in rejected faults {faults}: {response.data!r}")


def read_status(fleet: local_fleet.Fleet, vm: str) -> dict:
    """Return the decoded status page of an entry VM."""
    url = f"http://127.0.0.1:{fleet.entry_port_by_vm[vm]}/-/status"
    return json.loads(urllib3.request("GET", url, timeout=2.0).data)


def read_runs(fleet: local_fleet.Fleet) -> list[history.Run]:
    """Return the runs of requests that the upstreams recorded.

    The last line of a killed process may be incomplete. It is left out, because its
    request was never answered.
    """
    runs = []
    for instance in fleet.instances:
        path = fleet.history_path(instance)
        if path.exists():
            lines = path.read_text().split("\n")[:-1]
            runs += [history.Run(**json.loads(line)) for line in lines]
    return runs
