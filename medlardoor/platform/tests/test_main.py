"""Tests of the program as a process."""

import os
import signal
import subprocess
import sys
import time


def test_signal_during_the_start_does_not_end_the_process(tmp_path):
    """A change of the settings file ends a node that is starting."""
    # Settings that are not valid end the program by itself, after its imports.
    settings = tmp_path / "node.conf"
    settings.write_text("self.node=n\n")
    process = subprocess.Popen(
        [sys.executable, "-m", "medlardoor.platform.main"],
        env={**os.environ, "MEDLARDOOR_BOOT": str(settings)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    try:
        _wait_until_ignored(process)
        process.send_signal(signal.SIGHUP)
        _, error = process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 78
    assert b"self.service" in error


def test_start_does_not_import_trio(tmp_path):
    """A start takes longer and more memory where Trio is installed."""
    settings = tmp_path / "node.conf"
    settings.write_text("self.node=n\n")
    ended = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "medlardoor.platform.main"],
        env={**os.environ, "MEDLARDOOR_BOOT": str(settings)},
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert ended.returncode == 78
    assert b" httpcore\n" in ended.stderr
    assert b" trio._core\n" not in ended.stderr


def _wait_until_ignored(process):
    """Waits until the process has set up its handling of SIGHUP."""
    mask = 1 << (signal.SIGHUP - 1)
    until = time.monotonic() + 20
    while time.monotonic() < until and process.poll() is None:
        with open(f"/proc/{process.pid}/status") as status:
            ignored = next(row for row in status if row.startswith("SigIgn"))
        if int(ignored.split()[1], 16) & mask:
            return
        time.sleep(0.002)
    raise AssertionError("SIGHUP is never ignored during the start")
