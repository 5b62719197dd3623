"""Measure the memory of idempotency records: ``holder_memory.py [--keys N]``."""

import argparse
import json
import random
import tracemalloc
import uuid

from wasabivalve import deduplication, outcomes

WALL_MS = 1_700_000_000_000.0


def main() -> None:
    """Print the bytes per key with a running attempt and with an answer."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, default=20_000)
    parser.add_argument("--body-bytes", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(json.dumps(measure(arguments.keys, arguments.body_bytes, arguments.seed)))


def measure(count: int, body_bytes: int, seed: int) -> dict[str, float]:
    """Return the traced bytes per key of a table filled with this many keys."""
    generator = random.Random(seed)
    table = deduplication.IdempotencyTable()
    table.tick(WALL_MS)
    tracemalloc.start()
    keys = []
    for number in range(count):
        now = 4_000.0 + number / count
        key = _key(int(WALL_MS + now), generator)
        attempt = f"{generator.getrandbits(64):016x}"
        digest = f"{generator.getrandbits(256):064x}"
        sent_at = deduplication.uuid7_time_ms(key)
        assert sent_at is not None
        reply = table.reserve(
            key, digest, sent_at, "entry-2", WALL_MS + now, now, attempt=attempt
        )
        assert reply["outcome"] == "reserved", reply
        keys.append((key, attempt))
    reserved = tracemalloc.get_traced_memory()[0]
    for key, attempt in keys:
        headers = (("content-type", "application/json"), ("request-id", key))
        done = outcomes.Done(201, headers, generator.randbytes(body_bytes))
        answer = deduplication.answer_of_outcome(done)
        assert table.record_answer(key, "entry-2", attempt, answer)
    answered = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # The benchmark's own list holds one tuple and one pointer per key.
    own = 56 + 8
    return {
        "keys": count,
        "bytes_per_reserved_key": round(reserved / count - own, 1),
        "bytes_per_answered_key": round(answered / count - own, 1),
        "body_bytes": body_bytes,
    }


def _key(time_ms: int, generator: random.Random) -> str:
    low = generator.getrandbits(74)
    value = (time_ms << 80) | (7 << 76) | ((low >> 62) << 64)
    return str(uuid.UUID(int=value | (2 << 62) | (low & ((1 << 62) - 1))))


if __name__ == "__main__":
    main()
