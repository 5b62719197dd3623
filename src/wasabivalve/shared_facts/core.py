"""Hold facts that one VM learns and that bind all of them.

Facts reach the other VMs as datagrams, which may be lost, and those that must survive
all VMs through a topic of the store. The newest observation of a fact wins on every
path, so that copies may arrive late, twice and in any order.
"""

import enum
import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

MAX_SUBJECTS_PER_KIND = 10_000
"""Subjects of one kind; beyond it the oldest one is dropped."""

RESEND_AFTER_MS = (300.0, 1_000.0)
"""Times after the first publication of a fact at which it is published again.

A datagram may be lost, and a VM that was separated for a moment hears the later ones.
"""


EXPIRY_INTERVAL_MS = 5_000.0
"""Interval of looking for expired facts, as that goes through all of them."""


class FactKind(enum.IntEnum):
    """Say what a fact is about.

    ``CRASH``: evidence about the request with the fingerprint ``subject``, see
    ``crash_evidence``. ``LIMIT``: the incarnation ``subject`` takes
    ``value`` requests per second from all VMs; a negative value ends that. ``LEAVING``:
    the incarnation ``subject`` leaves. ``GRANTS``: the VM ``member`` grants slots at
    the limited incarnation ``subject``. ``COLD``: the incarnation ``subject`` stays
    cold for ``value`` ms. ``PACE``: the dispatcher has found that it sustains ``value``
    requests per second from all VMs.
    """

    CRASH = 1
    LIMIT = 2
    LEAVING = 3
    GRANTS = 4
    COLD = 5
    PACE = 6


VALIDITY_MS_BY_KIND: Mapping[FactKind, float] = {
    FactKind.CRASH: 600_000.0,
    FactKind.LIMIT: 15_000.0,
    FactKind.LEAVING: 300_000.0,
    FactKind.GRANTS: 2_500.0,
    FactKind.COLD: 60_000.0,
    FactKind.PACE: 2_500.0,
}
"""Time after the last observation of a fact for which it binds."""

REFRESH_MS_BY_KIND: Mapping[FactKind, float] = {
    FactKind.CRASH: math.inf,
    FactKind.LIMIT: 1_000.0,
    FactKind.LEAVING: math.inf,
    FactKind.GRANTS: 1_000.0,
    FactKind.COLD: math.inf,
    FactKind.PACE: 1_000.0,
}

REPLACED_KINDS = frozenset((FactKind.PACE,))
"""Kinds of which the next observation replaces a lost one; they are sent once."""

"""Time after which a fact that is observed again is published again.

A VM that hears it from another one meanwhile leaves that to the other one.
"""


class Fact(msgspec.Struct, array_like=True, frozen=True):
    """Hold one fact as it is sent; ``age_ms`` is the time since it was observed."""

    kind: FactKind
    subject: str
    member: str
    value: float
    age_ms: float


class _Observation:
    """Hold the newest observation of a fact; ``is_own`` if this VM made it."""

    def __init__(
        self, value: float, observed_at: float, published_at: float, is_own: bool
    ) -> None:
        self.value = value
        self.observed_at = observed_at
        self.published_at = published_at
        self.is_own = is_own
        self.resend_at: list[float] = []


class _Key(NamedTuple):
    """Identify a fact."""

    kind: FactKind
    subject: str
    member: str


