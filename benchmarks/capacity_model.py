"""Derive the control cost of a node at 520 nodes from measured slopes.

Reads the output of benchmarks/capacity.py and prints the lines of the control budget.
"""

import json
import pathlib
from typing import NamedTuple

import click

BUDGET_CPU_MS = 32.0
BUDGET_BYTES = 8000.0


class Size(NamedTuple):
    """Set the size of the system and the settings that the cost depends on."""

    nodes: int = 520
    # Twelve servers by key for nine VMs today, in proportion.
    servers: int = 693
    servers_per_shard: int = 12
    ranges_per_server: int = 64
    watchers: int = 4
    group: int = 5
    promise_renewal_ms: float = 100.0
    lease_renewal_ms: float = 150.0
    # Measured by benchmarks/placement.py --seed 1 for 12 servers.
    moves_per_minute_per_server: float = 1.5 / 12
    entries_per_move: float = 6.0
    # Requests of each server that a plan needs, as in benchmarks/placement.py.
    sampled_requests_per_server: float = 20_000.0 / 12
    report_entries: int = 256
    report_interval_s: float = 10.0
    log_relayed_to_all: bool = True
    requests_per_second: float = 3_200_000.0


class Line(NamedTuple):
    """Give one line of the budget: processor ms/s, bytes sent per second, nodes."""

    name: str
    cpu_ms: float
    sent_bytes: float
    nodes: float


def lines_of(size: Size, slope: dict[str, float]) -> list[Line]:
    """Return the lines for the nodes that bear each cost."""
    half = slope["bus_message_paced"] / 2
    extra = slope["bus_framing_bytes"] + slope["segment_bytes"]

    def bus(sent: float, received: float, bytes_each: float) -> tuple[float, float]:
        return (sent + received) * half / 1000, sent * (bytes_each + extra)

    shards = size.servers / size.servers_per_shard
    beats = size.watchers * slope["heartbeats_per_watcher"]
    asks = (size.group - 1) * 1000 / size.promise_renewal_ms
    answers = 1000 / size.promise_renewal_ms
    renewals = size.servers_per_shard * 1000 / size.lease_renewal_ms
    changes = size.servers * size.moves_per_minute_per_server / 60
    entry = slope["owner_table_bytes_per_range"]
    delta = slope["owner_table_of_one_range_bytes"] + size.entries_per_move * entry
    ranges = size.servers_per_shard * size.ranges_per_server
    # Requests that one node sends to one shard in one reporting interval.
    seen = size.requests_per_second / shards / size.nodes * size.report_interval_s
    needed = size.sampled_requests_per_server * size.servers_per_shard
    reporters = min(size.nodes, needed / seen)
    # A range's count takes about 5 bytes in MessagePack.
    report = slope["sketch_bytes"] * size.report_entries / 256 + 5 * ranges
    reports = shards * reporters / size.nodes / size.report_interval_s
    tick = 4 * (slope["membership_interval@520"] + slope["membership_read@520"])
    plan = slope["plan@12"] * size.servers_per_shard / 12 / size.report_interval_s
    merge = slope["sketch_merge@65"] * reporters / 65 / size.report_interval_s
    read = reporters / size.report_interval_s * half
    renewal_bytes = slope["renewal_request_bytes"] + slope["segment_bytes"]
    givers = min(size.nodes, shards * (size.group - 1))
    return [
        Line("heartbeats", *bus(beats, beats, slope["heartbeat_bytes"]), size.nodes),
        Line("membership view", tick / 1000, 0.0, size.nodes),
        Line("owner table changes", *bus(changes, changes, delta), size.nodes),
        Line(
            "control log relay",
            *bus(changes, changes, delta),
            size.nodes if size.log_relayed_to_all else givers,
        ),
        Line("load reports", *bus(reports, 0.0, report), size.nodes),
        Line(
            "promise giver",
            *bus(answers, answers, slope["promise_reply_bytes"]),
            givers,
        ),
        Line("promise asker", *bus(asks, asks, slope["promise_request_bytes"]), shards),
        Line(
            "lease renewal",
            renewals * slope["renewal_cost"] / 1000,
            renewals * renewal_bytes,
            shards,
        ),
        Line(
            "plan and merge",
            (plan + merge + read) / 1000,
            0.0,
            shards,
        ),
    ]


def render(title: str, size: Size, lines: list[Line]) -> str:
    """Return the lines with the sums of an ordinary, a busiest and a mean node."""
    text = [
        f"### {title}",
        "",
        f"`{size}`",
        "",
        "| line | CPU ms/s | bytes sent/s | nodes that bear it |",
        "|---|---|---|---|",
    ]
    text += [
        f"| {one.name} | {one.cpu_ms:.2f} | {one.sent_bytes:.0f} | {one.nodes:.0f} |"
        for one in lines
    ]
    ordinary = [one for one in lines if one.nodes == size.nodes]
    for name, chosen in (("ordinary node", ordinary), ("busiest node", lines)):
        cpu = sum(one.cpu_ms for one in chosen)
        sent = sum(one.sent_bytes for one in chosen)
        text.append(f"| **{name}** | **{cpu:.1f}** | **{sent:.0f}** | |")
    cpu = sum(one.cpu_ms * one.nodes for one in lines) / size.nodes
    sent = sum(one.sent_bytes * one.nodes for one in lines) / size.nodes
    text.append(f"| **mean of all nodes** | **{cpu:.1f}** | **{sent:.0f}** | |")
    text.append(f"| budget | {BUDGET_CPU_MS:.0f} | {BUDGET_BYTES:.0f} | |")
    return "\n".join(text)


@click.command()
@click.argument("slopes", type=click.Path(exists=True, path_type=pathlib.Path))
def main(slopes: pathlib.Path) -> None:
    """Print the budget with default and with slower settings."""
    rows = json.loads(slopes.read_text().splitlines()[-1])
    slope = {row["name"]: row["value"] for row in rows}
    slower = Size(
        promise_renewal_ms=150.0,
        lease_renewal_ms=250.0,
        report_entries=64,
        report_interval_s=30.0,
        log_relayed_to_all=False,
    )
    small = slower._replace(servers_per_shard=4)
    sizes = {
        "A. Default timing, shards of 12 servers": Size(),
        "B. Slower renewals and reports, log relayed to promise groups only": slower,
        "C. As B with shards of 4 servers": small,
        "D. As C with promise groups of 3": small._replace(group=3),
    }
    for title, size in sizes.items():
        click.echo(render(title, size, lines_of(size, slope)) + "\n")


if __name__ == "__main__":
    main()
