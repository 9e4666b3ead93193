"""The metrics page of a gateway."""

import re

from tests.support.fleet import METRICS_PORT, exchange

SAMPLE = re.compile(r'(\w+)\{(.*)\} (\S+)')
LABEL = re.compile(r'(\w+)="([^"]*)"')
RAW = b'GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n'


async def read_metrics(host):
    """Return the samples with labels: {(name, labels): value}."""
    body = (await exchange((host, METRICS_PORT), RAW)).body.decode()
    return {
        (name, frozenset(LABEL.findall(labels))): float(value)
        for name, labels, value in SAMPLE.findall(body)
    }


def total(samples, name, **labels):
    """Return the sum of the samples that have these labels."""
    wanted = labels.items()
    return sum(
        value
        for (sample, pairs), value in samples.items()
        if sample == name and wanted <= pairs
    )
