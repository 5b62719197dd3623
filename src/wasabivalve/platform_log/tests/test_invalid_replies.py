"""Test the reply decoders of the log client with arbitrary and invalid replies."""

import json

import hypothesis
from hypothesis import strategies

from wasabivalve.platform_log import core

VALUES = strategies.one_of(
    strategies.none(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(),
    strategies.lists(strategies.integers()),
)
ITEMS: strategies.SearchStrategy = strategies.fixed_dictionaries(
    {"offset": strategies.integers(3, 5) | VALUES, "record": strategies.just({})}
)
DOCUMENTS = strategies.dictionaries(
    strategies.sampled_from(
        ["first_offset", "records", "next_offset", "oldest_offset"]
    ),
    strategies.integers(0, 9) | strategies.lists(ITEMS, max_size=3) | VALUES,
)
BODIES = strategies.one_of(
    strategies.binary(),
    DOCUMENTS.map(lambda document: json.dumps(document).encode()),
    strategies.integers(1, 200_000).map(lambda depth: b"[" * depth),
)
STATUSES = strategies.sampled_from([200, 201, 410, 503]) | strategies.integers(100, 599)
OFFSET = 3

without_time_limit = hypothesis.settings(deadline=None)


@without_time_limit
@hypothesis.given(status=STATUSES, body=BODIES)
def test_invalid_append_reply(status, body):
    """Guards against treating an invalid reply as proof for or against an append."""
    outcome = core.decode_append_reply(status, body)
    if isinstance(outcome, core.Appended):
        assert outcome.first_offset == json.loads(body)["first_offset"] >= 0
    elif isinstance(outcome, core.LogUnavailable):
        assert status == 503 or 400 <= status < 500
    else:
        assert isinstance(outcome, core.AppendUnknown)
        assert outcome.reason


@without_time_limit
@hypothesis.given(status=STATUSES, body=BODIES)
def test_invalid_read_reply(status, body):
    """Guards against a reader that skips or repeats records after an invalid reply."""
    outcome = core.decode_read_reply(status, body, OFFSET)
    if isinstance(outcome, core.ReadBatch):
        offsets = [record.offset for record in outcome.records]
        assert offsets == list(range(OFFSET, outcome.next_offset))
    elif isinstance(outcome, core.Gap):
        assert outcome.oldest_offset > OFFSET
    else:
        assert isinstance(outcome, core.LogUnavailable)
        assert outcome.reason
