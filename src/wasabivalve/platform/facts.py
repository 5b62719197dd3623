"""Share facts with the other VMs by datagrams; lasting ones stay in the store."""

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence

import msgspec

from wasabivalve import events, shared_facts, supervision, untrusted_data
from wasabivalve.keyed_log import core as keyed_log
from wasabivalve.shared_facts import crash_evidence

from . import store

FACTS_TOPIC = "keyed.wasabivalve.facts"

PUBLICATION_DELAY_S = 0.01
"""Time for which facts of one moment are collected into one message."""

APPEND_RETRY_INTERVAL_S = 0.5

LASTING_KINDS = frozenset((shared_facts.FactKind.CRASH,))
"""Kinds of facts that must survive the loss of all VMs."""

LASTING_COUNT = 2
"""Ended incarnations from which on a request is recorded in the store.

Most requests at which one ended are answered elsewhere a moment later.
"""

SECOND_MS = 1000.0


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """Hold the facts about one subject as they were at a Unix time in ms."""

    written_at: float
    facts: list[shared_facts.Fact]


class FactSharing:
    """Publish the facts that this VM observes, and record those of the others."""

    def __init__(
        self,
        store_client: store.StoreClient,
        broadcast: Callable[[Sequence[shared_facts.Fact]], None],
        is_controller: Callable[[], bool],
        on_news: Callable[[Sequence[shared_facts.Fact]], None],
        next_offset: Callable[[], int | None],
    ) -> None:
        self.board = shared_facts.FactBoard(self._on_unpublished)
        self._store_client = store_client
        self._broadcast = broadcast
        self._is_controller = is_controller
        self._on_news = on_news
        self._next_offset = next_offset
        self._loop = asyncio.get_running_loop()
        self._publication: asyncio.TimerHandle | None = None
        self._value_by_member_by_recorded: dict[str, dict[str, float]] = {}
        self._unrecorded: set[str] = set()
        self._append_task: asyncio.Task[None] | None = None

    def on_new_era(self) -> None:
        """Count no fact as recorded, as the store may have lost it.

        What a listing brings counts again; the controller records the rest.
        """
        for subject in self._value_by_member_by_recorded:
            self._value_by_member_by_recorded[subject] = {}

    def close(self) -> None:
        """Stop publishing."""
        if self._publication is not None:
            self._publication.cancel()
        if self._append_task is not None:
            self._append_task.cancel()

    def tick(self) -> None:
        """Send news again, drop expired facts, and correct the records of the store.

        A VM that had not heard of a fact may have written over its record.
        """
        self.board.tick(self._now_ms())
        if self._is_controller():
            self._record(list(self._value_by_member_by_recorded))

    async def claim_trial(self, fingerprint: str, member: str) -> bool:
        """Record the trial of a request if no other VM has recorded anything since."""
        offset, era = self._next_offset(), self._store_client.era.newest
        if offset is None:
            return False
        crash = shared_facts.FactKind.CRASH
        running = float(crash_evidence.TrialState.RUNNING)
        trial = shared_facts.Fact(crash, fingerprint, member, running, 0.0)
        known = [fact for fact in self._known(fingerprint) if fact.member != member]
        data = _encode([*known, trial])
        result = await self._store_client.append(
            FACTS_TOPIC, fingerprint, data, offset, era
        )
        if result != "done":
            return False
        self.board.observe(crash, fingerprint, member, running, self._now_ms())
        return True

    def on_facts(self, facts: Sequence[shared_facts.Fact]) -> None:
        """Record facts that another VM has sent."""
        self._receive(facts, "datagram")

    def on_listing(self, records: Sequence[keyed_log.Record]) -> None:
        """Record the facts of a listing of the topic."""
        keyed_log.handle_each(FACTS_TOPIC, records, self.on_record)

    def on_record(self, record: keyed_log.Record) -> None:
        """Record the facts of one record; log one that can't be decoded."""
        if record.value is None:
            self._value_by_member_by_recorded.pop(record.key, None)
            return
        try:
            decoded = untrusted_data.decode_msgpack(record.value, _Record)
        except untrusted_data.UndecodableError as error:
            events.emit(203, topic=FACTS_TOPIC, offset=record.offset, error=str(error))
            return
        self._value_by_member_by_recorded[record.key] = {
            fact.member: fact.value for fact in decoded.facts
        }
        # The clocks of two VMs may differ by seconds, facts bind for minutes.
        age_ms = max(0.0, SECOND_MS * time.time() - decoded.written_at)
        facts = [
            msgspec.structs.replace(fact, age_ms=fact.age_ms + age_ms)
            for fact in decoded.facts
        ]
        self._receive(facts, "store")

    def _on_unpublished(self) -> None:
        if self._publication is None:
            self._publication = self._loop.call_later(
                PUBLICATION_DELAY_S, self._publish
            )

    def _publish(self) -> None:
        self._publication = None
        facts = self.board.take_unpublished(self._now_ms())
        self._broadcast(facts)
        lasting = [
            fact
            for fact in facts
            if fact.kind in LASTING_KINDS
            and (
                crash_evidence.count_incarnations(self._known(fact.subject))
                >= LASTING_COUNT
                or fact.subject in self._value_by_member_by_recorded
            )
        ]
        for fact in lasting:
            if fact.member == crash_evidence.ANSWERED_MEMBER:
                # Its value stays the same, and its time is what matters.
                self._value_by_member_by_recorded.pop(fact.subject, None)
        self._record(fact.subject for fact in lasting)

    def _known(self, subject: str) -> list[shared_facts.Fact]:
        kind = shared_facts.FactKind.CRASH
        return self.board.facts(kind, subject, self._now_ms())

    def _record(self, subjects: Iterable[str]) -> None:
        """Append subjects whose recorded facts differ from the known ones."""
        for subject in subjects:
            known = {fact.member: fact.value for fact in self._known(subject)}
            if self._value_by_member_by_recorded.get(subject) != known:
                self._unrecorded.add(subject)
        if self._unrecorded and self._append_task is None:
            self._append_task = self._loop.create_task(self._append())
            self._append_task.add_done_callback(self._on_appended)

    def _on_appended(self, task: asyncio.Task[None]) -> None:
        """Let the next tick append again what an unexpected error has left."""
        self._append_task = None
        supervision.log_task_error("record of facts", task)

    async def _append(self) -> None:
        """Append until the store has confirmed all subjects."""
        while self._unrecorded:
            subject = self._unrecorded.pop()
            facts = self._known(subject)
            data = None
            if facts:
                data = _encode(facts)
            result = await self._store_client.append(FACTS_TOPIC, subject, data)
            if result == "done":
                self._value_by_member_by_recorded[subject] = {
                    fact.member: fact.value for fact in facts
                }
                if not facts:
                    del self._value_by_member_by_recorded[subject]
            else:
                self._unrecorded.add(subject)
                await asyncio.sleep(APPEND_RETRY_INTERVAL_S)

    def _receive(self, facts: Sequence[shared_facts.Fact], source: str) -> None:
        news = self.board.receive(facts, self._now_ms())
        for fact in news:
            self._log(fact, source)
        if news:
            self._on_news(news)

    def _log(self, fact: shared_facts.Fact, source: str) -> None:
        events.emit(
            107,
            kind=fact.kind.name.lower(),
            subject=fact.subject,
            member=fact.member,
            value=fact.value,
            age_ms=round(fact.age_ms),
            source=source,
        )

    def _now_ms(self) -> float:
        return SECOND_MS * self._loop.time()


def _encode(facts: list[shared_facts.Fact]) -> bytes:
    return msgspec.msgpack.encode(_Record(SECOND_MS * time.time(), facts))
