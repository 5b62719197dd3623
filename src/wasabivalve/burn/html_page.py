"""Render a burn report as one HTML page with inline SVG plots."""

import html

from . import budget, rendering

PLOT_WIDTH = 720
PLOT_HEIGHT = 120
PLOT_BASELINE_Y = 100
# Limits the scale so that one extreme hour does not flatten all others; its bar is
# marked "(cut)".
MAX_PLOTTED_RATE = 20.0
MIN_PLOT_SCALE = 2.0

STYLE = """
body { font: 14px/1.5 sans-serif; margin: 2em; max-width: 60em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: left; }
.ok { background: #e3f3e3; } .over, .page { background: #f8d0d0; }
.ticket { background: #fbe6c8; } .idle { background: #eee; }
.missing { background: repeating-linear-gradient(45deg, #ddd 0 4px, #f4f4f4 4px 8px); }
svg { display: block; margin: 0.5em 0 1.5em; }
"""


def render_html(report: budget.BurnReport) -> str:
    """Return the report as a page that loads no external resource."""
    body = [
        "<h1>Error-budget burn</h1>",
        f"<p>Until {rendering.format_time(report.end_s)}. A burn rate of 1 spends the"
        " error budget exactly. Hatched fields lack the data of at least one VM.</p>",
        _render_objectives(report),
        *(_render_plot(index, row) for index, row in enumerate(report.rows)),
        "<h2>Missing data</h2>",
        _render_list(rendering.format_missing(report)),
    ]
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        f"<title>Error-budget burn</title>\n<style>{STYLE}</style>\n</head>\n"
        "<body>\n" + "\n".join(body) + "\n</body>\n</html>\n"
    )


def _render_list(lines: list[str]) -> str:
    items = "".join(f"<li>{html.escape(line)}</li>" for line in lines)
    return f"<ul>{items}</ul>"


def _render_cell(text: str, state: str = "") -> str:
    attribute = f' class="{state}"' if state else ""
    return f"<td{attribute}>{html.escape(text)}</td>"


def _render_objectives(report: budget.BurnReport) -> str:
    names = ["service", "rank", "objective", *budget.NAME_BY_WINDOW_S.values()]
    names += ["budget left", "worst hour", "p50 ms", "p99 ms", "state"]
    header = "".join(f"<th>{name}</th>" for name in names)
    rows = "\n".join(f"<tr>{_render_row(row)}</tr>" for row in report.rows)
    return f"<table>\n<tr>{header}</tr>\n{rows}\n</table>"


def _render_row(row: budget.ObjectiveReport) -> str:
    cells = [
        _render_cell(row.objective.service),
        _render_cell(row.objective.rank),
        _render_cell(f"{row.objective.share:.4g}"),
    ]
    for window in row.windows:
        text = rendering.format_rate(window.rate, window.missing, window.expected)
        # A burn rate below 1 with missing data is hatched, never shown as healthy.
        cells.append(_render_cell(text, window.state))
    cells += [
        _render_cell(
            rendering.format_budget_left(row),
            "missing" if row.windows[-1].missing else "",
        ),
        _render_cell(rendering.format_hour(row.worst_hour)),
        _render_cell("-" if row.p50_ms is None else f"{row.p50_ms:.1f}"),
        _render_cell("-" if row.p99_ms is None else f"{row.p99_ms:.1f}"),
        _render_cell(row.state, row.state),
    ]
    return "".join(cells)


def _render_plot(index: int, row: budget.ObjectiveReport) -> str:
    title = f"{row.objective.service}, {row.objective.rank}: burn rate by hour"
    rates = [hour.rate or 0.0 for hour in row.hours]
    scale = min(max([MIN_PLOT_SCALE, *rates]), MAX_PLOTTED_RATE)
    pattern = f"missing-{index}"
    width = PLOT_WIDTH / max(len(row.hours), 1)
    bars = "".join(
        _render_bar(hour, hour_index * width, width, scale, pattern)
        for hour_index, hour in enumerate(row.hours)
    )
    threshold_y = PLOT_BASELINE_Y - PLOT_BASELINE_Y / scale
    return (
        f"<h2>{html.escape(title)}</h2>\n"
        f'<svg role="img" width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}"'
        f' viewBox="0 0 {PLOT_WIDTH} {PLOT_HEIGHT}">'
        f"<title>{html.escape(title)}</title>"
        f'<defs><pattern id="{pattern}" width="6" height="6"'
        ' patternUnits="userSpaceOnUse" patternTransform="rotate(45)">'
        '<rect width="3" height="6" fill="#ccc"/></pattern></defs>'
        f"{bars}"
        f'<line x1="0" x2="{PLOT_WIDTH}" y1="{threshold_y:.1f}" y2="{threshold_y:.1f}"'
        ' stroke="#a00" stroke-dasharray="4 3"/>'
        f'<text x="2" y="{threshold_y - 3:.1f}" font-size="10" fill="#a00">1</text>'
        f'<line x1="0" x2="{PLOT_WIDTH}" y1="{PLOT_BASELINE_Y}" y2="{PLOT_BASELINE_Y}"'
        ' stroke="#444"/>'
        f'<text x="0" y="{PLOT_HEIGHT - 5}" font-size="10">'
        f"{_hour_start(row, 0)}</text>"
        f'<text x="{PLOT_WIDTH}" y="{PLOT_HEIGHT - 5}" font-size="10"'
        f' text-anchor="end">{_hour_start(row, -1)}</text>'
        "</svg>"
    )


def _hour_start(row: budget.ObjectiveReport, index: int) -> str:
    return rendering.format_time(row.hours[index].start_s) if row.hours else ""


def _render_bar(
    hour: budget.Hour, left: float, width: float, scale: float, pattern: str
) -> str:
    rate = hour.rate or 0.0
    height = min(rate / scale, 1.0) * PLOT_BASELINE_Y
    colour = "#c33" if rate >= 1.0 else "#593"
    title = f"{rendering.format_hour(hour)}, {hour.counts.total} requests"
    parts = []
    if hour.missing:
        parts.append(
            f'<rect x="{left:.1f}" y="0" width="{width:.1f}" height="{PLOT_BASELINE_Y}"'
            f' fill="url(#{pattern})"/>'
        )
        # With missing data a rate below 1 is grey, so that it never looks healthy.
        colour = "#c33" if rate >= 1.0 else "#888"
    parts.append(
        f'<rect x="{left:.1f}" y="{PLOT_BASELINE_Y - height:.1f}"'
        f' width="{max(width - 1, 1):.1f}" height="{height:.1f}" fill="{colour}"/>'
    )
    if rate > scale:
        parts.append(
            f'<text x="{left:.1f}" y="10" font-size="10">{rate:.0f} (cut)</text>'
        )
    return f"<g><title>{html.escape(title)}</title>{''.join(parts)}</g>"
