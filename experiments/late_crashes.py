"""Plays crashes at any moment of a stream, and counts both errors.

``python -m experiments.late_crashes --plays 10 --servers 6``: for each kind of
play, in how many too many deadly requests reached servers too late, and how
many sound requests were refused. ``--drop-late`` plays by the rule of former
releases, which dropped crashes of streams that had been written for 250 ms.
"""

import argparse
import concurrent.futures
import functools
import logging

import attrs

from shallothinge.quarantine import state
from shallothinge.quarantine.tests import simulation

CONTACT_MS = 3000
ALLOWED = 3
# Crashes after which deadly parts and deadly requests have to be known.
PART_CRASHES, REQUEST_CRASHES = 5, 3
DEADLY_PLAY_MS, SOUND_PLAY_MS = 25_000, 45_000
RESET_SHARE = 0.1
# By the number of servers: gateways, requests and deadly requests a second.
SIZES = {6: (3, 6.0, 0.25), 24: (8, 40.0, 0.5)}
MOMENTS_MS = ((0,), (400,), (900,), (3000,), (0, 300, 600, 1200, 2400))


class DroppingQuarantine(state.PartQuarantine):
    """Passes over late crashes."""

    def record_crash(self, *, key, part_ids, is_late=False):
        """Record a crash unless it is late."""
        if not is_late:
            super().record_crash(key=key, part_ids=part_ids)


@attrs.frozen(kw_only=True)
class Result:
    """What one play came to."""

    late_runs: int
    refused_sound: int
    sound: int


def play(fields: dict, drops_late: bool, duration_ms: int, seed: int):
    """Play one seed."""
    logging.disable(logging.CRITICAL)
    played = simulation.Simulation(
        seed=seed,
        make_quarantine=(
            DroppingQuarantine if drops_late else state.PartQuarantine
        ),
        **fields,
    )
    played.run(duration_ms)
    crashes = REQUEST_CRASHES if fields['repeated_share'] else PART_CRASHES
    return Result(
        late_runs=played.late_runs(crashes, CONTACT_MS),
        refused_sound=played.refused_sound,
        sound=played.sound,
    )


def kinds(servers: int):
    """Yield a name, the fields of the simulation and the duration in ms."""
    gateways, per_s, deadly_per_s = SIZES[servers]
    fields = {
        'servers': servers,
        'gateways': gateways,
        'per_s': per_s,
        'share': 0.0,
        'repeated_share': 0.0,
    }
    share = deadly_per_s / per_s
    for deadly in ('share', 'repeated_share'):
        for moments_ms in MOMENTS_MS:
            for reset_share in (0.0, RESET_SHARE):
                yield f'{deadly} {moments_ms} resets {reset_share}', {
                    **fields,
                    deadly: share,
                    'crash_after_ms': moments_ms,
                    'reset_share': reset_share,
                    'long_share': 0.05,
                    'long_ms': 30_000,
                }, DEADLY_PLAY_MS
    for crashes_per_s in (0.7, 2.0):
        for long_share in (0.02, 0.2):
            yield f'own crashes {crashes_per_s} long {long_share}', {
                **fields,
                'crashes_per_s': crashes_per_s,
                'long_share': long_share,
            }, SOUND_PLAY_MS


def main() -> None:
    """Print a line for each kind of play."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--plays', type=int, default=8)
    parser.add_argument('--servers', type=int, choices=SIZES, default=6)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--drop-late', action='store_true')
    arguments = parser.parse_args()
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        for name, fields, duration_ms in kinds(arguments.servers):
            one = functools.partial(
                play, fields, arguments.drop_late, duration_ms
            )
            results = list(pool.map(one, range(arguments.plays)))
            print(
                f'{name}: too late in'
                f' {sum(one.late_runs > ALLOWED for one in results)} of'
                f' {len(results)} plays; refused'
                f' {sum(one.refused_sound for one in results)} of'
                f' {sum(one.sound for one in results)} sound requests',
                flush=True,
            )


if __name__ == '__main__':
    main()
