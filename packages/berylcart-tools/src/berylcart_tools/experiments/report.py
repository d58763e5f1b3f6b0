"""Plots and Markdown tables from the JSON results of experiments."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from berylcart_tools.experiments.runner import Experiment, PolicyRun

PLOT_SIZE_INCHES = (9.0, 4.5)
DOTS_PER_INCH = 110
HEADINGS = (
    "deployment",
    "scenario",
    "seed",
    "policy",
    "calls",
    "attainment",
    "goodput/s",
    "p50 ms",
    "p99 ms",
    "refused p99 ms",
    "wasted",
    "broken",
)


def load_experiments(directory: Path) -> list[Experiment]:
    """Load all experiment results in a directory, sorted by file name."""
    return [
        json.loads(path.read_text())
        for path in sorted(directory.glob("*.json"))
    ]


def format_share(value: float | None) -> str:
    """Format a fraction with three decimals, or None as unknown.

    >>> format_share(0.25), format_share(None)
    ('0.250', 'unknown')
    """
    return "unknown" if value is None else f"{value:.3f}"


def format_row(experiment: Experiment, run: PolicyRun) -> tuple[str, ...]:
    """Format the result of one policy as the cells of a table row."""
    summary = run["summary"]
    return (
        experiment["deployment"],
        experiment["scenario"],
        str(experiment["seed"]),
        run["policy"],
        str(summary["calls"]),
        f"{summary['attainment']:.4f}",
        f"{summary['goodput']:.1f}",
        f"{summary['latency']['p50_ms']:.0f}",
        f"{summary['latency']['p99_ms']:.0f}",
        f"{summary['refusal_latency']['p99_ms']:.1f}",
        format_share(run["cost"]["wasted"]),
        str(summary["broken"]),
    )


def format_results_table(experiments: Sequence[Experiment]) -> str:
    """Format the results of all experiments as a Markdown table."""
    lines = [
        "| " + " | ".join(HEADINGS) + " |",
        "|" + "---|" * len(HEADINGS),
    ]
    lines += [
        "| " + " | ".join(format_row(experiment, run)) + " |"
        for experiment in experiments
        for run in experiment["runs"]
    ]
    return "\n".join(lines) + "\n"


def format_workspace_table(experiment: Experiment) -> str:
    """Format attainment by workspace and policy as a Markdown table."""
    runs = experiment["runs"]
    names = sorted(
        {
            name
            for run in runs
            for name in run["summary"]["attainment_by_workspace"]
        }
    )
    lines = [
        "| workspace | " + " | ".join(run["policy"] for run in runs) + " |",
        "|" + "---|" * (len(runs) + 1),
    ]
    for name in names:
        cells = [
            f"{run['summary']['attainment_by_workspace'].get(name, 1.0):.4f}"
            for run in runs
        ]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def axis_label(experiment: Experiment) -> str:
    """Return the axis label of an experiment."""
    return f"{experiment['deployment'][:4]}\n{experiment['scenario']}"


def draw_bars(
    experiments: Sequence[Experiment],
    title: str,
    read_value: Any,
    path: Path,
) -> None:
    """Draw a grouped bar chart, one group per experiment, a bar per policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=PLOT_SIZE_INCHES)
    policies = sorted(
        {
            run["policy"]
            for experiment in experiments
            for run in experiment["runs"]
        }
    )
    width = 0.8 / max(1, len(policies))
    for index, policy in enumerate(policies):
        points = [
            (position + index * width, read_value(run))
            for position, experiment in enumerate(experiments)
            for run in experiment["runs"]
            if run["policy"] == policy
        ]
        xs, ys = zip(*points, strict=True)
        axes.bar(xs, ys, width, label=policy)
    axes.set_xticks(range(len(experiments)))
    labels = [axis_label(experiment) for experiment in experiments]
    axes.set_xticklabels(labels, fontsize=7, rotation=30)
    axes.set_title(title)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def draw_plots(
    experiments: Sequence[Experiment], directory: Path
) -> list[Path]:
    """Draw charts of attainment, latency and wasted work."""
    plots = (
        ("attainment", lambda run: run["summary"]["attainment"]),
        ("p99-ms", lambda run: run["summary"]["latency"]["p99_ms"]),
        ("wasted", lambda run: run["cost"]["wasted"] or 0.0),
    )
    paths = []
    for name, read_value in plots:
        path = directory / f"{name}.png"
        draw_bars(experiments, name, read_value, path)
        paths.append(path)
    return paths
