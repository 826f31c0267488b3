"""Sends one request over HTTP and judges the answer that comes back."""

import io
import json
import time

import attrs
from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http_headers

from shallothinge import sse
from shallothinge.load import result
from shallothinge.load import schedule
from shallothinge.standin import answers

GRACE_MS = 2000
MAX_CONNECTIONS = 1000


@attrs.define(kw_only=True)
class _Progress:
    """What has been seen of one streamed answer."""

    started_s: float
    first_s: float = 0.0
    last_s: float = 0.0
    tokens: list[str] = attrs.field(factory=list)
    finished: bool = False
    error_code: str = ''

    def take(self, event: str) -> None:
        """Take one event of the stream into account."""
        if event == sse.DONE:
            self.finished = True
            return
        document = json.loads(event)
        if 'error' in document:
            self.error_code = document['error'].get('code', 'error')
            return
        text = document['choices'][0].get('delta', {}).get('content', '')
        if text:
            self._take_text(text)

    def _take_text(self, text: str) -> None:
        self.last_s = time.monotonic()
        self.first_s = self.first_s or self.last_s
        self.tokens.append(text)


class _StreamReader(protocol.Protocol):
    """Feeds a response body to the progress of one answer."""

    def __init__(self, *, progress: _Progress, ended: defer.Deferred):
        self._progress = progress
        self._ended = ended
        self._parser = sse.EventParser()

    def dataReceived(self, data):
        """Parse the events in the bytes."""
        for event in self._parser.feed(data):
            self._progress.take(event)

    def connectionLost(self, reason=protocol.connectionDone):
        """Tell that the body has ended, whole or not."""
        self._ended.callback(None)


@attrs.frozen(kw_only=True)
class Target:
    """Where requests go: entries in turn, one key for each workspace."""

    entry_urls: tuple[str, ...]
    api_keys: tuple[str, ...]
    model: str


class Caller:
    """Sends planned requests to a target."""

    def __init__(self, *, reactor, target: Target, prefix_tokens: int):
        self._reactor = reactor
        self._target = target
        self._prefix_tokens = prefix_tokens
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_CONNECTIONS
        pool.retryAutomatically = False
        self._agent = client.Agent(reactor, pool=pool)

    @defer.inlineCallbacks
    def send(self, planned: schedule.PlannedRequest):
        """Send one request and wait for its final answer.

        :returns: fires with the ``Outcome``; it never fails.
        """
        prompt = planned.prompt(shared_prefix_tokens=self._prefix_tokens)
        progress = _Progress(started_s=time.monotonic())
        limit_s = (planned.kind.deadline_ms + GRACE_MS) / 1000
        try:
            request = self._request(planned, prompt, progress)
            request.addTimeout(limit_s, self._reactor)
            yield request
        except Exception as error:
            progress.error_code = type(error).__name__
            return _outcome(planned, progress, verdict=result.LOST)
        return _outcome(
            planned, progress, verdict=_judge(planned, prompt, progress)
        )

    @defer.inlineCallbacks
    def _request(self, planned, prompt, progress):
        urls = self._target.entry_urls
        url = urls[planned.number % len(urls)] + '/v1/chat/completions'
        key = self._target.api_keys[planned.workspace_index]
        headers = http_headers.Headers(
            {
                'Authorization': [f'Bearer {key}'],
                'Content-Type': ['application/json'],
                'X-Deadline-Ms': [str(planned.kind.deadline_ms)],
                'X-Request-Class': [planned.kind.request_class],
            }
        )
        body = json.dumps(
            {
                'model': self._target.model,
                'messages': [{'role': 'user', 'content': prompt}],
                'max_tokens': planned.kind.answer_tokens,
                'stream': True,
            }
        )
        response = yield self._agent.request(
            b'POST',
            url.encode(),
            headers,
            client.FileBodyProducer(io.BytesIO(body.encode())),
        )
        if response.code != 200:
            text = yield client.readBody(response)
            progress.error_code = json.loads(text)['error']['code']
            return
        ended = defer.Deferred()
        response.deliverBody(_StreamReader(progress=progress, ended=ended))
        yield ended


def _judge(planned, prompt: str, progress: _Progress) -> str:
    text = ''.join(progress.tokens)
    answer = answers.Answer(prompt=prompt)
    expected = answer.text(tokens=planned.kind.answer_tokens)
    if not expected.startswith(text):
        return result.WRONG
    if progress.finished and text == expected:
        return result.WHOLE
    if progress.error_code:
        return result.BROKEN if text else result.REFUSED
    return result.LOST


def _outcome(planned, progress: _Progress, *, verdict: str) -> result.Outcome:
    total_ms = (time.monotonic() - progress.started_s) * 1000
    first_ms = -1.0
    gap_ms = -1.0
    count = len(progress.tokens)
    if progress.first_s:
        first_ms = (progress.first_s - progress.started_s) * 1000
    if count > 1:
        gap_ms = (progress.last_s - progress.first_s) * 1000 / (count - 1)
    on_time = total_ms <= planned.kind.deadline_ms
    return result.Outcome(
        kind_name=planned.kind.name,
        verdict=verdict,
        error_code=progress.error_code,
        at_ms=planned.at_ms,
        first_token_ms=first_ms,
        token_gap_ms=gap_ms,
        total_ms=total_ms,
        tokens=count,
        in_time=verdict == result.WHOLE and on_time,
    )
