"""An operator's connections to the processes of a deployment."""

from collections.abc import Callable
from collections.abc import Coroutine
import pathlib
import secrets
import sys

from twisted.internet import defer
from twisted.internet import task

from shallothinge import errors
from shallothinge import process as processes
from shallothinge.leases import client
from shallothinge.operators import credentials
from shallothinge.operators import exit_codes
from shallothinge.operators import messages
from shallothinge.settings import model

ID_BYTES = 8
POLL_S = 0.2
SEND_RETRY_S = 0.05


def new_id() -> str:
    """Return an id for an order or a query."""
    return secrets.token_hex(ID_BYTES)


class Terminal:
    """Sends an operator's orders and queries until they are answered.

    :param folder: folder of the settings file, for relative paths.
    :param timeout_ms: how long to wait for each answer.
    """

    def __init__(
        self,
        *,
        reactor,
        settings: model.OperatorSettings,
        folder: pathlib.Path,
        timeout_ms: int,
    ):
        self.settings = settings
        self.timeout_ms = timeout_ms
        self._reactor = reactor
        self._folder = folder
        identity = settings.operator
        self._process = processes.Process(
            reactor=reactor,
            settings=model.ProcessSettings(
                process_id=f'{identity.name}-{new_id()}',
                zone='',
                host='',
                address='',
                key_file=identity.key_file,
                trust_file=identity.trust_file,
            ),
            folder=folder,
        )
        self._client = None
        self._links = []

    @property
    def operator(self) -> str:
        """Return the operator's name."""
        return self.settings.operator.name

    def read_signing_key(self) -> str:
        """Return the operator's private key in hex."""
        name = self.settings.operator.signing_key_file
        return credentials.read_signing_key(path=self._folder / name)

    def ask(self, message: object) -> defer.Deferred:
        """Ask whichever control host leads; resent until answered."""
        if self._client is None:
            self._client = client.ControlClient(
                process=self._process,
                hosts=self.settings.control_hosts,
                holder=None,
            )
            self._client.start()
        return self._client.send_request(message, timeout_ms=self.timeout_ms)

    def ask_process(
        self, *, address: str, role: str, message: object
    ) -> defer.Deferred:
        """Ask one process by its address; resent until answered."""
        question = _Question(reactor=self._reactor, message=message)
        question.link = self._process.connect(
            address=address, role=role, on_message=question.receive
        )
        self._links.append(question.link)
        question.send()
        question.answered.addTimeout(
            self.timeout_ms / 1000,
            self._reactor,
            onTimeoutCancel=_no_answer,
        )
        return question.answered

    async def wait_in_force(self, *, state_version: int) -> tuple[str, ...]:
        """Wait until a state version binds every holder.

        :returns: the holders still waited for when the time ran out.
        """
        ends_ms = self._process.clock.now_ms() + self.timeout_ms
        while True:
            answer = await self.ask(
                messages.InForceRequested(
                    request_id=new_id(), state_version=state_version
                )
            )
            if answer.in_force:
                return ()
            if self._process.clock.now_ms() >= ends_ms:
                return answer.waiting_for or ('control',)
            await task.deferLater(self._reactor, POLL_S)

    def close(self) -> None:
        """Drop every connection."""
        if self._client is not None:
            self._client.close()
        for opened in self._links:
            opened.close()
        self._process.close()


class _Question:
    """A message that is sent to one process until it is answered."""

    def __init__(self, *, reactor, message: object):
        self._reactor = reactor
        self._message = message
        self.link = None
        self.answered = defer.Deferred()

    def send(self) -> None:
        """Send now, and again until the connection has taken it."""
        if self.answered.called:
            return
        if not self.link.send(self._message):
            self._reactor.callLater(SEND_RETRY_S, self.send)

    def receive(self, message: object) -> None:
        """Take the answer."""
        if not self.answered.called:
            self.answered.callback(message)


def _no_answer(value, timeout_s):
    raise errors.ServingError(
        kind=errors.ErrorKind.NO_LEASE,
        detail=f'no answer within {timeout_s:g} s',
    )


Action = Callable[[Terminal], Coroutine]


def run(
    *,
    settings: model.OperatorSettings,
    folder: pathlib.Path,
    timeout_ms: int,
    action: Action,
) -> int:
    """Run an action with a terminal and return the exit status."""
    from twisted.internet import reactor

    status = [exit_codes.ExitCode.NO_ANSWER]

    def finish(result) -> None:
        status[0] = result
        terminal.close()
        reactor.stop()

    def start() -> None:
        done = defer.Deferred.fromCoroutine(action(terminal))
        done.addErrback(_report)
        done.addBoth(finish)

    terminal = Terminal(
        reactor=reactor,
        settings=settings,
        folder=folder,
        timeout_ms=timeout_ms,
    )
    reactor.callWhenRunning(start)
    reactor.run()
    return status[0]


def _report(failure) -> exit_codes.ExitCode:
    if failure.check(errors.ServingError):
        print(failure.value, file=sys.stderr)
        return exit_codes.ExitCode.NO_ANSWER
    if failure.check(ValueError, OSError):
        print(failure.value, file=sys.stderr)
        return exit_codes.ExitCode.BAD_INPUT
    failure.printTraceback(file=sys.stderr)
    return exit_codes.ExitCode.REFUSED
