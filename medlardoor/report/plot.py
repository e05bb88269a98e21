"""Plot of service-level burn."""

import matplotlib as mpl

from medlardoor.report import burn

# Agg draws into files without a display; it has to be chosen before the
# import of pyplot.
mpl.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["save_plot"]

BAR_HEIGHT = 0.38
WIDTH_INCHES = 6.0
ROW_INCHES = 0.7
MARGIN_INCHES = 1.2
# A burn of 0 is drawn at this value on the logarithmic axis.
SMALLEST_BURN = 0.01


def save_plot(report: burn.BurnReport, path: str) -> None:
    """Draws the burn of each kind over both windows as bars.

    Args:
        report: Report of one or several nodes.
        path: File to write; the suffix decides the format.
    """
    names = [kind.kind for kind in report.kinds]
    height = MARGIN_INCHES + ROW_INCHES * len(names)
    figure, axes = pyplot.subplots(
        figsize=(WIDTH_INCHES, height), layout="constrained"
    )
    rows = range(len(names))
    for offset, label in ((-BAR_HEIGHT, "short"), (0.0, "long")):
        spans = [getattr(kind, label) for kind in report.kinds]
        axes.barh(
            [row + offset for row in rows],
            [max(span.burn, SMALLEST_BURN) for span in spans],
            BAR_HEIGHT,
            align="edge",
            label=f"{label} window",
        )
    axes.axvline(1.0, color="black", linewidth=1, linestyle="--")
    axes.set_xscale("log")
    axes.set_yticks(list(rows), names)
    axes.invert_yaxis()
    axes.set_xlabel("bad share / allowed share")
    axes.legend()
    figure.savefig(path, dpi=150)
    pyplot.close(figure)
