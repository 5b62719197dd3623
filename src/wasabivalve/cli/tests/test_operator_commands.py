"""Guard the output of commands and the exit codes that scripts rely on."""

import itertools
import json
import pathlib

import pytest
from click import testing

from wasabivalve import burn, cli, platform_log
from wasabivalve.cli import configuration_commands, options
from wasabivalve.resources import publishing, status

ROOT = pathlib.Path(__file__).parents[4]
KEY = "11" * 32
RANK = {"order": 0, "floor": 0.1, "target_ms": 20, "objective": 0.9}
SERVICE = {
    "divided_by_key": True,
    "slots": 2,
    "instances": [{"name": "a", "data_centre": "d", "host": "127.0.0.1", "port": 9001}],
}
URL = ["--log", "http://127.0.0.1:1"]


class StreamLog:
    """Hold several streams; ``next_append`` replaces the result of one append."""

    def __init__(self):
        self.stream_by_name, self.next_append, self.down = {}, None, False
        self.oldest = 0

    def append(self, stream, records):
        if self.down:
            return platform_log.LogUnavailable("refused")
        logged = self.stream_by_name.setdefault(stream, [])
        logged += records
        reply, self.next_append = self.next_append, None
        return reply or platform_log.Appended(len(logged) - len(records))

    def read(self, stream, offset, wait_ms=0.0, limit=1000):
        if self.down:
            return platform_log.LogUnavailable("refused")
        if offset < self.oldest:
            return platform_log.Gap(self.oldest)
        rows = enumerate(self.stream_by_name.get(stream, [])[offset:], start=offset)
        batch = tuple(platform_log.LoggedRecord(*row) for row in rows)
        return platform_log.ReadBatch(batch, offset + len(batch), 0)

    def close(self):
        pass


class CommandRunner:
    """Run commands against an in-memory log."""

    def __init__(self, tmp_path):
        self.path, self.log, self.now = tmp_path, StreamLog(), 0.0
        self.status = status.StatusUnavailable("no reply")
        self.before_append = None
        ids = itertools.count()
        self.environment = options.Environment(
            open_log=lambda url: self.log,
            fetch_status=lambda url: self.status,
            now_text=lambda: "2026-12-04T09:00:00Z",
            now_s=lambda: 1_800_000_030.0,
            new_record_id=lambda: f"id-{next(ids)}",
            timing=publishing.AppendTiming(500.0, self.clock, lambda seconds: None),
        )
        self.key = tmp_path / "ada.key"
        self.key.write_text(KEY + "\n")
        self.write_options = [*URL, "--operator", "ada", "--key-file", str(self.key)]

    def clock(self):
        self.now += 0.01
        return self.now

    def write(self, *documents, name="f.json"):
        path = self.path / name
        path.write_text(json.dumps(list(documents)))
        return str(path)

    def run(self, *arguments, code=0):
        result = testing.CliRunner().invoke(cli.main, arguments, obj=self.environment)
        assert result.exit_code == code, result.output
        return result.output

    def apply(self, *documents, code=0):
        return self.run("apply", self.write(*documents), *self.write_options, code=code)


@pytest.fixture
def runner(tmp_path):
    return CommandRunner(tmp_path)


def rank(name="urgent", revision=None, **more):
    document = {"kind": "traffic_rank", "name": name, "spec": RANK | more}
    return document if revision is None else document | {"revision": revision}


SERVICE_DOCUMENT = {"kind": "service", "name": "s", "spec": SERVICE}


def test_apply_get_describe_and_history(runner):
    output = runner.apply(rank(), SERVICE_DOCUMENT)
    assert "service s: accepted at revision 1" in output
    assert "unchanged at revision 2" in runner.apply(rank())
    runner.apply(rank(floor=0.3))
    assert "floor 0.3" in runner.run("get", "traffic_rank", *URL)
    assert "order: 0" in runner.run("describe", "traffic_rank", "urgent", *URL)
    output = runner.run("history", "traffic_rank", "urgent", *URL)
    assert "$.spec.floor: before 0.1, after 0.3" in output
    document = json.loads(runner.run("get", "service", "s", *URL, "--output", "json"))
    assert document["resources"][0]["spec"] == SERVICE
    document["resources"][0]["spec"]["slots"] = 3
    path = runner.path / "edited.json"
    path.write_text(json.dumps(document))
    assert "accepted" in runner.run("apply", str(path), *runner.write_options)
    runner.run(
        "apply",
        runner.write(SERVICE_DOCUMENT | {"revision": 1}),
        *runner.write_options,
        code=3,
    )


