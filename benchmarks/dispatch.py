"""Compare dispatch policies under floods: ``dispatch.py --seed 1 [--slots 2]``."""

import argparse
import json
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import policies
import simulation

from wasabivalve import admission

RANKS = (
    simulation.RankLoad("urgent", 0.25, 100.0),
    simulation.RankLoad("normal", 0.20, 200.0),
    simulation.RankLoad("low", 0.15, 400.0),
)
POLICY_BY_RANK = {
    "urgent": admission.RankPolicy(0, 0.0, queue_age_ms=70.0),
    "normal": admission.RankPolicy(1, 0.10, queue_age_ms=120.0),
    "low": admission.RankPolicy(2, 0.05, queue_age_ms=200.0),
}
FLOOD_LOAD = 5.0

BUILD_ROUTE_BY_POLICY: Mapping[str, Callable[..., policies.Route]] = {
    "round robin, blind retries": policies.round_robin,
    "(a) independent routers": policies.independent_routers,
    "(b) credits ahead": policies.preallocated_slots,
    "(c) permits": policies.instance_permits,
    "(c) permits, none ahead": lambda fleet, ranks: policies.instance_permits(
        fleet, ranks, 0
    ),
    "(c) permits, two ahead": lambda fleet, ranks: policies.instance_permits(
        fleet, ranks, 2
    ),
}


class PolicyResult(NamedTuple):
    """Hold the shares of requests on time and of capacity by rank, and their sum."""

    on_time: dict[str, float]
    share_of_capacity: dict[str, float]
    goodput: float


def main() -> None:
    """Print a table and one line of JSON per policy, flood and slot count."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slots", type=int, nargs="+", default=[2, 3])
    parser.add_argument("--service-ms", type=float, default=10.0)
    # One-way latency within a data centre, an assumption.
    parser.add_argument("--within-ms", type=float, default=0.1)
    parser.add_argument(
        "--target-scale",
        type=float,
        default=1.0,
        help="factor of targets and queue ages",
    )
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--policy", choices=list(BUILD_ROUTE_BY_POLICY))
    arguments = parser.parse_args()
    names = [arguments.policy] if arguments.policy else list(BUILD_ROUTE_BY_POLICY)
    rows = []
    for slots in arguments.slots:
        for name in names:
            rows += compare(name, slots, arguments)
    print_table(rows)
    for row in rows:
        print(json.dumps(row))


def compare(name: str, slots: int, arguments: argparse.Namespace) -> list[Any]:
    """Return one row per flood; ``share_kept`` is on_time relative to no flood."""
    without_flood = run(name, slots, None, arguments)
    rows = []
    for flooded_rank in (None, "low", "urgent"):
        result = (
            without_flood
            if flooded_rank is None
            else run(name, slots, flooded_rank, arguments)
        )
        share_kept = {
            rank: result.on_time[rank] / max(without_flood.on_time[rank], 1e-9)
            for rank in result.on_time
        }
        rows.append(
            {
                "policy": name,
                "slots": slots,
                "flood": flooded_rank or "none",
                "seed": arguments.seed,
                "goodput": round(result.goodput, 4),
                "on_time": _rounded(result.on_time),
                "share_kept": _rounded(share_kept),
                "share_of_capacity": _rounded(result.share_of_capacity),
            }
        )
    return rows


def run(
    name: str, slots: int, flooded_rank: str | None, arguments: argparse.Namespace
) -> PolicyResult:
    """Simulate one policy, with a flood of one rank or with none."""
    fleet = simulation.SimulatedFleet(
        arguments.seed,
        slots,
        arguments.within_ms,
        checks_deadline=not name.startswith("round"),
    )
    target_scale = arguments.target_scale
    ranks = tuple(
        rank._replace(
            load=FLOOD_LOAD if rank.name == flooded_rank else rank.load,
            target_ms=rank.target_ms * target_scale,
        )
        for rank in RANKS
    )
    policy_by_rank = {
        rank: rank_policy._replace(queue_age_ms=rank_policy.queue_age_ms * target_scale)
        for rank, rank_policy in POLICY_BY_RANK.items()
    }
    end_ms = simulation.WARM_UP_MS + arguments.seconds * 1_000.0
    route = BUILD_ROUTE_BY_POLICY[name](fleet, policy_by_rank)
    fleet.offer_load(ranks, arguments.service_ms, end_ms, route)
    capacity_ms = len(fleet.locality_by_instance) * slots * arguments.seconds * 1_000.0
    share_by_rank = {
        rank.name: fleet.on_time_service_ms_by_rank.get(rank.name, 0) / capacity_ms
        for rank in ranks
    }
    on_time = {
        rank.name: fleet.on_time_by_rank.get(rank.name, 0)
        / fleet.offered_by_rank[rank.name]
        for rank in ranks
    }
    return PolicyResult(on_time, share_by_rank, sum(share_by_rank.values()))


def print_table(rows: list[Any]) -> None:
    """Print the rows as a Markdown table, shares in percent."""
    ranks = [rank.name for rank in RANKS]
    columns = ["slots", "flood", "policy", "goodput"]
    columns += [f"{name} on time" for name in ranks]
    columns += [f"{name} kept" for name in ranks]
    columns += [f"{name} of capacity" for name in ranks]
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns))
    for row in rows:
        shares = [row["goodput"]]
        for key in ("on_time", "share_kept", "share_of_capacity"):
            shares += [row[key][name] for name in ranks]
        cells = [str(row["slots"]), row["flood"], row["policy"]]
        cells += [f"{100 * share:.2f}" for share in shares]
        print("| " + " | ".join(cells) + " |")


def _rounded(values: Mapping[str, float]) -> dict[str, float]:
    return {name: round(value, 4) for name, value in values.items()}


if __name__ == "__main__":
    main()
