"""Data that an engine reports, as read from its JSON answers."""

import json

import attrs
import cattrs

from shallothinge import sse


class BadAnswer(ValueError):
    """An engine's answer that does not have the expected form."""


@attrs.frozen(kw_only=True)
class EngineHealth:
    """Answer of ``GET /health``; ``incarnation`` is new at each start."""

    incarnation: str
    ready: bool


@attrs.frozen(kw_only=True)
class EngineLoad:
    """Answer of ``GET /v1/load``, which lags behind."""

    running: int = 0
    waiting: int = 0
    held_tokens: int = 0
    memory_tokens: int = 0
    prefill_backlog_tokens: int = 0
    cold: bool = False
    incarnation: str = ''


@attrs.frozen(kw_only=True)
class EngineStream:
    """One entry of ``GET /v1/streams``."""

    request_id: str
    held_tokens: int = 0
    offset: int = 0
    state: str = 'running'


@attrs.frozen(kw_only=True)
class EngineReservation:
    """One entry of ``GET /v1/reservations``."""

    reservation_id: str
    tokens: int = 0


@attrs.frozen(kw_only=True)
class EngineExport:
    """One entry of ``GET /v1/kv/exports``."""

    export_id: str
    tokens: int = 0


@attrs.frozen(kw_only=True)
class CacheEvent:
    """One change of the engine's prefix cache."""

    sequence: int
    op: str
    block: str


@attrs.frozen(kw_only=True)
class CacheEvents:
    """Answer of ``GET /v1/cache/events``."""

    events: tuple[CacheEvent, ...] = ()


@attrs.frozen(kw_only=True)
class CacheListing:
    """Answer of ``GET /v1/cache``."""

    sequence: int
    blocks: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class EngineError:
    """An error answer; ``error`` is one of the engine's own kinds."""

    error: str = ''
    detail: str = ''


@attrs.frozen(kw_only=True)
class TokensGenerated:
    """Stream event: the answer's tokens from ``offset`` on."""

    offset: int
    tokens: tuple[str, ...]


@attrs.frozen(kw_only=True)
class GenerationFinished:
    """Stream event: the answer ends at ``offset``, whole."""

    finish_reason: str
    offset: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0


@attrs.frozen(kw_only=True)
class GenerationFailed:
    """Stream event: the engine gave the stream up."""

    error: str
    detail: str = ''


@attrs.frozen(kw_only=True)
class StreamClosed:
    """Stream event: the engine sends nothing more."""


StreamEvent = (
    TokensGenerated | GenerationFinished | GenerationFailed | StreamClosed
)


def read_json(data: bytes, shape: type):
    """Return the JSON text as an instance of ``shape``.

    :raises BadAnswer: if the text does not have that shape.
    """
    try:
        return cattrs.structure(json.loads(data), shape)
    except (ValueError, TypeError, cattrs.BaseValidationError) as error:
        raise BadAnswer(f'expected {shape}') from error


def _text(token: object) -> str:
    if not isinstance(token, str):
        raise TypeError('a token is no text')
    return token


def read_event(text: str) -> StreamEvent:
    """Return the event that one data field of a stream holds.

    :raises BadAnswer: if it is none of the known events.
    """
    if text == sse.DONE:
        return StreamClosed()
    try:
        fields = json.loads(text)
        if 'tokens' in fields:
            return TokensGenerated(
                offset=int(fields['offset']),
                tokens=tuple(map(_text, fields['tokens'])),
            )
        if 'finish_reason' in fields:
            return cattrs.structure(fields, GenerationFinished)
        return cattrs.structure(fields, GenerationFailed)
    except (ValueError, TypeError, KeyError) as error:
        raise BadAnswer('unknown stream event') from error
    except cattrs.BaseValidationError as error:
        raise BadAnswer('malformed stream event') from error
