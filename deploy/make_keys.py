"""Makes the keys of one deployment's daemons."""

import pathlib
import sys

from shallothinge.transport import keys

ROLES = ('control', 'entry')


def main() -> None:
    """Write a key pair for each role, and the file that lists them."""
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True)
    for path in keys.write_deployment(folder=folder, roles=ROLES):
        # Daemons may run as another user than the build.
        path.chmod(keys.PUBLIC_FILE_MODE)


if __name__ == '__main__':
    main()
