"""Reading and checking settings files."""

import pathlib
import typing
from typing import Any, TypeVar

import attrs
import cattrs
import jsonc
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.v import transform_error

from coltsfootspar.exceptions import SettingsError, WireError
from coltsfootspar.settings.model import NodeSettings, ReplicaSettings
from coltsfootspar.wire import Address, parse_address

__all__ = [
    "load_node_settings",
    "load_replica_settings",
    "load_settings",
    "parse_settings",
    "read_settings_file",
    "structure_address",
]

S = TypeVar("S", NodeSettings, ReplicaSettings)


def load_settings(path: str) -> NodeSettings | ReplicaSettings:
    """Reads a settings file of either program.

    :param path: file in JSON with comments; a ``node`` block marks a node's.
    :raises SettingsError: with all problems of the file.
    """
    content = read_settings_file(path)
    model = NodeSettings if "node" in content else ReplicaSettings
    return parse_settings(content, model)


def load_node_settings(path: str) -> NodeSettings:
    """Reads the settings of a node.

    :raises SettingsError: with all problems of the file.
    """
    return parse_settings(read_settings_file(path), NodeSettings)


def load_replica_settings(path: str) -> ReplicaSettings:
    """Reads the settings of a replica.

    :raises SettingsError: with all problems of the file.
    """
    return parse_settings(read_settings_file(path), ReplicaSettings)


def parse_settings(content: dict[str, Any], model: type[S]) -> S:
    """Checks settings as a whole.

    :param content: decoded JSON.
    :param model: class of the settings.
    :raises SettingsError: with all problems, each naming its key.
    """
    problems = _find_range_problems(content, model, "")
    try:
        # The validators have run above for all keys; here the first that fails
        # would hide the others.
        with attrs.validators.disabled():
            settings = _converter.structure(content, model)
    except Exception as error:
        lines = transform_error(error, path="", format_exception=_describe)
        problems += [_put_key_first(line) for line in lines]
        raise SettingsError(problems) from error
    problems += _check_replica_id(settings)
    if problems:
        raise SettingsError(problems)
    return settings


def read_settings_file(path: str) -> dict[str, Any]:
    """Reads a file in JSON with comments.

    :raises SettingsError: when it cannot be read or holds no object.
    """
    try:
        content = jsonc.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    except (RecursionError, ValueError) as error:
        raise SettingsError([f"{path}: not valid JSON with comments: {error}"]) from (
            error
        )
    if not isinstance(content, dict):
        raise SettingsError([f"{path}: the top level must be an object"])
    return content


def _find_range_problems(content: Any, model: type, path: str) -> list[str]:
    if not isinstance(content, dict):
        return []
    problems = []
    attrs.resolve_types(model)
    for field in attrs.fields(model):
        if field.name in content:
            key = f"{path}{field.name}"
            problems += _check_field(content[field.name], field, key)
    return problems


def _check_field(value: Any, field: attrs.Attribute, key: str) -> list[str]:
    problems = []
    for model in _find_models(field.type):
        if isinstance(value, list):
            for index, item in enumerate(value):
                problems += _find_range_problems(item, model, f"{key}[{index}].")
        else:
            problems += _find_range_problems(value, model, f"{key}.")
    if field.validator is None:
        return problems
    try:
        with attrs.validators.disabled():
            parsed = _converter.structure(value, field.type)
    except Exception:
        # Values of the wrong type are reported when all is structured.
        return problems
    try:
        field.validator(None, field, parsed)
    except ValueError as error:
        problems.append(f"{key}: {error}")
    return problems


def _find_models(annotation: Any) -> list[type]:
    if isinstance(annotation, type) and attrs.has(annotation):
        return [] if annotation is Address else [annotation]
    return [
        model
        for argument in typing.get_args(annotation)
        for model in _find_models(argument)
    ]


def _put_key_first(line: str) -> str:
    text, _, key = line.rpartition(" @ ")
    key = key.lstrip(".") or "settings"
    return f"{key}: {text}"


def _check_replica_id(settings: NodeSettings | ReplicaSettings) -> list[str]:
    ids = [member.id for member in settings.replicas]
    if settings.replica is None or settings.replica.id in ids:
        return []
    return [
        f"replica.id: {settings.replica.id!r} is not one of the ids under replicas: "
        f"{', '.join(ids)}"
    ]


def structure_address(value: Any, _: type) -> Address:
    """Converts ``IP:PORT``.

    :raises TypeError: when the value is no text.
    :raises ValueError: when the text is no address.
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not IP:PORT")
    try:
        return parse_address(value)
    except WireError as error:
        raise ValueError(str(error)) from error


def _structure_text(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value


def _structure_integer(value: Any, _: type) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a whole number")
    return value


def _structure_number(value: Any, _: type) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{value!r} is not a number")
    return float(value)


def _describe(error: BaseException, expected: type | None) -> str:
    if isinstance(error, KeyError):
        return "is required but missing"
    if isinstance(error, ForbiddenExtraKeysError):
        return f"has unknown keys: {', '.join(sorted(error.extra_fields))}"
    is_attrs_class = isinstance(expected, type) and attrs.has(expected)
    if isinstance(error, AttributeError) or (
        isinstance(error, TypeError) and is_attrs_class and expected is not Address
    ):
        return "must be an object"
    return str(error)


def _create_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(Address, structure_address)
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook(int, _structure_integer)
    converter.register_structure_hook(float, _structure_number)
    return converter


_converter = _create_converter()
