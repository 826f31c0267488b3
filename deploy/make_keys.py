"""Makes the keys of one deployment's daemons."""

import pathlib
import sys

from shallothinge.transport import keys

ROLES = ('control', 'entry')


def main() -> None:
    """Write a key pair for each role, and the file that lists them."""
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True)
    pairs = tuple(keys.generate_key_pair(role=role) for role in ROLES)
    for pair in pairs:
        path = folder / f'{pair.role}.key'
        keys.write_key_pair(path=path, pair=pair)
        # Daemons may run as another user than the build.
        path.chmod(keys.PUBLIC_FILE_MODE)
    keys.write_trust(path=folder / 'trust.toml', pairs=pairs)


if __name__ == '__main__':
    main()
