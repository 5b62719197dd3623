"""Guard that the id of a request leads an on-call engineer to its outcome."""

from click.testing import CliRunner

from wasabivalve.cli import core

LOG = "\n".join(
    (
        "08:00:01.000 INFO WV0500 configuration is in force version=7 routes=19",
        "08:00:02.000 WARNING WV0314 holder of keys is overloaded instance=i-1",
        "08:00:02.500 INFO WV0321 instance joined or changed instance=i-9 service=s",
        "08:00:03.000 WARNING WV0413 request failed or was refused request=ab12"
        " version=7 status=503 own=True ms=3 trail=i-1;not-run-421;over-share",
        "08:00:04.000 INFO WV0420 request was answered request=cd34 version=7"
        " status=200 own=False ms=50 trail=i-9",
    )
)


def run(tmp_path, request):
    path = tmp_path / "vm.log"
    path.write_text(LOG)
    return CliRunner().invoke(core.main, ["explain", request, str(path)])


def test_refused_request_is_explained_with_its_context(tmp_path):
    """Without the earlier events of the same VM, a refusal has no visible cause."""
    result = run(tmp_path, "ab12")
    assert result.exit_code == 0
    assert "WV0314" in result.output and "WV0500" in result.output
    assert "over-share: refused at once" in result.output
    assert "i-9" not in result.output


def test_other_requests_are_left_out(tmp_path):
    """An explanation that mixes two requests would mislead."""
    assert "ab12" not in run(tmp_path, "cd34").output


def test_unknown_request_exits_with_3(tmp_path):
    """A script must be able to detect that no VM logged the request."""
    assert run(tmp_path, "ffff").exit_code == 3
