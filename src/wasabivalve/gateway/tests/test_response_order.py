"""Test which requests of a connection run at once and which response is next."""

import hypothesis
from hypothesis import strategies

from wasabivalve.gateway import messages, response_order


def request(name, safe=True):
    """Return a request whose method says whether it may run twice."""
    method = b"GET" if safe else b"POST"
    return messages.HttpRequest(method, name, "/", "h", [], b"", True, 0.0)


def response(body=b""):
    return messages.HttpResponse(200, b"OK", [], body)


def create_order():
    return response_order.ResponseOrder(lambda request: request.method == b"GET")


@hypothesis.given(
    kinds=strategies.lists(strategies.booleans(), min_size=1, max_size=40),
    picks=strategies.lists(strategies.integers(0, 99), min_size=80, max_size=80),
)
def test_any_order_of_answers_keeps_the_order_of_requests(kinds, picks):
    """A response in another's place reaches the wrong request of its caller."""
    order = create_order()
    turns = [order.add(request(b"%d" % i, safe), 0) for i, safe in enumerate(kinds)]
    running, written = [], []
    for pick in picks:
        running += order.start_next()
        assert len(running) <= response_order.MAX_PIPELINED_REQUESTS
        # Requests that must not run twice run alone behind answered ones.
        for turn in running:
            assert turn.request.method == b"GET" or turn is turns[len(written)]
        if running:
            order.on_response(running.pop(pick % len(running)), response())
        while (turn := order.take_ready()) is not None:
            written.append(turn)
    assert written == turns and len(order) == 0


def test_request_whose_route_became_unsafe_waits_for_those_before_it():
    """A request that was started as safe could be forwarded under a new route."""
    safe_methods = {b"GET"}
    order = response_order.ResponseOrder(lambda request: request.method in safe_methods)
    first, second = order.add(request(b"1"), 0), order.add(request(b"2"), 0)
    assert order.start_next() == [first, second]
    safe_methods.clear()
    assert order.confirm_start(first) and not order.confirm_start(second)
    assert order.start_next() == []
    order.on_response(first, response())
    order.take_ready()
    assert order.start_next() == [second]


def test_responses_that_would_wait_need_room():
    """Sixteen large responses behind a slow one filled the memory."""
    order = create_order()
    turns = [order.add(request(b"%d" % i), 0) for i in range(4)]
    order.start_next()

    def may_begin(writable=True, memory_short=False):
        order.update_room(writable, memory_short)
        return [turn.may_begin.is_set() for turn in turns if turn.response is None]

    assert may_begin() == [True] * 4
    assert may_begin(memory_short=True) == [True, False, False, False]
    assert may_begin(writable=False) == [False] * 4
    order.on_response(turns[1], response(b"b" * response_order.MAX_EARLY_BYTES))
    assert may_begin() == [True, False, False]
