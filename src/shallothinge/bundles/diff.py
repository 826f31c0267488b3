"""Differences between two bundles, for review before a sign-off."""

import attrs

from shallothinge.bundles.model import Bundle
from shallothinge.bundles.rules import model_id


@attrs.frozen(kw_only=True)
class Change:
    """One difference.

    ``before`` or ``after`` is '' for what was added or removed.
    """

    place: str
    before: str
    after: str

    def describe(self) -> str:
        """Return the change as one line."""
        if not self.before:
            return f'+ {self.place}: {self.after}'
        if not self.after:
            return f'- {self.place}: {self.before}'
        return f'~ {self.place}: {self.before} -> {self.after}'


def find_changes(
    *, before: Bundle | None, after: Bundle
) -> tuple[Change, ...]:
    """Return what a bundle changes, in a stable order.

    :param before: the bundle in force, or None.
    """
    old = {} if before is None else _flatten(before)
    new = _flatten(after)
    return tuple(
        Change(
            place=place, before=old.get(place, ''), after=new.get(place, '')
        )
        for place in sorted({*old, *new})
        if old.get(place, '') != new.get(place, '')
    )


def _flatten(bundle: Bundle) -> dict[str, str]:
    """Return the text of each value by its place."""
    values = {
        'version': str(bundle.version),
        'zones': _text(bundle.zones),
    }
    for model in bundle.models:
        values.update(_fields(f'model {model_id(model)}', model))
    for service in bundle.services:
        values.update(_fields(f'service {service.name}', service))
    for workspace in bundle.workspaces:
        values.update(_fields(f'workspace {workspace.name}', workspace))
    return values


def _fields(place: str, item: object) -> dict[str, str]:
    return {
        f'{place} {field.name}': _text(getattr(item, field.name))
        for field in attrs.fields(type(item))
        if field.name != 'name'
    }


def _text(value: object) -> str:
    if isinstance(value, tuple):
        return ', '.join(map(str, value)) or '(none)'
    return str(value)
