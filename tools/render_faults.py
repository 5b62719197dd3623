"""Write the page of the fault matrix by running it, or check that it is current."""

import itertools
import pathlib
import sys

import click

from wasabivalve.ownership.tests import ownership_faults

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / "docs/FAULTS.md"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
HEAD = f"""# Faults and protocol steps

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


def result_of(cell: ownership_faults.Cell, known_red: str) -> str:
    """Return what one cell shows."""
    try:
        ownership_faults.run_cell(cell)
    except ownership_faults.CellFailed as broken:
        click.echo(str(broken).splitlines()[0], err=True)
        return "red" if f"[{cell.name}]" in known_red else "FAIL"
    return "pass"


def render(known_red: str) -> str:
    """Return the page; it depends on the code and the known failures only."""
    letters = iter("abcdefghijklmnopqrstuvwxyz")
    letter_by_reason: dict[str, str] = {}
    steps = ownership_faults.STEPS
    lines = [HEAD, "| fault | " + " | ".join(steps) + " |"]
    lines.append("|---" * (len(steps) + 1) + "|")
    rows = itertools.groupby(ownership_faults.CELLS, lambda cell: cell[:2])
    for (fault, times), cells in rows:
        shown = []
        for cell in cells:
            reason = ownership_faults.reason_not_run(cell)
            if reason and reason not in letter_by_reason:
                letter_by_reason[reason] = next(letters)
            letter = letter_by_reason.get(reason)
            shown.append(letter or result_of(cell, known_red))
        lines.append(f"| {fault}, {times} | " + " | ".join(shown) + " |")
    lines.append("\nReasons why a cell cannot arise:\n")
    lines += [f"- {letter}: {text}" for text, letter in letter_by_reason.items()]
    return "\n".join(lines) + "\n"


@click.command()
@click.option("--check", is_flag=True, help="Fail when the page is stale.")
def main(check: bool) -> None:
    """Run the matrix and write docs/FAULTS.md."""
    known_red = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    text = render(known_red)
    if not check:
        PAGE.write_text(text)
    elif not PAGE.exists() or PAGE.read_text() != text:
        sys.exit(f"{PAGE.relative_to(ROOT)} is stale; run tools/render_faults.py")
    if "FAIL" in text.removeprefix(HEAD):
        sys.exit("a cell fails that KNOWN-RED.txt does not list")


if __name__ == "__main__":
    main()
