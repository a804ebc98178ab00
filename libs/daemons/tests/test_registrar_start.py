from __future__ import annotations

import os

import pytest
import trio
import trio.testing

from kumquatmux_agreement.entries import Entry, EntryKind, Snapshot
from kumquatmux_agreement.events import Persist
from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint, VmId, ZoneName
from kumquatmux_core.lines import LineSettings, LineWriter
from kumquatmux_daemons.early_signals import EarlySignals
from kumquatmux_daemons.plain_http.server import HttpAnswer, listen
from kumquatmux_daemons.registrar.calls import Outcome
from kumquatmux_daemons.registrar.daemon import RegistrarParts, run_registrar
from kumquatmux_daemons.registrar.folder import open_store
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_daemons.running import Steering, Watch

LOOPBACK = "127.0.41.1"
"""An address from which nothing connects, so that a free port stays free."""

STUCK_S = 60
DAMAGED = ("identity", "vote", "snapshot", "log")


class OnlyPutOff:
    """Writes answers of calls that nobody handles."""

    def write_answer(self, call, answer):
        assert answer.outcome == Outcome.UNAVAILABLE
        return HttpAnswer(503, retry_after_s=1)


@pytest.fixture
def lines():
    told = []
    decisions.configure(as_json=False, sink=lambda *line: told.append(line))
    yield told
    decisions.configure(as_json=False)


def free_endpoint():
    with listen(Endpoint(LOOPBACK, 0)) as bound:
        return Endpoint(*bound.getsockname())


@pytest.fixture
def settings(tmp_path):
    me = VmId(LOOPBACK)
    return RegistrarSettings(
        vm=me,
        zone=ZoneName("cnx-a"),
        peers=Endpoint(me, 0),
        calls=free_endpoint(),
        metrics=Endpoint(me, 0),
        seeds=(me,),
        founds=True,
        folder=tmp_path / "data",
        losses=0,
        report_period_s=1.2,
    )


def create(settings):
    store = open_store(settings).ok
    store.disk.close()


def damage(path):
    whole = path.read_bytes()
    path.write_bytes(whole[:-4] + bytes([whole[-4] ^ 0xFF]) + whole[-3:])
    return whole


# Guards against a damaged folder that can't be opened again once it is mended, and
# against a descriptor that is lost with each attempt.
@pytest.mark.parametrize("name", DAMAGED)
def test_a_mended_folder_is_opened(settings, name):
    create(settings)
    path = settings.folder / name
    whole = damage(path)
    damaged = path.read_bytes()
    open_files = len(os.listdir("/proc/self/fd"))
    for _ in range(3):
        problem = open_store(settings).error
        assert problem.subject == name and "move this data folder away" in str(problem)
    assert path.read_bytes() == damaged
    assert len(os.listdir("/proc/self/fd")) == open_files
    path.write_bytes(whole)
    create(settings)


def test_a_folder_that_was_moved_away_is_created_anew(settings):
    create(settings)
    damage(settings.folder / "vote")
    assert open_store(settings).is_error()
    settings.folder.rename(settings.folder.with_name("kept"))
    create(settings)


# Guards against documents that nobody can decode, which ended the program later.
@pytest.mark.parametrize("content", [b"\xc1", b"\x91" * 100_000, b"\x92\x01\x01"])
def test_a_document_that_cannot_be_read_is_a_problem(settings, content):
    store = open_store(settings).ok
    configuration = store.restored.snapshot.configuration
    entry = Entry(1, 1, EntryKind.DATA, content)
    store.write(Persist(1, entries=(entry,)))
    store.disk.close()
    assert open_store(settings).error.subject == "log"
    (settings.folder / "log").unlink()
    settings.folder.rename(settings.folder.with_name("kept"))
    store = open_store(settings).ok
    store.write(Persist(1, snapshot=Snapshot(1, 1, configuration, content)))
    store.disk.close()
    assert open_store(settings).error.subject == "snapshot"


@pytest.fixture
def steering(tmp_path):
    return Steering(Watch(tmp_path / "none", tuple), EarlySignals())


async def answer_of(endpoint):
    while True:
        try:
            stream = await trio.open_tcp_stream(*endpoint)
            break
        except OSError:
            await trio.sleep(0.05)
    await stream.send_all(b"GET /v1/config HTTP/1.1\r\nHost: a\r\n\r\n")
    return await stream.receive_some(999)


# Guards against a control VM that neither serves nor ends nor writes a line.
async def test_calls_are_put_off_while_the_folder_is_damaged(settings, steering, lines):
    create(settings)
    damage(settings.folder / "vote")
    writer = LineWriter(LineSettings(file_descriptor=-1), settings.vm)
    parts = RegistrarParts(settings, OnlyPutOff(), writer, steering)
    with trio.fail_after(STUCK_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_registrar, parts)
            answer = await answer_of(settings.calls)
            assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 1" in answer
            steering.stopping.set()
    events = [event for event, _ in lines]
    assert events.count("storage-unusable") == 1
    assert events[-1] == "stopped"
