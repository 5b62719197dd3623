"""Measure imbalance and churn of key placement beside plain rendezvous hashing.

A run is a sequence of slots of four minutes. Each slot starts with one disturbance:
new hottest keys, the loss of a server, or a join. The planner sees sampled requests
only; imbalance is computed from the true rates.
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
SLOT_STEPS = 24
# Time that a disturbance may take to settle: detection plus two minutes' budget.
SETTLING_STEPS = 12
RANGES_PER_SERVER = 64
HOT_KEYS = 16
# Counts of hot keys are exact enough without much averaging.
KEY_HALF_TIME_MS = 3_000.0
RANGE_HALF_TIME_MS = 30_000.0


class Options(NamedTuple):
    """Set the size of a run."""

    seed: int
    servers: int
    keys: int
    exponent: float
    requests_per_step: int
    slots: int


class Workload:
    """Hold the true rate of each key as a share of all requests."""

    def __init__(self, options: Options, generator: random.Random):
        self.generator = generator
        raw = [(rank + 1) ** -options.exponent for rank in range(options.keys)]
        total = sum(raw)
        self.share_by_rank = [value / total for value in raw]
        self.cumulative = list(itertools.accumulate(self.share_by_rank))
        self.key_by_rank = [f"key-{index}" for index in range(options.keys)]
        generator.shuffle(self.key_by_rank)
        self.share_by_key = dict(zip(self.key_by_rank, self.share_by_rank, strict=True))
        self.changes = 0

    def change_hottest(self) -> None:
        """Give the rates of the hottest keys to keys of the colder half."""
        keys = self.key_by_rank
        self.changes += 1
        for rank in range(HOT_KEYS):
            other = self.generator.randrange(len(keys) // 2, len(keys))
            keys[rank], keys[other] = keys[other], keys[rank]
            for index in (rank, other):
                self.share_by_key[keys[index]] = self.share_by_rank[index]

    def sample(self, number: int) -> list[str]:
        """Return the keys of this many requests."""
        ranks = range(len(self.key_by_rank))
        drawn = self.generator.choices(ranks, cum_weights=self.cumulative, k=number)
        return [self.key_by_rank[rank] for rank in drawn]


class Planned:
    """Place keys by the range map and the planner."""

    def __init__(self, options: Options, servers: dict[str, str], workload: Workload):
        self.workload = workload
        self.requests = options.requests_per_step
        self.map = ownership.initial_ranges(
            tuple(servers), RANGES_PER_SERVER, data_centre_by_server=servers
        )
        self.start_by_key = {
            key: self.map.range_at(key_ranges.position_of_key(key)).start
            for key in workload.share_by_key
        }
        self.summed_at = -1
        self.share_by_start: dict[int, float] = {}
        self.sketch = hot_keys.SpaceSaving()
        self.reported: tuple[hot_keys.HotKey, ...] = ()
        self.ranges = load_meter.LoadMeter[int](RANGE_HALF_TIME_MS)
        self.keys = load_meter.LoadMeter[str](KEY_HALF_TIME_MS)
        self.budget = balance.MoveBudget()
        self.moves = 0
        self.moved_load = 0.0
        self.moved_positions = 0.0

    def step(self, servers: dict[str, str], now: float) -> None:
        """Count one interval's requests, plan and carry out."""
        self.count(now)
        moves = balance.plan_moves(
            self.map,
            self.ranges.rate_by_name,
            self.keys.rate_by_name,
            servers,
            self.budget,
            now,
        )
        self.budget.spend(moves, now)
        self.account(moves)
        self.map = balance.apply_moves(self.map, moves)

    def count(self, now: float) -> None:
        """Take in sampled requests as a router counts them."""
        exceptions = self.map.exceptions
        by_range = dict.fromkeys(self.share_by_start or self.load_by_start(), 0.0)
        by_key: dict[str, float] = {}
        for key in self.workload.sample(self.requests):
            self.sketch.add(key)
            if key in exceptions:
                by_key[key] = by_key.get(key, 0.0) + 1.0
            else:
                start = self.start_by_key[key]
                by_range[start] += 1.0
        found = self.sketch.hottest(hot_keys.DEFAULT_COUNTERS)
        new = hot_keys.increments(self.reported, found)
        for key, requests in new.items():
            if key not in exceptions:
                by_key[key] = requests
                by_range[self.start_by_key[key]] -= requests
        by_range = {start: max(0.0, count) for start, count in by_range.items()}
        before = self.sketch.total
        self.sketch.advance(now)
        factor = self.sketch.total / before
        self.reported = tuple(
            hot_keys.HotKey(one.key, one.requests * factor, one.error * factor)
            for one in found
        )
        self.ranges.add(by_range, STEP_MS)
        self.keys.add(by_key, STEP_MS)

    def account(self, moves: tuple[balance.OwnershipMove, ...]) -> None:
        """Add the changes of owner to the totals."""
        load_by_start = self.load_by_start()
        share = self.workload.share_by_key
        for move in moves:
            if not move.changes_owner:
                continue
            self.moves += move.reason != "loss"
            self.moved_load += sum(load_by_start[item.start] for item in move.ranges)
            self.moved_load += sum(share[key] for key, _ in move.exceptions)
            self.moved_load += sum(share[key] for key in move.removed_exceptions)
            self.moved_positions += sum(
                (item.end - item.start) / ownership.POSITION_COUNT
                for item in move.ranges
            )

    def load_by_start(self) -> dict[int, float]:
        """Return the true load of each range without its exceptions."""
        if self.summed_at != self.workload.changes:
            self.summed_at = self.workload.changes
            self.share_by_start = dict.fromkeys((item.start for item in self.map), 0.0)
            for key, share in self.workload.share_by_key.items():
                self.share_by_start[self.start_by_key[key]] += share
        loads = dict(self.share_by_start)
        for key in self.map.exceptions:
            loads[self.start_by_key[key]] -= self.workload.share_by_key[key]
        return loads

    def load_by_server(self, servers: dict[str, str]) -> dict[str, float]:
        """Return the true load of each live server."""
        loads = dict.fromkeys(servers, 0.0)
        by_start = self.load_by_start()
        for item in self.map:
            loads[first_live(item.servers, servers)] += by_start[item.start]
        for key, listed in self.map.exceptions.items():
            loads[first_live(listed, servers)] += self.workload.share_by_key[key]
        return loads

    def share_of(self, server: str) -> tuple[float, float]:
        """Return a server's shares of load and of positions."""
        by_start = self.load_by_start()
        load = sum(
            by_start[item.start] for item in self.map if item.servers[0] == server
        )
        load += sum(
            self.workload.share_by_key[key]
            for key, listed in self.map.exceptions.items()
            if listed[0] == server
        )
        positions = sum(
            (item.end - item.start) / ownership.POSITION_COUNT
            for item in self.map
            if item.servers[0] == server
        )
        return load, positions

    def displaced_by_loss(self, lost: str, servers: dict[str, str]) -> float:
        """Return the load that any placement must move to take the hottest lost key.

        The server that takes the key must come down to 1.15 of the mean.
        """
        share = self.workload.share_by_key
        exceptions = self.map.exceptions
        lost_keys = [key for key, listed in exceptions.items() if listed[0] == lost]
        heaviest = max((share[key] for key in lost_keys), default=0.0)
        loads = dict.fromkeys([*servers, lost], 0.0)
        by_start = self.load_by_start()
        for item in self.map:
            loads[item.servers[0]] += by_start[item.start]
        for key, listed in exceptions.items():
            loads[listed[0]] += share[key]
        lowest = min(loads[name] for name in servers)
        return max(0.0, lowest + heaviest - 1.15 / len(servers))