class FactBoard:
    """Hold the facts that one VM knows; all times are in ms of one steady clock.

    ``on_unpublished`` is called when there are facts to publish.
    """

    def __init__(self, on_unpublished: Callable[[], None] = lambda: None) -> None:
        self._on_unpublished = on_unpublished
        self._by_member_by_subject_by_kind: dict[
            FactKind, dict[str, dict[str, _Observation]]
        ] = {kind: {} for kind in FactKind}
        self._unpublished_by_key: dict[_Key, _Observation] = {}
        self._resent_by_key: dict[_Key, _Observation] = {}
        self._expires_at = -math.inf

    def observe(
        self,
        kind: FactKind,
        subject: str,
        member: str,
        value: float,
        now: float,
        observed_at: float | None = None,
    ) -> bool:
        """Record an observation of this VM; return whether it is to be published.

        One that is as of ``observed_at`` is published unless a newer one is known.
        """
        before = self._find(kind, subject, member)
        is_news = before is None or before.value != value or observed_at is not None
        if observed_at is None:
            observed_at = now
        elif before is not None and before.observed_at >= observed_at:
            return False
        published_at = -math.inf if before is None else before.published_at
        observation = _Observation(value, observed_at, published_at, is_own=True)
        if is_news and kind not in REPLACED_KINDS:
            observation.resend_at = [now + delay for delay in RESEND_AFTER_MS]
        elif before is not None:
            observation.resend_at = before.resend_at
        self._put(_Key(kind, subject, member), observation)
        if observation.resend_at:
            self._resent_by_key[_Key(kind, subject, member)] = observation
        if not is_news and now < published_at + REFRESH_MS_BY_KIND[kind]:
            return False
        self._unpublished_by_key[_Key(kind, subject, member)] = observation
        self._on_unpublished()
        return True

    def receive(self, facts: Iterable[Fact], now: float) -> list[Fact]:
        """Record facts of another VM, and return those that are new here."""
        news = []
        for fact in facts:
            observed_at = now - max(0.0, fact.age_ms)
            if observed_at + VALIDITY_MS_BY_KIND[fact.kind] <= now:
                continue
            key = _Key(fact.kind, fact.subject, fact.member)
            before = self._find(*key)
            if before is not None and before.observed_at >= observed_at:
                if before.is_own and before.value != fact.value:
                    # The other VM does not know the newer observation.
                    self._unpublished_by_key[key] = before
                    self._on_unpublished()
                continue
            self._put(key, _Observation(fact.value, observed_at, now, is_own=False))
            self._unpublished_by_key.pop(key, None)
            if before is None or before.value != fact.value:
                news.append(fact)
        return news

    def take_unpublished(self, now: float) -> list[Fact]:
        """Return the facts to publish now."""
        facts = []
        for key, observation in self._unpublished_by_key.items():
            observation.published_at = now
            facts.append(Fact(*key, observation.value, now - observation.observed_at))
        self._unpublished_by_key.clear()
        return facts

    def has_any(self, kind: FactKind) -> bool:
        """Return whether any fact of a kind is known."""
        return bool(self._by_member_by_subject_by_kind[kind])

    def subjects(self, kind: FactKind) -> Iterable[str]:
        """Return the subjects of the known facts of a kind."""
        return self._by_member_by_subject_by_kind[kind].keys()

    def has_subject(self, kind: FactKind, subject: str) -> bool:
        """Return whether any fact about a subject is known."""
        return subject in self._by_member_by_subject_by_kind[kind]

    def facts(self, kind: FactKind, subject: str, now: float) -> list[Fact]:
        """Return the facts about a subject that still bind."""
        members = self._by_member_by_subject_by_kind[kind].get(subject, {})
        oldest = now - VALIDITY_MS_BY_KIND[kind]
        return [
            Fact(kind, subject, member, known.value, now - known.observed_at)
            for member, known in members.items()
            if known.observed_at > oldest
        ]

    def tick(self, now: float) -> None:
        """Publish those facts again whose datagrams may be lost, drop expired ones."""
        for key, observation in list(self._resent_by_key.items()):
            if self._find(*key) is not observation or not observation.resend_at:
                del self._resent_by_key[key]
            elif now >= observation.resend_at[0]:
                observation.resend_at.pop(0)
                self._unpublished_by_key[key] = observation
        if now >= self._expires_at:
            self._expires_at = now + EXPIRY_INTERVAL_MS
            self._drop_expired(now)
        if self._unpublished_by_key:
            self._on_unpublished()

    def _drop_expired(self, now: float) -> None:
        for kind, by_member_by_subject in self._by_member_by_subject_by_kind.items():
            oldest = now - VALIDITY_MS_BY_KIND[kind]
            for subject, by_member in list(by_member_by_subject.items()):
                for member, observation in list(by_member.items()):
                    if observation.observed_at <= oldest:
                        del by_member[member]
                if not by_member:
                    del by_member_by_subject[subject]

    def _find(self, kind: FactKind, subject: str, member: str) -> _Observation | None:
        by_member = self._by_member_by_subject_by_kind[kind].get(subject)
        return None if by_member is None else by_member.get(member)

    def _put(self, key: _Key, observation: _Observation) -> None:
        by_member_by_subject = self._by_member_by_subject_by_kind[key.kind]
        if key.subject not in by_member_by_subject:
            if len(by_member_by_subject) >= MAX_SUBJECTS_PER_KIND:
                del by_member_by_subject[next(iter(by_member_by_subject))]
            by_member_by_subject[key.subject] = {}
        by_member_by_subject[key.subject][key.member] = observation
