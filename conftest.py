"""Fix the randomness of tests and pass over those that KNOWN-RED.txt lists."""

import os
import pathlib

import hypothesis
import pytest

ROOT = pathlib.Path(__file__).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "

hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis.settings.register_profile("explore", deadline=None, max_examples=1_000)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))


def known_red():
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def pytest_collection_modifyitems(items):
    """Let exactly the listed tests fail without failing the run."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the tests that the run passed over."""
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red: {name}")
