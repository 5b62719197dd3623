"""Measure the memory of idempotency records: ``holder_memory.py [--keys N]``."""

import argparse
import json
import random
import tracemalloc
import uuid

from wasabivalve import deduplication, outcomes

START_TIME_MS = 1_700_000_000_000.0


def main() -> None:
    """Print the bytes per key with a reservation and with a recorded answer."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, default=20_000)
    parser.add_argument("--body-bytes", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(json.dumps(measure(arguments.keys, arguments.body_bytes, arguments.seed)))


def measure(key_count: int, body_bytes: int, seed: int) -> dict[str, float]:
    """Return the traced bytes per key of a table that holds ``key_count`` keys."""
    generator = random.Random(seed)
    table = deduplication.IdempotencyTable()
    table.tick(START_TIME_MS)
    tracemalloc.start()
    keys = []
    for index in range(key_count):
        elapsed_ms = 4_000.0 + index / key_count
        key = _make_uuid7(int(START_TIME_MS + elapsed_ms), generator)
        attempt = f"{generator.getrandbits(64):016x}"
        digest = f"{generator.getrandbits(256):064x}"
        sent_at_ms = deduplication.uuid7_time_ms(key)
        assert sent_at_ms is not None
        reply = table.reserve(
            key,
            digest,
            sent_at_ms,
            "entry-2",
            START_TIME_MS + elapsed_ms,
            elapsed_ms,
            attempt=attempt,
        )
        assert reply["outcome"] == "reserved", reply
        keys.append((key, attempt))
    reserved_bytes = tracemalloc.get_traced_memory()[0]
    for key, attempt in keys:
        headers = (("content-type", "application/json"), ("request-id", key))
        done = outcomes.Done(201, headers, generator.randbytes(body_bytes))
        answer = deduplication.answer_of_outcome(done)
        assert table.record_answer(key, "entry-2", attempt, answer)
    answered_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # The list ``keys`` holds a tuple of 56 bytes and a pointer of 8 bytes per key.
    benchmark_bytes_per_key = 56 + 8
    return {
        "keys": key_count,
        "bytes_per_reserved_key": round(
            reserved_bytes / key_count - benchmark_bytes_per_key, 1
        ),
        "bytes_per_answered_key": round(
            answered_bytes / key_count - benchmark_bytes_per_key, 1
        ),
        "body_bytes": body_bytes,
    }


def _make_uuid7(time_ms: int, generator: random.Random) -> str:
    random_bits = generator.getrandbits(74)
    value = (time_ms << 80) | (7 << 76) | ((random_bits >> 62) << 64)
    return str(uuid.UUID(int=value | (2 << 62) | (random_bits & ((1 << 62) - 1))))


if __name__ == "__main__":
    main()
