"""Guard against lost, repeated and double-winning writes of racing operators."""

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


class TurnLog:
    """Serve one call at a time, in an order drawn by a seeded generator.

    Appends take effect at once, late or never, and their responses may be lost.
    """

    def __init__(self, seed, participants, loss=0.4):
        self.records: list[dict[str, Any]] = []
        self.outcomes = collections.Counter()
        self._random = random.Random(seed)
        self._loss = loss
        self._delayed: list[list[dict[str, Any]]] = []
        self._condition = threading.Condition()
        self._left = participants
        self._waiting: set[str] = set()
        self._turn = None

    def leave(self):
        with self._condition:
            self._left -= 1
            self._choose()

    def append(self, stream, records):
        return self._take_turn(functools.partial(self._append, list(records)))

    def read(self, stream, offset, wait_ms=0.0, limit=1000):
        return self._take_turn(functools.partial(self._read, offset))

    def _choose(self):
        if self._turn is None and len(self._waiting) == self._left and self._left:
            self._turn = self._random.choice(sorted(self._waiting))
            self._condition.notify_all()

    def _take_turn(self, call):
        name = threading.current_thread().name
        with self._condition:
            self._waiting.add(name)
            self._choose()
            while self._turn != name:
                self._condition.wait()
            self._turn = None
            self._waiting.remove(name)
            if self._delayed and self._random.random() < 0.2:
                self.records += self._delayed.pop(0)
            return call()

    def _append(self, records):
        if self._random.random() >= self._loss:
            self.records += records
            return platform_log.Appended(len(self.records) - len(records))
        outcome = self._random.choice(["after", "before", "late", "unavailable"])
        self.outcomes[outcome] += 1
        if outcome == "after":
            self.records += records
        if outcome == "late":
            self._delayed.append(records)
        if outcome == "unavailable":
            return platform_log.LogUnavailable("down")
        return platform_log.AppendUnknown("response lost")

    def _read(self, offset):
        if self._random.random() < self._loss / 8:
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
def race(seed, publish=resources.publish):
    log, verdicts, threads = TurnLog(seed, OPERATORS), [], []
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
    """Return what is wrong on the log, judged without the replay's own rules."""
    problems, present, seen = [], {}, collections.Counter()
    accepted = accepted_entries(records, apply)
    for offset, record in accepted:
        name = record["name"]
        if record["expected_revision"] != present.get(name, 0):
            problems.append(f"two winners: {name} at {offset}")
        present[name] = offset
        seen[record["spec"]["target_ms"]] += 1
    problems += [f"repeated: {n} {c} times" for n, c in seen.items() if c > 1]
    for verdict in verdicts:
        number = verdict.change.spec["target_ms"]
        if isinstance(verdict, publishing.Accepted) and not seen[number]:
            problems.append(f"lost: {number}")
        if isinstance(verdict, publishing.Refused) and seen[number]:
            problems.append(f"refused but in effect: {number}")
    return problems


@pytest.mark.parametrize("seed", [1, 2])
def test_eight_operators_and_a_thousand_writes_with_lost_responses(seed):
    log, verdicts = race(seed)
    kinds = collections.Counter(type(verdict).__name__ for verdict in verdicts)
    assert check_log(log.records, verdicts) == []
    assert sum(kinds.values()) == WRITES
    assert all(log.outcomes[kind] > 20 for kind in ("after", "before", "late"))
    assert kinds["Accepted"] > 100
    assert kinds["Refused"] > 100


def publish_blindly(log, changes, current, author, keys, timing):
    """Repeat a lost append under a new record id, which is the planted fault."""
    while True:
        sent, decided = publishing.filter_changes(changes, current.state)
        records = [dict(publishing._record(change, author)) for change in sent]
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
    """Accept a write whatever its expected revision, which is the planted fault."""
    applied = resources.apply(state, offset, record, keys)
    accepted = record.get("kind") == "resource_write"
    return resources.ConfigurationRecordResult(applied.state, accepted, "")


def test_the_checker_finds_blind_repetition():
    """A checker that passes a known fault would prove nothing."""
    log, verdicts = race(1, publish_blindly)
    problems = check_log(log.records, verdicts)
    assert any(problem.startswith("lost") for problem in problems)
    assert any(problem.startswith("repeated") for problem in problems)


def test_the_checker_finds_two_winners():
    """A checker that passes a known fault would prove nothing."""
    log, verdicts = race(1)
    problems = check_log(log.records, verdicts, apply_any_revision)
    assert any(problem.startswith("two winners") for problem in problems)
