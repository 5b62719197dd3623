"""Guard the table of metrics against drift from the code."""

import pathlib

from wasabivalve import metrics


def test_table_page_is_current():
    """An outdated page would lack metrics that operators find on their dashboards."""
    page = pathlib.Path(__file__).parents[4] / "docs/metrics.md"
    assert page.read_text() == metrics.render_table()
