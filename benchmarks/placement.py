"""Compare imbalance and churn of planned placement with plain rendezvous hashing.

A run is a sequence of slots of four minutes. Each slot starts with one change: new
hottest keys, the loss of a server, or a join. The planner receives sampled requests
only; imbalance is computed from the exact rates.
"""

import itertools
import json
import random
import statistics
from typing import NamedTuple

import click

from wasabivalve import ownership, rendezvous
from wasabivalve.ownership import balance, hot_keys, key_ranges, load_meter

STEP_MS = 10_000
STEPS_PER_SLOT = 24
# Steps until placement has to settle after a change: its detection plus two minutes of
# the move budget.
SETTLING_STEPS = 12
RANGES_PER_SERVER = 64
CHANGED_HOT_KEYS = 16
# Hot keys have enough requests that a short average is accurate.
KEY_RATE_HALF_LIFE_MS = 3_000.0
RANGE_RATE_HALF_LIFE_MS = 30_000.0


class Options(NamedTuple):
    """Set the seed, the size and the load of a run."""

    seed: int
    servers: int
    keys: int
    exponent: float
    requests_per_step: int
    slots: int


class Workload:
    """Hold the exact rate of each key as a share of all requests."""

    def __init__(self, options: Options, generator: random.Random):
        self.generator = generator
        weights = [(rank + 1) ** -options.exponent for rank in range(options.keys)]
        total = sum(weights)
        self.share_by_rank = [value / total for value in weights]
        self.cumulative_shares = list(itertools.accumulate(self.share_by_rank))
        self.key_by_rank = [f"key-{index}" for index in range(options.keys)]
        generator.shuffle(self.key_by_rank)
        self.share_by_key = dict(zip(self.key_by_rank, self.share_by_rank, strict=True))
        self.change_count = 0

    def change_hottest(self) -> None:
        """Exchange the rates of the hottest keys with keys of the colder half."""
        keys = self.key_by_rank
        self.change_count += 1
        for rank in range(CHANGED_HOT_KEYS):
            other = self.generator.randrange(len(keys) // 2, len(keys))
            keys[rank], keys[other] = keys[other], keys[rank]
            for index in (rank, other):
                self.share_by_key[keys[index]] = self.share_by_rank[index]

    def sample(self, request_count: int) -> list[str]:
        """Return the keys of ``request_count`` random requests."""
        ranks = range(len(self.key_by_rank))
        sampled_ranks = self.generator.choices(
            ranks, cum_weights=self.cumulative_shares, k=request_count
        )
        return [self.key_by_rank[rank] for rank in sampled_ranks]


class PlannedPlacement:
    """Place keys by the range map and the moves of the planner."""

    def __init__(self, options: Options, servers: dict[str, str], workload: Workload):
        self.workload = workload
        self.requests_per_step = options.requests_per_step
        self.range_map = ownership.initial_ranges(
            tuple(servers), RANGES_PER_SERVER, data_centre_by_server=servers
        )
        self.start_by_key = {
            key: self.range_map.range_at(key_ranges.position_of_key(key)).start
            for key in workload.share_by_key
        }
        self.summed_change_count = -1
        self.share_by_start: dict[int, float] = {}
        self.sketch = hot_keys.SpaceSaving()
        self.reported_hot_keys: tuple[hot_keys.HotKey, ...] = ()
        self.range_rates = load_meter.LoadMeter[int](RANGE_RATE_HALF_LIFE_MS)
        self.key_rates = load_meter.LoadMeter[str](KEY_RATE_HALF_LIFE_MS)
        self.budget = balance.MoveBudget()
        self.move_count = 0
        self.moved_load = 0.0
        self.moved_positions = 0.0

    def step(self, servers: dict[str, str], now: float) -> None:
        """Record the requests of one interval, plan moves and apply them."""
        self.record_requests(now)
        moves = balance.plan_moves(
            self.range_map,
            self.range_rates.rate_by_name,
            self.key_rates.rate_by_name,
            servers,
            self.budget,
            now,
        )
        self.budget.spend(moves, now)
        self.record_moves(moves)
        self.range_map = balance.apply_moves(self.range_map, moves)

    def record_requests(self, now: float) -> None:
        """Record sampled requests by key and range as a router does."""
        exceptions = self.range_map.exceptions
        requests_by_range = dict.fromkeys(
            self.share_by_start or self.load_by_start(), 0.0
        )
        requests_by_key: dict[str, float] = {}
        for key in self.workload.sample(self.requests_per_step):
            self.sketch.add(key)
            if key in exceptions:
                requests_by_key[key] = requests_by_key.get(key, 0.0) + 1.0
            else:
                start = self.start_by_key[key]
                requests_by_range[start] += 1.0
        hottest_keys = self.sketch.hottest(hot_keys.DEFAULT_COUNTERS)
        increment_by_key = hot_keys.increments(self.reported_hot_keys, hottest_keys)
        for key, requests in increment_by_key.items():
            if key not in exceptions:
                requests_by_key[key] = requests
                requests_by_range[self.start_by_key[key]] -= requests
        requests_by_range = {
            start: max(0.0, count) for start, count in requests_by_range.items()
        }
        previous_total = self.sketch.total
        self.sketch.advance(now)
        factor = self.sketch.total / previous_total
        self.reported_hot_keys = tuple(
            hot_keys.HotKey(
                hot_key.key, hot_key.requests * factor, hot_key.error * factor
            )
            for hot_key in hottest_keys
        )
        self.range_rates.add(requests_by_range, STEP_MS)
        self.key_rates.add(requests_by_key, STEP_MS)

    def record_moves(self, moves: tuple[balance.OwnershipMove, ...]) -> None:
        """Add the moves that change an owner to the totals."""
        load_by_start = self.load_by_start()
        share_by_key = self.workload.share_by_key
        for move in moves:
            if not move.changes_owner:
                continue
            self.move_count += move.reason != "loss"
            self.moved_load += sum(
                load_by_start[assigned_range.start] for assigned_range in move.ranges
            )
            self.moved_load += sum(share_by_key[key] for key, _ in move.exceptions)
            self.moved_load += sum(share_by_key[key] for key in move.removed_exceptions)
            self.moved_positions += sum(
                (assigned_range.end - assigned_range.start) / ownership.POSITION_COUNT
                for assigned_range in move.ranges
            )

    def load_by_start(self) -> dict[int, float]:
        """Return the exact load of each range without its exceptions."""
        if self.summed_change_count != self.workload.change_count:
            self.summed_change_count = self.workload.change_count
            self.share_by_start = dict.fromkeys(
                (assigned_range.start for assigned_range in self.range_map), 0.0
            )
            for key, share in self.workload.share_by_key.items():
                self.share_by_start[self.start_by_key[key]] += share
        loads = dict(self.share_by_start)
        for key in self.range_map.exceptions:
            loads[self.start_by_key[key]] -= self.workload.share_by_key[key]
        return loads

    def load_by_server(self, servers: dict[str, str]) -> dict[str, float]:
        """Return the exact load of each live server."""
        loads = dict.fromkeys(servers, 0.0)
        load_by_start = self.load_by_start()
        for assigned_range in self.range_map:
            loads[first_live_server(assigned_range.servers, servers)] += load_by_start[
                assigned_range.start
            ]
        for key, listed_servers in self.range_map.exceptions.items():
            loads[first_live_server(listed_servers, servers)] += (
                self.workload.share_by_key[key]
            )
        return loads

    def shares_of_server(self, server: str) -> tuple[float, float]:
        """Return the shares of load and of positions that a server owns."""
        load_by_start = self.load_by_start()
        load = sum(
            load_by_start[assigned_range.start]
            for assigned_range in self.range_map
            if assigned_range.servers[0] == server
        )
        load += sum(
            self.workload.share_by_key[key]
            for key, listed_servers in self.range_map.exceptions.items()
            if listed_servers[0] == server
        )
        positions = sum(
            (assigned_range.end - assigned_range.start) / ownership.POSITION_COUNT
            for assigned_range in self.range_map
            if assigned_range.servers[0] == server
        )
        return load, positions

    def min_displaced_load(self, lost_server: str, servers: dict[str, str]) -> float:
        """Return the load that any placement must move to place the hottest lost key.

        The load of the server that receives the key must fall to 1.15 of the mean.
        """
        share_by_key = self.workload.share_by_key
        exceptions = self.range_map.exceptions
        lost_keys = [
            key
            for key, listed_servers in exceptions.items()
            if listed_servers[0] == lost_server
        ]
        max_key_share = max((share_by_key[key] for key in lost_keys), default=0.0)
        loads = dict.fromkeys([*servers, lost_server], 0.0)
        load_by_start = self.load_by_start()
        for assigned_range in self.range_map:
            loads[assigned_range.servers[0]] += load_by_start[assigned_range.start]
        for key, listed_servers in exceptions.items():
            loads[listed_servers[0]] += share_by_key[key]
        min_load = min(loads[name] for name in servers)
        return max(0.0, min_load + max_key_share - 1.15 / len(servers))


class HashedPlacement:
    """Place keys by rendezvous hashing alone."""

    def __init__(self, servers: dict[str, str], workload: Workload):
        self.workload = workload
        names = tuple(servers)
        self.owner_by_key = {
            key: rendezvous.rank_names(key, names)[0] for key in workload.share_by_key
        }

    def remove_server(self, server: str, servers: dict[str, str]) -> float:
        """Place the keys of a lost server again; return the load that moved."""
        names = tuple(servers)
        keys = [key for key, owner in self.owner_by_key.items() if owner == server]
        for key in keys:
            self.owner_by_key[key] = rendezvous.rank_names(key, names)[0]
        return sum(self.workload.share_by_key[key] for key in keys)

    def add_server(self, server: str) -> float:
        """Move the keys of a new server to it; return the load that moved."""
        moved_load = 0.0
        for key, owner in self.owner_by_key.items():
            if rendezvous.rank_names(key, (owner, server))[0] == server:
                self.owner_by_key[key] = server
                moved_load += self.workload.share_by_key[key]
        return moved_load

    def load_by_server(self, servers: dict[str, str]) -> dict[str, float]:
        """Return the exact load of each live server."""
        loads = dict.fromkeys(servers, 0.0)
        for key, owner in self.owner_by_key.items():
            loads[owner] += self.workload.share_by_key[key]
        return loads


def first_live_server(listed_servers: tuple[str, ...], servers: dict[str, str]) -> str:
    """Return the first listed server that is live, or else the first live server."""
    return next(
        (name for name in listed_servers if name in servers), next(iter(servers))
    )


def imbalance(loads: dict[str, float]) -> float:
    """Return the ratio of the largest load to the mean load."""
    return max(loads.values()) * len(loads) / sum(loads.values())


def run(options: Options) -> dict[str, object]:
    """Simulate all slots and return the figures."""
    generator = random.Random(options.seed)
    workload = Workload(options, generator)
    servers = {f"server-{index}": f"dc{index % 4}" for index in range(options.servers)}
    planned = PlannedPlacement(options, servers, workload)
    hashed = HashedPlacement(servers, workload)
    rows: list[dict[str, object]] = []
    for slot in range(options.slots):
        kind = ("hot", "loss", "join")[slot % 3]
        hashed_churn = 0.0
        affected_load, affected_positions, min_moved_load = 0.0, 0.0, 0.0
        totals_before = (
            planned.move_count,
            planned.moved_load,
            planned.moved_positions,
        )
        if kind == "hot" and slot:
            workload.change_hottest()
        elif kind == "loss":
            lost_server = generator.choice(sorted(servers))
            affected_load, affected_positions = planned.shares_of_server(lost_server)
            lost_data_centre = servers.pop(lost_server)
            min_moved_load = affected_load + planned.min_displaced_load(
                lost_server, servers
            )
            hashed_churn = hashed.remove_server(lost_server, servers)
        elif kind == "join":
            name = f"server-{options.servers + slot}"
            servers[name] = lost_data_centre
            affected_load = affected_positions = min_moved_load = 1 / len(servers)
            hashed_churn = hashed.add_server(name)
        hashed_imbalance = imbalance(hashed.load_by_server(servers))
        imbalances = []
        for step in range(STEPS_PER_SLOT):
            now = float((slot * STEPS_PER_SLOT + step) * STEP_MS)
            planned.step(servers, now)
            imbalances.append(imbalance(planned.load_by_server(servers)))
        rows.append(
            {
                "kind": kind if slot else "start",
                "imbalance": imbalances,
                "hashed_imbalance": hashed_imbalance,
                "moves": planned.move_count - totals_before[0],
                "load": planned.moved_load - totals_before[1],
                "positions": planned.moved_positions - totals_before[2],
                "least": affected_load,
                "bound": min_moved_load,
                "least_positions": affected_positions,
                "hashed_churn": hashed_churn,
            }
        )
    return summarize(options, rows, len(planned.range_map.exceptions))


def summarize(options: Options, rows: list[dict], exceptions: int) -> dict[str, object]:
    """Return the figures of a run."""
    later_rows = rows[1:]
    settled_imbalances = [
        value for row in later_rows for value in row["imbalance"][SETTLING_STEPS:]
    ]
    all_imbalances = [value for row in later_rows for value in row["imbalance"]]
    figures: dict[str, object] = {
        **options._asdict(),
        "imbalance_mean": statistics.fmean(all_imbalances),
        "imbalance_settled_mean": statistics.fmean(settled_imbalances),
        "imbalance_settled_worst": max(settled_imbalances),
        "imbalance_settled_share_above_1.15": share_above(settled_imbalances, 1.15),
        "imbalance_share_of_time_above_1.15": share_above(all_imbalances, 1.15),
        "seconds_to_1.15_worst": max(settling_time(row) for row in later_rows),
        "hashed_imbalance_mean": statistics.fmean(
            row["hashed_imbalance"] for row in later_rows
        ),
        "hashed_imbalance_worst": max(row["hashed_imbalance"] for row in later_rows),
        "moves_per_minute": sum(row["moves"] for row in later_rows)
        / (len(later_rows) * 4),
        "exceptions_at_end": exceptions,
    }
    for kind in ("loss", "join"):
        rows_of_kind = [row for row in rows if row["kind"] == kind]
        ratios = [row["load"] / row["least"] for row in rows_of_kind]
        figures[f"{kind}_churn_mean"] = sum(row["load"] for row in rows_of_kind) / sum(
            row["least"] for row in rows_of_kind
        )
        figures[f"{kind}_churn_worst"] = max(ratios)
        figures[f"{kind}_churn_of_bound_mean"] = sum(
            row["load"] for row in rows_of_kind
        ) / sum(row["bound"] for row in rows_of_kind)
        figures[f"{kind}_churn_positions_mean"] = sum(
            row["positions"] for row in rows_of_kind
        ) / sum(row["least_positions"] for row in rows_of_kind)
        hashed_churn = sum(row["hashed_churn"] for row in rows_of_kind)
        # For a loss the baseline moves exactly the share of the lost server.
        figures[f"{kind}_hashed_churn_mean"] = (
            1.0
            if kind == "loss"
            else hashed_churn / sum(row["least"] for row in rows_of_kind)
        )
    return figures


def share_above(values: list[float], limit: float) -> float:
    """Return the share of values above a limit."""
    return sum(value > limit for value in values) / len(values)


def settling_time(row: dict) -> float:
    """Return the seconds after which imbalance stays at most 1.15 in a slot."""
    late_steps = [step for step, value in enumerate(row["imbalance"]) if value > 1.15]
    return (late_steps[-1] + 1) * STEP_MS / 1000 if late_steps else 0.0


def render(results: list[dict[str, object]]) -> str:
    """Return the results as a table in Markdown."""
    lines = [
        "| figure | " + " | ".join(f"{result['servers']} servers" for result in results)
    ]
    lines[0] += " |"
    lines.append("|---" * (len(results) + 1) + "|")
    for name in results[0]:
        cells = [
            f"{result[name]:.3f}"
            if isinstance(result[name], float)
            else str(result[name])
            for result in results
        ]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


@click.command()
@click.option("--seed", default=1)
@click.option("--servers", default=(12, 9), multiple=True, type=int)
@click.option("--keys", default=100_000)
@click.option("--exponent", default=0.99)
@click.option("--requests-per-step", default=20_000)
@click.option("--slots", default=31)
def main(
    seed: int,
    servers: tuple[int, ...],
    keys: int,
    exponent: float,
    requests_per_step: int,
    slots: int,
) -> None:
    """Print the figures as a table and as JSON."""
    results = [
        run(Options(seed, count, keys, exponent, requests_per_step, slots))
        for count in servers
    ]
    click.echo(render(results))
    click.echo(json.dumps(results))


if __name__ == "__main__":
    main()
