"""Data of a bundle and of the configuration in force."""

import attrs


@attrs.frozen(kw_only=True)
class ModelSpec:
    """A model version with its adapters, and where it runs.

    ``zones`` names the availability zones that the model is spread over;
    empty means all. ``context_tokens`` is the longest prompt allowed.
    """

    name: str
    version: str
    adapters: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    context_tokens: int = 1_100_000


@attrs.frozen(kw_only=True)
class ServiceSpec:
    """A plain service; calls run at most once unless repeatable."""

    name: str
    repeatable: bool


@attrs.frozen(kw_only=True)
class WorkspaceSpec:
    """What one workspace may use.

    ``key_hashes`` are hex SHA-256 digests of its API keys. ``weight`` is
    its share among workspaces under load.
    """

    name: str
    key_hashes: tuple[str, ...]
    models: tuple[str, ...]
    services: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    allowance_tokens_per_month: int = 0
    weight: int = 1


@attrs.frozen(kw_only=True)
class Bundle:
    """One version of everything that operators decide in advance.

    ``zones`` names the availability zones of the deployment.
    """

    version: int
    replaces_version: int
    models: tuple[ModelSpec, ...]
    services: tuple[ServiceSpec, ...]
    workspaces: tuple[WorkspaceSpec, ...]
    zones: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ServingConfig:
    """The configuration in force, as lease holders receive it.

    ``state_version`` orders all changes, of bundles, routes and outages.
    """

    state_version: int = 0
    bundle: Bundle | None = None
    zones_out: tuple[str, ...] = ()
    servers_out: tuple[str, ...] = ()
    routes_version: int = 0
    routes_document: bytes = attrs.field(default=b'', repr=False)
