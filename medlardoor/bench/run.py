"""Command ``python -m medlardoor.bench.run``."""

from collections import abc
import dataclasses
import json
import pathlib
import sys
import time

from cleo import application as cleo_application
from cleo import helpers
from cleo.commands import command as cleo_command

from medlardoor.bench import cases, measures, possible, runner

__all__ = ["RunCommand", "main"]

PREVIOUS = pathlib.Path(__file__).parent / "previous.json"

# Targets at the end of section 1 of the design.
GOODPUT_TARGET = 0.95
TOP_GOODPUT_TARGET = 0.995
RECOVERY_TARGET_S = 2.0
WASTED_TARGET = 0.02


@dataclasses.dataclass(frozen=True)
class Verdict:
    """One target of one case.

    Attributes:
        target: What was required.
        met: Whether it was met.
    """

    target: str
    met: bool


def judge(
    case: cases.Case, figures: dict[runner.Variant, measures.Figures]
) -> list[Verdict]:
    """Compares the figures of one case with the targets.

    Args:
        case: The case.
        figures: Figures by variant.
    """
    own = figures[runner.Variant.MEDLARDOOR]
    others = [
        f for v, f in figures.items() if v is not runner.Variant.MEDLARDOOR
    ]
    budget = max(kind.retry_budget for kind in case.company.kinds)
    verdicts = [
        Verdict("goodput >= 95 %", own.goodput >= GOODPUT_TARGET),
        Verdict("recovery <= 2 s", own.recovery_s <= RECOVERY_TARGET_S),
        Verdict("wasted < 2 %", own.wasted < WASTED_TARGET),
        Verdict(
            "goodput not below baselines",
            all(own.goodput >= f.goodput for f in others),
        ),
        Verdict(
            "top kind not below baselines",
            all(own.top_goodput >= f.top_goodput for f in others),
        ),
        Verdict(
            "recovery not after baselines",
            all(own.recovery_s <= f.recovery_s for f in others),
        ),
        Verdict("no disorder", own.disorder == 0),
        Verdict("retries within the budget", own.retries_most <= budget),
    ]
    if possible.top_kind_fits(case):
        met = own.top_goodput >= TOP_GOODPUT_TARGET
        verdicts.insert(1, Verdict("top kind >= 99.5 %", met))
    return verdicts


class RunCommand(cleo_command.Command):
    """Runs cases and prints figures, verdicts and differences."""

    name = "run"
    description = "Runs bench cases with medlardoor and both baselines."
    arguments = [  # noqa: RUF012
        helpers.argument(
            "cases",
            "Names of cases; all if none.",
            optional=True,
            multiple=True,
        )
    ]
    options = [  # noqa: RUF012
        helpers.option("json", None, "File for the figures.", flag=False),
        helpers.option("plot", None, "Directory for plots.", flag=False),
    ]

    def handle(self) -> int:
        """Runs the command; 1 if a case is not known."""
        names = self.argument("cases") or list(cases.CASES)
        unknown = [name for name in names if name not in cases.CASES]
        if unknown:
            known = ", ".join(cases.CASES)
            self.line_error(f"Unknown cases {unknown}; known are {known}.")
            return 1
        began = time.monotonic()
        rows = self._run_all(names)
        self._print_differences(rows)
        self.line(f"{time.monotonic() - began:.0f} s")
        if self.option("json"):
            text = json.dumps(rows, indent=1) + "\n"
            pathlib.Path(self.option("json")).write_text(text)
        return 0

    def _run_all(self, names: abc.Sequence[str]) -> dict[str, dict]:
        rows = {}
        missed = 0
        total = 0
        for name in names:
            case = cases.CASES[name]
            self.line(f"\n{name}")
            figures = {}
            samples = {}
            for variant in runner.Variant:
                run = runner.run_case(case, variant)
                figures[variant], samples[variant] = run
                self.line(_row(variant.value, figures[variant]))
            verdicts = judge(case, figures)
            for verdict in verdicts:
                mark = "met   " if verdict.met else "MISSED"
                self.line(f"  {mark} {verdict.target}")
            missed += sum(not v.met for v in verdicts)
            total += len(verdicts)
            rows[name] = dataclasses.asdict(figures[runner.Variant.MEDLARDOOR])
            self._plot(case, samples)
        self.line(f"\n{total - missed} of {total} targets met")
        return rows

    def _plot(self, case: cases.Case, samples: dict) -> None:
        if not self.option("plot"):
            return
        # Imported late: matplotlib takes a second to load, and only the plots
        # need it.
        from medlardoor.bench import plots

        directory = pathlib.Path(self.option("plot"))
        directory.mkdir(parents=True, exist_ok=True)
        plots.draw(case, samples, directory / f"{case.name}.png")

    def _print_differences(self, rows: dict[str, dict]) -> None:
        if not PREVIOUS.exists():
            return
        previous = json.loads(PREVIOUS.read_text())
        self.line("\nDifference to the previous commit")
        for name, row in rows.items():
            before = previous.get(name)
            if before is None:
                continue
            parts = [
                f"{key} {before[key]:.3f} -> {row[key]:.3f}"
                for key in ("goodput", "top_goodput", "recovery_s", "wasted")
                if abs(before[key] - row[key]) >= 0.0005
            ]
            self.line(f"  {name}: {'; '.join(parts) or 'none'}")


def _row(label: str, figures: measures.Figures) -> str:
    refusals = " ".join(
        f"{kind}={share:.3f}" for kind, share in figures.refusals.items()
    )
    return (
        f"  {label:11} goodput {figures.goodput:.3f}"
        f" top {figures.top_goodput:.4f}"
        f" recovery {figures.recovery_s:.2f} s"
        f" wasted {figures.wasted:.4f}"
        f" retries {figures.retries_mean:.3f}/{figures.retries_most}"
        f" disorder {figures.disorder:.2f} s"
        f" crashes {figures.crashes}\n"
        f"              refused: {refusals}"
    )


def main() -> None:
    """Runs the command with the arguments of the process."""
    application = cleo_application.Application("medlardoor-bench")
    application.add(RunCommand())
    # The module runs one command, so its name is not typed.
    sys.argv.insert(1, RunCommand.name)
    application.run()


if __name__ == "__main__":
    main()
