"""Starts and ends the processes of demonstrations and tests."""

import contextlib
import dataclasses
import json
import os
import pathlib
import selectors
import signal
import subprocess
import sys
import time
import typing

from medlardoor import errors

__all__ = ["ManagedProcess", "NotListening", "ProcessGroup", "StartError"]

STOP_TIMEOUT_S = 8.0


@dataclasses.dataclass(frozen=True)
class NotListening(errors.Failure):
    """A process that did not listen or answer in time.

    Attributes:
        name: Name of the process.
        detail: End of its log, or its last answer.
    """

    name: str
    detail: str

    @property
    def message(self) -> str:
        """One sentence for a log line or an operator."""
        return f"{self.name} is not ready: {self.detail}"


class StartError(Exception):
    """Raised by `ManagedProcess.wait_listening`; holds the failure."""

    def __init__(self, failure: NotListening):
        super().__init__(failure.message)
        self.failure = failure


class ManagedProcess:
    """One Python process in a session of its own, ended by process id.

    Ctrl-C at the terminal reaches only the process that started it, which
    then ends the others in order.

    Args:
        name: Name for messages and the log file.
        arguments: Arguments of the Python interpreter.
        directory: Directory of the log file.
        environment: Variables that are added to those of this process.
        logs_output: Whether standard output goes to the log file as well;
            there are no events to read then.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        directory: pathlib.Path,
        environment: dict[str, str] | None = None,
        logs_output: bool = False,
    ):
        self.name = name
        self._log_path = directory / f"{name}.log"
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log if logs_output else subprocess.PIPE,
                stderr=log,
                start_new_session=True,
                env={**os.environ, **(environment or {})},
            )
        self._buffer = b""

    @property
    def process_id(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status; None while the process runs."""
        return self._process.poll()

    def read_event(self, timeout_s: float) -> dict[str, typing.Any] | None:
        """Reads the next JSON line; None at the end or after the time."""
        deadline = time.monotonic() + timeout_s
        with selectors.DefaultSelector() as selector:
            selector.register(self._process.stdout, selectors.EVENT_READ)
            while b"\n" not in self._buffer:
                left_s = deadline - time.monotonic()
                if left_s <= 0 or not selector.select(left_s):
                    return None
                data = os.read(self._process.stdout.fileno(), 65_536)
                if not data:
                    return None
                self._buffer += data
        line, self._buffer = self._buffer.split(b"\n", 1)
        return json.loads(line)

    def wait_listening(self, timeout_s: float = 15.0) -> dict[str, typing.Any]:
        """Waits until the process reports its listeners.

        Raises:
            StartError: It did not do so in time.
        """
        event = self.read_event(timeout_s)
        if event is None or event.get("event") != "listening":
            log = self._log_path.read_text()[-500:]
            raise StartError(NotListening(self.name, log))
        return event

    def send_signal(self, number: int) -> None:
        """Sends a signal if the process runs."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def begin_stop(self) -> None:
        """Sends SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end."""
        self._process.kill()
        self._process.wait()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ends the process, by SIGKILL if SIGTERM does not in time."""
        self.begin_stop()
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
        if self._process.stdout is not None:
            self._process.stdout.close()
        return self._process.returncode


class ProcessGroup(contextlib.AbstractContextManager):
    """Processes that end when the context ends.

    Args:
        directory: Directory of settings, logs and records.
        stop_timeout_s: Time to stop before SIGKILL, in seconds.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        stop_timeout_s: float = STOP_TIMEOUT_S,
    ):
        self.directory = directory
        self._stop_timeout_s = stop_timeout_s
        self._processes = []

    def start(self, name: str, arguments: list[str]) -> ManagedProcess:
        """Starts a process."""
        process = ManagedProcess(name, arguments, self.directory)
        self._processes.append(process)
        return process

    def start_with_settings(
        self, name: str, arguments: list[str], settings: dict[str, typing.Any]
    ) -> ManagedProcess:
        """Starts a process with a settings file of its own."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self.start(name, [*arguments, "--settings", str(path)])

    def stop_all(self) -> None:
        """Ends all processes, the last started first."""
        processes = self._processes[::-1]
        self._processes = []
        for process in processes:
            process.begin_stop()
        deadline = time.monotonic() + self._stop_timeout_s
        for process in processes:
            process.stop(max(0.0, deadline - time.monotonic()))

    def __exit__(self, *exception: object) -> None:
        self.stop_all()
