"""Guard what operators see and the exit codes that their scripts rely on."""

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
    """Hold several streams; ``next_append`` replaces the reply to one append."""

    def __init__(self):
        self.stream_by_name, self.next_append, self.down = {}, None, False
        self.oldest = 0

    def append(self, stream, records):
        if self.down:
            return platform_log.LogUnavailable("refused")
        found = self.stream_by_name.setdefault(stream, [])
        found += records
        reply, self.next_append = self.next_append, None
        return reply or platform_log.Appended(len(found) - len(records))

    def read(self, stream, offset, wait_ms=0.0, limit=1000):
        if self.down:
            return platform_log.LogUnavailable("refused")
        if offset < self.oldest:
            return platform_log.Gap(self.oldest)
        rows = enumerate(self.stream_by_name.get(stream, [])[offset:], start=offset)
        found = tuple(platform_log.LoggedRecord(*row) for row in rows)
        return platform_log.ReadBatch(found, offset + len(found), 0)

    def close(self):
        pass


class Bench:
    """Run commands against a log in memory."""

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
        self.sign = [*URL, "--operator", "ada", "--key-file", str(self.key)]

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
        return self.run("apply", self.write(*documents), *self.sign, code=code)


@pytest.fixture
def bench(tmp_path):
    return Bench(tmp_path)


def rank(name="urgent", revision=None, **more):
    found = {"kind": "traffic_rank", "name": name, "spec": RANK | more}
    return found if revision is None else found | {"revision": revision}


SERVICE_DOCUMENT = {"kind": "service", "name": "s", "spec": SERVICE}


def test_apply_get_describe_and_history(bench):
    shown = bench.apply(rank(), SERVICE_DOCUMENT)
    assert "service s: accepted at revision 1" in shown
    assert "unchanged at revision 2" in bench.apply(rank())
    bench.apply(rank(floor=0.3))
    assert "floor 0.3" in bench.run("get", "traffic_rank", *URL)
    assert "order: 0" in bench.run("describe", "traffic_rank", "urgent", *URL)
    shown = bench.run("history", "traffic_rank", "urgent", *URL)
    assert "$.spec.floor: before 0.1, after 0.3" in shown
    document = json.loads(bench.run("get", "service", "s", *URL, "--output", "json"))
    assert document["resources"][0]["spec"] == SERVICE
    document["resources"][0]["spec"]["slots"] = 3
    path = bench.path / "edited.json"
    path.write_text(json.dumps(document))
    assert "accepted" in bench.run("apply", str(path), *bench.sign)
    bench.run(
        "apply", bench.write(SERVICE_DOCUMENT | {"revision": 1}), *bench.sign, code=3
    )


def test_a_conflict_shows_the_winner_and_the_difference(bench):
    bench.apply(rank())
    bench.apply(rank(floor=0.3))
    shown = bench.apply(rank(revision=1, floor=0.4), code=options.CONFLICT)
    assert "expected revision 1, but the revision is 2" in shown
    assert "winner: ada at 2026-12-04T09:00:00Z, revision 2" in shown
    assert "$.spec.floor: yours 0.4, theirs 0.3" in shown


def test_findings_are_all_shown_and_nothing_is_written(bench):
    shown = bench.apply(rank("a", floor=0.6), rank("b", floor=0.6), code=1)
    assert "3 findings" in shown
    assert not bench.log.stream_by_name


def test_dry_run_writes_nothing(bench):
    path = bench.write(rank())
    assert "would create" in bench.run("apply", path, "--dry-run", *URL)
    assert not bench.log.stream_by_name
    bench.apply(rank())
    path = bench.write(rank(floor=0.2))
    shown = bench.run("apply", path, "--dry-run", *URL)
    assert "$.spec.floor: new 0.2, present 0.1" in shown


def test_a_lost_response_is_resolved_by_reading_back(bench):
    """Repeating blindly under a new id would write twice."""
    bench.log.next_append = platform_log.AppendUnknown("lost")
    assert "accepted at revision 1" in bench.apply(rank())
    assert len(bench.log.stream_by_name["configuration"]) == 2


def test_a_log_that_is_down_gives_unavailable_and_an_unread_effect_pending(bench):
    """A guess here would make an operator repeat or forget a write."""
    bench.log.down = True
    assert "cannot be read" in bench.apply(rank(), code=options.UNAVAILABLE)
    bench.log.down = False
    append = bench.log.append

    def fail_after(stream, records):
        append(stream, records)
        bench.log.down = True
        return platform_log.AppendUnknown("lost")

    bench.log.append = fail_after
    shown = bench.apply(rank(), code=options.PENDING)
    assert "pending (unknown)" in shown
    bench.log.down = False
    record = bench.log.stream_by_name["configuration"][1]["record_id"]
    shown = bench.run("wait", "--for", f"record={record}", *URL)
    assert "accepted at revision 1" in shown


