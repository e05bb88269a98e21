"""Runs scenario files on real processes.

Usage: ``python -m medlardoor.scenarios.runner [--seed N] DIR|FILE...``
"""

import contextlib
import pathlib
import signal
import sys
import tempfile
import traceback

import anyio
from cleo import application, helpers
from cleo.commands import command
from cleo.io.inputs import argv_input
import result

from medlardoor import errors
from medlardoor.scenarios import planning
from medlardoor.scenarios import world as world_module

__all__ = ["main", "run_scenario"]

DEFAULT_SEED = 1
# A scenario that takes longer hangs; each wait is bounded by itself.
TIME_LIMIT_S = 180.0


async def run_scenario(
    planned: list[planning.PlannedStep], directory: pathlib.Path, seed: int
) -> result.Result[None, errors.Failure]:
    """Runs a scenario and ends all processes that it started.

    Args:
        planned: Checked steps.
        directory: Empty folder of settings, output and records.
        seed: Seed of all programs.
    """
    line = 0
    async with anyio.create_task_group() as tasks:
        world = world_module.World(directory, seed, tasks)
        tasks.start_soon(world.poll)
        tasks.start_soon(world.respawn)
        try:
            with anyio.fail_after(TIME_LIMIT_S):
                for step in planned:
                    line = step.line
                    done = await step.run(world)
                    if done.is_err():
                        return _failed(line, done.unwrap_err().message)
        except TimeoutError:
            return _failed(line, "time limit exceeded")
        finally:
            world.kill_all()
            tasks.cancel_scope.cancel()
    return result.Ok(None)


def _failed(line, detail):
    return result.Err(world_module.Observation(f"line {line}: {detail}"))


class RunCommand(command.Command):
    """Runs scenarios and prints a line for each."""

    name = "run"
    description = "Run scenario files on real processes."
    arguments = [
        helpers.argument("paths", "Scenario files or folders.", multiple=True)
    ]
    options = [
        helpers.option(
            "seed", None, "Seed.", flag=False, default=str(DEFAULT_SEED)
        ),
        helpers.option("keep", None, "Folder for output.", flag=False),
    ]

    def handle(self) -> int:
        """Runs all scenarios, one after the other."""
        seed = int(self.option("seed"))
        failed = 0
        files = _files(self.argument("paths"))
        for path in files:
            ended = self._run_file(path, seed)
            if ended.is_ok():
                self.line(f"PASS {path.stem}")
                continue
            failed += 1
            self.line(f"FAIL {path.stem} seed {seed}")
            self.line(f"  {ended.unwrap_err().message}")
            self.line(
                f"  python -m medlardoor.scenarios.runner --seed {seed} {path}"
            )
        self.line(f"{len(files) - failed} passed, {failed} failed")
        return 1 if failed or not files else 0

    def _run_file(self, path, seed):
        planned = planning.plan(path.read_text(), str(path))
        if planned.is_err():
            return planned
        try:
            with self._folder(path) as name:
                return anyio.run(
                    run_scenario, planned.unwrap(), pathlib.Path(name), seed
                )
        except Exception:  # A defect must not hide the other scenarios.
            return _failed(0, traceback.format_exc())

    def _folder(self, path):
        kept = self.option("keep")
        if not kept:
            return tempfile.TemporaryDirectory(prefix="medlardoor-scenario-")
        folder = pathlib.Path(kept) / path.stem
        folder.mkdir(parents=True)
        return contextlib.nullcontext(folder)


def _files(names: list[str]) -> list[pathlib.Path]:
    files = []
    for path in map(pathlib.Path, names):
        files += sorted(path.glob("*.scenario")) if path.is_dir() else [path]
    return files


def _interrupt(number, frame):
    raise KeyboardInterrupt


def main() -> int:
    """Runs the scenarios that the command line names."""
    # Ends the processes of the scenario when the runner is ended.
    signal.signal(signal.SIGTERM, _interrupt)
    app = application.Application("medlardoor-scenarios")
    app.add(RunCommand())
    arguments = [sys.argv[0], RunCommand.name, *sys.argv[1:]]
    return app.run(argv_input.ArgvInput(arguments))


if __name__ == "__main__":
    sys.exit(main())
