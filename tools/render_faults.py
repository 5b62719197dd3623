"""Write the page of the fault matrix by running it, or check that it is current."""

import itertools
import pathlib
import sys

import click

from wasabivalve.ownership.tests import ownership_faults

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / "docs/FAULTS.md"
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
PAGE_INTRODUCTION = f"""# Faults and protocol steps

Each cell brings the simulated world of `wasabivalve.ownership` to a step of the
protocol, injects the fault exactly there and lets the driven clock run (seed
{ownership_faults.SEED}). It checks that no two servers would commit for one position,
that no acknowledged assignment is lost, and that every position is served again, within
the bound of section 1.3 of `design.md` where that page gives one. A fault that happens
once meets servers that check tokens; one that happens twice meets servers that do not.
The second one strikes {ownership_faults.REPEAT_DELAY_MS:.0f} ms after the end of the
first. Durations are shortened: a fault lasts {ownership_faults.FAULT_MS:.0f} ms, a
frozen server stands still for {ownership_faults.FREEZE_MS:.0f} ms.

Written by `tools/render_faults.py`; each cell is one case of
`tests/test_fault_matrix.py`. "red" is a failure listed in `KNOWN-RED.txt`, "FAIL"
one that is not, and a letter gives the reason why a cell cannot arise.
"""


def render_cell(cell: ownership_faults.Cell, known_failures: str) -> str:
    """Return the result of one cell as it stands in the table."""
    try:
        ownership_faults.run_cell(cell)
    except ownership_faults.CellFailed as failure:
        click.echo(str(failure).splitlines()[0], err=True)
        return "red" if f"[{cell.name}]" in known_failures else "FAIL"
    return "pass"


def render(known_failures: str) -> str:
    """Return the text of the page, which depends on code and known failures only."""
    unused_letters = iter("abcdefghijklmnopqrstuvwxyz")
    letter_by_reason: dict[str, str] = {}
    steps = ownership_faults.STEPS
    lines = [PAGE_INTRODUCTION, "| fault | " + " | ".join(steps) + " |"]
    lines.append("|---" * (len(steps) + 1) + "|")
    cells_by_row = itertools.groupby(ownership_faults.CELLS, lambda cell: cell[:2])
    for (fault, frequency), cells in cells_by_row:
        row_results = []
        for cell in cells:
            reason = ownership_faults.reason_not_run(cell)
            if reason and reason not in letter_by_reason:
                letter_by_reason[reason] = next(unused_letters)
            letter = letter_by_reason.get(reason)
            row_results.append(letter or render_cell(cell, known_failures))
        lines.append(f"| {fault}, {frequency} | " + " | ".join(row_results) + " |")
    lines.append("\nReasons why a cell cannot arise:\n")
    lines += [f"- {letter}: {reason}" for reason, letter in letter_by_reason.items()]
    return "\n".join(lines) + "\n"


@click.command()
@click.option("--check", is_flag=True, help="Fail when the page is stale.")
def main(check: bool) -> None:
    """Run the matrix and write, or with --check compare, docs/FAULTS.md."""
    known_failures = (
        KNOWN_FAILURES_FILE.read_text() if KNOWN_FAILURES_FILE.exists() else ""
    )
    page = render(known_failures)
    if not check:
        PAGE.write_text(page)
    elif not PAGE.exists() or PAGE.read_text() != page:
        sys.exit(f"{PAGE.relative_to(ROOT)} is stale; run tools/render_faults.py")
    if "FAIL" in page.removeprefix(PAGE_INTRODUCTION):
        sys.exit("a cell fails that KNOWN-RED.txt does not list")


if __name__ == "__main__":
    main()
