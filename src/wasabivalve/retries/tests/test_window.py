"""Guard the bound of repeats that all VMs share without talking."""

import random

from wasabivalve.retries import window

WINDOW_MS = 10_000.0
SHARE = 0.2
ALLOWANCE = 58.0


def test_all_vms_together_stay_within_every_window():
    """VMs that each spend the whole allowance exceed it together."""
    generator = random.Random(1)
    windows = [window.RetryWindow(WINDOW_MS, SHARE, ALLOWANCE) for _ in range(9)]
    requests, repeats = [], []
    for step in range(60_000):
        now = float(step)
        own = generator.choice(windows)
        if generator.random() < 0.1:
            own.on_request(now)
            requests.append(now)
        if generator.random() < 0.1 and own.try_acquire(9, now):
            repeats.append(now)
    for end in range(0, 60_000, 500):
        start = end - WINDOW_MS
        taken = sum(1 for at in repeats if start < at <= end)
        asked = sum(1 for at in requests if start < at <= end)
        assert taken <= SHARE * asked + ALLOWANCE


def test_allowance_comes_back_after_the_window():
    """A burst of failures must not stop repeats for longer than the window."""
    one = window.RetryWindow(WINDOW_MS, SHARE, 10.0)
    taken = sum(one.try_acquire(1, 0.0) for _ in range(20))
    assert taken == 8
    assert not one.try_acquire(1, WINDOW_MS - 1.0)
    assert one.try_acquire(1, WINDOW_MS)
