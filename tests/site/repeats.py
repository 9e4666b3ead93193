"""The repeats that the gateways of a site counted, next to those that arrived.

Gateways that end write their counters to the log; the others are asked.
"""

from collections import Counter

from tests.support.gateway_metrics import read_metrics


async def counted_repeats(fleet):
    """Return the repeats by service, role and charge."""
    counted = Counter()
    for name, proc in fleet.procs.items():
        for line in fleet.lines(name):
            if line['event'] == 'repeats':
                counted.update(line['sent'])
        if proc.poll() is None:
            samples = await read_metrics(fleet.host(name))
            counted.update(
                {
                    '{service} {role} {charge}'.format(**dict(labels)): int(
                        value
                    )
                    for (metric, labels), value in samples.items()
                    if metric == 'crocusroad_repeats_total'
                }
            )
    return counted


def describe(counted):
    """Return one line with the sums by role and charge."""
    sums = Counter()
    for labels, count in counted.items():
        sums[labels.partition(' ')[2]] += count
    parts = ', '.join(f'{key}: {sums[key]}' for key in sorted(sums))
    return f'{sum(sums.values())} repeats counted by gateways ({parts})'
