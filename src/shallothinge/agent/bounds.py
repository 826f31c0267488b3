"""How much of one answer an engine may send."""

from shallothinge import sse
from shallothinge.agent import model

# Twice the longest token of common vocabularies, which is 128 spaces.
TOKEN_CHARACTERS = 256
# Without a new token: comments that keep a connection open, tokens that are
# known, and a whole event of which the last part brings the next token.
IDLE_BYTES = 2 * sse.MAX_EVENT_BYTES


class AnswerBounds:
    """Counts the tokens of one answer.

    :param max_tokens: how many the answer may have, from its start on.
    """

    def __init__(self, *, max_tokens: int):
        self._max_tokens = max_tokens
        self._characters = 0

    def allow(self, event: model.TokensGenerated) -> bool:
        """Return whether an answer may go on with these tokens."""
        if event.offset + len(event.tokens) > self._max_tokens:
            return False
        longest = TOKEN_CHARACTERS * self._max_tokens
        return self._characters + _characters_of(event) <= longest

    def took(self, event: model.TokensGenerated) -> None:
        """Note tokens that are new."""
        self._characters += _characters_of(event)


def _characters_of(event: model.TokensGenerated) -> int:
    return sum(map(len, event.tokens))
