"""Define the options and faults of an upstream."""

import dataclasses
from typing import Any, NamedTuple, TypedDict

from wasabivalve import ownership

from . import fault_values


class UpstreamOptions(NamedTuple):
    """Configure a simulated upstream; times in ms.

    The service time is log-normal with the given median and spread (the standard
    deviation of its logarithm; 0 for a fixed time). After a start it is multiplied
    by ``cold_factor``, which falls to 1 within ``cold_start_ms``. With
    ``divided_by_key``, a request needs a lease on its key. With ``exit_on_crash``, a
    poison request ends the process; otherwise it stops the upstream for a time.
    Each run is appended to ``history_file`` as a JSON line before its response is
    sent, so that the runs of a killed process are known.
    """

    name: str
    service: str
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 2
    backlog: int = 2
    service_time_ms: float = 5.0
    service_time_spread: float = 0.0
    seed: int = 0
    cold_start_ms: float = 0.0
    cold_factor: float = 3.0
    probe_ms: float = 0.0
    divided_by_key: bool = False
    checks_fencing: bool = True
    lease_ms: float = ownership.server_lease.LEASE_MS
    response_bytes: int = 0
    history_limit: int = 200_000
    exit_on_crash: bool = False
    history_file: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamFaults:
    """Configure the persistent faults of an upstream; times in ms.

    ``lost_answers`` and ``cut_bodies`` count the next committed runs whose response
    is lost or truncated; the shares are the probabilities of this for all other
    committed runs. A request whose body contains ``poison_marker`` crashes the
    upstream for ``crash_ms`` while it runs. ``reported_load`` replaces the reported
    number of running requests. ``load_lag_ms`` delays the reported load.
    ``always_healthy`` hides draining.
    """

    slow_factor: fault_values.Factor = 1.0
    lost_answers: fault_values.NonNegativeInt = 0
    lost_answer_share: fault_values.Probability = 0.0
    cut_bodies: fault_values.NonNegativeInt = 0
    cut_body_share: fault_values.Probability = 0.0
    poison_marker: str = ""
    crash_ms: fault_values.DurationMs = 500.0
    reported_load: fault_values.NonNegativeFloat | None = None
    load_lag_ms: fault_values.DurationMs = 0.0
    always_healthy: bool = False


class FaultActions(TypedDict, total=False):
    """Configure one-time faults: a freeze, a crash or silenced connections."""

    freeze_for_ms: fault_values.DurationMs
    crash_for_ms: fault_values.DurationMs
    silence_connections: bool


FAULT_ACTION_NAMES = frozenset(FaultActions.__annotations__)


def split_fault_changes(
    document: dict[str, Any],
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the persistent changes and the one-time actions of a faults document."""
    actions = {name: document[name] for name in FAULT_ACTION_NAMES & document.keys()}
    persistent_changes = {
        name: document[name] for name in document.keys() - FAULT_ACTION_NAMES
    }
    return persistent_changes, actions
