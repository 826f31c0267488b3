"""Starts one daemon with the settings that the platform wrote."""

import argparse
import os
import pathlib
import sys

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY / 'target' / 'deps'))
sys.path.remove(str(REPOSITORY / 'deploy'))

from shallothinge.operators import main as program  # noqa: E402

program.ignore_reloads()

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
        )
    )


if __name__ == '__main__':
    sys.exit(main())
