"""A process must not start with settings that are wrong in any key."""

import copy

import pytest

from coltsfootspar.exceptions import SettingsError
from coltsfootspar.settings import NodeSettings, load_settings, parse_settings

VALID = {
    "deployment": "kikapu",
    "shared_key": "00" * 16,
    "node": {"id": "wallet-1", "region": "ke-central", "data_centre": "ke-a"},
    "listen": {
        "inbound": "127.0.0.1:8000",
        "outbound": "127.0.0.1:8001",
        "peer": "127.0.0.1:8002",
        "gossip": "127.0.0.1:8003",
    },
    "replicas": [{"id": "r1", "address": "127.0.0.1:9000"}],
}


def test_all_problems_are_reported_at_once_with_their_keys():
    content = copy.deepcopy(VALID)
    content["listen"]["peer"] = "localhost"
    content["limits"] = {"body_bytes": 5, "header_bytes": "big"}
    content["surprise"] = 1
    del content["deployment"]
    content["shared_key"] = "short"
    with pytest.raises(SettingsError) as caught:
        parse_settings(content, NodeSettings)
    text = "\n".join(caught.value.problems)
    for part in (
        "listen.peer",
        "limits.body_bytes",
        "from 1024 to 268435456",
        "limits.header_bytes",
        "surprise",
        "deployment: is required",
    ):
        assert part in text, text
    assert len(caught.value.problems) == 6


def test_validators_name_their_key():
    content = copy.deepcopy(VALID)
    content["shared_key"] = "short"
    content["http"] = {"server": "other"}
    with pytest.raises(SettingsError) as caught:
        parse_settings(content, NodeSettings)
    text = "\n".join(caught.value.problems)
    assert "one of h11, hypercorn" in text
    assert "short" not in text


def test_replica_id_must_be_listed():
    content = VALID | {"replica": {"id": "r9", "data_folder": "x"}}
    with pytest.raises(SettingsError, match="r9"):
        parse_settings(content, NodeSettings)


def test_file_with_comments(tmp_path):
    path = tmp_path / "node.jsonc"
    path.write_text(
        """{
        // of the example
        "deployment": "kikapu", "shared_key": "%s",
        "replica": {"id": "r1", "data_folder": "d"},
        "listen": {"peer": "[::1]:9000"},
        "replicas": [{"id": "r1", "address": "127.0.0.1:9000"},],
    }"""
        % ("ab" * 16)
    )
    assert load_settings(str(path)).listen.peer.host == "::1"


@pytest.mark.parametrize("text", ["", "[]", "{", "nothing"])
def test_broken_file_is_an_error(tmp_path, text):
    path = tmp_path / "node.jsonc"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_settings(str(path))
