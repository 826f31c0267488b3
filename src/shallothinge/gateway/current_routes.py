"""The route table in force, as this gateway can read it."""

import logging

from shallothinge.gateway import model
from shallothinge.http1 import messages
from shallothinge.leases import holder as holders
from shallothinge.routes import lookup
from shallothinge.routes import model as routes

LOG = logging.getLogger(__name__)


class CurrentRoutes:
    """Reads the route table of the lease holder's configuration.

    While the newest table can't be read, as one of a newer release may be,
    there is no table: the routes and keys of an older one may be revoked.
    """

    def __init__(self, *, dialect: model.Dialect, holder: holders.LeaseHolder):
        self._dialect = dialect
        self._holder = holder
        self._index = lookup.RouteIndex(table=routes.RouteTable())
        self._unreadable_version = 0

    @property
    def limits(self) -> messages.Limits:
        """Return the limits for callers of the last table that was read."""
        self.index()
        return self._index.table.limits

    def index(self) -> lookup.RouteIndex | None:
        """Return the newest table, indexed, or None if there is none."""
        config = self._holder.config
        if config.routes_version == self._unreadable_version:
            return None
        if config.routes_version != self._index.table.version:
            self._read(config.routes_version, config.routes_document)
        if config.routes_version == self._unreadable_version:
            return None
        return self._index

    def _read(self, version: int, document: bytes) -> None:
        try:
            table = self._dialect.read_routes(document)
        except Exception:
            self._unreadable_version = version
            LOG.exception(
                'route table can not be read; requests are refused',
                extra={
                    'routes_version': version,
                    'last_read_version': self._index.table.version,
                },
            )
            return
        self._index = lookup.RouteIndex(table=table)
        LOG.info(
            'route table applied',
            extra={
                'routes_version': table.version,
                'route_count': len(table.routes),
            },
        )
