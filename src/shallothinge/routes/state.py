"""The replicated route table."""

import attrs

from shallothinge.routes import messages


@attrs.define(kw_only=True)
class RouteStore:
    """The newest route table that was accepted; version 0 if none was."""

    version: int = 0
    document: bytes = attrs.field(default=b'', repr=False)

    def store(self, order: messages.StoreRoutes) -> bool:
        """Store a table if it is newer than the current one.

        Other content under the current version is ignored, as a version
        identifies one table permanently.

        :returns: whether the table changed.
        """
        if order.version <= self.version:
            return False
        self.version = order.version
        self.document = order.document
        return True
