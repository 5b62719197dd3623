"""Derive the control cost of a node at 520 nodes from measured parameters.

Reads the output of benchmarks/capacity.py and prints the lines of the control budget.
"""

import json
import pathlib
from typing import NamedTuple

import click

CPU_BUDGET_MS_PER_S = 32.0
SENT_BUDGET_BYTES_PER_S = 8000.0


class Size(NamedTuple):
    """Set the size of the system and the settings on which the cost depends."""

    nodes: int = 520
    # In the ratio of twelve servers of partitioned services to nine VMs.
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


class CostLine(NamedTuple):
    """Give one line of the budget: processor ms/s, bytes sent per second, nodes."""

    name: str
    cpu_ms: float
    sent_bytes: float
    nodes: float


def compute_cost_lines(
    size: Size, parameter_by_name: dict[str, float]
) -> list[CostLine]:
    """Return the cost lines, each with the number of nodes that bear it."""
    message_end_us = parameter_by_name["bus_message_paced"] / 2
    overhead_bytes = (
        parameter_by_name["bus_framing_bytes"] + parameter_by_name["segment_bytes"]
    )

    def bus_cost(
        sent: float, received: float, payload_bytes: float
    ) -> tuple[float, float]:
        return (sent + received) * message_end_us / 1000, sent * (
            payload_bytes + overhead_bytes
        )

    shards = size.servers / size.servers_per_shard
    heartbeats = size.watchers * parameter_by_name["heartbeats_per_watcher"]
    promise_requests = (size.group - 1) * 1000 / size.promise_renewal_ms
    promise_replies = 1000 / size.promise_renewal_ms
    renewals = size.servers_per_shard * 1000 / size.lease_renewal_ms
    table_changes = size.servers * size.moves_per_minute_per_server / 60
    entry_bytes = parameter_by_name["owner_table_bytes_per_range"]
    change_bytes = (
        parameter_by_name["owner_table_of_one_range_bytes"]
        + size.entries_per_move * entry_bytes
    )
    range_count = size.servers_per_shard * size.ranges_per_server
    # Requests that one node sends to one shard in one reporting interval.
    requests_per_report = (
        size.requests_per_second / shards / size.nodes * size.report_interval_s
    )
    requests_per_plan = size.sampled_requests_per_server * size.servers_per_shard
    reporters = min(size.nodes, requests_per_plan / requests_per_report)
    # A range's count takes about 5 bytes in MessagePack.
    report_bytes = (
        parameter_by_name["sketch_bytes"] * size.report_entries / 256 + 5 * range_count
    )
    reports_per_s = shards * reporters / size.nodes / size.report_interval_s
    membership_us = 4 * (
        parameter_by_name["membership_interval@520"]
        + parameter_by_name["membership_read@520"]
    )
    plan_us = (
        parameter_by_name["plan@12"]
        * size.servers_per_shard
        / 12
        / size.report_interval_s
    )
    merge_us = (
        parameter_by_name["sketch_merge@65"] * reporters / 65 / size.report_interval_s
    )
    report_read_us = reporters / size.report_interval_s * message_end_us
    renewal_bytes = (
        parameter_by_name["renewal_request_bytes"] + parameter_by_name["segment_bytes"]
    )
    promise_granting_nodes = min(size.nodes, shards * (size.group - 1))
    return [
        CostLine(
            "heartbeats",
            *bus_cost(heartbeats, heartbeats, parameter_by_name["heartbeat_bytes"]),
            size.nodes,
        ),
        CostLine("membership view", membership_us / 1000, 0.0, size.nodes),
        CostLine(
            "owner table changes",
            *bus_cost(table_changes, table_changes, change_bytes),
            size.nodes,
        ),
        CostLine(
            "control log relay",
            *bus_cost(table_changes, table_changes, change_bytes),
            size.nodes if size.log_relayed_to_all else promise_granting_nodes,
        ),
        CostLine(
            "load reports", *bus_cost(reports_per_s, 0.0, report_bytes), size.nodes
        ),
        CostLine(
            "promise giver",
            *bus_cost(
                promise_replies,
                promise_replies,
                parameter_by_name["promise_reply_bytes"],
            ),
            promise_granting_nodes,
        ),
        CostLine(
            "promise asker",
            *bus_cost(
                promise_requests,
                promise_requests,
                parameter_by_name["promise_request_bytes"],
            ),
            shards,
        ),
        CostLine(
            "lease renewal",
            renewals * parameter_by_name["renewal_cost"] / 1000,
            renewals * renewal_bytes,
            shards,
        ),
        CostLine(
            "plan and merge",
            (plan_us + merge_us + report_read_us) / 1000,
            0.0,
            shards,
        ),
    ]


def render(title: str, size: Size, lines: list[CostLine]) -> str:
    """Return a table of the lines with sums for ordinary, busiest and mean node."""
    table_lines = [
        f"### {title}",
        "",
        f"`{size}`",
        "",
        "| line | CPU ms/s | bytes sent/s | nodes that bear it |",
        "|---|---|---|---|",
    ]
    table_lines += [
        f"| {row.name} | {row.cpu_ms:.2f} | {row.sent_bytes:.0f} | {row.nodes:.0f} |"
        for row in lines
    ]
    ordinary_lines = [line for line in lines if line.nodes == size.nodes]
    for name, chosen in (("ordinary node", ordinary_lines), ("busiest node", lines)):
        cpu_ms = sum(line.cpu_ms for line in chosen)
        sent_bytes = sum(line.sent_bytes for line in chosen)
        table_lines.append(
            f"| **{name}** | **{cpu_ms:.1f}** | **{sent_bytes:.0f}** | |"
        )
    cpu_ms = sum(line.cpu_ms * line.nodes for line in lines) / size.nodes
    sent_bytes = sum(line.sent_bytes * line.nodes for line in lines) / size.nodes
    table_lines.append(
        f"| **mean of all nodes** | **{cpu_ms:.1f}** | **{sent_bytes:.0f}** | |"
    )
    table_lines.append(
        f"| budget | {CPU_BUDGET_MS_PER_S:.0f} | {SENT_BUDGET_BYTES_PER_S:.0f} | |"
    )
    return "\n".join(table_lines)


@click.command()
@click.argument("slopes", type=click.Path(exists=True, path_type=pathlib.Path))
def main(slopes: pathlib.Path) -> None:
    """Print the budget with default and with slower settings."""
    rows = json.loads(slopes.read_text().splitlines()[-1])
    parameter_by_name = {row["name"]: row["value"] for row in rows}
    slower = Size(
        promise_renewal_ms=150.0,
        lease_renewal_ms=250.0,
        report_entries=64,
        report_interval_s=30.0,
        log_relayed_to_all=False,
    )
    small_shard_settings = slower._replace(servers_per_shard=4)
    sizes = {
        "A. Default timing, shards of 12 servers": Size(),
        "B. Slower renewals and reports, log relayed to promise groups only": slower,
        "C. As B with shards of 4 servers": small_shard_settings,
        "D. As C with promise groups of 3": small_shard_settings._replace(group=3),
    }
    for title, size in sizes.items():
        click.echo(
            render(title, size, compute_cost_lines(size, parameter_by_name)) + "\n"
        )


if __name__ == "__main__":
    main()
