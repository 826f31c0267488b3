"""Messages by which gateways share what they know of prompt parts."""

import attrs


@attrs.frozen(kw_only=True)
class PartsReported:
    """What a gateway has observed or decided on parts of prompts.

    Ages and remaining times are in ms, as clocks of hosts differ. A report
    that is repeated changes nothing.

    :ivar crashes: servers that closed requests before their answers were
        complete: id, incarnation, age, and each part of the requests with its
        greatest position in a prompt.
    :ivar late_crashes: the same for requests that had been written for a
        while. Gateways of former releases do not know them.
    :ivar used: parts of several crashes, each with the time that requests of
        the sender with it were in progress since the first one.
    :ivar whole: parts with which an answer was complete, each with the age of
        the newest one.
    :ivar quarantined: parts in quarantine: id, epoch, remaining time, number
        of earlier quarantines without a complete answer between.
    :ivar lifted: parts whose quarantine was lifted, each with its epoch.
    :ivar refuted: crashes after which the sender received data of the same
        incarnation: id, incarnation, age of the crash.
    :ivar unfounded: those of ``lifted`` whose evidence did not suffice any
        more, with their epochs. Gateways of former releases do not know
        ``refuted`` and lift them as if there had been a complete answer.
    :ivar live_zones: crashes of servers in whose zones others have sent data
        since: id, incarnation. Gateways of former releases do not know them.
    """

    crashes: tuple[tuple, ...] = ()
    late_crashes: tuple[tuple, ...] = ()
    used: tuple[tuple, ...] = ()
    whole: tuple[tuple, ...] = ()
    quarantined: tuple[tuple, ...] = ()
    lifted: tuple[tuple, ...] = ()
    refuted: tuple[tuple, ...] = ()
    unfounded: tuple[tuple, ...] = ()
    live_zones: tuple[tuple, ...] = ()


MESSAGES = (PartsReported,)
