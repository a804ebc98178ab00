"""What commit a52bc75 sent and stored is read, and written again to the same bytes.

Fields that a message type got since follow the recorded ones, with their defaults.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest

from kumquatmux_agreement.messages import MESSAGE_TYPES as REPLICA_MESSAGES
from kumquatmux_core.codec import HEADER_BYTES, registry
from kumquatmux_daemons.transport.parts import Cutter, Joiner
from kumquatmux_daemons.transport.registry import all_messages
from kumquatmux_lab.cli import compare_results, read_result
from kumquatmux_packets.envelope import seal, unseal
from kumquatmux_registry.endings import MESSAGE_TYPES as LEAVE_MESSAGES
from kumquatmux_registry.feed import MESSAGE_TYPES as FEED_MESSAGES
from kumquatmux_registry.lookup import MESSAGE_TYPES as LOOKUP_MESSAGES
from kumquatmux_registry.saved import decode as decode_servers
from kumquatmux_registry.saved import encode as encode_servers
from kumquatmux_settings.changelog import (
    ChangeLog,
    ChangeLogSettings,
    decode_change,
    encode_change,
)
from kumquatmux_settings.digest import digest_of
from kumquatmux_settings.documents import DocumentLog
from kumquatmux_settings.tree_file import load_tree
from kumquatmux_settings.validate import validate
from kumquatmux_storage import files
from kumquatmux_storage.memory import MemoryDisk
from kumquatmux_storage.store import log_bytes, open_store
from kumquatmux_tokens.messages import MESSAGE_TYPES as TOKEN_MESSAGES

ROOT = Path(__file__).resolve().parent.parent
RECORDED = ROOT / "tests" / "recorded"
CHANNELS = {
    "links": all_messages(),
    "datagrams": registry(
        REPLICA_MESSAGES, FEED_MESSAGES, LOOKUP_MESSAGES, LEAVE_MESSAGES, TOKEN_MESSAGES
    ),
}
APPENDED_FIELDS = {
    "FeedPoll": (("members",),),
    "FeedAnswer": (("members",), ("evacuation_revision", "evacuated_zones")),
    "FlowAnswer": (("seen_token",),),
    "PlaceQuestion": (
        ("sequence_number",),
        ("priority", "wait_left_ms", "target_latency_ms", "was_refused", "was_queued"),
    ),
    "PlaceAnswer": (("is_paced",), ("queue_position", "is_refused")),
}
"""Fields that message types got since, change by change; older senders leave them out.

