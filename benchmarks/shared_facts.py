"""Count the messages by which VMs share the limits that instances name.

Plays the answers of limited instances on the boards of all VMs, without a network:
PYTHONPATH=src python benchmarks/shared_facts.py
"""

import heapq
import random
import time

import click

from wasabivalve import events, shared_facts, vm_link

DURATION_MS = 10_000.0
LATENCY_MS = 20.0
"""One-way latency between regions."""

ANSWERS_PER_S = 8.0
"""Answers of one limited instance."""

TICK_MS = 300.0


def play(vm_count: int, instance_count: int, seed: int) -> dict[str, float]:
    """Return the messages per second, their bytes and the time that a board needs."""
    generator = random.Random(seed)
    boards = [shared_facts.FactBoard() for _ in range(vm_count)]
    limits = [shared_facts.InstanceLimits(board) for board in boards]
    queue: list[tuple[float, int, list[shared_facts.Fact]]] = []
    rate_per_ms = instance_count * ANSWERS_PER_S / 1000.0
    now, next_answer_at, next_tick_at = 0.0, 0.0, TICK_MS
    messages = sent_bytes = deliveries = 0
    board_s = 0.0
    while now < DURATION_MS:
        now = min(next_answer_at, next_tick_at, queue[0][0] if queue else DURATION_MS)
        publishers: list[int] = []
        if now == next_answer_at:
            vm = generator.randrange(vm_count)
            limits[vm].on_answer(
                f"i-{generator.randrange(instance_count)}", 1, 5.0, now
            )
            publishers.append(vm)
            next_answer_at += generator.expovariate(rate_per_ms)
        if now == next_tick_at:
            for vm, board in enumerate(boards):
                board.tick(now)
                publishers.append(vm)
            next_tick_at += TICK_MS
        while queue and queue[0][0] <= now:
            _, _, facts = heapq.heappop(queue)
            started_at = time.perf_counter()
            for board in boards:
                board.receive(facts, now)
            board_s += time.perf_counter() - started_at
            deliveries += vm_count
        for vm in publishers:
            facts = boards[vm].take_unpublished(now)
            if facts:
                messages += 1
                sent_bytes += len(
                    vm_link.encode(vm_link.SharedFacts(f"vm-{vm}", facts))
                )
                heapq.heappush(queue, (now + LATENCY_MS, messages, facts))
    seconds = DURATION_MS / 1000.0
    return {
        "messages/s": messages / seconds,
        "bytes/s to each VM": sent_bytes / seconds,
        "bytes/s in the fleet": sent_bytes * (vm_count - 1) / seconds,
        "us for a message at a board": 1e6 * board_s / max(1, deliveries),
    }


@click.command()
@click.option("--seed", default=1)
def main(seed: int) -> None:
    """Print the cost for 9, 195 and 520 VMs."""
    events.configure("ERROR")
    for vm_count, instance_count in ((9, 8), (195, 72), (520, 190)):
        costs = play(vm_count, instance_count, seed)
        text = ", ".join(f"{name} {cost:,.1f}" for name, cost in costs.items())
        click.echo(f"{vm_count} VMs, {instance_count} limited instances: {text}")


if __name__ == "__main__":
    main()
