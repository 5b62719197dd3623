"""Measure the slopes from which docs/CAPACITY.md derives the cost of each role.

Everything runs in this process with bounded loads. CPU figures are processor time of
the process or of the measuring thread, not wall-clock time.
"""

import functools
import itertools
import json
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import click
import messages
import msgspec
import transport

from wasabivalve import membership, ownership
from wasabivalve.ownership import balance, hot_keys, key_ranges
from wasabivalve.settings import core as settings_core

PAGE_BYTES = 4096


class Slope(NamedTuple):
    """Name one figure with its unit and the way it was obtained."""

    name: str
    value: float
    unit: str
    how: str


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as text:
        return int(text.read().split()[1]) * PAGE_BYTES


def allocated_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that Python allocates for what a function returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
    return used


def build_map(size: int, lists: list[key_ranges.ServerList]) -> key_ranges.RangeMap:
    """Return a map of equal ranges."""
    step = key_ranges.POSITION_COUNT // size
    last = size - 1
    return key_ranges.RangeMap(
        key_ranges.PositionRange(
            index * step,
            key_ranges.POSITION_COUNT if index == last else (index + 1) * step,
            lists[index % 64],
        )
        for index in range(size)
    )


def cost_us(function: Callable[[], Any], repeats: int, rounds: int = 5) -> float:
    """Return the least processor time of one call, in microseconds."""
    best = float("inf")
    for _ in range(rounds):
        started = time.thread_time()
        for _ in range(repeats):
            function()
        best = min(best, time.thread_time() - started)
    return 1e6 * best / repeats


def each_cost_us(function: Callable[[Any], Any], items: list, rounds: int = 3) -> float:
    """Return the least processor time of a call for each item, in microseconds."""
    best = float("inf")
    for _ in range(rounds):
        started = time.thread_time()
        for item in items:
            function(item)
        best = min(best, time.thread_time() - started)
    return 1e6 * best / len(items)


