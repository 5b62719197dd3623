"""Choose the changes of promise groups and terms that the log should contain."""

from collections.abc import Sequence

from ..schema import records_generated
from . import replay

GROUP_SIZE = 5
# Positions per VM in a term, so that a log outage outlasts several successions.
ROUNDS = 4


def group_change(
    record_id: str,
    shard: str,
    state: replay.Shard,
    vm: str,
    vms: Sequence[str],
    endorsements: list[records_generated.Endorsement],
) -> records_generated.GroupChange | None:
    """Return the next change towards a full group of live VMs, or None."""
    lost = [name for name in state.group if name not in vms and name != vm]
    missing = [name for name in vms if name not in state.group]
    added: list[str] = []
    removed: list[str] = []
    if not state.group:
        added = [vm]
    elif missing and len(state.group) < GROUP_SIZE:
        added = missing[:1]
    elif lost and (missing or len(state.group) > GROUP_SIZE):
        removed = lost[:1]
    else:
        return None
    return {
        "kind": "group_change",
        "record_id": record_id,
        "shard": shard,
        "group_revision": state.group_revision,
        "add": added,
        "remove": removed,
        "endorsements": endorsements,
    }


def group_reset(
    record_id: str, shard: str, state: replay.Shard, vms: Sequence[str]
) -> records_generated.GroupReset:
    """Return the record that replaces a group without a majority."""
    return {
        "kind": "group_reset",
        "record_id": record_id,
        "shard": shard,
        "group_revision": state.group_revision,
        "vms": list(vms[:GROUP_SIZE]),
    }


def has_lost_majority(state: replay.Shard, vms: Sequence[str]) -> bool:
    """Return whether too few VMs of the group are listed as live."""
    live = [name for name in state.group if name in vms]
    return bool(state.group) and len(live) < state.majority


def successors(state: replay.Shard, vm: str, vms: Sequence[str]) -> list[str]:
    """Return the controllers of a new term, this VM first."""
    members = [name for name in vms if name in state.group and name != vm]
    wanted = [name for name in vms if name not in state.group]
    line = [vm, *members, *wanted][:GROUP_SIZE]
    return line * ROUNDS


def term_claim(
    record_id: str,
    shard: str,
    state: replay.Shard,
    controllers: list[str],
    endorsements: list[records_generated.Endorsement],
    reset_is_over: bool,
) -> records_generated.TermClaim:
    """Return the record that starts a new term."""
    return {
        "kind": "term_claim",
        "record_id": record_id,
        "shard": shard,
        "previous_term": state.term,
        "group_revision": state.group_revision,
        "controllers": controllers,
        "endorsements": endorsements,
        "reset_is_over": reset_is_over,
    }
