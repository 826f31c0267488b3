"""Measures what the quarantine makes of servers that crash at one moment.

Prints for each cause, size of the groups and rate of usual requests, over
seeds: plays in which deadly requests reach servers more than three times
later than 3 s after the third crash (the fifth for parts), such runs in all,
and sound requests refused by mistake.

    python -m experiments.quarantine_moments [--seeds N] [--places-unknown]

With unknown places, all crashes of one moment count once.
"""

import argparse
import logging

from shallothinge.quarantine.tests import moments_simulation

GATEWAYS = 4
SIZES = (2, 4, 8, 20)
RATES_PER_S = (2.0, 5.0, 40.0)
PLAY_MS = 20_000
CONTACT_MS = 3000
MAX_LATE_RUNS = 3
CRASHES = {moments_simulation.Cause.PART: 5}


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--places-unknown', action='store_true')
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    print('cause  size  requests/s  plays too late  late runs  sound refused')
    for cause in moments_simulation.Cause:
        for size in SIZES:
            for per_s in RATES_PER_S:
                print(_row(cause, size, per_s, arguments), flush=True)


def _row(cause, size: int, per_s: float, arguments) -> str:
    too_late = late = refused = sound = 0
    for seed in range(arguments.seeds):
        played = moments_simulation.MomentSimulation(
            seed=seed,
            gateways=GATEWAYS,
            per_s=per_s,
            cause=cause,
            size=size,
            knows_places=not arguments.places_unknown,
        )
        played.run(PLAY_MS)
        runs = played.late_runs(CRASHES.get(cause, 3), CONTACT_MS)
        too_late += runs > MAX_LATE_RUNS
        late += runs
        refused += played.refused_sound
        sound += played.sound
    return (
        f'{cause.value:12}  {size:4}  {per_s:10}  {too_late:3} of'
        f' {arguments.seeds}  {late:5}  {refused} of {sound}'
    )


if __name__ == '__main__':
    main()
