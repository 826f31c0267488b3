"""Which error kind may be answered, so that its statement is true."""

from shallothinge import errors
from shallothinge.errors import ErrorKind

NAMED_WHATEVER_RAN = (ErrorKind.CANCELLED, ErrorKind.DEADLINE_EXCEEDED)


def true_kind(
    kind: ErrorKind, *, may_have_run: bool, has_part: bool
) -> ErrorKind:
    """Return a kind whose statement about the work is true.

    :param kind: why the request ends.
    :param may_have_run: whether any server may have begun to run it.
    :param has_part: whether the caller has a part of the answer.
    """
    if has_part and kind not in NAMED_WHATEVER_RAN:
        return ErrorKind.STREAM_BROKEN
    if errors.is_false_promise(kind, may_have_run=may_have_run):
        return ErrorKind.BACKEND_FAILED
    return kind
