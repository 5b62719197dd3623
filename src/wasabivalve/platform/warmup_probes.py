"""Ask instances that answer again whether they have become cold."""

import asyncio
from collections.abc import Callable

from wasabivalve import ramp_up, shared_facts, supervision
from wasabivalve.desired_state import core as desired_state
from wasabivalve.placement import core as placement

from . import grants

MIN_INTERVAL_S = 2.0
"""Least time between two probes of an instance; each one is billed."""

PROBE_TIMEOUT_MS = 500.0

MAX_INSTANCES = 10_000
"""Instances whose latest probe is stored."""

SECOND_MS = 1000.0


def create_limits(
    board: shared_facts.FactBoard,
    find_service: Callable[[str], desired_state.ServiceConfig | None],
    bounds: ramp_up.WarmupBounds | None,
    client: grants.GrantClient,
) -> ramp_up.PacedLimits:
    """Return the limits of a VM, which probe each instance that answers again.

    Its registry entry may say later, or not while the store is away, that it is cold.
    """
    loop = asyncio.get_running_loop()
    probed_at_by_id: dict[str, float] = {}
    tasks: set[asyncio.Task[None]] = set()

    async def probe(instance: placement.RegisteredInstance) -> None:
        left_ms = await client.warmup_left_ms(instance, PROBE_TIMEOUT_MS)
        limits.on_warmup_report(instance, left_ms, SECOND_MS * loop.time())

    def on_probed(task: asyncio.Task[None]) -> None:
        tasks.discard(task)
        supervision.log_task_error("warm-up probe", task)

    def on_recovered(instance: placement.RegisteredInstance) -> None:
        now = loop.time()
        if now < probed_at_by_id.get(instance.id, -MIN_INTERVAL_S) + MIN_INTERVAL_S:
            return
        if len(probed_at_by_id) >= MAX_INSTANCES:
            probed_at_by_id.clear()
        probed_at_by_id[instance.id] = now
        task = loop.create_task(probe(instance))
        tasks.add(task)
        task.add_done_callback(on_probed)

    limits = ramp_up.PacedLimits(board, find_service, bounds, on_recovered=on_recovered)
    return limits
