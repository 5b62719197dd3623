"""Relate the ends of instances to the requests that ran at them."""

import asyncio
import collections
import enum
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from wasabivalve import events, quarantine, shared_facts
from wasabivalve.metrics import metrics_registry
from wasabivalve.placement import core as placement
from wasabivalve.quarantine import shared
from wasabivalve.shared_facts import crash_evidence

from . import pending_request, pool

UNANSWERED_TTL_S = 10.0
"""Time within which the end of a silent instance is known from the registry."""

MAX_UNANSWERED = 16
"""Unanswered requests that are kept for each incarnation."""

CLAIM_RETRY_MS = 500.0
"""Time after a trial could not be claimed until this VM asks again."""

MAX_WAIT_S = 0.1
"""Longest wait for evidence before a verdict is read again, as it changes with time."""

MAX_CLAIM_TIMES = 1_024
"""Requests whose last claim is kept."""

MAX_ENDED = 1_024
"""Ends that are kept, to withdraw those of instances that are still registered."""

TrialClaim = Callable[[str, str], Awaitable[bool]]
"""Claim the trial ``member`` of a fingerprint for this VM; False if it is not."""


class AdmissionAction(enum.Enum):
    """Say whether a request may be sent to an instance.

    ``TRIAL``: only if its trial is claimed first. ``WAIT``: evidence is on its way.
    """

    RUN = enum.auto()
    TRIAL = enum.auto()
    WAIT = enum.auto()
    REFUSE = enum.auto()


class Admission(NamedTuple):
    """Hold an action and the fingerprint that decides it; ``left_ms`` if refused."""

    action: AdmissionAction
    fingerprint: str = ""
    trial_number: int = 0
    left_ms: float = 0.0


ADMITTED = Admission(AdmissionAction.RUN)


class _Unanswered(NamedTuple):
    fingerprint: str
    content_fingerprint: str
    request_id: str
    service: str
    began_at: float
    ended_at: float