def range_map_slopes(seed: int, sizes: list[int]) -> list[Slope]:
    """Measure memory and lookup time against the number of ranges and exceptions."""
    generator = random.Random(seed)
    keys = [f"key-{generator.randrange(10**9)}" for _ in range(20_000)]
    lists = [tuple(f"server-{one + place}" for place in range(3)) for one in range(64)]
    slopes = [
        Slope(
            "position_hash",
            each_cost_us(key_ranges.position_of_key, keys),
            "us",
            "position_of_key, keys of about 13 bytes",
        )
    ]
    for size in sizes:
        before = resident_bytes()
        range_map = build_map(size, lists)
        used = resident_bytes() - before
        if size <= 100_000:
            used = allocated_bytes(functools.partial(build_map, size, lists))
        how = f"{size} ranges"
        slopes.append(Slope(f"range_bytes@{size}", used / size, "B", how))
        lookup = each_cost_us(range_map.servers_of_key, keys)
        slopes.append(Slope(f"range_lookup@{size}", lookup, "us", how))
        if size <= 1_000_000:
            change = range_map.range_at(key_ranges.POSITION_COUNT // 2)
            cost = cost_us(functools.partial(range_map.assign, [change]), 3)
            slopes.append(Slope(f"range_assign@{size}", cost, "us", how))
        del range_map
    for size in [256, *(size for size in sizes if size <= 1_000_000)]:

        def build(number: int = size) -> key_ranges.RangeMap:
            placed = ((f"hot-{index}", lists[index % 64]) for index in range(number))
            return key_ranges.RangeMap(servers_by_key=dict(placed))

        range_map = build()
        how = f"{size} exceptions"
        used = allocated_bytes(build)
        slopes.append(Slope(f"exception_bytes@{size}", used / size, "B", how))
        sample = generator.choices(list(range_map.exceptions), k=20_000)
        lookup = each_cost_us(range_map.servers_of_key, sample)
        slopes.append(Slope(f"exception_lookup@{size}", lookup, "us", how))
        del range_map
    return slopes


def sketch_slopes(seed: int) -> list[Slope]:
    """Measure the sketch on a Zipf load."""
    generator = random.Random(seed)
    weights = [(rank + 1) ** -0.99 for rank in range(100_000)]
    keys = [
        f"key-{one}" for one in generator.choices(range(100_000), weights, k=50_000)
    ]
    sketch = hot_keys.SpaceSaving()
    add = each_cost_us(sketch.add, keys, rounds=2)
    slopes = [Slope("sketch_add", add, "us", "256 counters, Zipf 0.99, 100,000 keys")]
    for vms in (9, 65):
        parts = [hot_keys.restore(sketch.hottest(256), 1.0, 0.0) for _ in range(vms)]
        cost = cost_us(functools.partial(hot_keys.merge, parts), 3)
        slopes.append(Slope(f"sketch_merge@{vms}", cost, "us", f"{vms} sketches"))
    entries = sketch.hottest(256)
    encoded = len(msgspec.msgpack.encode(entries))
    slopes.append(Slope("sketch_bytes", encoded, "B", "256 entries in MessagePack"))
    return slopes


def plan_slopes() -> list[Slope]:
    """Measure planning against the servers of a shard."""
    slopes = []
    for count in (12, 24, 48, 96):
        servers = {f"server-{index}": f"dc{index % 5}" for index in range(count)}
        range_map = ownership.initial_ranges(tuple(servers), 64, servers)
        by_range = {item.start: 1.0 for item in range_map}
        by_key = {f"key-{index}": 30.0 / (index + 1) for index in range(256)}
        budget = balance.MoveBudget()

        plan = functools.partial(
            balance.plan_moves, range_map, by_range, by_key, servers, budget, 0.0
        )
        cost = cost_us(plan, 1, 3)
        slopes.append(
            Slope(f"plan@{count}", cost, "us", f"{count} servers, 64 ranges each")
        )
    return slopes


def message_slopes() -> list[Slope]:
    """Measure size and codec time of the messages."""
    slopes = []
    for name, (kind, value) in messages.SAMPLES.items():
        encoder = msgspec.msgpack.Encoder()
        decoder = msgspec.msgpack.Decoder(kind)
        data = encoder.encode(value)
        how = "generated type, checked on decode"
        slopes.append(Slope(f"{name}_bytes", len(data), "B", how))
        encode = cost_us(functools.partial(encoder.encode, value), 2000)
        decode = cost_us(functools.partial(decoder.decode, data), 2000)
        slopes.append(Slope(f"{name}_encode", encode, "us", how))
        slopes.append(Slope(f"{name}_decode", decode, "us", how))
    for part, (one, many) in messages.TABLES.items():
        extra = len(msgspec.msgpack.encode(many)) - len(msgspec.msgpack.encode(one))
        number = messages.TABLE_ENTRIES - 1
        decoder = msgspec.msgpack.Decoder(messages.TABLE_TYPE)
        data = msgspec.msgpack.encode(many)
        encode = cost_us(functools.partial(msgspec.msgpack.encode, many), 20) / number
        decode = cost_us(functools.partial(decoder.decode, data), 20) / number
        how = f"difference of tables with 1 and {messages.TABLE_ENTRIES} entries"
        slopes.append(Slope(f"owner_table_bytes_per_{part}", extra / number, "B", how))
        slopes.append(Slope(f"owner_table_encode_per_{part}", encode, "us", how))
        slopes.append(Slope(f"owner_table_decode_per_{part}", decode, "us", how))
    return slopes


def pass_interval(
    view: membership.MembershipView, watched: list[str], clock: Iterator[float]
) -> None:
    """Take in one heartbeat of each watched VM and tick."""
    now = next(clock)
    for name in watched:
        view.on_heartbeat(name, "1", now)
    view.tick(now)


def membership_slopes(sizes: list[int]) -> list[Slope]:
    """Measure the view of one VM against the number of VMs."""
    slopes = []
    for size in sizes:
        names = [f"vm-{index}" for index in range(size)]
        view = membership.MembershipView(names[0], names)
        watched = [
            name
            for name, found in membership.watchers_by_vm(names, 4).items()
            if names[0] in found
        ]
        clock = itertools.count(0, 250)
        interval = functools.partial(pass_interval, view, watched, clock)
        cost = cost_us(interval, 400)
        how = f"{size} VMs, 250 ms with {len(watched)} heartbeats"
        slopes.append(Slope(f"membership_interval@{size}", cost, "us", how))
        read = cost_us(functools.partial(getattr, view, "live_by_vm"), 20)
        slopes.append(Slope(f"membership_read@{size}", read, "us", how))
        if size == max(sizes):
            used = allocated_bytes(
                functools.partial(membership.MembershipView, names[0], names)
            )
            slopes.append(Slope(f"membership_bytes@{size}", used, "B", how))
    return slopes


def timing_slopes() -> list[Slope]:
    """Compute messages per second from the default timing."""
    timing = settings_core.DEFAULT_TIMING
    how = "not measured: from the default timing"
    givers = 4
    promises = givers * 1000 / timing["promise_renewal_ms"]
    renewals = 1000 / timing["renewal_ms"]
    return [
        Slope("promise_requests_per_shard", promises, "1/s", f"{how}, group of 5"),
        Slope("promise_replies_per_shard", promises, "1/s", f"{how}, group of 5"),
        Slope("renewals_per_server_and_shard", renewals, "1/s", how),
        Slope("heartbeats_per_watcher", 1000 / timing["heartbeat_ms"], "1/s", how),
    ]


def render(slopes: list[Slope]) -> str:
    """Return the slopes as a table in Markdown."""
    lines = ["| slope | value | unit | obtained from |", "|---|---|---|---|"]
    lines += [f"| {s.name} | {s.value:.4g} | {s.unit} | {s.how} |" for s in slopes]
    return "\n".join(lines)


@click.command()
@click.option("--seed", default=1)
@click.option("--largest", default=10_000_000, help="Largest number of ranges.")
def main(seed: int, largest: int) -> None:
    """Print all slopes as a table and as JSON."""
    sizes = [10_000, 100_000, 1_000_000, 10_000_000]
    slopes = [
        *range_map_slopes(seed, [size for size in sizes if size <= largest]),
        *sketch_slopes(seed),
        *plan_slopes(),
        *message_slopes(),
        *membership_slopes([9, 33, 130, 260, 520]),
        *timing_slopes(),
        *(Slope(*row) for row in transport.measure()),
    ]
    click.echo(render(slopes))
    click.echo(json.dumps([slope._asdict() for slope in slopes]))


if __name__ == "__main__":
    main()
