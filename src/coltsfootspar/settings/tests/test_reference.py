"""Every key must be in the operators' reference."""

import pathlib
import typing

import attrs
import pytest

from coltsfootspar.settings import NodeSettings, ReplicaSettings
from coltsfootspar.wire import Address

REFERENCE = pathlib.Path(__file__).parents[4] / "docs" / "operators" / "settings.md"


def list_keys(model, prefix=""):
    attrs.resolve_types(model)
    for field in attrs.fields(model):
        models = [
            kind
            for kind in (field.type, *typing.get_args(field.type))
            if isinstance(kind, type) and attrs.has(kind) and kind is not Address
        ]
        suffix = "[]" if typing.get_origin(field.type) is tuple else ""
        if models:
            yield from list_keys(models[0], f"{prefix}{field.name}{suffix}.")
        else:
            yield prefix + field.name


@pytest.mark.parametrize("model", [NodeSettings, ReplicaSettings])
def test_reference_names_every_key(model):
    text = REFERENCE.read_text()
    missing = [key for key in list_keys(model) if f"`{key}`" not in text]
    assert missing == []
