"""Requests for slices that control has not answered yet."""

from shallothinge.allowances import messages
from shallothinge.allowances import slices

# Of this many questions each is answered before control forgets the answer
# to any other: at most twice as many answers come after it, less one.
MAX_SPREAD = slices.REMEMBERED_ANSWERS // 2


class OpenQuestions:
    """The unanswered request of each workspace, in the order of asking.

    Control may have handed over a slice though its answer was lost. A
    request is kept until it is answered, so that it is repeated under its
    id and not followed by one for a second slice.
    """

    def __init__(self):
        self._asked: dict[str, tuple[int, messages.SliceRequested]] = {}
        self._count = 0

    @property
    def workspaces(self) -> tuple[str, ...]:
        """Return the workspaces with an unanswered request."""
        return tuple(self._asked)

    @property
    def takes_more(self) -> bool:
        """Return whether one more may be asked, of another workspace."""
        numbers = [number for number, _ in self._asked.values()]
        return not numbers or self._count - min(numbers) < MAX_SPREAD

    def get(self, workspace: str) -> messages.SliceRequested | None:
        """Return the unanswered request of a workspace."""
        _, request = self._asked.get(workspace, (0, None))
        return request

    def add(self, request: messages.SliceRequested) -> None:
        """Keep a new request until it is answered."""
        self._asked[request.workspace] = (self._count, request)
        self._count += 1

    def answered(self, request: messages.SliceRequested) -> None:
        """Forget a request that was answered."""
        if self.get(request.workspace) == request:
            del self._asked[request.workspace]

    def clear(self) -> None:
        """Forget all: control takes back what it handed over for them."""
        self._asked.clear()
