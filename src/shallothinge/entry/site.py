"""The callers' API: paths, headers and checks of each request."""

import hashlib
import logging
import secrets
import urllib.parse

import attrs
from twisted.web import resource
from twisted.web import server

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge.clock import MS_PER_SECOND
from shallothinge.entry import call_run
from shallothinge.entry import calls
from shallothinge.entry import chat_job
from shallothinge.entry import chat_start
from shallothinge.entry import jobs
from shallothinge.entry import readiness
from shallothinge.entry import requests
from shallothinge.entry import sinks
from shallothinge.entry import workspaces
from shallothinge.errors import ErrorKind

LOG = logging.getLogger(__name__)

CHAT_PATH = '/v1/chat/completions'
SERVICES_PATH = '/v1/services/'
JOBS_PATH = '/v1/jobs'
REQUEST_ID_BYTES = 16
TEXT = b'text/plain; charset=utf-8'


@attrs.frozen(kw_only=True)
class Services(chat_start.ChatServices):
    """What the callers' API passes requests to."""

    wall_clock: clocks.Clock
    calls: calls.CallsService
    jobs: jobs.JobService
    readiness: readiness.Readiness


class CallersApi(resource.Resource):
    """Answers every path of the callers' API."""

    isLeaf = True

    def __init__(self, *, services: Services):
        super().__init__()
        self._services = services

    def render(self, request):
        """Check a request and pass it on."""
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        response = sinks.Response(request=request, request_id=request_id)
        try:
            self._dispatch(request, response)
        except errors.ServingError as error:
            response.fail(error)
        except Exception:
            LOG.exception(
                'a request met an unexpected fault',
                extra={'request_id': request_id},
            )
            response.fail(errors.ServingError(kind=ErrorKind.INTERNAL))
        return server.NOT_DONE_YET

    def _dispatch(self, request, response: sinks.Response) -> None:
        path = request.path.decode('ascii', 'replace')
        method = request.method.decode('ascii', 'replace')
        if path == '/livez' and method == 'GET':
            response.end_whole(status=200, content_type=TEXT, body=b'ok\n')
        elif path == '/readyz' and method == 'GET':
            self._answer_ready(response)
        elif path == CHAT_PATH and method == 'POST':
            self._start_chat(request, response)
        elif path == JOBS_PATH and method == 'POST':
            self._submit_job(request, response)
        elif path.startswith(JOBS_PATH + '/') and method == 'GET':
            job_id = path.removeprefix(JOBS_PATH + '/')
            self._fetch_job(request, response, job_id)
        elif path.startswith(SERVICES_PATH):
            self._start_call(request, response)
        else:
            raise errors.ServingError(
                kind=ErrorKind.NOT_FOUND, detail=f'{method} {path[:200]}'
            )

    def _answer_ready(self, response: sinks.Response) -> None:
        refusal = self._services.readiness.refusal()
        if refusal is not None:
            raise errors.ServingError(kind=refusal)
        response.end_whole(status=200, content_type=TEXT, body=b'ready\n')

    def _authenticate(self, request):
        return workspaces.authenticate(
            authorization=_header(request, 'Authorization'),
            bundle=self._services.holder.config.bundle,
        )

    def _terms(self, request) -> requests.Terms:
        return requests.parse_terms(
            deadline=_header(request, 'X-Deadline-Ms'),
            request_class=_header(request, 'X-Request-Class'),
            settings=self._services.admission,
        )

    def _start_chat(self, request, response: sinks.Response) -> None:
        workspace = self._authenticate(request)
        job = self._chat_job(request, response, workspace)
        sink_type = sinks.WholeSink
        if job.request.stream:
            sink_type = sinks.StreamSink
        sink = sink_type(
            response=response,
            model=job.model_key,
            created_s=self._services.wall_clock.now_ms() // MS_PER_SECOND,
        )
        start = chat_start.ChatStart(
            job=job, sink=sink, services=self._services
        )
        response.on_left = start.caller_left
        start.begin()

    def _chat_job(self, request, response, workspace) -> chat_job.ChatJob:
        return chat_start.build_job(
            request_id=response.request_id,
            workspace=workspace,
            terms=self._terms(request),
            parsed=requests.parse_chat(request.content.read()),
            services=self._services,
        )

    def _submit_job(self, request, response: sinks.Response) -> None:
        """Take a request durably; it is checked as if it began now."""
        workspace = self._authenticate(request)
        if self._services.readiness.is_stopping:
            raise errors.ServingError(kind=ErrorKind.STOPPING)
        job = self._chat_job(request, response, workspace)
        request.content.seek(0)
        self._services.jobs.submit(
            job=job,
            body=request.content.read(),
            idempotency_key=_header(request, 'Idempotency-Key'),
            response=response,
        )

    def _fetch_job(self, request, response, job_id: str) -> None:
        workspace = self._authenticate(request)
        self._services.jobs.fetch(
            job_id=job_id, workspace=workspace.name, response=response
        )

    def _start_call(self, request, response: sinks.Response) -> None:
        workspace = self._authenticate(request)
        terms = self._terms(request)
        target = request.uri.decode('ascii', 'replace')
        name, _, path = target[len(SERVICES_PATH) :].partition('/')
        spec = workspaces.allowed_service(
            name=urllib.parse.unquote(name),
            workspace=workspace,
            bundle=self._services.holder.config.bundle,
        )
        method = request.method.decode('ascii', 'replace')
        body = request.content.read()
        job = call_run.CallJob(
            request_id=response.request_id,
            workspace=workspace.name,
            service=spec.name,
            repeatable=spec.repeatable,
            method=method,
            path='/' + path,
            body=body,
            body_hash=hash_call(method=method, path=path, body=body),
            idempotency_key=_header(request, 'Idempotency-Key'),
            ends_ms=self._services.clock.now_ms() + terms.deadline_ms,
        )
        run = self._services.calls.submit(
            job=job, sink=sinks.CallSink(response=response)
        )
        if run is not None:
            response.on_left = run.caller_left


def _header(request, name: str) -> str:
    return request.getHeader(name) or ''


def hash_call(*, method: str, path: str, body: bytes) -> str:
    """Return the hash that tells equal calls from others."""
    digest = hashlib.sha256()
    digest.update(f'{method}\0{path}\0'.encode())
    digest.update(body)
    return digest.hexdigest()
