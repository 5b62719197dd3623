"""Keep long-lived tasks and threads running, and log each error that nobody expected.

A task that follows the store or a peer must not end unnoticed: the process would go on
with what it knew then.
"""

import asyncio
import threading
from collections.abc import Awaitable, Callable
from concurrent import futures
from typing import Any

from wasabivalve import events, untrusted_data

RESTART_DELAY_S = 1.0
"""Time after an unexpected error before a task runs again."""

STEADY_S = 5.0
"""Time without an error after which a task counts as working again."""

FAILING_COUNT = 3
"""Errors in close succession from which on a task counts as failing.

A single value that it can't handle may be gone at the next attempt.
"""

MAX_ERROR_CHARACTERS = 200


def log_error(where: str, error: BaseException, **fields: Any) -> None:
    """Log an unexpected error with the place at which it was raised."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    at = "?" if trace is None else f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
    text = untrusted_data.excerpt(error, MAX_ERROR_CHARACTERS)
    events.emit(5, where=where, error=text, at=at, **fields)


def log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log what the event loop reports: errors of callbacks and of forgotten tasks."""
    error = context.get("exception")
    message = str(context.get("message"))
    if error is None:
        events.emit(5, where="event loop", error=message)
    else:
        log_error(f"event loop: {message}", error)


def log_task_error(where: str, task: asyncio.Task[Any]) -> None:
    """Log the error of a task that has ended, if it has one."""
    if not task.cancelled() and (error := task.exception()) is not None:
        log_error(where, error)


class _SupervisedTask:
    """Hold the state of a long-lived task; times are in s."""

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        self.started_at = 0.0
        self.failures = 0


class TaskSupervisor:
    """Run long-lived tasks, and start each one anew after an unexpected error."""

    def __init__(self) -> None:
        self.error_count = 0
        self._loop = asyncio.get_running_loop()
        self._supervised_by_name: dict[str, _SupervisedTask] = {}

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a coroutine function until it returns or all tasks are cancelled."""
        supervised = self._supervised_by_name[name] = _SupervisedTask()
        supervised.task = self._loop.create_task(
            self._keep_running(name, run, supervised)
        )

    def close(self) -> None:
        """Cancel all tasks."""
        for supervised in self._supervised_by_name.values():
            if supervised.task is not None:
                supervised.task.cancel()

    def failing_names(self) -> list[str]:
        """Return the tasks that fail again and again."""
        now = self._loop.time()
        return sorted(
            name
            for name, supervised in self._supervised_by_name.items()
            if supervised.failures >= FAILING_COUNT
            and now < supervised.started_at + STEADY_S
        )

    async def _keep_running(
        self,
        name: str,
        run: Callable[[], Awaitable[None]],
        supervised: _SupervisedTask,
    ) -> None:
        while True:
            supervised.started_at = self._loop.time()
            try:
                await run()
                return
            except Exception as error:
                if self._loop.time() >= supervised.started_at + STEADY_S:
                    supervised.failures = 0
                supervised.failures += 1
                self.error_count += 1
                log_error(name, error, failures=supervised.failures)
            await asyncio.sleep(RESTART_DELAY_S)


def log_future_error(where: str, future: futures.Future[Any]) -> None:
    """Log the error of a call on another thread, if it has one."""
    if not future.cancelled() and (error := future.exception()) is not None:
        log_error(where, error)


def log_thread_error(arguments: threading.ExceptHookArgs) -> None:
    """Log the error that has ended a thread, as the exception hook of threads."""
    name = "?" if arguments.thread is None else arguments.thread.name
    if arguments.exc_value is not None:
        log_error(f"thread {name}", arguments.exc_value)


def run_steps(where: str, step: Callable[[], None], closing: threading.Event) -> None:
    """Call a function on this thread until ``closing`` is set, whatever it raises."""
    while not closing.is_set():
        try:
            step()
        except Exception as error:
            log_error(where, error)
            closing.wait(RESTART_DELAY_S)
