"""Test the retry limit that VMs share without exchanging their counts."""

import random

from wasabivalve.retries import window

WINDOW_MS = 10_000.0
SHARE = 0.2
ALLOWANCE = 58.0


def test_all_vms_together_stay_within_the_limit():
    """VMs that each use the whole allowance exceed it together."""
    generator = random.Random(1)
    windows = [window.RetryWindow(WINDOW_MS, SHARE, ALLOWANCE) for _ in range(9)]
    request_times, retry_times = [], []
    for step in range(60_000):
        now = float(step)
        vm_window = generator.choice(windows)
        if generator.random() < 0.1:
            vm_window.on_request(now)
            request_times.append(now)
        if generator.random() < 0.1 and vm_window.try_acquire(9, now):
            retry_times.append(now)
    for end in range(0, 60_000, 500):
        start = end - WINDOW_MS
        retries = sum(1 for at in retry_times if start < at <= end)
        requests = sum(1 for at in request_times if start < at <= end)
        assert retries <= SHARE * requests + ALLOWANCE


def test_allowance_is_restored_after_the_window():
    """A burst of failures must not block retries for longer than the window."""
    vm_window = window.RetryWindow(WINDOW_MS, SHARE, 10.0)
    taken = sum(vm_window.try_acquire(1, 0.0) for _ in range(20))
    assert taken == 8
    assert not vm_window.try_acquire(1, WINDOW_MS - 1.0)
    assert vm_window.try_acquire(1, WINDOW_MS)
