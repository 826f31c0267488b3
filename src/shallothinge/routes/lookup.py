"""Finds a request's route, service and workspace in a route table."""

import random

from shallothinge.routes import model

SEPARATOR = '/'


class RouteIndex:
    """Indexes a route table for look-ups.

    :param table: the table; it must have been validated.
    """

    def __init__(self, *, table: model.RouteTable):
        self.table = table
        self._routes: dict[tuple[str, str], model.Route] = {
            (route.host.lower(), route.path_prefix): route
            for route in table.routes
        }
        self._services = {service.name: service for service in table.services}
        self._workspaces = {
            api_key: workspace
            for workspace in table.workspaces
            for api_key in workspace.api_keys
        }

    def find_route(self, *, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix that matches a path.

        :param host: the ``Host`` header, with or without a port.
        :param path: the request's target, with or without a query.
        """
        name = host.lower().rpartition(':')[0] if ':' in host else host.lower()
        path = path.partition('?')[0]
        end = len(path)
        while end > 0:
            end = path.rfind(SEPARATOR, 0, end)
            if end < 0:
                return None
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_service(self, name: str) -> model.Service | None:
        """Return a service by its name."""
        return self._services.get(name)

    def find_workspace(self, api_key: str) -> model.Workspace | None:
        """Return the workspace that holds an API key."""
        return self._workspaces.get(api_key)


def choose_service(*, route: model.Route, rng: random.Random) -> str:
    """Return a service name, chosen at random by the route's weights."""
    if len(route.split) == 1:
        return route.split[0].service
    names = [split.service for split in route.split]
    weights = [split.weight for split in route.split]
    return rng.choices(names, weights=weights)[0]
