"""Test that no unexpected error ends a long-lived task unnoticed."""

import asyncio

import pytest

from wasabivalve import supervision


@pytest.fixture
def emitted(monkeypatch):
    """Return the events that are emitted, as pairs of number and fields."""
    emitted = []
    monkeypatch.setattr(
        supervision.events, "emit", lambda number, **fields: emitted.append(fields)
    )
    return emitted


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(supervision, "STEADY_S", 0.2)


def nested(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


def test_task_runs_again_after_an_unexpected_error(emitted):
    """A task that ended without a line in the log left its VM with old knowledge."""

    async def main():
        runs = []

        async def run():
            runs.append(len(runs))
            if len(runs) == 1:
                raise KeyError("a")
            await asyncio.sleep(3600.0)

        supervisor = supervision.TaskSupervisor()
        supervisor.start("follower", run)
        await asyncio.sleep(0.1)
        assert runs == [0, 1]
        assert supervisor.error_count == 1
        assert not supervisor.failing_names()
        assert [fields["where"] for fields in emitted] == ["follower"]
        assert emitted[0]["at"].startswith("run:")
        supervisor.close()

    asyncio.run(main())


def test_task_that_fails_again_and_again_is_named_until_it_works(emitted):
    """A process whose task makes no progress must not look well."""

    async def main():
        is_broken = True

        async def run():
            if is_broken:
                raise ValueError("odd")
            await asyncio.sleep(3600.0)

        supervisor = supervision.TaskSupervisor()
        supervisor.start("follower", run)
        await asyncio.sleep(0.1)
        assert supervisor.failing_names() == ["follower"]
        is_broken = False
        await asyncio.sleep(0.3)
        assert not supervisor.failing_names()
        supervisor.close()

    asyncio.run(main())


def test_task_that_returns_does_not_run_again(emitted):
    async def main():
        runs = []

        async def run():
            runs.append(1)

        supervisor = supervision.TaskSupervisor()
        supervisor.start("member", run)
        await asyncio.sleep(0.05)
        assert runs == [1]
        assert not emitted

    asyncio.run(main())


def test_error_whose_text_can_not_be_printed_is_logged(emitted):
    """Logging an error must not raise the next one."""
    supervision.log_error("x", ValueError(nested(5_000)))
    supervision.log_error("x", ValueError("a" * 100_000))
    assert all(
        len(fields["error"]) <= supervision.MAX_ERROR_CHARACTERS for fields in emitted
    )


def test_errors_of_callbacks_and_forgotten_tasks_are_logged(emitted):
    """They were printed on another stream than the events, or not at all."""

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(supervision.log_loop_error)

        def fail():
            raise KeyError("callback")

        async def fail_later():
            raise KeyError("task")

        loop.call_soon(fail)
        task = loop.create_task(fail_later())
        await asyncio.sleep(0.01)
        del task
        await asyncio.sleep(0.01)

    asyncio.run(main())
    assert [fields["error"] for fields in emitted] == [
        "KeyError('callback')",
        "KeyError('task')",
    ]
