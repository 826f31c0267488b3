"""Measures how fast what crashes servers is found.

That is a part of prompts, or one request that comes again and again. Prints
for each number of gateways, over seeds: servers that crashed in all, time from
the third crash until the last gateway refuses it, runs of requests with it
after that, and sound requests refused by mistake.

    python -m experiments.quarantine [--request]
"""

import argparse
import logging
import statistics

from shallothinge.quarantine.tests import simulation

SEEDS = range(20)
GATEWAYS = (3, 8, 70)
SHARES = (0.02, 0.05, 0.2)
PER_S = 40.0
PLAY_MS = 20_000
BLAMED_CRASH = 3


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--request', action='store_true')
    is_request = parser.parse_args().request
    logging.disable(logging.CRITICAL)
    print(
        'gateways  share  crashes (median, most)  known after ms (median,'
        ' most)  later runs  sound refused'
    )
    for gateways in GATEWAYS:
        for share in SHARES:
            print(_row(gateways, share, is_request=is_request))


def _row(gateways: int, share: float, *, is_request: bool) -> str:
    crashes, known_ms = [], []
    later = refused = sound = 0
    for seed in SEEDS:
        played = simulation.Simulation(
            seed=seed,
            gateways=gateways,
            per_s=PER_S,
            share=0.0 if is_request else share,
            repeated_share=share if is_request else 0.0,
        )
        played.run(PLAY_MS)
        crashes.append(len(played.crash_times_ms))
        if played.known_ms is not None:
            third_ms = played.crash_times_ms[BLAMED_CRASH - 1]
            known_ms.append(played.known_ms - third_ms)
        later += played.runs_after
        refused += played.refused_sound
        sound += played.sound
    return (
        f'{gateways:8}  {share:5}  {statistics.median(crashes):7}'
        f' {max(crashes):5}  {statistics.median(known_ms):7}'
        f' {max(known_ms):5}  {later:5}  {refused} of {sound}'
    )


if __name__ == '__main__':
    main()