Each change may have come after senders that knew those before it.
"""


def appended_fields(name):
    """Return what senders of each age leave out, the newest first: they send all."""
    changes = APPENDED_FIELDS.get(name, ())
    starts = range(len(changes), -1, -1)
    return [tuple(one for change in changes[at:] for one in change) for at in starts]


def recorded(name):
    return json.loads((RECORDED / f"{name}.json").read_text())


def recorded_messages():
    for channel, kinds in recorded("messages").items():
        for kind, row in kinds.items():
            for number, text in enumerate(row["bytes"]):
                name = f"{channel}-{row['name']}-{number}"
                yield pytest.param(channel, int(kind, 16), text, id=name)


@pytest.mark.parametrize("channel", CHANNELS)
def test_every_message_kind_is_recorded(channel):
    kinds = {f"{kind:#06x}" for kind in CHANNELS[channel].types}
    assert kinds == set(recorded("messages")[channel])


def test_message_types_on_links_keep_the_names_that_metrics_show():
    types = CHANNELS["links"].types
    now = {f"{kind:#06x}": message.__name__ for kind, message in types.items()}
    base = {kind: row["name"] for kind, row in recorded("messages")["links"].items()}
    assert now == base


@pytest.mark.parametrize("channel, kind, text", list(recorded_messages()))
def test_a_recorded_message_is_written_again_to_the_same_bytes(channel, kind, text):
    data = bytes.fromhex(text)
    message = CHANNELS[channel].decode(data).ok
    message_type = CHANNELS[channel].types[kind]
    assert type(message) is message_type
    values = msgspec.msgpack.decode(data[HEADER_BYTES:])
    appended = message_type._fields[len(values) :]
    assert appended in appended_fields(message_type.__name__)
    values += [message_type._field_defaults[name] for name in appended]
    again = data[:HEADER_BYTES] + msgspec.msgpack.encode(values)
    assert CHANNELS[channel].encode(message) == again


@pytest.mark.parametrize("name", APPENDED_FIELDS)
def test_a_type_that_grew_is_recorded_with_its_new_fields_too(name):
    rows = {row["name"]: row for row in recorded("messages")["datagrams"].values()}
    kinds = {one.__name__: one for one in CHANNELS["datagrams"].types.values()}
    lengths = {
        len(msgspec.msgpack.decode(bytes.fromhex(text)[HEADER_BYTES:]))
        for text in rows[name]["bytes"]
    }
    all_fields = len(kinds[name]._fields)
    assert lengths == {all_fields - len(one) for one in appended_fields(name)}


@pytest.mark.parametrize("text", recorded("envelopes")["envelopes"])
def test_a_recorded_envelope_is_sealed_again_to_the_same_bytes(text):
    key = bytes.fromhex(recorded("envelopes")["key"])
    data = bytes.fromhex(text)
    opened = unseal(data, key=key).ok
    assert seal(*opened, key=key) == data


def test_recorded_datagrams_join_and_are_cut_again_to_the_same_bytes():
    cutter, joiner = Cutter(recorded("datagrams")["first"]), Joiner()
    for row in recorded("datagrams")["messages"]:
        message = bytes.fromhex(row["message"])
        datagrams = [bytes.fromhex(text) for text in row["datagrams"]]
        joined = [joiner.take("127.0.0.1", datagram, 0.0) for datagram in datagrams]
        assert joined == [None] * (len(datagrams) - 1) + [message]
        assert cutter.cut(message) == datagrams


@pytest.mark.parametrize("label", recorded("folders"))
def test_a_recorded_data_folder_opens_and_is_written_again_to_the_same_bytes(label):
    base = recorded("folders")[label]
    disk = MemoryDisk()
    for name, text in base["files"].items():
        disk.replace(name, bytes.fromhex(text))
    state = open_store(disk).ok.restored
    assert msgspec.json.decode(msgspec.json.encode(state)) == base["restored"]
    for name, record in (
        (files.IDENTITY, files.read_record(disk, files.IDENTITY, files.Identity).ok),
        (files.VOTE, state.vote),
        (files.SNAPSHOT, state.snapshot),
    ):
        assert files.whole_file(name, record).hex() == base["files"][name]
    if files.SYNCED in base["files"]:
        note = files.read_record(disk, files.SYNCED, files.SyncedLength).ok
        assert files.whole_file(files.SYNCED, note).hex() == base["files"][files.SYNCED]


def test_a_recorded_log_file_is_written_again_to_the_same_bytes():
    text = recorded("folders")["founded"]["files"][files.LOG]
    disk = MemoryDisk()
    disk.replace(files.LOG, bytes.fromhex(text))
    log = files.read_log(disk).ok
    assert log_bytes(log.base, log.entries).hex() == text


def test_recorded_changes_run_again_to_the_same_outcomes_and_snapshot():
    base = recorded("changelog")
    log = ChangeLog(ChangeLogSettings(), validate)
    for index, text in enumerate(base["entries"], 1):
        entry = bytes.fromhex(text)
        assert encode_change(decode_change(entry).ok) == entry
        assert list(log.apply(index, entry)) == base["outcomes"][index - 1]
    assert log.snapshot().hex() == base["snapshot"]


def test_a_recorded_snapshot_of_settings_is_restored_and_taken_again():
    snapshot = bytes.fromhex(recorded("changelog")["snapshot"])
    log = ChangeLog(ChangeLogSettings(), validate)
    assert log.restore(snapshot).is_ok()
    assert log.snapshot() == snapshot


@pytest.mark.parametrize("part", [None, "evacuations"])
def test_recorded_documents_are_applied_and_the_snapshot_is_the_same(part):
    base = recorded("documents")[part] if part else recorded("documents")
    documents = DocumentLog()
    for text in base["entries"]:
        documents.apply(bytes.fromhex(text))
    assert documents.snapshot().hex() == base["snapshot"]
    restored = DocumentLog()
    restored.restore(bytes.fromhex(base["snapshot"]))
    assert restored.snapshot().hex() == base["snapshot"]


def test_the_recorded_file_of_servers_is_written_again_to_the_same_bytes():
    data = bytes.fromhex(recorded("servers")["servers"])
    assert encode_servers(decode_servers(data).ok) == data


@pytest.mark.parametrize("folder", recorded("files")["trees"])
def test_a_tree_file_gives_the_recorded_values(folder):
    values = load_tree(ROOT / "deploy" / folder / "tree.toml").ok
    assert digest_of(values) == recorded("files")["trees"][folder]


def test_recorded_experiments_are_compared_as_before():
    base = recorded("files")
    folder = ROOT / "docs" / "measurements" / "experiments"
    left, right = (read_result(folder / name) for name in base["experiments"])
    assert compare_results(left, right) == base["comparison"]
