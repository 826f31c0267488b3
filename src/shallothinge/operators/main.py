"""Where the one binary starts."""

from collections.abc import Sequence
import signal
import sys

# Processes that read their settings anew at SIGHUP, once they run.
DAEMONS = ('agent', 'control', 'entry', 'gateway')


def ignore_reloads() -> None:
    """Outlive a SIGHUP until the settings are watched.

    By default it ends a process, and loading the libraries takes long.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    :param arguments: the command line without the program's name.
    :returns: the exit status.
    """
    words = sys.argv[1:] if arguments is None else arguments
    if words and words[0] in DAEMONS:
        ignore_reloads()
    from shallothinge.operators import command_line

    return command_line.main(words)


if __name__ == '__main__':
    sys.exit(main())
