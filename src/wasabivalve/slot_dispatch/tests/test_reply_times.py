"""Test that late replies are told from missing ones."""

import random

from wasabivalve.slot_dispatch import reply_times

LEAST_S = 0.08


def play_replies(times, delays_s):
    """Send one request for each delay; return the share whose reply was in time."""
    in_time = 0
    for number, delay_s in enumerate(delays_s):
        sent_at = float(number)
        times.on_sent(number, sent_at)
        # A second message is sent after the timeout, and as much is waited for it.
        in_time += delay_s <= 2.0 * times.timeout_s(LEAST_S)
        times.on_reply(number, sent_at + delay_s)
    return in_time / len(delays_s)


def test_replies_behind_large_responses_are_waited_for():
    """A third of the requests of a VM with a slow link went past the queue."""
    generator = random.Random(1)
    delays_s = [
        0.005 + (0.144 * generator.expovariate(1.0) if generator.random() < 0.6 else 0)
        for _ in range(400)
    ]
    assert sum(delay_s > 2.0 * LEAST_S for delay_s in delays_s) > 0.15 * 400
    assert play_replies(reply_times.ReplyTimes(), delays_s) > 0.93


def test_quick_replies_keep_the_least_timeout():
    """A failed dispatcher would cost each request more than before."""
    times = reply_times.ReplyTimes()
    play_replies(times, [0.003, 0.004, 0.005] * 50)
    assert times.timeout_s(LEAST_S) == LEAST_S


def test_timeout_is_bounded():
    """Requests waited for seconds after a dispatcher had answered very late."""
    times = reply_times.ReplyTimes()
    play_replies(times, [2.0] * 20)
    assert times.timeout_s(LEAST_S) == reply_times.MAX_TIMEOUT_S


def test_missing_replies_take_no_memory():
    """Each lost reply left an entry."""
    times = reply_times.ReplyTimes()
    for number in range(3 * reply_times.MAX_PENDING):
        times.on_sent(number, 0.0)
    assert len(times._sent_at_by_number) == reply_times.MAX_PENDING
