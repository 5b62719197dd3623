"""Test concurrent writes of several operators over a log that loses responses.

No write may be lost or take effect twice, and one revision may have one winner only.
"""

import collections
import functools
import itertools
import random
import threading
from typing import Any

import pytest

from wasabivalve import platform_log, resources
from wasabivalve.resources import publishing

OPERATORS = 8
WRITES = 1_000
RANKS = 4
KEY_BY_OPERATOR = {f"operator-{n}": f"{n + 1:02x}" * 32 for n in range(OPERATORS)}
KEYS = resources.OperatorKeys(KEY_BY_OPERATOR)


class SerializedLog:
    """Run the calls of several threads one at a time, in a seeded random order.

    An append takes effect immediately, later or never; its response may be lost.
    """

    def __init__(self, seed, participants, loss_probability=0.4):
        self.records: list[dict[str, Any]] = []
        self.outcomes = collections.Counter()
        self._random = random.Random(seed)
        self._loss_probability = loss_probability
        self._delayed_batches: list[list[dict[str, Any]]] = []
        self._condition = threading.Condition()
        self._participants = participants
        self._waiting_callers: set[str] = set()
        self._next_caller = None

    def leave(self):
        with self._condition:
            self._participants -= 1
            self._choose_next()

    def append(self, stream, records):
        return self._wait_and_call(functools.partial(self._append, list(records)))

    def read(self, stream, offset, wait_ms=0.0, limit=1000):
        return self._wait_and_call(functools.partial(self._read, offset))

    def _choose_next(self):
        if (
            self._next_caller is None
            and len(self._waiting_callers) == self._participants
            and self._participants
        ):
            self._next_caller = self._random.choice(sorted(self._waiting_callers))
            self._condition.notify_all()

    def _wait_and_call(self, call):
        name = threading.current_thread().name
        with self._condition:
            self._waiting_callers.add(name)
            self._choose_next()
            while self._next_caller != name:
                self._condition.wait()
            self._next_caller = None
            self._waiting_callers.remove(name)
            if self._delayed_batches and self._random.random() < 0.2:
                self.records += self._delayed_batches.pop(0)
            return call()

    def _append(self, records):
        if self._random.random() >= self._loss_probability:
            self.records += records
            return platform_log.Appended(len(self.records) - len(records))
        outcome = self._random.choice(["after", "before", "late", "unavailable"])
        self.outcomes[outcome] += 1
        if outcome == "after":
            self.records += records
        if outcome == "late":
            self._delayed_batches.append(records)
        if outcome == "unavailable":
            return platform_log.LogUnavailable("down")
        return platform_log.AppendUnknown("response lost")

    def _read(self, offset):
        if self._random.random() < self._loss_probability / 8:
            return platform_log.LogUnavailable("down")
        rows = enumerate(self.records[offset:], start=offset)
        found = tuple(platform_log.LoggedRecord(*row) for row in rows)
        return platform_log.ReadBatch(found, offset + len(found), 0)


def spec(number, index):
    return {"order": index, "floor": 0.1, "target_ms": number, "objective": 0.9}


def run_operator(log, name, numbers, seed, verdicts, publish):
    generator, ids, ticks = random.Random(seed), itertools.count(), itertools.count()
    author = publishing.Author(
        name, KEY_BY_OPERATOR[name], lambda: f"{name}-{next(ids)}", lambda: "now"
    )
    timing = publishing.AppendTiming(
        timeout_ms=40.0,
        clock=lambda: next(ticks) / 1_000,
        sleep=lambda seconds: None,
        generator=generator,
    )
    current = resources.CurrentConfiguration(resources.EMPTY_CONFIGURATION)
    try:
        for number in numbers:
            after = resources.read_to_end(log, current, KEYS)
            if isinstance(after, resources.CurrentConfiguration):
                current = after
            index = generator.randrange(RANKS)
            change = resources.ResourceChange(
                "traffic_rank", f"rank-{index}", spec(number, index)
            )
            found = publish(log, [change], current, author, KEYS, timing=timing)
            current = found.current
            verdicts += found.verdicts
    finally:
        log.leave()


