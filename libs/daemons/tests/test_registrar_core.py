"""One control VM alone, as operators, servers and other VMs meet it."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from kumquatmux_agreement.entries import ReplicaId, founding_state
from kumquatmux_agreement.events import Propose
from kumquatmux_agreement.settings import ReplicaSettings
from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.registrar.agreed import Agreed
from kumquatmux_daemons.registrar.calls import (
    Outcome,
    PutDocument,
    ReadDocument,
    ReportCall,
)
from kumquatmux_daemons.registrar.core import Answered, CoreParts, RegistrarCore
from kumquatmux_daemons.registrar.daemon import replica_settings
from kumquatmux_daemons.registrar.folder import open_store
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_registry.feed import FeedAnswer
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_registry.saved import SavedServers
from kumquatmux_settings.documents import NumberedDocument, entry_of
from kumquatmux_storage import Identity, open_or_create
from kumquatmux_storage.memory import MemoryDisk

VM = "127.0.0.1"
OTHER = "127.0.0.2"
CALLS = Endpoint(VM, 8166)
SETTINGS = RegistrarSettings(
    vm=VM,
    zone="a",
    peers=CALLS,
    calls=CALLS,
    metrics=CALLS,
    seeds=(VM,),
    founds=True,
    folder=Path(),
    losses=0,
    report_period_s=1.0,
)
REPORT = Report(
    Lifetime("i-1", 1),
    1,
    "entries",
    Endpoint("10.0.0.9", 1),
    "a",
    "v1",
    2,
    Phase.READY,
    0.0,
)


def start(disk, now=0.0):
    """Start a control VM on a disk and let it lead."""
    identity = Identity("registrar", VM, "folder")
    first = founding_state(ReplicaId(VM, "folder"), (VM,))
    store = open_or_create(disk, identity, first).ok
    replica = ReplicaSettings(
        cluster="registrar", replica_id=ReplicaId(VM, "folder"), peers=()
    )
    agreed = Agreed(replica, store, Random(1))
    parts = CoreParts(agreed, SavedServers(disk), lambda content: frozenset([content]))
    core = RegistrarCore(SETTINGS, parts, 7, now)
    for step in range(200):
        core.tick(now + step * 0.05)
    assert core.agreed.is_leader
    return core


def answer_to(core, call, now=11.0):
    effects = core.call(call, "t", now)
    return next(one.answer for one in effects if isinstance(one, Answered))


# Guards against a leader that ends at a long number, now or at its next start.
@pytest.mark.parametrize("number", [2**64 - 1, 2**64, 20261204090000123456789])
def test_a_document_under_a_long_number_is_acknowledged_and_read_back(number):
    disk = MemoryDisk()
    core = start(disk)
    put = PutDocument(number, b"content")
    assert answer_to(core, put).outcome == Outcome.DONE
    assert answer_to(core, put, 12.0).outcome == Outcome.DONE
    again = start(disk, 20.0)
    assert answer_to(again, ReadDocument(), 31.0).content == b"content"
    assert again.publisher.document.number == number


# Guards against a data folder that cannot be opened again for a long number in it.
def test_a_folder_with_a_document_under_a_long_number_is_opened_again(tmp_path):
    settings = SETTINGS._replace(folder=tmp_path)
    store = open_store(settings).ok
    agreed = Agreed(replica_settings(settings, store), store, Random(1))
    for step in range(200):
        agreed.tick(step * 0.05)
    entry = entry_of(NumberedDocument(20261204090000123456789, b"content"))
    agreed.give(Propose(entry, "t"), 10.0)
    assert agreed.documents.newest.content == b"content"
    store.disk.close()
    opened = open_store(settings)
    assert opened.is_ok()
    again = Agreed(replica_settings(settings, opened.ok), opened.ok, Random(1))
    for step in range(200):
        again.tick(20.0 + step * 0.05)
    assert again.documents.newest == agreed.documents.newest
    opened.ok.disk.close()


# Guards against servers that are bounded by the services of no document.
def test_the_services_of_the_document_in_force_are_those_named():
    core = start(MemoryDisk())
    assert core.leases.table.named_services == frozenset()
    answer_to(core, PutDocument(7, b"entries"))
    assert core.leases.table.named_services == {b"entries"}


# Guards against a server that stays unknown here as its service was named later.
def test_servers_left_out_are_asked_for_again_once_other_services_are_named():
    core = start(MemoryDisk())
    answer_to(core, PutDocument(7, b"entries"))
    core.leases.table.named_services = frozenset(["entries"])
    answer_to(core, ReportCall(REPORT))
    other = REPORT._replace(lifetime=Lifetime("i-2", 9), service="pagesetter")
    record = ServerRecord(other, OTHER)
    answer = FeedAnswer(OTHER, "a", 1, 0, 6, (record,), 0, b"", (OTHER,), (), True)
    core.message(OTHER, answer, 11.0)
    assert list(core.leases.table.held) == ["i-1"]
    assert core.follower.sources[OTHER].position == 6
    answer_to(core, PutDocument(8, b"pagesetter"), 12.0)
    assert core.follower.sources[OTHER].position == 0


# Guards against one odd record of another VM that hides those after it.
def test_an_odd_record_of_another_vm_hides_no_other():
    core = start(MemoryDisk())
    odd = [
        REPORT._replace(lifetime=Lifetime("i-2", 2**64)),
        REPORT._replace(lifetime=Lifetime("i-3", 1), slots=2**70),
        REPORT._replace(lifetime=Lifetime("i-4", 1), endpoint=Endpoint("::1", 2**40)),
        REPORT._replace(lifetime=Lifetime("i-5", 1), warm_up_s=float("nan")),
        REPORT._replace(lifetime=Lifetime("i-6", 1), service="x" * 900_000),
    ]
    records = tuple(ServerRecord(one, OTHER) for one in [*odd, REPORT])
    answer = FeedAnswer(OTHER, "a", 1, 0, 6, records, 0, b"", (OTHER,), (), True)
    core.message(OTHER, answer, 11.0)
    assert list(core.leases.table.held) == ["i-1"]
    core.tick(12.0)
    assert SavedServers(core.saved.files).load() == [ServerRecord(REPORT, OTHER)]


# Guards against a full list of servers that ends the program or frees a place silently.
def test_a_server_without_room_is_refused_and_the_others_hold():
    core = start(MemoryDisk())
    core.leases.settings = core.leases.settings._replace(max_records=1)
    assert answer_to(core, ReportCall(REPORT)).outcome == Outcome.DONE
    other = REPORT._replace(lifetime=Lifetime("i-2", 1), endpoint=Endpoint(VM, 2))
    answer = answer_to(core, ReportCall(other))
    assert (answer.outcome, answer.problem.code) == (
        Outcome.REFUSED,
        "too-many-servers",
    )
    assert list(core.leases.table.held) == ["i-1"]
