"""Keeps requests within their workspaces' allowances and reports usage."""

from collections.abc import Callable
import datetime
import logging
import secrets

from shallothinge import clock as clocks
from shallothinge.allowances import book as books
from shallothinge.allowances import messages
from shallothinge.allowances import questions
from shallothinge.allowances import usage
from shallothinge.bundles import model
from shallothinge.clock import MS_PER_SECOND
from shallothinge.errors import ErrorKind

LOG = logging.getLogger(__name__)

ASK_TIMEOUT_MS = 5000
REPORT_TIMEOUT_MS = 10_000


class Spending:
    """Allowance slices and usage reports of one entry.

    :param control: sends requests to control; see
        ``leases.client.ControlClient``.
    :param wall_clock: tells the day that usage counts for.
    :param read_lapses: tells how often the entry's lease has lapsed.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
        control,
        entry_id: str,
        incarnation: str,
        read_lapses: Callable[[], int],
    ):
        self._wall_clock = wall_clock
        self._control = control
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._book = books.AllowanceBook(clock=clock)
        self._usage = usage.UsageBook(
            entry_id=entry_id, entry_incarnation=incarnation
        )
        self._read_lapses = read_lapses
        self._lapses = read_lapses()
        self._waiting = {}
        self._questions = questions.OpenQuestions()
        self._under_way: set[str] = set()
        self._reporting = False

    @property
    def is_reported(self) -> bool:
        """Return whether all usage is stored with control."""
        return self._usage.is_empty

    def reserve(
        self,
        *,
        request_id: str,
        workspace: model.WorkspaceSpec,
        tokens: int,
        then: Callable[[ErrorKind | None], None],
    ) -> None:
        """Set tokens aside for a request.

        :param then: called once, at once or when control has answered,
            with None if the request may go on or the kind to refuse it by.
        """
        if not workspace.allowance_tokens_per_month:
            then(None)
            return
        self._drop_void_slices()
        name = workspace.name
        verdict = self._book.reserve(
            request_id=request_id, workspace=name, tokens=tokens
        )
        if verdict is books.Verdict.WAIT_FOR_SLICE:
            waiting = self._waiting.setdefault(name, [])
            waiting.append((request_id, tokens, then))
        self._ask(name)
        if verdict is books.Verdict.RESERVED:
            then(None)
        elif verdict is books.Verdict.EXHAUSTED:
            then(ErrorKind.ALLOWANCE_EXHAUSTED)

    def ask_again(self) -> None:
        """Repeat the questions that control did not answer in time."""
        self._drop_void_slices()
        for workspace in self._questions.workspaces:
            self._ask(workspace)

    def _ask(self, workspace: str) -> None:
        if workspace in self._under_way:
            return
        request = self._questions.get(workspace)
        if request is None:
            if not self._questions.takes_more:
                self._wait_for_turn()
                return
            request = self._next_request(workspace)
        if request is None:
            return
        self._under_way.add(workspace)
        asked = self._control.send_request(request, timeout_ms=ASK_TIMEOUT_MS)
        asked.addCallbacks(
            self._granted,
            lambda _: self._not_granted(workspace),
            callbackArgs=(request,),
        )
        asked.addErrback(_log_failure)

    def _wait_for_turn(self) -> None:
        """See that a question is under way whose end lets others follow."""
        if not self._under_way:
            self.ask_again()

    def _next_request(self, workspace: str) -> messages.SliceRequested | None:
        tokens = self._book.wanted(workspace=workspace)
        if not tokens:
            return None
        request = messages.SliceRequested(
            request_id=secrets.token_hex(16),
            entry_id=self._entry_id,
            entry_incarnation=self._incarnation,
            workspace=workspace,
            tokens=tokens,
            lapses=self._lapses,
        )
        self._questions.add(request)
        return request

    def _drop_void_slices(self) -> None:
        """Drop what was handed over under a lease that lapsed.

        Control may have handed it to others since.
        """
        if self._lapses != self._read_lapses():
            self._lapses = self._read_lapses()
            self._book.drop_slices()
            self._questions.clear()

    def _granted(
        self, grant: messages.SliceGranted, request: messages.SliceRequested
    ) -> None:
        self._under_way.discard(grant.workspace)
        self._questions.answered(request)
        self._drop_void_slices()
        if request.lapses == self._lapses:
            self._book.granted(grant)
        else:
            self._book.not_granted(workspace=grant.workspace)
        for request_id, tokens, then in self._waiting.pop(grant.workspace, []):
            verdict = self._book.reserve(
                request_id=request_id, workspace=grant.workspace, tokens=tokens
            )
            if verdict is books.Verdict.RESERVED:
                then(None)
            elif verdict is books.Verdict.EXHAUSTED:
                then(ErrorKind.ALLOWANCE_EXHAUSTED)
            else:
                waiting = self._waiting.setdefault(grant.workspace, [])
                waiting.append((request_id, tokens, then))
        for workspace in list(self._waiting):
            self._ask(workspace)

    def _not_granted(self, workspace: str) -> None:
        """Refuse what waits for this answer, or for its turn to ask."""
        self._under_way.discard(workspace)
        self._book.not_granted(workspace=workspace)
        for name in set(self._waiting) - self._under_way:
            for _, _, then in self._waiting.pop(name, []):
                then(ErrorKind.NO_LEASE)

    def settle_unused(self, *, request_id: str, workspace: str) -> None:
        """Give back what a request that never ran has set aside."""
        self._book.settle(request_id=request_id, workspace=workspace, tokens=0)

    def settle(
        self,
        *,
        request_id: str,
        workspace: str,
        model_key: str,
        prompt_tokens: int,
        cached_tokens: int,
        generated_tokens: int,
    ) -> None:
        """Book what a request has used; all 0 if it never ran."""
        used_tokens = prompt_tokens + generated_tokens
        if not used_tokens:
            self.settle_unused(request_id=request_id, workspace=workspace)
            return
        self._book.settle(
            request_id=request_id, workspace=workspace, tokens=used_tokens
        )
        self._usage.add(
            key=usage.UsageKey(
                workspace=workspace, model=model_key, day=self._today()
            ),
            prompt_tokens=prompt_tokens,
            cached_tokens=cached_tokens,
            generated_tokens=generated_tokens,
        )

    def _today(self) -> str:
        seconds = self._wall_clock.now_ms() // MS_PER_SECOND
        instant = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        return instant.date().isoformat()

    def report(self) -> None:
        """Send the next batch of usage, unless one is under way."""
        batch = self._usage.next_batch()
        if batch is None or self._reporting:
            return
        self._reporting = True
        asked = self._control.send_request(batch, timeout_ms=REPORT_TIMEOUT_MS)
        asked.addCallbacks(self._stored, lambda _: self._not_stored())
        asked.addErrback(_log_failure)

    def _stored(self, stored: messages.UsageStored) -> None:
        self._reporting = False
        self._usage.stored(sequence=stored.sequence)

    def _not_stored(self) -> None:
        self._reporting = False

    def describe(self) -> dict:
        """Return the accounts, for dumps."""
        return self._book.describe()


def _log_failure(failure) -> None:
    LOG.error(
        'an answer of control met an unexpected fault',
        exc_info=(failure.type, failure.value, failure.getTracebackObject()),
    )
