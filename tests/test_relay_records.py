"""Decoding of the platform's records and settings file."""

import pytest

from citronwood.errors import SettingsError
from citronwood.platform.api import Listing, VersionedObject
from citronwood.platform.nodefile import Address, load_settings, parse_fields
from citronwood.platform.nodefile import parse_settings as parse
from citronwood.platform.records import decode_rules, decode_servers
from citronwood.relay.model import Consistency, Role
from tests.relay_standins import configuration

SETTINGS = """\
node=front-1
zone=z1
listen.front=10.1.0.26:8465
listen.ready=10.1.0.26:8460
port_range=7560,7575
platform.address=10.200.1.7:8466
cloud.address=10.200.0.2:8466
bounds.grace_s=6
unknown.field=x
"""


def listing(**values):
    return Listing(
        {name: VersionedObject(value, 1) for name, value in values.items()}, 1
    )


def test_configuration_is_decoded():
    rules = decode_rules(listing(main=configuration(version=7)))
    assert rules.version == 7
    route = rules.routes["shop"]
    assert route.consistency is Consistency.READ_YOUR_WRITES
    assert (route.group, route.max_age_s, route.statement_timeout_s) == (
        "orders",
        1.5,
        2.0,
    )
    assert rules.account_of_key == {"key-1": "acme"}
    assert rules.accounts["acme"].rate == 1000
    assert rules.connection_caps == {"orders": 60}
    assert rules.sync_replicas == {"orders": 0}


@pytest.mark.parametrize(
    "change",
    [
        {"version": "seven"},
        {"routes": [{"host": 1}]},
        {"tenants": {}},
        {"routes": None},
    ],
)
def test_malformed_or_missing_configuration_is_ignored(change):
    assert decode_rules(listing(main={**configuration(), **change})) is None
    assert decode_rules(listing()) is None


def entry(**change):
    return {
        "service": "orders",
        "address": "10.0.0.9:8080",
        "zone": "z1",
        "state": "ready",
        "slots": 5,
        "db_role": "primary",
        "born": 17,
        "seq": 3,
        **change,
    }


def test_server_entry_is_decoded():
    (server,) = decode_servers(listing(s1=entry()))
    assert (server.id, server.group, server.host, server.port) == (
        "s1",
        "orders",
        "10.0.0.9",
        8080,
    )
    assert server.role is Role.PRIMARY
    assert server.started_at == 17
    assert not server.draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"db_role": "king"},
        {"address": "nowhere"},
        {"address": 5},
        {"service": None},
        {"zone": []},
        # Addresses to which no connection can be opened, or no safe one.
        {"address": "a" * 64 + ":8080"},
        {"address": "a..b:8080"},
        {"address": "server.example:8080"},
        {"address": ":8080"},
        {"address": "10.0.0.9:"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:-1"},
        {"address": "10.0.0.9:\u0661"},
        {"address": "10.0.0.256:8080"},
        {"address": "0.0.0.0:8080"},
        {"address": "10.0.0.9\x00:8080"},
        # Names that would change the line with which a connection starts.
        {"service": "orders acme s1\r\nQUERY 1 WRITE x 1\r\n"},
        {"service": "\u20ac"},
        {"service": ""},
        # Numbers beyond those that the fleet's state can hold.
        {"born": 2**64},
        {"born": -1},
        {"slots": 0},
        {"slots": 2**64},
    ],
)
def test_malformed_server_entry_is_skipped(change):
    servers = decode_servers(listing(s1=entry(**change), s2=entry()))
    assert [decoded.id for decoded in servers] == ["s2"]


@pytest.mark.parametrize("name", ["s 1", "s\r\nQUERY 1 WRITE x 1", "\u20ac", "s\x7f"])
def test_entry_with_an_unusable_id_is_skipped(name):
    servers = decode_servers(listing(**{name: entry(), "s2": entry()}))
    assert [decoded.id for decoded in servers] == ["s2"]


def test_settings_file(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text(SETTINGS)
    settings = load_settings(path)
    assert settings.callers == Address("10.1.0.26", 8465)
    assert settings.first_inner_port == 7560
    assert settings.grace_s == 6.0


@pytest.mark.parametrize(
    ("line", "expected"),
    [("", False), ("bootstrap=true\n", True), ("bootstrap=false\n", False)],
)
def test_fleet_starts_for_the_first_time_only_if_the_settings_say_so(line, expected):
    # Guards against two leaders when a restored store has no state.
    assert parse(parse_fields(SETTINGS + line)).is_first_start is expected


def test_all_findings_of_a_settings_file_are_reported():
    fields = parse_fields(SETTINGS.replace("10.200.1.7:8466", "nowhere"))
    del fields["node"]
    fields["bounds.grace_s"] = "soon"
    fields["port_range"] = "all"
    with pytest.raises(SettingsError) as error:
        parse(fields)
    assert [finding.split(":")[0] for finding in error.value.findings] == [
        "port_range",
        "node",
        "platform.address",
        "bounds.grace_s",
    ]


def test_missing_settings_file(tmp_path):
    with pytest.raises(SettingsError):
        load_settings(tmp_path / "none")
