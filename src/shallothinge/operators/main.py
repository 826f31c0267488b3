"""Where the one binary starts."""

from collections.abc import Sequence
import signal
import sys

# Processes that read their settings anew at SIGHUP, once they run.
DAEMONS = ('agent', 'control', 'entry', 'gateway')


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    :param arguments: the command line without the program's name.
    :returns: the exit status.
    """
    words = sys.argv[1:] if arguments is None else arguments
    if words and words[0] in DAEMONS:
        # By default the signal ends a process; the imports take long.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from shallothinge.operators import command_line

    return command_line.main(words)


if __name__ == '__main__':
    sys.exit(main())
