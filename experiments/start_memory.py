"""Measures the memory of a start of a control host against what it stores.

``python -m experiments.start_memory``: for each size of the configuration a
process writes the log of some changes and starts from it, alone, as the
process of a control host does. Figures are of the resident memory.
"""

import argparse
import pathlib
import random
import subprocess
import sys
import tempfile

from shallothinge import memory
from shallothinge.consensus import model
from shallothinge.control import commands
from shallothinge.control import state
from shallothinge.control.tests import lone_stores
from shallothinge.routes import messages as routes

MEGABYTE = memory.MEGABYTE
SIZES = ((45_000, 0), (45_000, 60), (45_000, 600), (4 * MEGABYTE, 6))


def write_log(path: pathlib.Path, *, size_bytes: int, changes: int) -> None:
    """Write a log that was never compacted."""
    lone_stores.found(path, machine=state.ControlState())
    codec = commands.build_codec()
    rng = random.Random(1)
    folder = lone_stores.open_folder(path)
    for number in range(changes):
        order = routes.StoreRoutes(
            request_id=str(number),
            version=number + 1,
            document=rng.randbytes(size_bytes),
        )
        command = commands.Stamped(now_ms=1, command=codec.encode(order))
        entry = model.Entry(
            index=number + 2, term=1, data=codec.encode(command)
        )
        folder.append((entry,))
    folder.close()


def start(path: pathlib.Path) -> None:
    """Start from a log, apply it, compact it and print the figures."""
    before_bytes = memory.read_peak_bytes()
    store = lone_stores.open_store(path, machine=state.ControlState())
    log_bytes = store.sizes().log_bytes
    read_bytes = memory.read_peak_bytes()
    lone_stores.apply_all(store)
    store.compact_if_due()
    figures = (
        log_bytes,
        store.sizes().snapshot_bytes,
        before_bytes,
        read_bytes,
        memory.read_peak_bytes(),
        store.sizes().log_bytes,
    )
    print('| ' + ' | '.join(f'{one / MEGABYTE:.1f}' for one in figures) + ' |')
    store.close()


def main() -> None:
    """Print a table in MB, one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--folder', help='start from this folder')
    folder = parser.parse_args().folder
    if folder:
        start(pathlib.Path(folder))
        return
    print('| log | snapshot | before | read | compacted | log then |')
    print('|---|---|---|---|---|---|', flush=True)
    for size_bytes, changes in SIZES:
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name) / lone_stores.PROCESS_ID
            write_log(path, size_bytes=size_bytes, changes=changes)
            subprocess.run(
                (
                    sys.executable,
                    '-m',
                    'experiments.start_memory',
                    '--folder',
                    str(path),
                ),
                check=True,
            )


if __name__ == '__main__':
    main()
