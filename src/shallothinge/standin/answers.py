"""Answer tokens that follow from the prompt, so that a mix-up shows.

The stand-in engine generates these tokens, and whoever checks an answer
works out the same ones: a splice of two answers or another caller's answer
differs at the first wrong token.
"""

import hashlib

TOKEN_HEX_DIGITS = 7


class Answer:
    """The answer to one prompt, token by token."""

    def __init__(self, *, prompt: str):
        self._prompt_digest = hashlib.sha256(prompt.encode()).digest()

    def token(self, offset: int) -> str:
        """Return the token at an offset of the answer, with its space."""
        position = offset.to_bytes(8, 'big')
        digest = hashlib.sha256(self._prompt_digest + position).hexdigest()
        return f' {digest[:TOKEN_HEX_DIGITS]}'

    def text(self, *, tokens: int) -> str:
        """Return the first tokens of the answer as one text."""
        return ''.join(self.token(offset) for offset in range(tokens))


def expected_token(prompt: str, offset: int) -> str:
    """Return the token of a prompt's answer at an offset."""
    return Answer(prompt=prompt).token(offset)
