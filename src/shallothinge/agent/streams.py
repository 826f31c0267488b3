"""Runs the streams that entries ask for, from the gate to their end."""

import logging

from shallothinge import clock
from shallothinge import errors
from shallothinge import tokens
from shallothinge.agent import authority as authorities
from shallothinge.agent import coldlimit
from shallothinge.agent import engine as engines
from shallothinge.agent import frames
from shallothinge.agent import gate as gates
from shallothinge.agent import model
from shallothinge.agent import pace as paces
from shallothinge.agent import reconcile
from shallothinge.agent import running
from shallothinge.agent import watch as watches
from shallothinge.errors import ErrorKind
from shallothinge.streams import messages
from shallothinge.streams import owned

LOG = logging.getLogger(__name__)


class StreamService:
    """The streams of one agent.

    :param server_id: identity of the backend server.
    :param url: address of the engine, as spans of prompts name it.
    :param send: sends a message to an owner.
    """

    def __init__(
        self,
        *,
        reactor,
        clock: clock.Clock,
        server_id: str,
        url: str,
        engine: engines.EngineClient,
        authority: authorities.Authority,
        gate: gates.Gate,
        limit: coldlimit.ColdLimit,
        watch: watches.EngineWatch,
        releases: reconcile.ReleaseQueue,
        table: owned.StreamTable,
        sender: frames.FrameSender,
        send,
    ):
        self._reactor = reactor
        self._clock = clock
        self._server_id = server_id
        self._url = url
        self._engine = engine
        self._authority = authority
        self._gate = gate
        self._limit = limit
        self._watch = watch
        self._releases = releases
        self._table = table
        self._sender = sender
        self._send = send
        self._running: dict[owned.StreamKey, running.EngineStream] = {}
        self._paces: dict[owned.StreamKey, paces.PaceMeter] = {}
        self.load = model.EngineLoad()
        self.reconciled = False
        self._tokens_ms = 0

    def __len__(self) -> int:
        """Return the number of streams on the engine."""
        return len(self._running)

    def accepted_keys(self) -> tuple[owned.StreamKey, ...]:
        """Return the streams that the engine is known to run."""
        return tuple(
            key for key, stream in self._running.items() if stream.is_accepted
        )

    def models_in_use(self) -> frozenset[str]:
        """Return ``name@version`` of the models with streams."""
        return frozenset(stream.model for stream in self._table.all())

    def report(self) -> messages.LoadReport:
        """Return the load as this process knows it now."""
        return messages.LoadReport(
            server_id=self._server_id,
            running=self._gate.streams,
            waiting=self.load.waiting,
            held_tokens=self._gate.held_tokens,
            limit_tokens=self._gate.limit_tokens,
            prefill_backlog_tokens=self.load.prefill_backlog_tokens,
            cold=not self._limit.is_full,
        )

    def start(
        self, *, owner_id: str, request: messages.StartStream, waited_ms: int
    ) -> None:
        """Run a stream if the rules and the gate allow it.

        :param waited_ms: how long the request may have waited unread.
        """
        key = key_of(request)
        refusal = self._refusal(request, waited_ms)
        if refusal is not None:
            self._refuse(owner_id, key, refusal)
            return
        older = self._table.older_attempt(key)
        started = self._table.start(
            key=key,
            owner_id=owner_id,
            request=request,
            waited_ms=waited_ms,
        )
        if started is owned.Start.REUSED:
            self._refuse(owner_id, key, ErrorKind.BAD_REQUEST)
        if started is not owned.Start.NEW:
            return
        if older is not None:
            self.cancel(older)
        self._admit(owner_id, key, request)

    def _refusal(
        self, request: messages.StartStream, waited_ms: int
    ) -> ErrorKind | None:
        permission = self._authority.may_begin(
            state_version=request.state_version
        )
        if isinstance(permission, authorities.Denied):
            return permission.kind
        if waited_ms >= request.deadline_ms:
            return ErrorKind.EXPIRED_NOT_RUN
        if request.max_tokens < 0:
            # It would count against what other streams hold.
            return ErrorKind.BAD_REQUEST
        if not request.delivered and not self._authority.may_use(
            state_version=request.state_version,
            workspace=request.workspace,
            name=owned.model_of(request),
        ):
            return ErrorKind.FORBIDDEN
        if not self._watch.is_serving() or not self.reconciled:
            return ErrorKind.NO_BACKEND_SERVER
        return None

    def _admit(self, owner_id, key, request) -> None:
        work = gates.Work(tokens=self._tokens_of(request))
        admitted = self._gate.admit(
            key=key, work=work, careful=self._is_overdue()
        )
        if isinstance(admitted, gates.Refused):
            self._table.remove(key)
            self._refuse(owner_id, key, admitted.kind)
            return
        stream = running.EngineStream(
            reactor=self._reactor, engine=self._engine, key=key, listener=self
        )
        self._running[key] = stream
        self._paces[key] = paces.PaceMeter(clock=self._clock)
        stream.start(
            completion=self._completion(key, request),
            may_send=self._authority.may_act,
        )

    def _is_overdue(self) -> bool:
        """Return whether streams that bring tokens have stopped to."""
        if not any(pace.has_begun for pace in self._paces.values()):
            return False
        silent_ms = self._clock.now_ms() - self._tokens_ms
        return self._limit.is_overdue(silent_ms=silent_ms)

    def _tokens_of(self, request: messages.StartStream) -> int:
        if request.span:
            return 0
        counted = tokens.count_tokens(request.prompt)
        return max(counted, request.prompt_tokens) + request.max_tokens

    def _completion(self, key, request) -> engines.Completion:
        parts = tuple(
            engines.SpanReference(
                reservation_id=part.reservation_id,
                url=self._part_url(part),
                tokens=part.tokens,
            )
            for part in request.span
        )
        return engines.Completion(
            request_id=key.engine_id,
            model=owned.model_of(request),
            adapter=request.adapter,
            prompt=request.prompt,
            delivered=request.delivered,
            max_tokens=request.max_tokens,
            priority=request.priority,
            fence=self._authority.fence,
            parts=parts,
        )

    def _part_url(self, part: messages.SpanPart) -> str:
        if part.server_id == self._server_id:
            return self._url
        return part.url

    def _refuse(
        self,
        owner_id: str,
        key: owned.StreamKey,
        kind: ErrorKind,
        retry_after_ms: int = 0,
    ) -> None:
        default_ms = errors.ANSWERS[kind].retry_after_ms
        refusal = messages.StreamRefused(
            request_id=key.request_id,
            attempt=key.attempt,
            kind=kind,
            retry_after_ms=retry_after_ms or default_ms,
            load=self.report(),
        )
        self._send(owner_id, refusal)

    def accepted(self, key: owned.StreamKey) -> None:
        """Tell the owner that the engine runs the stream."""
        stream = self._table.get(key)
        if stream is None:
            return
        message = messages.StreamAccepted(
            request_id=key.request_id,
            attempt=key.attempt,
            load=self.report(),
        )
        self._send(stream.owner_id, message)

    def refused(
        self, key: owned.StreamKey, kind: ErrorKind, retry_after_ms: int
    ) -> None:
        """Tell the owner that the engine did not run the stream."""
        stream = self._table.get(key)
        self._drop(key)
        self._gate.release(key=key)
        self._table.remove(key)
        if kind is ErrorKind.STALE_FENCE:
            self._authority.supersede(fence=self._authority.fence)
        if stream is not None:
            if not self._authority.may_act():
                kind = ErrorKind.NO_LEASE
            self._refuse(stream.owner_id, key, kind, retry_after_ms)

    def generated(
        self, key: owned.StreamKey, event: model.TokensGenerated
    ) -> owned.Extent:
        """Keep tokens and send them on."""
        extent = self._table.extend(
            key=key, offset=event.offset, tokens=event.tokens
        )
        if extent is owned.Extent.NEXT:
            self._sender.mark(key)
            self._tokens_ms = self._clock.now_ms()
            pace = self._paces[key].saw_tokens(count=len(event.tokens))
            if pace is not None:
                self._limit.saw_pace(ms_per_token=pace)
        return extent

    def next_offset(self, key: owned.StreamKey) -> int:
        """Return the offset of the next token to come."""
        stream = self._table.get(key)
        return stream.next_offset if stream is not None else 0

    def finished(
        self, key: owned.StreamKey, event: model.GenerationFinished
    ) -> None:
        """End a stream whose answer is whole."""
        self._drop(key)
        self._gate.release(key=key)
        fresh_tokens = event.prompt_tokens - event.cached_tokens
        self._limit.finished(tokens=fresh_tokens + event.generated_tokens)
        self._release_on_engine(key)
        ending = messages.StreamFinished(
            request_id=key.request_id,
            attempt=key.attempt,
            offset=event.offset,
            finish_reason=event.finish_reason,
            prompt_tokens=event.prompt_tokens,
            cached_tokens=event.cached_tokens,
            generated_tokens=event.generated_tokens,
            load=self.report(),
        )
        self._end(key, ending)

    def failed(self, key: owned.StreamKey, kind: ErrorKind) -> None:
        """End a stream that can not be continued here."""
        self._drop(key)
        self._release_on_engine(key)
        ending = messages.StreamFailed(
            request_id=key.request_id,
            attempt=key.attempt,
            offset=self.next_offset(key),
            kind=kind,
            load=self.report(),
        )
        self._end(key, ending)

    def connection_broke(self) -> None:
        """Hold new work until the engine is known to answer."""
        self._watch.doubt()

    def cancel(self, key: owned.StreamKey) -> None:
        """End a stream that nobody wants any more."""
        stream = self._table.get(key)
        if stream is None:
            return
        if key in self._running:
            self._drop(key)
            self._release_on_engine(key)
        self._table.remove(key)

    def resume(self, *, owner_id: str, request: messages.ResumeStream) -> None:
        """Send a stream again from an offset on a new connection."""
        key = key_of(request)
        resumed = self._table.resume(
            key=key, owner_id=owner_id, next_offset=request.next_offset
        )
        if resumed:
            self._accept_again(key)
            self._sender.mark(key)
            return
        message = messages.StreamFailed(
            request_id=key.request_id,
            attempt=key.attempt,
            offset=request.next_offset,
            kind=ErrorKind.BACKEND_FAILED,
            load=self.report(),
        )
        self._send(owner_id, message)

    def _accept_again(self, key: owned.StreamKey) -> None:
        stream = self._running.get(key)
        if stream is not None and stream.is_accepted:
            self.accepted(key)

    def fail_all(self) -> None:
        """End every stream on the engine: it was lost or is frozen."""
        for key in list(self._running):
            self.failed(key, ErrorKind.BACKEND_FAILED)

    def reconnect(self, engine_ids: frozenset[str]) -> None:
        """Replace the connections of streams that fell silent."""
        for key, stream in list(self._running.items()):
            if key.engine_id in engine_ids:
                stream.reconnect()

    def expire(self) -> None:
        """End what has lost its owner or run out of time."""
        for key in self._table.expired():
            self.cancel(key)
        for key in self._table.overdue():
            self.failed(key, ErrorKind.DEADLINE_EXCEEDED)

    def released(self, engine_id: str) -> None:
        """Take a stream off the gate once the engine has released it."""
        self._gate.release(key=engine_id)

    def close(self) -> None:
        """Drop every connection to the engine."""
        for stream in self._running.values():
            stream.stop()
        self._running.clear()

    def _drop(self, key: owned.StreamKey) -> None:
        stream = self._running.pop(key, None)
        if stream is not None:
            stream.stop()
        self._paces.pop(key, None)

    def _release_on_engine(self, key: owned.StreamKey) -> None:
        work = self._gate.release(key=key)
        holding = reconcile.Holding(
            collection=reconcile.Collection.STREAMS,
            identifier=key.engine_id,
        )
        if work.tokens:
            self._gate.hold(key=key.engine_id, work=work)
        self._releases.add(holding)

    def _end(self, key, ending) -> None:
        if self._table.end(key=key, ending=ending):
            self._sender.mark(key)


def key_of(message) -> owned.StreamKey:
    """Return the identity of the stream that a message names."""
    return owned.StreamKey(
        request_id=message.request_id, attempt=message.attempt
    )
