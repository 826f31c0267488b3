"""A stand-in plain service, which counts the executions of each call."""

import attrs
from twisted.internet import task
from twisted.web import server

from shallothinge.standin import model
from shallothinge.standin import web

KEY_HEADER = 'Idempotency-Key'


@attrs.define(kw_only=True)
class Executions:
    """How often calls ran, in all and by idempotency key."""

    total: int = 0
    by_key: dict[str, int] = attrs.Factory(dict)

    def count(self, key: str) -> int:
        """Note one execution.

        :returns: how often calls with this key ran by now.
        """
        self.total += 1
        if not key:
            return 0
        self.by_key[key] = self.by_key.get(key, 0) + 1
        return self.by_key[key]


class ServiceResource(web.JsonResource):
    """Runs any method on any path and answers what it ran."""

    def __init__(self, *, reactor, options: model.ServiceOptions):
        super().__init__()
        self._reactor = reactor
        self._delay_ms = options.delay_ms
        self._drop_answers = 0
        self._executions = Executions()

    def handle(self, request: server.Request) -> web.Answer | None:
        """Answer one request."""
        method = request.method.decode()
        path = '/'.join(web.path_of(request))
        if (method, path) == ('GET', 'executions'):
            return web.Answer(body=attrs.asdict(self._executions))
        if (method, path) == ('GET', 'health'):
            return web.Answer(body={'ready': True})
        if (method, path) == ('POST', 'faults'):
            return self._faults(request)
        self._run(request, method=method, path=path)
        return None

    def _faults(self, request) -> web.Answer:
        faults = web.read_body(request, model.ServiceFaults)
        if faults.delay_ms is not None:
            self._delay_ms = faults.delay_ms
        if faults.drop_answer is not None:
            self._drop_answers = faults.drop_answer
        return web.Answer(body={})

    def _run(self, request, *, method: str, path: str) -> None:
        key = request.getHeader(KEY_HEADER) or ''
        execution = self._executions.count(key)
        body = {
            'method': method,
            'path': path,
            'idempotency_key': key,
            'execution': execution,
            'received': request.content.read().decode('utf-8', 'replace'),
        }
        gone = []
        request.notifyFinish().addBoth(gone.append)
        answered = task.deferLater(
            self._reactor,
            self._delay_ms / 1000,
            self._answer,
            request,
            body,
            gone,
        )
        answered.addErrback(lambda failure: None)

    def _answer(self, request, body, gone) -> None:
        if gone:
            return
        if self._drop_answers > 0:
            self._drop_answers -= 1
            request.loseConnection()
            return
        request.write(web.send(request, web.Answer(body=body)))
        request.finish()
