"""Starts one daemon with the settings that the platform wrote.

    python3 deploy/start.py ROLE [IP:PORT]

IP:PORT is opened at once, so that connections wait while the daemon loads.
"""

import argparse
import os
import pathlib
import sys

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY / 'target' / 'deps'))
sys.path.remove(str(REPOSITORY / 'deploy'))

from shallothinge.http1 import early  # noqa: E402
from shallothinge.operators import main as program  # noqa: E402

program.ignore_reloads()


def open_first() -> int | None:
    """Return the descriptor of the socket that the command line asks for."""
    for address in sys.argv[2:]:
        try:
            return early.open_listening(address).detach()
        except OSError as error:
            # The daemon tries again, and ends with a message of its own.
            print(f'{address}: {error}', file=sys.stderr)
    return None


OPENED_FD = open_first()

from shallothinge.operators import role_commands  # noqa: E402

SETTINGS_VARIABLE = 'SHALLOTHINGE_NODE_FILE'
KEYS = REPOSITORY / 'target' / 'keys'


def main() -> int:
    """Run the role that the command line names."""
    return role_commands.run_role(
        argparse.Namespace(
            role=sys.argv[1],
            settings=pathlib.Path(os.environ[SETTINGS_VARIABLE]),
            folder=KEYS,
            opened_fd=OPENED_FD,
        )
    )


if __name__ == '__main__':
    sys.exit(main())
