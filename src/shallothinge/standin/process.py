"""Starts a stand-in backend server or weight store."""

import secrets

from twisted.internet import endpoints
from twisted.web import resource
from twisted.web import server

from shallothinge import clock
from shallothinge.standin import engine as engines
from shallothinge.standin import engine_web
from shallothinge.standin import model
from shallothinge.standin import service
from shallothinge.standin import weights
from shallothinge.standin import weights_web

INCARNATION_BYTES = 6
FILE_TYPES = {
    'engine': model.EngineFile,
    'service': model.ServiceFile,
    'weights': model.WeightStoreFile,
}


def make_resource(*, settings, reactor) -> resource.Resource:
    """Return the HTTP resource of a stand-in.

    :param settings: one of the settings files of ``model``.
    """
    if isinstance(settings, model.EngineFile):
        engine = engines.Engine(
            clock=clock.MonotonicClock(),
            options=settings.engine,
            make_incarnation=lambda: secrets.token_hex(INCARNATION_BYTES),
        )
        return engine_web.EngineResource(
            reactor=reactor, engine=engine, options=settings.engine
        )
    if isinstance(settings, model.ServiceFile):
        return service.ServiceResource(
            reactor=reactor, options=settings.service
        )
    limit = weights.LoadLimit(
        clock=clock.MonotonicClock(), options=settings.weights
    )
    return weights_web.WeightStoreResource(limit=limit)


def listen(*, settings, address: str, reactor):
    """Serve a stand-in on ``HOST:PORT``.

    :returns: a Deferred that fires with the listening port.
    """
    host, _, port = address.rpartition(':')
    site = server.Site(make_resource(settings=settings, reactor=reactor))
    endpoint = endpoints.TCP4ServerEndpoint(reactor, int(port), interface=host)
    return endpoint.listen(site)


def run(*, settings, address: str, reactor) -> None:
    """Serve a stand-in until SIGTERM or Ctrl-C."""
    listening = listen(settings=settings, address=address, reactor=reactor)
    listening.addErrback(lambda failure: reactor.stop())
    reactor.run()
