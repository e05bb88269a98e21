"""Plots of bench runs."""

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from medlardoor.bench import (
    cases,  # noqa: E402
    measures,  # noqa: E402
    runner,  # noqa: E402
)

__all__ = ["draw"]

_PANELS = (
    ("arrivals", "requests/s"),
    ("goodput", "weighted goodput/s"),
    ("queued", "queued at bottleneck"),
    ("limit", "sum of limits"),
)


def draw(
    case: cases.Case,
    samples: dict[runner.Variant, list[measures.Sample]],
    path: pathlib.Path,
) -> None:
    """Draws load, goodput, queue and limit over time.

    Args:
        case: The case.
        samples: State over time by variant.
        path: File to write.
    """
    figure, axes = pyplot.subplots(
        len(_PANELS), 1, sharex=True, figsize=(8, 9), layout="constrained"
    )
    for axis, (field, label) in zip(axes, _PANELS, strict=True):
        for variant, rows in samples.items():
            times = [row.at for row in rows]
            values = [getattr(row, field) for row in rows]
            axis.plot(times, values, label=variant.value, linewidth=1)
        axis.axvspan(case.begin_s, case.end_s, color="0.92")
        axis.set_ylabel(label)
        axis.set_ylim(bottom=0)
    axes[0].set_title(case.name)
    axes[1].legend(loc="upper right", fontsize="small")
    axes[-1].set_xlabel("time, s")
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