class CrashWatch:
    """Record under which requests instances ended; times are in ms.

    A request is known by its content and its caller, and from the third end on by its
    content alone: a caller may have several addresses.

    An instance that ends usually closes its connections. One that has lost power stays
    silent; what it left unanswered counts once the registry shows that it is gone.
    """

    def __init__(
        self,
        shared_quarantine: quarantine.SharedQuarantine,
        metrics: metrics_registry.MetricsRegistry,
        claim_trial: TrialClaim | None = None,
    ) -> None:
        self._quarantine = shared_quarantine
        self._metrics = metrics
        self._claim_trial = claim_trial
        self._loop = asyncio.get_running_loop()
        self._changed = asyncio.Event()
        self._claiming: set[str] = set()
        self._claim_again_at_by_fingerprint: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._unanswered_by_incarnation: dict[
            pool.InstanceIncarnation, collections.deque[_Unanswered]
        ] = {}
        self._recorded: collections.deque[
            tuple[pool.InstanceIncarnation, _Unanswered]
        ] = collections.deque(maxlen=MAX_ENDED)

    def admission(
        self, pending: pending_request.PendingRequest, now: float
    ) -> Admission:
        """Return whether a request may be sent to an instance."""
        if not self._quarantine.has_suspects:
            return ADMITTED
        if pending.trial is not None and pending.attempts == pending.trial.attempts:
            return ADMITTED
        own, content = pending.fingerprint, pending.content_fingerprint
        if not (
            self._quarantine.is_suspected(own) or self._quarantine.is_suspected(content)
        ):
            return ADMITTED
        answered_recently = any(
            self._quarantine.was_answered_recently(fingerprint, now)
            for fingerprint in (own, content)
        )
        own_verdict = self._quarantine.verdict(
            own, now, answered_recently=answered_recently
        )
        content_verdict = self._quarantine.verdict(
            content, now, shared.CERTAIN_COUNT, answered_recently
        )
        left_ms = max(own_verdict.left_ms, content_verdict.left_ms)
        if left_ms <= 0.0:
            return ADMITTED
        # Trials of all callers count together once the content alone is refused.
        fingerprint, verdict = own, own_verdict
        if content_verdict.left_ms > 0.0:
            fingerprint, verdict = content, content_verdict
        action = AdmissionAction.REFUSE
        undecided = own_verdict.undecided or content_verdict.undecided
        if verdict.trial_number and self._may_claim(fingerprint, now):
            action = AdmissionAction.TRIAL
        elif undecided or fingerprint in self._claiming:
            action = AdmissionAction.WAIT
        return Admission(action, fingerprint, verdict.trial_number, left_ms)

    async def claim(
        self, pending: pending_request.PendingRequest, admission: Admission
    ) -> bool:
        """Claim a trial for a request; return whether the request may run."""
        assert self._claim_trial is not None
        fingerprint = admission.fingerprint
        member = crash_evidence.trial_member(admission.trial_number)
        self._claiming.add(fingerprint)
        try:
            claimed = await self._claim_trial(fingerprint, member)
        finally:
            self._claiming.discard(fingerprint)
            claim_times = self._claim_again_at_by_fingerprint
            claim_times[fingerprint] = 1000.0 * self._loop.time() + CLAIM_RETRY_MS
            claim_times.move_to_end(fingerprint)
            if len(claim_times) > MAX_CLAIM_TIMES:
                claim_times.popitem(last=False)
            self._wake()
        events.emit(
            407,
            request=pending.request_id,
            fingerprint=fingerprint,
            trial=member,
            claimed=claimed,
        )
        if claimed:
            pending.trial = pending_request.ClaimedTrial(
                fingerprint, member, pending.attempts
            )
        return claimed

    def end_trial(self, pending: pending_request.PendingRequest, now: float) -> None:
        """Record whether the trial of a request has shown anything."""
        if pending.trial is None:
            return
        fingerprint, member, attempts = pending.trial
        has_run = pending.attempts > attempts
        is_cleared = not self._quarantine.verdict(fingerprint, now).left_ms
        state = crash_evidence.TrialState.VOID
        if has_run and not is_cleared:
            state = crash_evidence.TrialState.SPENT
        self._quarantine.end_trial(fingerprint, member, state, now)
        self._wake()

    async def wait_for_evidence(self, timeout_s: float) -> None:
        """Wait until evidence about any request changes, or for a short time."""
        try:
            await asyncio.wait_for(self._changed.wait(), min(MAX_WAIT_S, timeout_s))
        except TimeoutError:
            # A verdict may also change with time.
            pass

    def on_ended(
        self,
        pending: pending_request.PendingRequest,
        instance: placement.RegisteredInstance,
        began_at: float,
        now: float,
    ) -> None:
        """Record that an instance closed its connection under a request."""
        self._record(_unanswered(pending, began_at, now), instance, now)

    def on_survived(self, reset: quarantine.InstanceReset, now: float) -> None:
        """Withdraw the ends of an incarnation that the registry still names."""
        incarnation = pool.InstanceIncarnation(reset.instance, reset.born)
        name = shared_facts.incarnation_name(reset.instance, reset.born)
        fingerprints = {
            fingerprint
            for recorded, unanswered in self._recorded
            if recorded == incarnation
            for fingerprint in (unanswered.fingerprint, unanswered.content_fingerprint)
        }
        withdrawn = sum(
            self._quarantine.withdraw_ends(fingerprint, name, reset.reset_at + 1.0, now)
            for fingerprint in fingerprints
        )
        self._wake()
        self._metrics.count("upstream.reset_survived", reset.service)
        events.emit(
            330,
            instance=reset.instance,
            service=reset.service,
            born=reset.born,
            withdrawn=withdrawn,
        )

    def on_unanswered(
        self,
        pending: pending_request.PendingRequest,
        instance: placement.RegisteredInstance,
        began_at: float,
    ) -> None:
        """Record that an instance was silent until its request was given up."""
        unanswered = self._unanswered_by_incarnation.setdefault(
            pool.InstanceIncarnation(instance.id, instance.born),
            collections.deque(maxlen=MAX_UNANSWERED),
        )
        unanswered.append(_unanswered(pending, began_at, 1000.0 * self._loop.time()))

    def on_answered(
        self,
        pending: pending_request.PendingRequest,
        instance: placement.RegisteredInstance,
        status: int,
        began_at: float,
        now: float,
    ) -> None:
        """Record that an instance answered a request, which thus did not end it.

        A failure shows that of the instance only, which may fail all requests.
        """
        if status >= 500:
            return
        cleared = self._quarantine.on_answered(pending.fingerprint, now, began_at)
        cleared_content = self._quarantine.on_answered(
            pending.content_fingerprint, now, began_at
        )
        if cleared or cleared_content:
            self._wake()
            events.emit(
                406,
                request=pending.request_id,
                fingerprint=pending.fingerprint,
                instance=instance.id,
                status=status,
                cleared=cleared,
                content=pending.content_fingerprint,
                cleared_content=cleared_content,
            )

    def on_news(self, facts: Iterable[shared_facts.Fact], now: float) -> None:
        """Tell other VMs about requests that were answered here."""
        self._quarantine.on_news(facts, now)
        self._wake()

    def on_instance_ended(
        self, instance: placement.RegisteredInstance, now: float
    ) -> None:
        """Count an incarnation that is gone for what it left unanswered."""
        incarnation = pool.InstanceIncarnation(instance.id, instance.born)
        for unanswered in self._unanswered_by_incarnation.pop(incarnation, ()):
            if instance.draining:
                continue
            if now <= unanswered.ended_at + 1000.0 * UNANSWERED_TTL_S:
                self._record(unanswered, instance, now)

    def _may_claim(self, fingerprint: str, now: float) -> bool:
        again_at = self._claim_again_at_by_fingerprint.get(fingerprint, 0.0)
        return (
            self._claim_trial is not None
            and fingerprint not in self._claiming
            and now >= again_at
        )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _record(
        self,
        unanswered: _Unanswered,
        instance: placement.RegisteredInstance,
        now: float,
    ) -> None:
        self._recorded.append(
            (pool.InstanceIncarnation(instance.id, instance.born), unanswered)
        )
        incarnation = shared_facts.incarnation_name(instance.id, instance.born)
        ended = self._quarantine.on_ended(
            unanswered.fingerprint, incarnation, now, unanswered.began_at
        )
        ended_under_content = self._quarantine.on_ended(
            unanswered.content_fingerprint, incarnation, now, unanswered.began_at
        )
        self._wake()
        answered_ms_ago = self._quarantine.answered_ms_ago(
            unanswered.content_fingerprint, now
        )
        events.emit(
            405,
            request=unanswered.request_id,
            fingerprint=unanswered.fingerprint,
            instance=instance.id,
            born=instance.born,
            ended=ended,
            content=unanswered.content_fingerprint,
            ended_under_content=ended_under_content,
            answered_ms_ago="-" if answered_ms_ago is None else round(answered_ms_ago),
        )
        self._metrics.count("upstream.ended", unanswered.service)
        if self._quarantine.verdict(unanswered.fingerprint, now).left_ms > 0.0:
            events.emit(
                401,
                request=unanswered.request_id,
                fingerprint=unanswered.fingerprint,
                ended=ended,
            )


def _unanswered(
    pending: pending_request.PendingRequest, began_at: float, now: float
) -> _Unanswered:
    return _Unanswered(
        pending.fingerprint,
        pending.content_fingerprint,
        pending.request_id,
        pending.service.name,
        began_at,
        now,
    )
