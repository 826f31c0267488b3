"""JSON bodies and event-stream lines that callers receive."""

import json

import attrs

from shallothinge import errors
from shallothinge.clock import MS_PER_SECOND
from shallothinge.streams import messages

DONE = b'data: [DONE]\n\n'


@attrs.frozen(kw_only=True)
class ErrorReply:
    """An error as HTTP sends it; ``retry_after_s`` 0 sends no header."""

    http_status: int
    retry_after_s: int
    body: bytes


def error_fields(*, error: errors.ServingError, request_id: str) -> dict:
    """Return the JSON object of an error."""
    meaning = error.answer.meaning
    message = f'{meaning} {error.detail}' if error.detail else meaning
    return {
        'error': {
            'code': error.kind.value,
            'message': message,
            'work_state': error.answer.work_state.value,
            'retry_after_ms': error.retry_after_ms,
            'request_id': request_id,
        }
    }


def error_reply(*, error: errors.ServingError, request_id: str) -> ErrorReply:
    """Return an error's status, Retry-After in whole seconds and body."""
    fields = error_fields(error=error, request_id=request_id)
    return ErrorReply(
        http_status=error.answer.http_status,
        retry_after_s=-(-error.retry_after_ms // MS_PER_SECOND),
        body=json.dumps(fields).encode(),
    )


def event(fields: dict) -> bytes:
    """Return one server-sent event with a JSON object."""
    return b'data: ' + json.dumps(fields).encode() + b'\n\n'


def _envelope(*, request_id: str, model: str, created_s: int) -> dict:
    return {
        'id': f'chatcmpl-{request_id}',
        'created': created_s,
        'model': model,
    }


def _usage(finished: messages.StreamFinished) -> dict:
    return {
        'prompt_tokens': finished.prompt_tokens,
        'completion_tokens': finished.offset,
        'total_tokens': finished.prompt_tokens + finished.offset,
        'prompt_tokens_details': {'cached_tokens': finished.cached_tokens},
    }


def chunk(
    *,
    request_id: str,
    model: str,
    created_s: int,
    text: str = '',
    finished: messages.StreamFinished | None = None,
) -> bytes:
    """Return the event of a part of an answer, or of its end."""
    fields = _envelope(request_id=request_id, model=model, created_s=created_s)
    fields['object'] = 'chat.completion.chunk'
    choice = {'index': 0, 'delta': {'content': text}, 'finish_reason': None}
    if finished is not None:
        choice['delta'] = {}
        choice['finish_reason'] = finished.finish_reason
        fields['usage'] = _usage(finished)
    fields['choices'] = [choice]
    return event(fields)


def whole(
    *,
    request_id: str,
    model: str,
    created_s: int,
    text: str,
    finished: messages.StreamFinished,
) -> bytes:
    """Return the JSON body of a whole answer."""
    fields = _envelope(request_id=request_id, model=model, created_s=created_s)
    fields['object'] = 'chat.completion'
    fields['choices'] = [
        {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': finished.finish_reason,
        }
    ]
    fields['usage'] = _usage(finished)
    return json.dumps(fields).encode()