@functools.cache
def run_race(seed, publish=resources.publish):
    log, verdicts, threads = SerializedLog(seed, OPERATORS), [], []
    share = WRITES // OPERATORS
    for index, name in enumerate(KEY_BY_OPERATOR):
        numbers = range(1 + index * share, 1 + (index + 1) * share)
        arguments = (log, name, numbers, seed * 100 + index, verdicts, publish)
        threads.append(threading.Thread(target=run_operator, args=arguments, name=name))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return log, verdicts


def accepted_entries(records, apply):
    state, found = resources.EMPTY_CONFIGURATION, []
    for offset, record in enumerate(records):
        applied = apply(state, offset, record, KEY_BY_OPERATOR)
        state = applied.state
        if applied.accepted:
            found.append((offset, record))
    return found


def check_log(records, verdicts, apply=resources.apply):
    """Return the violations found on the log, checked independently of the replay."""
    problems, revision_by_name, accepted_count = [], {}, collections.Counter()
    accepted = accepted_entries(records, apply)
    for offset, record in accepted:
        name = record["name"]
        if record["expected_revision"] != revision_by_name.get(name, 0):
            problems.append(f"two winners: {name} at {offset}")
        revision_by_name[name] = offset
        accepted_count[record["spec"]["target_ms"]] += 1
    problems += [f"repeated: {n} {c} times" for n, c in accepted_count.items() if c > 1]
    for verdict in verdicts:
        number = verdict.change.spec["target_ms"]
        if isinstance(verdict, publishing.Accepted) and not accepted_count[number]:
            problems.append(f"lost: {number}")
        if isinstance(verdict, publishing.Refused) and accepted_count[number]:
            problems.append(f"refused but in effect: {number}")
    return problems


@pytest.mark.parametrize("seed", [1, 2])
def test_eight_operators_and_a_thousand_writes_with_lost_responses(seed):
    log, verdicts = run_race(seed)
    kinds = collections.Counter(type(verdict).__name__ for verdict in verdicts)
    assert check_log(log.records, verdicts) == []
    assert sum(kinds.values()) == WRITES
    assert all(log.outcomes[kind] > 20 for kind in ("after", "before", "late"))
    assert kinds["Accepted"] > 100
    assert kinds["Refused"] > 100


def publish_with_new_record_ids(log, changes, current, author, keys, timing):
    """Repeat a lost append with new record ids, which is a deliberate fault."""
    while True:
        sent, decided = publishing.filter_changes(changes, current.state)
        records = [dict(publishing._build_write(change, author)) for change in sent]
        result = log.append("configuration", records)
        after = resources.read_to_end(log, current, keys)
        current = (
            after if isinstance(after, resources.CurrentConfiguration) else current
        )
        changes = [change._replace(expected_revision=None) for change in changes]
        if isinstance(result, platform_log.Appended):
            verdicts = [publishing.Accepted(c, "", result.first_offset) for c in sent]
            return publishing.PublishResult((*decided, *verdicts), current)


def apply_any_revision(state, offset, record, keys):
    """Accept a write with any expected revision, which is a deliberate fault."""
    applied = resources.apply(state, offset, record, keys)
    accepted = record.get("kind") == "resource_write"
    return resources.ConfigurationRecordResult(applied.state, accepted, "")


def test_the_checker_finds_repeated_writes():
    """Guards against a `check_log` that passes a known fault."""
    log, verdicts = run_race(1, publish_with_new_record_ids)
    problems = check_log(log.records, verdicts)
    assert any(problem.startswith("lost") for problem in problems)
    assert any(problem.startswith("repeated") for problem in problems)


def test_the_checker_finds_two_winners():
    """Guards against a `check_log` that passes a known fault."""
    log, verdicts = run_race(1)
    problems = check_log(log.records, verdicts, apply_any_revision)
    assert any(problem.startswith("two winners") for problem in problems)
