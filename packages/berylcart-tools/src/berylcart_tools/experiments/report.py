"""Draw plots and write tables from the JSON of experiments."""

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
    """Read every experiment of a directory, in the order of names."""
    return [
        json.loads(path.read_text())
        for path in sorted(directory.glob("*.json"))
    ]


def show_share(value: float | None) -> str:
    """Write a share, or that it is not known.

    >>> show_share(0.25), show_share(None)
    ('0.250', 'unknown')
    """
    return "unknown" if value is None else f"{value:.3f}"


def row_of(experiment: Experiment, run: PolicyRun) -> tuple[str, ...]:
    """Write one policy's result as the cells of a row."""
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
        show_share(run["cost"]["wasted"]),
        str(summary["broken"]),
    )


def table_of(experiments: Sequence[Experiment]) -> str:
    """Write all results as one table of Markdown."""
    lines = [
        "| " + " | ".join(HEADINGS) + " |",
        "|" + "---|" * len(HEADINGS),
    ]
    lines += [
        "| " + " | ".join(row_of(experiment, run)) + " |"
        for experiment in experiments
        for run in experiment["runs"]
    ]
    return "\n".join(lines) + "\n"


def workspace_table(experiment: Experiment) -> str:
    """Write attainment for each workspace of one experiment."""
    runs = experiment["runs"]
    names = sorted(
        {n for r in runs for n in r["summary"]["attainment_by_workspace"]}
    )
    lines = [
        "| workspace | " + " | ".join(r["policy"] for r in runs) + " |",
        "|" + "---|" * (len(runs) + 1),
    ]
    for name in names:
        cells = [
            f"{r['summary']['attainment_by_workspace'].get(name, 1.0):.4f}"
            for r in runs
        ]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def label_of(experiment: Experiment) -> str:
    """Name an experiment on an axis."""
    return f"{experiment['deployment'][:4]}\n{experiment['scenario']}"


def draw_bars(
    experiments: Sequence[Experiment],
    title: str,
    value_of: Any,
    path: Path,
) -> None:
    """Draw one group of bars for each experiment, one bar a policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=PLOT_SIZE_INCHES)
    policies = sorted({r["policy"] for e in experiments for r in e["runs"]})
    width = 0.8 / max(1, len(policies))
    for index, policy in enumerate(policies):
        points = [
            (position + index * width, value_of(run))
            for position, experiment in enumerate(experiments)
            for run in experiment["runs"]
            if run["policy"] == policy
        ]
        xs, ys = zip(*points, strict=True)
        axes.bar(xs, ys, width, label=policy)
    axes.set_xticks(range(len(experiments)))
    labels = [label_of(experiment) for experiment in experiments]
    axes.set_xticklabels(labels, fontsize=7, rotation=30)
    axes.set_title(title)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def draw_all(experiments: Sequence[Experiment], directory: Path) -> list[Path]:
    """Draw attainment, latency and wasted work."""
    plots = (
        ("attainment", lambda run: run["summary"]["attainment"]),
        ("p99-ms", lambda run: run["summary"]["latency"]["p99_ms"]),
        ("wasted", lambda run: run["cost"]["wasted"] or 0.0),
    )
    paths = []
    for name, value_of in plots:
        path = directory / f"{name}.png"
        draw_bars(experiments, name, value_of, path)
        paths.append(path)
    return paths
