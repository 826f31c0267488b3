"""Requests of callers, as parsed and checked at the edge."""

import json

import attrs

from shallothinge import errors
from shallothinge import tokens
from shallothinge.admission import classes
from shallothinge.settings.model import AdmissionSettings

DEFAULT_MAX_TOKENS = 256
MAX_ANSWER_TOKENS = 65_536


@attrs.frozen(kw_only=True)
class ChatRequest:
    """A chat completion that a caller asks for.

    ``model`` is as the caller wrote it, with or without ``@version``.
    """

    model: str
    adapter: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool


@attrs.frozen(kw_only=True)
class Turn:
    """One message of a conversation."""

    role: str
    content: str


@attrs.frozen(kw_only=True)
class Terms:
    """Deadline and class of a request; ``deadline_ms`` is remaining."""

    deadline_ms: int
    request_class: classes.RequestClass


def bad_request(detail: str) -> errors.ServingError:
    """Return the error for a malformed request."""
    return errors.ServingError(
        kind=errors.ErrorKind.BAD_REQUEST, detail=detail
    )


def parse_terms(
    *, deadline: str, request_class: str, settings: AdmissionSettings
) -> Terms:
    """Return the terms that two headers state.

    :param deadline: value of ``X-Deadline-Ms``, or ''.
    :param request_class: value of ``X-Request-Class``, or ''.
    :raises ServingError: if a value is not allowed.
    """
    deadline_ms = settings.default_deadline_ms
    if deadline:
        if not (deadline.isascii() and deadline.isdigit()):
            raise bad_request('X-Deadline-Ms: expected whole milliseconds')
        deadline_ms = int(deadline[:12])
    if not 0 < deadline_ms <= settings.max_deadline_ms:
        raise bad_request(
            f'X-Deadline-Ms: allowed are 1 to {settings.max_deadline_ms}'
        )
    try:
        parsed = classes.RequestClass(request_class or 'standard')
    except ValueError as error:
        names = ', '.join(each.value for each in classes.RequestClass)
        raise bad_request(f'X-Request-Class: allowed are {names}') from error
    return Terms(deadline_ms=deadline_ms, request_class=parsed)


def parse_chat(body: bytes) -> ChatRequest:
    """Return the chat completion that a JSON body asks for.

    :raises ServingError: if the body is malformed; the detail names the
        field and what is expected.
    """
    fields = _load_object(body)
    model = _text(fields, 'model', default=None)
    prompt = _parse_turns(fields.get('messages'))
    return ChatRequest(
        model=model,
        adapter=_text(fields, 'adapter', default=''),
        prompt=prompt,
        prompt_tokens=tokens.count_tokens(prompt),
        max_tokens=_max_tokens(fields),
        stream=_flag(fields, 'stream'),
    )


def _load_object(body: bytes) -> dict:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise bad_request('the body is not JSON in UTF-8') from error
    if not isinstance(fields, dict):
        raise bad_request('the body is not a JSON object')
    return fields


def _text(fields: dict, name: str, *, default: str | None) -> str:
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise bad_request(f'{name}: expected a string')
    return value


def _flag(fields: dict, name: str) -> bool:
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise bad_request(f'{name}: expected true or false')
    return value


def _max_tokens(fields: dict) -> int:
    value = fields.get('max_completion_tokens')
    if value is None:
        value = fields.get('max_tokens', DEFAULT_MAX_TOKENS)
    if isinstance(value, bool) or not isinstance(value, int):
        raise bad_request('max_tokens: expected a whole number')
    if not 0 < value <= MAX_ANSWER_TOKENS:
        raise bad_request(f'max_tokens: allowed are 1 to {MAX_ANSWER_TOKENS}')
    return value


def _parse_turns(turns: object) -> str:
    if not isinstance(turns, list) or not turns:
        raise bad_request('messages: expected a list with at least one entry')
    lines = []
    for number, turn in enumerate(turns):
        lines.append(_parse_turn(turn, place=f'messages[{number}]'))
    prompt = _render(lines)
    try:
        prompt.encode()
    except UnicodeEncodeError as error:
        raise bad_request('messages: a lone surrogate is no text') from error
    return prompt


def _parse_turn(turn: object, *, place: str) -> Turn:
    if not isinstance(turn, dict):
        raise bad_request(f'{place}: expected an object')
    role = turn.get('role')
    if not isinstance(role, str):
        raise bad_request(f'{place}.role: expected a string')
    content = turn.get('content')
    if isinstance(content, list):
        content = _join_parts(content, place=place)
    if not isinstance(content, str):
        raise bad_request(f'{place}.content: expected text')
    return Turn(role=role, content=content)


def _render(turns: list[Turn]) -> str:
    """Return the prompt; a single message goes to the engine unchanged."""
    if len(turns) == 1:
        return turns[0].content
    lines = [f'{turn.role}: {turn.content}' for turn in turns]
    return '\n'.join((*lines, 'assistant:'))


def _join_parts(parts: list, *, place: str) -> str:
    texts = []
    for part in parts:
        text = part.get('text') if isinstance(part, dict) else None
        if not isinstance(text, str):
            raise bad_request(f'{place}.content: expected parts with text')
        texts.append(text)
    return ''.join(texts)
