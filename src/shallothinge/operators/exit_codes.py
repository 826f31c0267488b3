"""Exit statuses of the command line, in one table."""

import enum


class ExitCode(enum.IntEnum):
    """What the exit status of a command means."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    NO_ANSWER = 3
    NOT_IN_FORCE = 4
    INTERRUPTED = 130


MEANINGS = {
    ExitCode.OK: 'The command did what it was asked.',
    ExitCode.REFUSED: 'The system refused; the message says why.',
    ExitCode.BAD_INPUT: 'An argument, settings file or bundle is wrong.',
    ExitCode.NO_ANSWER: 'No process answered in time; try again with '
    'the same --order-id.',
    ExitCode.NOT_IN_FORCE: 'The order was accepted but was not in force '
    'everywhere within --timeout-s.',
    ExitCode.INTERRUPTED: 'The command was interrupted by Ctrl-C.',
}