class Hashed:
    """Place keys by rendezvous hashing alone."""

    def __init__(self, servers: dict[str, str], workload: Workload):
        self.workload = workload
        names = tuple(servers)
        self.owner_by_key = {
            key: rendezvous.rank_names(key, names)[0] for key in workload.share_by_key
        }

    def lose(self, server: str, servers: dict[str, str]) -> float:
        """Place the keys of a lost server; return the load that moved."""
        names = tuple(servers)
        keys = [key for key, owner in self.owner_by_key.items() if owner == server]
        for key in keys:
            self.owner_by_key[key] = rendezvous.rank_names(key, names)[0]
        return sum(self.workload.share_by_key[key] for key in keys)

    def join(self, server: str) -> float:
        """Give a new server its keys; return the load that moved."""
        moved = 0.0
        for key, owner in self.owner_by_key.items():
            if rendezvous.rank_names(key, (owner, server))[0] == server:
                self.owner_by_key[key] = server
                moved += self.workload.share_by_key[key]
        return moved

    def load_by_server(self, servers: dict[str, str]) -> dict[str, float]:
        """Return the true load of each live server."""
        loads = dict.fromkeys(servers, 0.0)
        for key, owner in self.owner_by_key.items():
            loads[owner] += self.workload.share_by_key[key]
        return loads


def first_live(listed: tuple[str, ...], servers: dict[str, str]) -> str:
    """Return the first listed server that is live, or any live one."""
    return next((name for name in listed if name in servers), next(iter(servers)))


def imbalance(loads: dict[str, float]) -> float:
    """Return the largest over the mean load."""
    return max(loads.values()) * len(loads) / sum(loads.values())


