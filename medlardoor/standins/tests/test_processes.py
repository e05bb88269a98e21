"""Tests of starting and ending processes."""

import os

import pytest

from medlardoor.standins import processes

READY = "import sys, json; print(json.dumps({'event': 'listening'}));"
FLUSH = "sys.stdout.flush();"
DEAF = "import signal; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
WAIT = "import time; time.sleep(600)"


def _is_running(process_id):
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


def test_no_process_outlives_its_group(tmp_path):
    """A process that ignores SIGTERM stays after a failed demonstration."""
    with (
        pytest.raises(KeyboardInterrupt),
        processes.ProcessGroup(tmp_path, stop_timeout_s=0.2) as group,
    ):
        deaf = group.start("deaf", ["-c", DEAF + READY + FLUSH + WAIT])
        willing = group.start("willing", ["-c", READY + FLUSH + WAIT])
        deaf.wait_listening()
        willing.wait_listening()
        raise KeyboardInterrupt
    assert not _is_running(deaf.process_id)
    assert not _is_running(willing.process_id)


def test_failed_start_shows_the_log(tmp_path):
    """A process that cannot start is only reported as not ready."""
    with processes.ProcessGroup(tmp_path) as group:
        process = group.start("broken", ["-c", "raise SystemExit('no port')"])
        with pytest.raises(processes.StartError, match="no port"):
            process.wait_listening()
