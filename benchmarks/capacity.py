"""Measure the parameters from which docs/CAPACITY-daemon.md derives role costs.

Everything runs in this process with bounded loads. CPU figures are processor time of
the process or of the measuring thread, not elapsed time.
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


class CostParameter(NamedTuple):
    """Give one parameter of the capacity model, its unit and how it was obtained."""

    name: str
    value: float
    unit: str
    how: str


def resident_memory_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as text:
        return int(text.read().split()[1]) * PAGE_BYTES


def allocated_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that Python allocates for the result of a function."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del built
    return used_bytes


def build_range_map(
    size: int, server_lists: list[key_ranges.ServerList]
) -> key_ranges.RangeMap:
    """Return a map of ranges of equal width."""
    range_width = key_ranges.POSITION_COUNT // size
    last = size - 1
    return key_ranges.RangeMap(
        key_ranges.PositionRange(
            index * range_width,
            key_ranges.POSITION_COUNT if index == last else (index + 1) * range_width,
            server_lists[index % 64],
        )
        for index in range(size)
    )


def min_call_time_us(
    function: Callable[[], Any], repeats: int, rounds: int = 5
) -> float:
    """Return the processor time of one call in us, the minimum of all rounds."""
    min_s = float("inf")
    for _ in range(rounds):
        started = time.thread_time()
        for _ in range(repeats):
            function()
        min_s = min(min_s, time.thread_time() - started)
    return 1e6 * min_s / repeats


def min_call_time_per_item_us(
    function: Callable[[Any], Any], items: list, rounds: int = 3
) -> float:
    """Return the mean processor time per item in us, the minimum of all rounds."""
    min_s = float("inf")
    for _ in range(rounds):
        started = time.thread_time()
        for item in items:
            function(item)
        min_s = min(min_s, time.thread_time() - started)
    return 1e6 * min_s / len(items)


def measure_range_map(seed: int, sizes: list[int]) -> list[CostParameter]:
    """Measure memory and lookup time by the number of ranges and exceptions."""
    generator = random.Random(seed)
    keys = [f"key-{generator.randrange(10**9)}" for _ in range(20_000)]
    server_lists = [
        tuple(f"server-{first + offset}" for offset in range(3)) for first in range(64)
    ]
    parameters = [
        CostParameter(
            "position_hash",
            min_call_time_per_item_us(key_ranges.position_of_key, keys),
            "us",
            "position_of_key, keys of about 13 bytes",
        )
    ]
    for size in sizes:
        before = resident_memory_bytes()
        range_map = build_range_map(size, server_lists)
        used_bytes = resident_memory_bytes() - before
        if size <= 100_000:
            used_bytes = allocated_bytes(
                functools.partial(build_range_map, size, server_lists)
            )
        how = f"{size} ranges"
        parameters.append(
            CostParameter(f"range_bytes@{size}", used_bytes / size, "B", how)
        )
        lookup_us = min_call_time_per_item_us(range_map.servers_of_key, keys)
        parameters.append(CostParameter(f"range_lookup@{size}", lookup_us, "us", how))
        if size <= 1_000_000:
            change = range_map.range_at(key_ranges.POSITION_COUNT // 2)
            call_time_us = min_call_time_us(
                functools.partial(range_map.assign, [change]), 3
            )
            parameters.append(
                CostParameter(f"range_assign@{size}", call_time_us, "us", how)
            )
        del range_map
    for size in [256, *(size for size in sizes if size <= 1_000_000)]:

        def build(number: int = size) -> key_ranges.RangeMap:
            servers_of_keys = (
                (f"hot-{index}", server_lists[index % 64]) for index in range(number)
            )
            return key_ranges.RangeMap(servers_by_key=dict(servers_of_keys))

        range_map = build()
        how = f"{size} exceptions"
        used_bytes = allocated_bytes(build)
        parameters.append(
            CostParameter(f"exception_bytes@{size}", used_bytes / size, "B", how)
        )
        sample = generator.choices(list(range_map.exceptions), k=20_000)
        lookup_us = min_call_time_per_item_us(range_map.servers_of_key, sample)
        parameters.append(
            CostParameter(f"exception_lookup@{size}", lookup_us, "us", how)
        )
        del range_map
    return parameters


def measure_sketch(seed: int) -> list[CostParameter]:
    """Measure the hot-key sketch with keys of a Zipf distribution."""
    generator = random.Random(seed)
    weights = [(rank + 1) ** -0.99 for rank in range(100_000)]
    keys = [
        f"key-{rank}" for rank in generator.choices(range(100_000), weights, k=50_000)
    ]
    sketch = hot_keys.SpaceSaving()
    add_us = min_call_time_per_item_us(sketch.add, keys, rounds=2)
    parameters = [
        CostParameter(
            "sketch_add", add_us, "us", "256 counters, Zipf 0.99, 100,000 keys"
        )
    ]
    for vms in (9, 65):
        sketches = [hot_keys.restore(sketch.hottest(256), 1.0, 0.0) for _ in range(vms)]
        call_time_us = min_call_time_us(functools.partial(hot_keys.merge, sketches), 3)
        parameters.append(
            CostParameter(f"sketch_merge@{vms}", call_time_us, "us", f"{vms} sketches")
        )
    entries = sketch.hottest(256)
    encoded_bytes = len(msgspec.msgpack.encode(entries))
    parameters.append(
        CostParameter("sketch_bytes", encoded_bytes, "B", "256 entries in MessagePack")
    )
    return parameters


def measure_planning() -> list[CostParameter]:
    """Measure planning time by the number of servers of a shard."""
    parameters = []
    for count in (12, 24, 48, 96):
        servers = {f"server-{index}": f"dc{index % 5}" for index in range(count)}
        range_map = ownership.initial_ranges(tuple(servers), 64, servers)
        load_by_range_start = {item.start: 1.0 for item in range_map}
        load_by_key = {f"key-{index}": 30.0 / (index + 1) for index in range(256)}
        budget = balance.MoveBudget()

        plan = functools.partial(
            balance.plan_moves,
            range_map,
            load_by_range_start,
            load_by_key,
            servers,
            budget,
            0.0,
        )
        call_time_us = min_call_time_us(plan, 1, 3)
        parameters.append(
            CostParameter(
                f"plan@{count}", call_time_us, "us", f"{count} servers, 64 ranges each"
            )
        )
    return parameters


def measure_messages() -> list[CostParameter]:
    """Measure encoded size, encoding time and decoding time of the messages."""
    parameters = []
    for name, (kind, value) in messages.SAMPLE_BY_NAME.items():
        encoder = msgspec.msgpack.Encoder()
        decoder = msgspec.msgpack.Decoder(kind)
        data = encoder.encode(value)
        how = "generated type, checked on decode"
        parameters.append(CostParameter(f"{name}_bytes", len(data), "B", how))
        encode_us = min_call_time_us(functools.partial(encoder.encode, value), 2000)
        decode_us = min_call_time_us(functools.partial(decoder.decode, data), 2000)
        parameters.append(CostParameter(f"{name}_encode", encode_us, "us", how))
        parameters.append(CostParameter(f"{name}_decode", decode_us, "us", how))
    for part, (small_table, large_table) in messages.TABLES_BY_ENTRY_KIND.items():
        added_bytes = len(msgspec.msgpack.encode(large_table)) - len(
            msgspec.msgpack.encode(small_table)
        )
        added_entries = messages.LARGE_TABLE_ENTRIES - 1
        decoder = msgspec.msgpack.Decoder(messages.TABLE_TYPE)
        data = msgspec.msgpack.encode(large_table)
        encode_us = (
            min_call_time_us(functools.partial(msgspec.msgpack.encode, large_table), 20)
            / added_entries
        )
        decode_us = (
            min_call_time_us(functools.partial(decoder.decode, data), 20)
            / added_entries
        )
        how = f"difference of tables with 1 and {messages.LARGE_TABLE_ENTRIES} entries"
        parameters.append(
            CostParameter(
                f"owner_table_bytes_per_{part}", added_bytes / added_entries, "B", how
            )
        )
        parameters.append(
            CostParameter(f"owner_table_encode_per_{part}", encode_us, "us", how)
        )
        parameters.append(
            CostParameter(f"owner_table_decode_per_{part}", decode_us, "us", how)
        )
    return parameters


def run_membership_interval(
    view: membership.MembershipView, watched_vms: list[str], clock: Iterator[float]
) -> None:
    """Process one heartbeat of each watched VM and advance the view."""
    now = next(clock)
    for name in watched_vms:
        view.on_heartbeat(name, "1", now)
    view.tick(now)


def measure_membership(sizes: list[int]) -> list[CostParameter]:
    """Measure the membership view of one VM by the number of VMs."""
    parameters = []
    for size in sizes:
        names = [f"vm-{index}" for index in range(size)]
        view = membership.MembershipView(names[0], names)
        watched_vms = [
            name
            for name, watchers in membership.watchers_by_vm(names, 4).items()
            if names[0] in watchers
        ]
        clock = itertools.count(0, 250)
        interval = functools.partial(run_membership_interval, view, watched_vms, clock)
        call_time_us = min_call_time_us(interval, 400)
        how = f"{size} VMs, 250 ms with {len(watched_vms)} heartbeats"
        parameters.append(
            CostParameter(f"membership_interval@{size}", call_time_us, "us", how)
        )
        read_us = min_call_time_us(functools.partial(getattr, view, "live_by_vm"), 20)
        parameters.append(CostParameter(f"membership_read@{size}", read_us, "us", how))
        if size == max(sizes):
            used_bytes = allocated_bytes(
                functools.partial(membership.MembershipView, names[0], names)
            )
            parameters.append(
                CostParameter(f"membership_bytes@{size}", used_bytes, "B", how)
            )
    return parameters


def compute_message_rates() -> list[CostParameter]:
    """Compute the messages per second of the default timing."""
    timing = settings_core.DEFAULT_TIMING
    how = "not measured: from the default timing"
    promise_peers = 4
    promises_per_s = promise_peers * 1000 / timing["promise_renewal_ms"]
    renewals_per_s = 1000 / timing["renewal_ms"]
    return [
        CostParameter(
            "promise_requests_per_shard", promises_per_s, "1/s", f"{how}, group of 5"
        ),
        CostParameter(
            "promise_replies_per_shard", promises_per_s, "1/s", f"{how}, group of 5"
        ),
        CostParameter("renewals_per_server_and_shard", renewals_per_s, "1/s", how),
        CostParameter(
            "heartbeats_per_watcher", 1000 / timing["heartbeat_ms"], "1/s", how
        ),
    ]


def render(parameters: list[CostParameter]) -> str:
    """Return the parameters as a table in Markdown."""
    lines = ["| slope | value | unit | obtained from |", "|---|---|---|---|"]
    lines += [
        f"| {entry.name} | {entry.value:.4g} | {entry.unit} | {entry.how} |"
        for entry in parameters
    ]
    return "\n".join(lines)


@click.command()
@click.option("--seed", default=1)
@click.option("--largest", default=10_000_000, help="Largest number of ranges.")
def main(seed: int, largest: int) -> None:
    """Print all parameters as a table and as JSON."""
    sizes = [10_000, 100_000, 1_000_000, 10_000_000]
    parameters = [
        *measure_range_map(seed, [size for size in sizes if size <= largest]),
        *measure_sketch(seed),
        *measure_planning(),
        *measure_messages(),
        *measure_membership([9, 33, 130, 260, 520]),
        *compute_message_rates(),
        *(CostParameter(*row) for row in transport.measure()),
    ]
    click.echo(render(parameters))
    click.echo(json.dumps([parameter._asdict() for parameter in parameters]))


if __name__ == "__main__":
    main()
