"""JSON over HTTP: what the stand-ins' servers have in common."""

import json
import logging

import attrs
import cattrs
from twisted.web import resource
from twisted.web import server

LOG = logging.getLogger(__name__)

CONVERTER = cattrs.Converter(forbid_extra_keys=True)


@attrs.frozen(kw_only=True)
class Answer:
    """Status, JSON body and further headers of a response."""

    status: int = 200
    body: object = None
    headers: tuple[tuple[str, str], ...] = ()


class BadBody(ValueError):
    """A request body that is not the JSON that the path needs."""


def read_body(request: server.Request, body_type: type):
    """Return the request's JSON body as an ``attrs`` object.

    :raises BadBody: if it is malformed.
    """
    try:
        fields = json.loads(request.content.read())
        return CONVERTER.structure(fields, body_type)
    except (ValueError, TypeError) as error:
        raise BadBody(f'not valid JSON: {error}') from error
    except cattrs.BaseValidationError as error:
        reasons = '; '.join(cattrs.transform_error(error))
        raise BadBody(reasons) from error


def send(request: server.Request, answer: Answer) -> bytes:
    """Set status and headers, and return the body's bytes."""
    request.setResponseCode(answer.status)
    for name, value in answer.headers:
        request.setHeader(name, value)
    if answer.body is None:
        return b''
    request.setHeader('Content-Type', 'application/json')
    return json.dumps(answer.body).encode()


def path_of(request: server.Request) -> tuple[str, ...]:
    """Return the decoded segments of the request's path."""
    return tuple(part.decode('utf-8', 'replace') for part in request.postpath)


def number_argument(request: server.Request, name: str) -> int:
    """Return a whole number of the query string, 0 if it is missing.

    :raises BadBody: if it is not a number.
    """
    values = request.args.get(name.encode(), [b'0'])
    try:
        return int(values[0])
    except ValueError as error:
        raise BadBody(f'{name} is not a whole number') from error


class JsonResource(resource.Resource):
    """Answers every path through ``handle``."""

    isLeaf = True

    def render(self, request: server.Request):
        """Answer one request."""
        try:
            answer = self.handle(request)
        except BadBody as error:
            body = {'error': 'bad_request', 'detail': str(error)}
            answer = Answer(status=400, body=body)
        except Exception:
            LOG.exception('handling a request failed')
            answer = Answer(status=500, body={'error': 'internal'})
        if answer is None:
            return server.NOT_DONE_YET
        return send(request, answer)

    def handle(self, request: server.Request) -> Answer | None:
        """Return the answer, or None if it is sent later."""
        raise NotImplementedError
