"""Ends a request if a step of it raises an exception."""

from collections.abc import Callable
import functools
import logging

LOG = logging.getLogger(__name__)


class RequestGuard:
    """Runs the steps of one request.

    A step that a timer or a connection calls has no caller that could answer
    the request if it raises an exception, so run it with ``run`` or decorate
    it with ``guarded``.

    :param fields: name the request in the log.
    :param fail: called after an exception to end the request; it answers,
        or aborts an answer that has begun.
    :param abort: called after ``fail``; it ends the request if ``fail``
        could not.
    """

    def __init__(
        self,
        *,
        fields: dict,
        fail: Callable[[], None],
        abort: Callable[[], None],
    ):
        self._fields = fields
        self._fail = fail
        self._abort = abort
        self._is_running = False

    def run(self, step: Callable, *args, **kwargs) -> None:
        """Run a step; if it raises an exception, log it and fail the request.

        An exception in a step that another step of the request calls ends
        both.
        """
        if self._is_running:
            step(*args, **kwargs)
            return
        self._is_running = True
        try:
            step(*args, **kwargs)
        except Exception:
            self._log('a step of a request raised an exception', step)
            self._end()
        finally:
            self._is_running = False

    def _end(self) -> None:
        try:
            self._fail()
        except Exception:
            self._log('a failed request could not be answered', self._fail)
        self._abort()

    def _log(self, message: str, step: Callable) -> None:
        LOG.exception(
            message,
            extra={
                **self._fields,
                'step': getattr(step, '__qualname__', repr(step)),
            },
        )


def guarded(step: Callable) -> Callable:
    """Run a method by the ``RequestGuard`` in its object's ``_guard``."""

    @functools.wraps(step)
    def run(self, *args, **kwargs) -> None:
        self._guard.run(step, self, *args, **kwargs)

    return run
