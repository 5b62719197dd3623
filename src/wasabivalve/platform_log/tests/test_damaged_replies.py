"""Feed damaged replies to the decoders of the log client."""

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

examples = hypothesis.settings(deadline=None)


@examples
@hypothesis.given(status=STATUSES, body=BODIES)
def test_damaged_append_reply(status, body):
    """A damaged reply must not count as an append, nor as none."""
    outcome = core.decode_append_reply(status, body)
    if isinstance(outcome, core.Appended):
        assert outcome.first_offset == json.loads(body)["first_offset"] >= 0
    elif isinstance(outcome, core.LogUnavailable):
        assert status == 503 or 400 <= status < 500
    else:
        assert isinstance(outcome, core.AppendUnknown)
        assert outcome.reason


@examples
@hypothesis.given(status=STATUSES, body=BODIES)
def test_damaged_read_reply(status, body):
    """A damaged page must not make a reader skip or repeat records."""
    outcome = core.decode_read_reply(status, body, OFFSET)
    if isinstance(outcome, core.ReadBatch):
        offsets = [record.offset for record in outcome.records]
        assert offsets == list(range(OFFSET, outcome.next_offset))
    elif isinstance(outcome, core.Gap):
        assert outcome.oldest_offset > OFFSET
    else:
        assert isinstance(outcome, core.LogUnavailable)
        assert outcome.reason