def run(options: Options) -> dict[str, object]:
    """Run all slots and return the figures."""
    generator = random.Random(options.seed)
    workload = Workload(options, generator)
    servers = {f"server-{index}": f"dc{index % 4}" for index in range(options.servers)}
    planned = Planned(options, servers, workload)
    hashed = Hashed(servers, workload)
    rows: list[dict[str, object]] = []
    for slot in range(options.slots):
        kind = ("hot", "loss", "join")[slot % 3]
        hashed_churn = 0.0
        least, least_positions, bound = 0.0, 0.0, 0.0
        before = (planned.moves, planned.moved_load, planned.moved_positions)
        if kind == "hot" and slot:
            workload.change_hottest()
        elif kind == "loss":
            lost = generator.choice(sorted(servers))
            least, least_positions = planned.share_of(lost)
            lost_centre = servers.pop(lost)
            bound = least + planned.displaced_by_loss(lost, servers)
            hashed_churn = hashed.lose(lost, servers)
        elif kind == "join":
            name = f"server-{options.servers + slot}"
            servers[name] = lost_centre
            least = least_positions = bound = 1 / len(servers)
            hashed_churn = hashed.join(name)
        hashed_imbalance = imbalance(hashed.load_by_server(servers))
        measured = []
        for step in range(SLOT_STEPS):
            now = float((slot * SLOT_STEPS + step) * STEP_MS)
            planned.step(servers, now)
            measured.append(imbalance(planned.load_by_server(servers)))
        rows.append(
            {
                "kind": kind if slot else "start",
                "imbalance": measured,
                "hashed_imbalance": hashed_imbalance,
                "moves": planned.moves - before[0],
                "load": planned.moved_load - before[1],
                "positions": planned.moved_positions - before[2],
                "least": least,
                "bound": bound,
                "least_positions": least_positions,
                "hashed_churn": hashed_churn,
            }
        )
    return summary(options, rows, len(planned.map.exceptions))


def summary(options: Options, rows: list[dict], exceptions: int) -> dict[str, object]:
    """Return the figures of a run."""
    later = rows[1:]
    settled = [value for row in later for value in row["imbalance"][SETTLING_STEPS:]]
    every = [value for row in later for value in row["imbalance"]]
    figures: dict[str, object] = {
        **options._asdict(),
        "imbalance_mean": statistics.fmean(every),
        "imbalance_settled_mean": statistics.fmean(settled),
        "imbalance_settled_worst": max(settled),
        "imbalance_settled_share_above_1.15": share_above(settled, 1.15),
        "imbalance_share_of_time_above_1.15": share_above(every, 1.15),
        "seconds_to_1.15_worst": max(settling_time(row) for row in later),
        "hashed_imbalance_mean": statistics.fmean(
            row["hashed_imbalance"] for row in later
        ),
        "hashed_imbalance_worst": max(row["hashed_imbalance"] for row in later),
        "moves_per_minute": sum(row["moves"] for row in later) / (len(later) * 4),
        "exceptions_at_end": exceptions,
    }
    for kind in ("loss", "join"):
        chosen = [row for row in rows if row["kind"] == kind]
        ratios = [row["load"] / row["least"] for row in chosen]
        figures[f"{kind}_churn_mean"] = sum(row["load"] for row in chosen) / sum(
            row["least"] for row in chosen
        )
        figures[f"{kind}_churn_worst"] = max(ratios)
        figures[f"{kind}_churn_of_bound_mean"] = sum(
            row["load"] for row in chosen
        ) / sum(row["bound"] for row in chosen)
        figures[f"{kind}_churn_positions_mean"] = sum(
            row["positions"] for row in chosen
        ) / sum(row["least_positions"] for row in chosen)
        hashed = sum(row["hashed_churn"] for row in chosen)
        # For a loss the baseline moves the lost share, which is its own least.
        figures[f"{kind}_hashed_churn_mean"] = (
            1.0 if kind == "loss" else hashed / sum(row["least"] for row in chosen)
        )
    return figures


def share_above(values: list[float], limit: float) -> float:
    """Return the share of values above a limit."""
    return sum(value > limit for value in values) / len(values)


def settling_time(row: dict) -> float:
    """Return the seconds until imbalance stays at most 1.15 in a slot."""
    late = [step for step, value in enumerate(row["imbalance"]) if value > 1.15]
    return (late[-1] + 1) * STEP_MS / 1000 if late else 0.0


def render(results: list[dict[str, object]]) -> str:
    """Return the results as a table in Markdown."""
    lines = ["| figure | " + " | ".join(f"{one['servers']} servers" for one in results)]
    lines[0] += " |"
    lines.append("|---" * (len(results) + 1) + "|")
    for name in results[0]:
        cells = [
            f"{one[name]:.3f}" if isinstance(one[name], float) else str(one[name])
            for one in results
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
