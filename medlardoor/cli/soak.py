"""Command line of the fault soak; not part of the system."""

import functools
import pathlib
import random
import sys
import tempfile

import anyio
from cleo import helpers
from cleo.commands import command

from medlardoor.cli import settings_option
from medlardoor.soak import run as run_module

__all__ = ["SoakCommand", "main"]

EXIT_FINDING = 1


class SoakCommand(command.Command):
    """Runs real nodes with random faults and checks what must hold."""

    name = "soak"
    description = "Run nodes with random faults and check the promises."
    options = [
        helpers.option(
            "seed", None, "Seed of the first run; drawn if missing.", flag=False
        ),
        helpers.option(
            "runs", None, "Number of runs.", flag=False, default="1"
        ),
        helpers.option(
            "minutes", None, "Length of a run.", flag=False, default="1"
        ),
        helpers.option(
            "crashes", None, "Send requests that crash upstreams.", flag=True
        ),
        helpers.option(
            "build",
            None,
            "Folder with the sources of the nodes, such as an earlier build.",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        """Runs the seeds one after the other."""
        seed = self.option("seed")
        first = random.SystemRandom().randrange(10**6)
        if seed is not None:
            first = int(seed)
        failed = 0
        for number in range(int(self.option("runs"))):
            failed += not self._run(first + number)
        self.line(f"{failed} runs with findings")
        return EXIT_FINDING if failed else settings_option.EXIT_OK

    def _run(self, seed: int) -> bool:
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        minutes = float(self.option("minutes"))
        build = self.option("build")
        report = anyio.run(
            functools.partial(
                run_module.run,
                seed,
                minutes,
                directory,
                has_returns=True,
                has_late_copies=True,
                has_crashing_request=bool(self.option("crashes")),
                build=None if build is None else pathlib.Path(build).resolve(),
            )
        )
        self.line(f"seed {seed}: {report.outcomes}")
        for finding in report.findings:
            self.line(
                f"seed {seed}: {finding.promise} at {finding.at_s:.2f} s: "
                f"{finding.detail}"
            )
        if report.findings:
            for line in report.faults:
                self.line(line)
            self.line(f"logs: {directory}")
        return not report.findings


def main() -> int:
    """Runs the soak with the options of the command line."""
    return settings_option.run_single("medlardoor-soak", SoakCommand())


if __name__ == "__main__":
    sys.exit(main())