def test_a_conflict_shows_the_winner_and_the_difference(runner):
    runner.apply(rank())
    runner.apply(rank(floor=0.3))
    output = runner.apply(rank(revision=1, floor=0.4), code=options.EXIT_CONFLICT)
    assert "expected revision 1, but the revision is 2" in output
    assert "winner: ada at 2026-12-04T09:00:00Z, revision 2" in output
    assert "$.spec.floor: yours 0.4, theirs 0.3" in output


def test_findings_are_all_shown_and_nothing_is_written(runner):
    output = runner.apply(rank("a", floor=0.6), rank("b", floor=0.6), code=1)
    assert "3 findings" in output
    assert not runner.log.stream_by_name


def test_dry_run_writes_nothing(runner):
    path = runner.write(rank())
    assert "would create" in runner.run("apply", path, "--dry-run", *URL)
    assert not runner.log.stream_by_name
    runner.apply(rank())
    path = runner.write(rank(floor=0.2))
    output = runner.run("apply", path, "--dry-run", *URL)
    assert "$.spec.floor: new 0.2, present 0.1" in output


def test_a_lost_response_is_resolved_by_reading_back(runner):
    """Repeating the append under a new id would write twice."""
    runner.log.next_append = platform_log.AppendUnknown("lost")
    assert "accepted at revision 1" in runner.apply(rank())
    assert len(runner.log.stream_by_name["configuration"]) == 2


def test_a_log_that_is_down_gives_unavailable_and_an_unread_effect_pending(runner):
    """A wrong exit code would make an operator repeat or omit a write."""
    runner.log.down = True
    assert "cannot be read" in runner.apply(rank(), code=options.EXIT_UNAVAILABLE)
    runner.log.down = False
    append = runner.log.append

    def fail_after(stream, records):
        append(stream, records)
        runner.log.down = True
        return platform_log.AppendUnknown("lost")

    runner.log.append = fail_after
    output = runner.apply(rank(), code=options.EXIT_PENDING)
    assert "pending (unknown)" in output
    runner.log.down = False
    record = runner.log.stream_by_name["configuration"][1]["record_id"]
    output = runner.run("wait", "--for", f"record={record}", *URL)
    assert "accepted at revision 1" in output


def test_republish_outlives_the_retention_of_the_log(runner):
    """Without a snapshot, a VM that starts later could not accept traffic."""
    runner.apply(rank(), SERVICE_DOCUMENT)
    output = runner.run("republish", *runner.write_options)
    assert "2 resources of revision 2 republished at offsets 3 to 3" in output
    runner.log.oldest = 3
    assert "urgent  2 " in runner.run("get", "traffic_rank", *URL)
    assert "accepted at revision 4" in runner.apply(rank(floor=0.2, revision=2))
    output = runner.run("history", "traffic_rank", "urgent", *URL)
    assert "records before offset 3 were removed" in output
    runner.log.oldest = 5
    runner.run("get", "traffic_rank", *URL, code=options.EXIT_UNAVAILABLE)


@pytest.mark.parametrize("url", ["entry-1", "ftp://127.0.0.1", "http://[bad"])
def test_a_wrong_url_is_wrong_usage(runner, url):
    runner.run("get", "service", "--log", url, code=options.EXIT_USAGE)


