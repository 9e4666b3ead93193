"""Command line of the soak test.

Run: python -m tests.soak [--seeds FIRST:LAST] [--seconds S] [--gateways N]
         [--planted NAME] [--only FAULT ...]
Exits with status 1 if a promise was broken. The same seed injects the same
series of faults.
"""

import argparse
import asyncio
import sys

from tests.soak.planted import PLANTED
from tests.soak.soak import Soak


def run_seed(seed, args):
    """Run a seed, print its result and return whether all promises held."""
    soak = Soak(
        seed, args.gateways, args.seconds, args.planted or '', args.only
    )
    promises = asyncio.run(soak.run())
    served = sum(
        count for (_, status), count in promises.counts.items() if status == 200
    )
    total = sum(promises.counts.values())
    print(f'seed {seed}: {served} of {total} served', flush=True)
    for failed_at, message in promises.broken[:8]:
        print(f'  broken at {failed_at}: {message}', flush=True)
    return not promises.broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', default='1:3')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--gateways', type=int, default=4)
    parser.add_argument('--planted', choices=sorted(PLANTED))
    parser.add_argument('--only', nargs='*', default=[])
    args = parser.parse_args()
    first, last = (int(seed) for seed in args.seeds.split(':'))
    kept = [run_seed(seed, args) for seed in range(first, last + 1)]
    print(f'{sum(kept)} of {len(kept)} seeds kept every promise')
    return 0 if all(kept) else 1


if __name__ == '__main__':
    sys.exit(main())
