"""Reads a named view of the replicated state."""

from shallothinge import errors
from shallothinge.operators import messages
from shallothinge.operators import terminal as terminals


async def read(terminal: terminals.Terminal, *, view: str) -> str:
    """Return a view as JSON text.

    :raises ServingError: if control refuses the query.
    """
    request = messages.QueryRequested(request_id=terminals.new_id(), view=view)
    answer = await terminal.ask(request)
    if answer.kind is not None:
        raise errors.ServingError(kind=answer.kind, detail=view)
    return answer.json_text
