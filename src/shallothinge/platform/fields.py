"""Checks of fields that arrive as JSON, before they become typed data.

Whoever writes them may be another program, so each field has a type and a
range. What passes can be stored and sent by all processes.
"""

import json

MAX_TEXT_CHARACTERS = 256
# The greatest whole number that messages and stored records can hold.
MAX_WHOLE = 2**63 - 1


def parse(content: bytes) -> object:
    """Return the parsed JSON.

    :raises ValueError: if it is none, or nested too deeply to be parsed.
    """
    try:
        return json.loads(content)
    except RecursionError as error:
        raise ValueError('nested too deeply') from error


def text(value: object, *, name: str, most: int = MAX_TEXT_CHARACTERS) -> str:
    """Return a text of 1 to ``most`` characters.

    :raises TypeError: if it is no text, empty, too long, or not Unicode.
    """
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= most
        or not _is_unicode(value)
    ):
        raise TypeError(f'{name} is not a text of 1 to {most} characters')
    return value


def whole(value: object, *, name: str, most: int = MAX_WHOLE) -> int:
    """Return a whole number from 0 to ``most``.

    :raises TypeError: if it is none, or outside of this range.
    """
    if type(value) is not int or not 0 <= value <= most:
        raise TypeError(f'{name} is not a whole number from 0 to {most}')
    return value


def number(value: object, *, name: str, most: int = MAX_WHOLE) -> int | float:
    """Return a number whose absolute value is at most ``most``.

    :raises TypeError: if it is none, or outside of this range.
    """
    # The comparison is false for what is not a number.
    if type(value) not in (int, float) or not abs(value) <= most:
        raise TypeError(f'{name} is not a number up to {most}')
    return value


def flag(value: object, *, name: str) -> bool:
    """Return a truth value.

    :raises TypeError: if it is of another type, such as a text or null.
    """
    if type(value) is not bool:
        raise TypeError(f'{name} is neither true nor false')
    return value


def entries(value: object, *, name: str) -> list:
    """Return a list, which may be empty.

    :raises TypeError: if it is of another type, such as a text or null.
    """
    if type(value) is not list:
        raise TypeError(f'{name} is not a list')
    return value


def _is_unicode(value: str) -> bool:
    """Return whether a text can be encoded; lone surrogates can't."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
