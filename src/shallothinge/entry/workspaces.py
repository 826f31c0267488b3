"""Callers' workspaces and what each may use, by the bundle in force."""

import hashlib
import hmac

from shallothinge import errors
from shallothinge.bundles import model
from shallothinge.errors import ErrorKind

BEARER = 'bearer '


def authenticate(
    *, authorization: str, bundle: model.Bundle | None
) -> model.WorkspaceSpec:
    """Return the workspace whose key an ``Authorization`` header bears.

    Every known hash is compared, each in constant time, so that the time
    taken tells nothing about the key.

    :raises ServingError: if no bundle is in force or the key is unknown.
    """
    if bundle is None:
        raise errors.ServingError(
            kind=ErrorKind.NO_LEASE, detail='no bundle is in force yet'
        )
    key = ''
    if authorization.lower().startswith(BEARER):
        key = authorization[len(BEARER) :].strip()
    digest = hashlib.sha256(key.encode(errors='replace')).hexdigest()
    found = None
    for workspace in bundle.workspaces:
        for key_hash in workspace.key_hashes:
            if hmac.compare_digest(digest.encode(), key_hash.encode()):
                found = workspace
    if found is None or not key:
        raise errors.ServingError(
            kind=ErrorKind.UNAUTHENTICATED,
            detail='send Authorization: Bearer KEY',
        )
    return found


def allowed_model(
    *, name: str, adapter: str, workspace: model.WorkspaceSpec, bundle
) -> model.ModelSpec:
    """Return the model that a request names, if the workspace may use it.

    :param name: the model's name, with or without ``@version``; without,
        the last version that the bundle lists is taken.
    :raises ServingError: ``NOT_FOUND`` or ``FORBIDDEN``.
    """
    known = [spec for spec in bundle.models if name in names_of(spec)]
    if not known:
        raise errors.ServingError(
            kind=ErrorKind.NOT_FOUND, detail=f'no model {name}'
        )
    granted = set(workspace.models)
    usable = [spec for spec in known if granted & set(names_of(spec))]
    if not usable:
        raise errors.ServingError(
            kind=ErrorKind.FORBIDDEN, detail=f'model {name}'
        )
    spec = usable[-1]
    _check_adapter(adapter=adapter, workspace=workspace, spec=spec)
    return spec


def names_of(spec: model.ModelSpec) -> tuple[str, str]:
    """Return the names by which a model version may be called."""
    return spec.name, f'{spec.name}@{spec.version}'


def _check_adapter(*, adapter, workspace, spec) -> None:
    if not adapter:
        return
    if adapter not in spec.adapters:
        raise errors.ServingError(
            kind=ErrorKind.NOT_FOUND, detail=f'no adapter {adapter}'
        )
    if adapter not in workspace.adapters:
        raise errors.ServingError(
            kind=ErrorKind.FORBIDDEN, detail=f'adapter {adapter}'
        )


def allowed_service(
    *, name: str, workspace: model.WorkspaceSpec, bundle: model.Bundle
) -> model.ServiceSpec:
    """Return the plain service of a name, if the workspace may use it.

    :raises ServingError: ``NOT_FOUND`` or ``FORBIDDEN``.
    """
    for spec in bundle.services:
        if spec.name == name:
            if name in workspace.services:
                return spec
            raise errors.ServingError(
                kind=ErrorKind.FORBIDDEN, detail=f'service {name}'
            )
    raise errors.ServingError(
        kind=ErrorKind.NOT_FOUND, detail=f'no service {name}'
    )
