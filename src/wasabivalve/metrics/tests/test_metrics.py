"""Guard the table of metrics against drift from the code."""

import pathlib

from wasabivalve import metrics


def test_table_page_is_current():
    """An operator would otherwise meet a metric that the page lacks."""
    page = pathlib.Path(__file__).parents[4] / "docs/metrics.md"
    assert page.read_text() == metrics.render_table()