def test_drain_and_cancel(runner):
    runner.apply(SERVICE_DOCUMENT)
    output = runner.run("drain", "--instance", "s/a", *runner.write_options)
    assert "drain_order instance.s.a: accepted" in output
    missing = runner.run("drain", "--instance", "s/z", *runner.write_options, code=1)
    assert "has no instance 'z'" in missing
    runner.run("drain", "--instance", "s/a", "--cancel", *runner.write_options)
    runner.run("drain", "--instance", "s/a", "--cancel", *runner.write_options, code=1)
    runner.run("drain", "--instance", "s/a", "--vm", "v", *runner.write_options, code=2)
    runner.run("delete", "service", "s", *runner.write_options)
    assert "s " not in runner.run("get", "service", *URL)


def set_observed_status(runner, **revisions):
    vms = {
        name: {
            "live": True,
            "configuration_revision": revision,
            "draining": False,
            "age_ms": 5.0,
        }
        for name, revision in revisions.items()
    }
    runner.status = status.StatusReported(
        {
            "vm": "v1",
            "configuration_revision": 2,
            "ready": True,
            "draining": False,
            "vms": vms,
            "instances": {"s/a": {"draining": True, "in_flight": 0}},
        }
    )


def test_status_names_its_revision_and_the_vms_that_lag(runner):
    runner.apply(rank())
    runner.apply(rank(floor=0.2))
    set_observed_status(runner, v1=2, v2=1)
    entry = ["--entry", "http://127.0.0.1:2"]
    output = runner.run("get", "traffic_rank", *URL, *entry)
    assert "in force on 1 of 2 VMs" in output
    assert "reflects revision 2; the log is at revision 2" in output
    assert "lagging: v2 (revision 1)" in output
    wait = ["wait", "--timeout", "1", *URL, *entry, "--for"]
    assert "v2 (revision 1)" in runner.run(
        *wait, "in-force", code=options.EXIT_TIMED_OUT
    )
    runner.run(*wait, "drained=s/a")
    set_observed_status(runner, v1=2, v2=2)
    runner.run(*wait, "in-force")
    runner.run(*wait, "in-force=x", code=options.EXIT_USAGE)


def test_watch_prints_changes(runner):
    runner.apply(rank())
    read = runner.log.read

    def write_meanwhile(stream, offset, wait_ms=0.0, limit=1000):
        if wait_ms:
            runner.log.read = read
            runner.apply(rank(floor=0.2))
        return read(stream, offset)

    runner.log.read = write_meanwhile
    output = runner.run("watch", "--changes", "1", *URL)
    assert "traffic_rank urgent  updated" in output
    assert "$.spec.floor: before 0.1, after 0.2" in output


def test_vm_drain_is_checked_against_the_entry_vm(runner):
    set_observed_status(runner, v1=2)
    entry = ["--entry", "http://127.0.0.1:2"]
    output = runner.run("drain", "--vm", "gone", *runner.write_options, *entry, code=1)
    assert "'gone' does not exist" in output
    runner.run("drain", "--vm", "v1", *runner.write_options, *entry)


def test_long_drain_names_stay_valid_and_distinct():
    specs = [{"service": "s" * 60, "instance": "i" * 59 + end} for end in "ab"]
    names = {configuration_commands.make_drain_name(spec) for spec in specs}
    assert len(names) == 2
    assert max(map(len, names)) <= 64


@pytest.mark.parametrize("output_format", ["table", "json", "html"])
def test_burn_report_reads_the_log(runner, output_format):
    runner.apply(rank(), SERVICE_DOCUMENT)
    recorder = burn.BurnRecorder("v1", 1_799_999_700, lambda: "burn-1")
    recorder.record("s", "urgent", "late", 30.0, 1_799_999_710)
    runner.log.stream_by_name["burn"] = list(recorder.pop_summaries(1_800_000_000))
    output = runner.run("report", "burn", "--vm", "v1", *URL, "--output", output_format)
    assert "10.0" in output
    assert "missing" in output


@pytest.mark.parametrize("user", ["kaokoveld", "authority"])
def test_examples_pass_validation(runner, user):
    """New users start from the examples, so these must be valid."""
    files = [str(path) for path in sorted((ROOT / "examples" / user).glob("*.json"))]
    assert len(files) == 2
    assert "no findings" in runner.run("validate", *files)


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_names_the_command(runner, shell):
    assert "_WASABIVALVE_COMPLETE" in runner.run("completion", shell)
