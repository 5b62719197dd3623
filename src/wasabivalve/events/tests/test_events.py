"""Guard the catalogue of log events against drift from the code."""

import pathlib
import re

from wasabivalve import events

ROOT = pathlib.Path(__file__).parents[4]


def test_catalogue_page_is_current():
    """An outdated page would lack events that operators find in the log."""
    page = ROOT / "docs/events.md"
    assert page.read_text() == events.render_catalogue()


def test_emitted_numbers_are_in_the_catalogue():
    """A number without an entry would raise KeyError while logging."""
    numbers: set[int] = set()
    for path in (ROOT / "src").rglob("*.py"):
        if "tests" not in path.parts:
            found = re.findall(r"events\.emit\(\s*(\d+)", path.read_text())
            numbers.update(int(number) for number in found)
    assert numbers <= events.EVENT_BY_NUMBER.keys()
