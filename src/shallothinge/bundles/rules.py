"""Rules that the parts of a bundle must keep together."""

from collections.abc import Iterable
from collections.abc import Iterator

from shallothinge.bundles import lines
from shallothinge.bundles.faults import BundleFault
from shallothinge.bundles.model import Bundle


def model_id(model) -> str:
    """Return ``name@version`` of a model."""
    return f'{model.name}@{model.version}'


def find_faults(
    *, bundle: Bundle, index: lines.LineIndex
) -> list[BundleFault]:
    """Return every broken rule of a bundle whose keys are well formed."""
    checks = _Checks(bundle=bundle, index=index)
    return [
        *checks.versions(),
        *checks.duplicates(),
        *checks.models(),
        *checks.workspaces(),
        *checks.shared_keys(),
    ]


class _Checks:
    """The rules, each of which yields its faults."""

    def __init__(self, *, bundle: Bundle, index: lines.LineIndex):
        self._bundle = bundle
        self._index = index

    def versions(self) -> Iterator[BundleFault]:
        """A bundle's version is larger than the one it replaces."""
        if self._bundle.version <= self._bundle.replaces_version:
            yield self._fault(
                '',
                0,
                'version',
                found=f'{self._bundle.version}, which is not larger than '
                f'replaces_version {self._bundle.replaces_version}',
                fix='give a larger version',
            )

    def duplicates(self) -> Iterator[BundleFault]:
        """Names are unique in their table."""
        named = {
            'models': [model_id(model) for model in self._bundle.models],
            'services': [item.name for item in self._bundle.services],
            'workspaces': [item.name for item in self._bundle.workspaces],
        }
        for table, names in named.items():
            for number, name in enumerate(names):
                if name in names[:number]:
                    yield self._fault(
                        table,
                        number,
                        'name',
                        found=f'{name}, which stands twice',
                        fix='remove or rename one of the two',
                    )

    def models(self) -> Iterator[BundleFault]:
        """A model is spread over zones that the bundle lists."""
        if not self._bundle.models:
            yield self._fault(
                '', 0, 'models', found='none', fix='add [[models]]'
            )
        for number, model in enumerate(self._bundle.models):
            yield from self._unknown(
                'models', number, 'zones', model.zones, self._bundle.zones
            )

    def workspaces(self) -> Iterator[BundleFault]:
        """A workspace names models, adapters and services that exist."""
        models = {model_id(model): model for model in self._bundle.models}
        services = [service.name for service in self._bundle.services]
        for number, workspace in enumerate(self._bundle.workspaces):
            yield from self._unknown(
                'workspaces', number, 'models', workspace.models, models
            )
            yield from self._unknown(
                'workspaces', number, 'services', workspace.services, services
            )
            adapters = [
                adapter
                for name in workspace.models
                if name in models
                for adapter in models[name].adapters
            ]
            yield from self._unknown(
                'workspaces', number, 'adapters', workspace.adapters, adapters
            )

    def shared_keys(self) -> Iterator[BundleFault]:
        """An API key belongs to one workspace."""
        owners: dict[str, str] = {}
        for number, workspace in enumerate(self._bundle.workspaces):
            for key_hash in workspace.key_hashes:
                owner = owners.setdefault(key_hash, workspace.name)
                if owner != workspace.name:
                    yield self._fault(
                        'workspaces',
                        number,
                        'key_hashes',
                        found=f'the key {key_hash[:12]}... of {owner}',
                        fix='make a key of its own for each workspace',
                    )

    def _unknown(
        self,
        table: str,
        number: int,
        key: str,
        names: Iterable[str],
        known: Iterable[str],
    ) -> Iterator[BundleFault]:
        for name in names:
            if name not in known:
                yield self._fault(
                    table,
                    number,
                    key,
                    found=name,
                    fix=f'use one of {", ".join(known) or "(none)"}',
                )

    def _fault(self, table, number, key, *, found, fix) -> BundleFault:
        return BundleFault(
            line=self._index.find(table=table, number=number, key=key),
            key=f'{table}.{key}' if table else key,
            found=found,
            fix=fix,
        )
