"""Play a few seeds of the soak, among them each that ever failed."""

import pytest

from wasabivalve.platform.tests import ports
from wasabivalve.platform.tests.soak import core

FAULTS_S = 6.0
"""Time with faults; a run by hand takes longer and plays fresh seeds."""

SEEDS = (1, 2)

REGRESSION_SEEDS = (
    # Renewals for an instance reached its new life before that one registered.
    103,
)
"""Seeds that failed, each with a line on the cause."""


@pytest.mark.parametrize("seed", [*SEEDS, *REGRESSION_SEEDS])
def test_seed_breaks_no_rule(seed):
    """Faults that overlap find what a test of one fault cannot."""
    report = core.run(seed, FAULTS_S, ports.free_ports(4 * core.VMS))
    assert report.requests > 100 and len(report.faults) > 2
    assert not report.problems
