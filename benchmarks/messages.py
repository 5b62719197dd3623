"""Build sample messages of realistic size for capacity.py and transport.py."""

from typing import Any

from wasabivalve.schema import messages_generated as generated

UUID = "0192d3c4-5e6f-7a8b-9c0d-1e2f3a4b5c6d"
SHARD = "slotbook/17"
VM = "khomas-a-vm-117"
TOKEN: generated.Token = {"term": 48_211_377, "position": 1, "step": 9_144}
LARGE_TABLE_ENTRIES = 769
TABLE_TYPE = generated.OwnerTable

SAMPLE_BY_NAME: dict[str, tuple[Any, Any]] = {
    "heartbeat": (
        generated.Heartbeat,
        {
            "vm": VM,
            "incarnation": UUID,
            "sequence": 4_711_223,
            "configuration_revision": 481_223,
            "control_offset": 48_211_399,
            "draining": False,
        },
    ),
    "probe": (
        generated.Probe,
        {"vm": VM, "target": "erongo-b-vm-301", "sequence": 70_211},
    ),
    "probe_reply": (
        generated.ProbeReply,
        {"target": "erongo-b-vm-301", "sequence": 70_211, "alive": True},
    ),
    "promise_request": (
        generated.PromiseRequest,
        {
            "shard": SHARD,
            "vm": VM,
            "group_revision": 48_100_223,
            "term": 48_211_377,
            "position": 1,
            "sent_at": 1_234_567_890.123,
            "claim": False,
        },
    ),
    "promise_reply": (
        generated.PromiseReply,
        {
            "shard": SHARD,
            "vm": VM,
            "granted": True,
            "sent_at": 1_234_567_890.123,
            "group_revision": 48_100_223,
            "term": 48_211_377,
            "position": 1,
            "reason": "",
        },
    ),
    "permit_request": (
        generated.PermitRequest,
        {
            "permit_id": UUID,
            "service": "slotbook",
            "instance": "slotbook-117",
            "rank": "interactive",
            "deadline_ms": 1_234_567_890.123,
            "body_bytes": 812,
            "alone": False,
        },
    ),
    "permit_reply": (
        generated.PermitReply,
        {"permit_id": UUID, "granted": True, "reason": "", "retry_after_ms": 0.0},
    ),
    "permit_release": (
        generated.PermitRelease,
        {
            "permit_id": UUID,
            "instance": "slotbook-117",
            "duration_ms": 7.251,
            "outcome": "done",
        },
    ),
    "reserve_request": (
        generated.ReserveRequest,
        {
            "key": UUID,
            "body_digest": "0123456789abcdef0123456789abcdef",
            "first_sent_at_ms": 1_764_800_000_000.0,
            "vm": VM,
        },
    ),
    "reserve_reply": (
        generated.ReserveReply,
        {"key": UUID, "outcome": "reserved"},
    ),
    "record_answer": (
        generated.RecordAnswer,
        {
            "key": UUID,
            "vm": VM,
            "answer": {
                "outcome": "done",
                "status": 200,
                "headers": [["Content-Type", "application/json"]],
                "body": bytes(512),
                "reason": "",
            },
        },
    ),
}


def _owner_table(range_count: int, exception_count: int) -> generated.OwnerTable:
    range_width = (1 << 64) // max(range_count, 1)
    return {
        "shard": SHARD,
        "generation": TOKEN,
        "ranges": [
            {
                "start": index * range_width,
                "end": (index + 1) * range_width - 1,
                "server": f"slotbook-{index % 12}",
                "token": TOKEN,
            }
            for index in range(range_count)
        ],
        "exceptions": [
            {"key": f"lodge-{index}", "server": "slotbook-7", "token": TOKEN}
            for index in range(exception_count)
        ],
        "provisional": False,
    }


TABLES_BY_ENTRY_KIND = {
    "range": (_owner_table(1, 0), _owner_table(LARGE_TABLE_ENTRIES, 0)),
    "exception": (_owner_table(0, 1), _owner_table(0, LARGE_TABLE_ENTRIES)),
}
SAMPLE_BY_NAME["owner_table_of_one_range"] = (generated.OwnerTable, _owner_table(1, 0))
