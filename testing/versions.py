"""Messages of a release, kept so that later ones are shown to read them.

    python -m testing.versions > testing/messages/RELEASE.json

Run with the release's own sources, this writes the bytes of a sample of each
message between processes.
"""

import enum
import json
import pathlib
import sys
import types
import typing

import attrs

from shallothinge import protocol

FOLDER = pathlib.Path(__file__).with_name('messages')
SCALARS = {int: 7, float: 1.5, str: 'a', bytes: b'b', bool: True}


def sample(wanted) -> object:
    """Return a value of a type, with one element in each collection."""
    origin, inner = typing.get_origin(wanted), typing.get_args(wanted)
    if wanted in SCALARS:
        return SCALARS[wanted]
    if isinstance(wanted, type) and issubclass(wanted, enum.Enum):
        return next(iter(wanted))
    if attrs.has(wanted):
        return sample_message(wanted)
    if origin in (typing.Union, types.UnionType):
        return sample(next(one for one in inner if one is not type(None)))
    if origin is tuple:
        if inner[-1] is Ellipsis:
            return (sample(inner[0]),)
        return tuple(sample(one) for one in inner)
    if origin is dict:
        return {sample(inner[0]): sample(inner[1])}
    # Tuples of works are numbers and texts without a stated type.
    return () if wanted is tuple else None


def sample_message(message_type: type) -> object:
    """Return a message with all its fields set."""
    hints = typing.get_type_hints(message_type)
    return message_type(
        **{
            field.name.lstrip('_'): sample(hints[field.name])
            for field in attrs.fields(message_type)
            if field.init
        }
    )


def write(output: typing.TextIO) -> None:
    """Write the bytes of all messages, in hex, by their names."""
    codec = protocol.build_codec()
    encoded = {
        one.__name__: codec.encode(sample_message(one)).hex()
        for one in codec.message_types
    }
    json.dump(encoded, output, indent=1, sort_keys=True)
    output.write('\n')


if __name__ == '__main__':
    write(sys.stdout)
