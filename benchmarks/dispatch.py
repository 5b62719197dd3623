"""Compare dispatch policies in floods: ``dispatch.py --seed 1 [--slots 2]``."""

import argparse
import json
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import policies
import simulation

from wasabivalve import admission

RANKS = (
    simulation.Rank("urgent", 0.25, 100.0),
    simulation.Rank("normal", 0.20, 200.0),
    simulation.Rank("low", 0.15, 400.0),
)
POLICY_BY_RANK = {
    "urgent": admission.RankPolicy(0, 0.0, queue_age_ms=70.0),
    "normal": admission.RankPolicy(1, 0.10, queue_age_ms=120.0),
    "low": admission.RankPolicy(2, 0.05, queue_age_ms=200.0),
}
FLOOD_LOAD = 5.0

ROUTE_BY_NAME: Mapping[str, Callable[..., policies.Route]] = {
    "round robin, blind retries": policies.round_robin,
    "(a) independent routers": policies.independent,
    "(b) credits ahead": policies.credits_ahead,
    "(c) permits": policies.permits,
    "(c) permits, none ahead": lambda fleet, ranks: policies.permits(fleet, ranks, 0),
    "(c) permits, two ahead": lambda fleet, ranks: policies.permits(fleet, ranks, 2),
}


class Result(NamedTuple):
    """Hold the figures of one run, by rank."""

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
        "--target-scale", type=float, default=1.0, help="factor of targets and waits"
    )
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--policy", choices=list(ROUTE_BY_NAME))
    arguments = parser.parse_args()
    names = [arguments.policy] if arguments.policy else list(ROUTE_BY_NAME)
    rows = []
    for slots in arguments.slots:
        for name in names:
            rows += compare(name, slots, arguments)
    print_table(rows)
    for row in rows:
        print(json.dumps(row))


def compare(name: str, slots: int, arguments: argparse.Namespace) -> list[Any]:
    """Return one row per flood with each rank's share kept against no flood."""
    calm = run(name, slots, None, arguments)
    rows = []
    for flooded in (None, "low", "urgent"):
        result = calm if flooded is None else run(name, slots, flooded, arguments)
        kept = {
            rank: result.on_time[rank] / max(calm.on_time[rank], 1e-9)
            for rank in result.on_time
        }
        rows.append(
            {
                "policy": name,
                "slots": slots,
                "flood": flooded or "none",
                "seed": arguments.seed,
                "goodput": round(result.goodput, 4),
                "on_time": _rounded(result.on_time),
                "share_kept": _rounded(kept),
                "share_of_capacity": _rounded(result.share_of_capacity),
            }
        )
    return rows


def run(
    name: str, slots: int, flooded: str | None, arguments: argparse.Namespace
) -> Result:
    """Run one policy under one load."""
    fleet = simulation.Fleet(
        arguments.seed,
        slots,
        arguments.within_ms,
        checks_deadline=not name.startswith("round"),
    )
    scale = arguments.target_scale
    ranks = tuple(
        rank._replace(
            load=FLOOD_LOAD if rank.name == flooded else rank.load,
            target_ms=rank.target_ms * scale,
        )
        for rank in RANKS
    )
    policy_by_rank = {
        rank: policy._replace(queue_age_ms=policy.queue_age_ms * scale)
        for rank, policy in POLICY_BY_RANK.items()
    }
    end_ms = simulation.WARM_UP_MS + arguments.seconds * 1_000.0
    route = ROUTE_BY_NAME[name](fleet, policy_by_rank)
    fleet.offer_load(ranks, arguments.service_ms, end_ms, route)
    capacity_ms = len(fleet.place_by_instance) * slots * arguments.seconds * 1_000.0
    share = {rank.name: fleet.good_ms.get(rank.name, 0) / capacity_ms for rank in ranks}
    on_time = {
        rank.name: fleet.on_time.get(rank.name, 0) / fleet.offered[rank.name]
        for rank in ranks
    }
    return Result(on_time, share, sum(share.values()))


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