def test_republish_outlives_the_retention_of_the_log(bench):
    """Without a snapshot a VM that starts later could not take traffic."""
    bench.apply(rank(), SERVICE_DOCUMENT)
    shown = bench.run("republish", *bench.sign)
    assert "2 resources of revision 2 republished at offsets 3 to 3" in shown
    bench.log.oldest = 3
    assert "urgent  2 " in bench.run("get", "traffic_rank", *URL)
    assert "accepted at revision 4" in bench.apply(rank(floor=0.2, revision=2))
    shown = bench.run("history", "traffic_rank", "urgent", *URL)
    assert "records before offset 3 were removed" in shown
    bench.log.oldest = 5
    bench.run("get", "traffic_rank", *URL, code=options.UNAVAILABLE)


@pytest.mark.parametrize("url", ["entry-1", "ftp://127.0.0.1", "http://[bad"])
def test_a_wrong_url_is_wrong_usage(bench, url):
    bench.run("get", "service", "--log", url, code=options.USAGE)


def test_drain_and_cancel(bench):
    bench.apply(SERVICE_DOCUMENT)
    shown = bench.run("drain", "--instance", "s/a", *bench.sign)
    assert "drain_order instance.s.a: accepted" in shown
    missing = bench.run("drain", "--instance", "s/z", *bench.sign, code=1)
    assert "has no instance 'z'" in missing
    bench.run("drain", "--instance", "s/a", "--cancel", *bench.sign)
    bench.run("drain", "--instance", "s/a", "--cancel", *bench.sign, code=1)
    bench.run("drain", "--instance", "s/a", "--vm", "v", *bench.sign, code=2)
    bench.run("delete", "service", "s", *bench.sign)
    assert "s " not in bench.run("get", "service", *URL)


def observed(bench, **revisions):
    vms = {
        name: {
            "live": True,
            "configuration_revision": revision,
            "draining": False,
            "age_ms": 5.0,
        }
        for name, revision in revisions.items()
    }
    bench.status = status.StatusReported(
        {
            "vm": "v1",
            "configuration_revision": 2,
            "ready": True,
            "draining": False,
            "vms": vms,
            "instances": {"s/a": {"draining": True, "in_flight": 0}},
        }
    )


def test_status_names_its_revision_and_the_vms_that_lag(bench):
    bench.apply(rank())
    bench.apply(rank(floor=0.2))
    observed(bench, v1=2, v2=1)
    entry = ["--entry", "http://127.0.0.1:2"]
    shown = bench.run("get", "traffic_rank", *URL, *entry)
    assert "in force on 1 of 2 VMs" in shown
    assert "reflects revision 2; the log is at revision 2" in shown
    assert "lagging: v2 (revision 1)" in shown
    wait = ["wait", "--timeout", "1", *URL, *entry, "--for"]
    assert "v2 (revision 1)" in bench.run(*wait, "in-force", code=options.TIMED_OUT)
    bench.run(*wait, "drained=s/a")
    observed(bench, v1=2, v2=2)
    bench.run(*wait, "in-force")
    bench.run(*wait, "in-force=x", code=options.USAGE)


def test_watch_prints_changes(bench):
    bench.apply(rank())
    advance = bench.log.read

    def write_meanwhile(stream, offset, wait_ms=0.0, limit=1000):
        if wait_ms:
            bench.log.read = advance
            bench.apply(rank(floor=0.2))
        return advance(stream, offset)

    bench.log.read = write_meanwhile
    shown = bench.run("watch", "--changes", "1", *URL)
    assert "traffic_rank urgent  updated" in shown
    assert "$.spec.floor: before 0.1, after 0.2" in shown


def test_vm_drain_is_checked_against_the_entry_vm(bench):
    observed(bench, v1=2)
    entry = ["--entry", "http://127.0.0.1:2"]
    shown = bench.run("drain", "--vm", "gone", *bench.sign, *entry, code=1)
    assert "'gone' does not exist" in shown
    bench.run("drain", "--vm", "v1", *bench.sign, *entry)


def test_long_drain_names_stay_valid_and_distinct():
    specs = [{"service": "s" * 60, "instance": "i" * 59 + end} for end in "ab"]
    names = {configuration_commands.drain_name(spec) for spec in specs}
    assert len(names) == 2
    assert max(map(len, names)) <= 64


@pytest.mark.parametrize("output", ["table", "json", "html"])
def test_burn_report_reads_the_log(bench, output):
    bench.apply(rank(), SERVICE_DOCUMENT)
    window = burn.BurnRecorder("v1", 1_799_999_700, lambda: "burn-1")
    window.record("s", "urgent", "late", 30.0, 1_799_999_710)
    bench.log.stream_by_name["burn"] = list(window.pop_summaries(1_800_000_000))
    shown = bench.run("report", "burn", "--vm", "v1", *URL, "--output", output)
    assert "10.0" in shown
    assert "missing" in shown


@pytest.mark.parametrize("user", ["kaokoveld", "authority"])
def test_examples_pass_validation(bench, user):
    """A first start from a broken example would be the first impression."""
    files = [str(path) for path in sorted((ROOT / "examples" / user).glob("*.json"))]
    assert len(files) == 2
    assert "no findings" in bench.run("validate", *files)


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_names_the_command(bench, shell):
    assert "_WASABIVALVE_COMPLETE" in bench.run("completion", shell)
