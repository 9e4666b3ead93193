"""Figures of a bench run as a table, as JSON and as a plot."""

import json
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from bench._load import Tally

PERCENTILES = (50, 99, 99.9)
COLUMNS = (
    'case',
    'kind',
    'sent',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'coverage',
    'whole',
    'in time',
    'refused',
    'cut',
)


def figures(
    tallies: dict[str, Tally], extra: float, seconds: float
) -> dict[str, Any]:
    """Return the figures of one case."""
    kinds = {name: _kind(tally, seconds) for name, tally in tallies.items()}
    weight = sum(tally.worth * tally.sent for tally in tallies.values())
    won = sum(tally.worth * tally.in_time for tally in tallies.values())
    p99 = sum(
        tally.worth * tally.sent * kinds[name]['p99']
        for name, tally in tallies.items()
    )
    return {
        'kinds': kinds,
        'extra_load': extra,
        'worth_in_time': won / weight if weight else 0.0,
        'p99_by_worth': p99 / weight if weight else 0.0,
        'goodput': sum(tally.in_time for tally in tallies.values()) / seconds,
    }


def _kind(tally: Tally, seconds: float) -> dict[str, Any]:
    at = tally.latency.get_value_at_percentile
    cut = sum(
        count
        for reason, count in tally.refusals.items()
        if reason.startswith('cut')
    )
    return {
        'worth': tally.worth,
        'sent': tally.sent,
        'answered': tally.answered,
        'whole': tally.whole,
        'in_time': tally.in_time,
        'goodput': tally.in_time / seconds,
        'coverage': tally.coverage / max(tally.answered, 1),
        'refusals': tally.refusals,
        'cut': cut,
        **{f'p{point:g}': at(point) / 1000 for point in PERCENTILES},
    }


def print_table(results: dict[str, Any], console: Console) -> None:
    """Print one row a case and kind, and one for the case as a whole."""
    table = Table(*COLUMNS, title='crocusroad bench')
    for case, result in results.items():
        for name, kind in result['kinds'].items():
            table.add_row(*_row(case, name, kind))
        table.add_row(
            case,
            'by worth',
            '',
            '',
            f'{result["p99_by_worth"]:.1f}',
            '',
            '',
            '',
            f'{result["worth_in_time"]:.1%}',
            '',
            f'extra {result["extra_load"]:.2%}',
        )
    console.print(table)


def _row(case: str, name: str, kind: dict[str, Any]) -> list[str]:
    refused = kind['sent'] - kind['answered'] - kind['cut']
    return [
        case,
        name,
        str(kind['sent']),
        f'{kind["p50"]:.1f}',
        f'{kind["p99"]:.1f}',
        f'{kind["p99.9"]:.1f}',
        f'{kind["coverage"]:.4f}',
        str(kind['whole']),
        str(kind['in_time']),
        str(refused),
        str(kind['cut']),
    ]


def write_json(results: dict[str, Any], path: Path) -> None:
    """Write the figures as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(results, indent=1))


def write_plot(results: dict[str, Any], path: Path) -> None:
    """Plot p99 by worth and extra load of each case."""
    import matplotlib as mpl

    mpl.use('Agg')
    from matplotlib import pyplot

    cases = list(results)
    size = (10, 1.5 + 0.35 * len(cases))
    figure, (left, right) = pyplot.subplots(1, 2, sharey=True, figsize=size)
    left.barh(cases, [results[case]['p99_by_worth'] for case in cases])
    left.set_xlabel('p99 by worth, ms')
    right.barh(cases, [results[case]['extra_load'] * 100 for case in cases])
    right.set_xlabel('extra load on upstreams, %')
    figure.tight_layout()
    figure.savefig(path)
