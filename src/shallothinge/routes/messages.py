"""Commands and queries for the route table.

The table is transferred as the document that the operator sent, so that it
can be returned unchanged; ``routes.documents`` parses it.
"""

import attrs


@attrs.frozen(kw_only=True)
class StoreRoutes:
    """Put a route table in force unless a newer one already is."""

    request_id: str
    version: int
    document: bytes = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class RoutesStored:
    """Answer to ``StoreRoutes``; ``version`` is the one in force."""

    request_id: str
    version: int


@attrs.frozen(kw_only=True)
class FetchRoutes:
    """Query the newest route table."""

    request_id: str


@attrs.frozen(kw_only=True)
class RoutesFetched:
    """The newest route table; version 0 if there is none."""

    request_id: str
    version: int
    document: bytes = attrs.field(repr=False)


COMMANDS = (StoreRoutes, RoutesStored)
MESSAGES = (StoreRoutes, RoutesStored, FetchRoutes, RoutesFetched)
