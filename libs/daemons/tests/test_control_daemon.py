from __future__ import annotations

import datetime
import os
import ssl
from pathlib import Path
from random import Random

import httpx
import pytest
import trio

from kumquatmux_core.identity import Endpoint
from kumquatmux_daemons.announce.server import GRACEFUL_TIMEOUT_SECONDS
from kumquatmux_daemons.commands.new_keys import make_node_keys
from kumquatmux_daemons.control import desk as desk_module
from kumquatmux_daemons.control.core import ControlCore, Member
from kumquatmux_daemons.control.daemon import (
    control_settings,
    gauges_of,
    hand_over,
    main,
    open_parts,
    run,
)
from kumquatmux_daemons.control.desk import ControlDesk
from kumquatmux_daemons.control.effects import LogBehind, StoodDown, Tell, Tick
from kumquatmux_daemons.keys.tokens import hash_token
from kumquatmux_daemons.operators.desk import Settled, Uncertain
from kumquatmux_daemons.reports import DrainAnswer, VmReport
from kumquatmux_daemons.transport.links import Delivery
from kumquatmux_settings.change import Change, ChangeOutcome, Verdict
from kumquatmux_settings.messages import DeltaRequest
from kumquatmux_settings.node import NodeSettings

LIMIT_S = 30
LOOPBACK = f"127.42.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
"""An address of this process alone, so that no other run has its ports."""

OPERATORS = Endpoint(LOOPBACK, 48119)
SERVER = "10.1.0.9:80"
CHANGE = Change("c1", 0, "nok", "", ())


@pytest.fixture
def node(tmp_path):
    now = datetime.datetime.now(datetime.UTC) - datetime.timedelta(hours=1)
    assert make_node_keys("c", (LOOPBACK,), tmp_path, now).is_ok()
    tokens = tmp_path / "tokens.toml"
    tokens.write_text(
        f'[[tokens]]\noperator = "nok"\naccess = "change"\n'
        f'sha256 = "{hash_token("t")}"\n'
    )
    return NodeSettings(
        "c",
        "cnx-a",
        "th-north",
        "control",
        Endpoint(LOOPBACK, 48118),
        operators=OPERATORS,
        data_folder=tmp_path / "data",
        secret_key_file=tmp_path / "c.secret",
        tls_certificate_file=tmp_path / "c.pem",
        tls_key_file=tmp_path / "c.key",
        token_file=tokens,
    )


async def until_answered(client, method, path, **options):
    while True:
        try:
            response = await client.request(method, path, **options)
        except httpx.ConnectError:
            await trio.sleep(0.05)
            continue
        if response.status_code != 503:
            return response
        await trio.sleep(0.05)


async def test_a_change_outlives_the_daemon(node):
    context = ssl.create_default_context(cafile=node.tls_certificate_file)
    body = {
        "change_id": "c1",
        "base_revision": 0,
        "edits": [{"path": "defaults.placement.hold_ms", "value": 5}],
    }
    client = httpx.AsyncClient(
        base_url=f"https://{OPERATORS}",
        verify=context,
        headers={"authorization": "Bearer t"},
    )
    with trio.fail_after(LIMIT_S):
        async with client:
            for call in (("POST", "/v1/changes"), ("GET", "/v1/changes/c1")):
                parts = open_parts(node, found=True).ok
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(run, node, parts)
                    answer = await until_answered(client, *call, json=body)
                    assert answer.json()["verdict"] == "accepted", answer.text
                    nursery.cancel_scope.cancel()
                parts.store.disk.close()


def test_files_that_cannot_be_used_are_an_exit_code(node):
    missing = node._replace(secret_key_file=Path("none"))
    assert main(missing) == 2
    parts = open_parts(node, found=True).ok
    assert open_parts(node, found=True).error.code == "folder-in-use"
    parts.store.disk.close()
    other = node._replace(cluster="another")
    assert open_parts(other, found=False).error.code == "folder-of-another"


class FakeCore:
    """A core that answers as it is told."""

    def __init__(self, node, *effects):
        store = open_parts(node, found=True).ok.store
        entry = (Member("cnx-a-1", "cnx-a"), Member("cnx-b-1", "cnx-b"))
        self.settings = control_settings(node, store)._replace(entry=entry)
        self.effects = effects
        self.events = []

    def handle(self, event, now):
        self.events.append(event)
        return list(self.effects)


class FakeLinks:
    def __init__(self):
        self.sent = []

    def send(self, vm, message):
        self.sent.append((vm, message))
        return True


OUTCOME = ChangeOutcome("c1", Verdict.ACCEPTED, 1)


async def test_a_change_without_an_answer_is_unknown(node, autojump_clock):
    desk = ControlDesk(FakeCore(node), FakeLinks())
    assert isinstance(await desk.change(CHANGE), Uncertain)
    assert trio.current_time() == desk_module.CHANGE_WAIT_S
    assert desk.asked == {}


def test_a_graceful_stop_waits_for_longer_than_a_change():
    assert desk_module.CHANGE_WAIT_S < GRACEFUL_TIMEOUT_SECONDS


async def test_an_answer_reaches_the_one_who_asked(node, autojump_clock):
    effects = (Tell("change 9", Settled(OUTCOME)), Tell("change 1", Settled(OUTCOME)))
    desk = ControlDesk(FakeCore(node, *effects), FakeLinks())
    assert await desk.change(CHANGE) == Settled(OUTCOME)
    assert desk.told == {}


def test_a_control_vm_reads_without_a_lease_that_a_suspension_would_outlast(node):
    parts = open_parts(node, found=True).ok
    assert control_settings(node, parts.store).replica.lease_fraction == 0.0


async def test_metrics_tell_what_a_control_vm_does(node, autojump_clock):
    parts = open_parts(node, found=True).ok
    settings = control_settings(node, parts.store)
    core = ControlCore(settings, parts.store.restored, parts.store, Random(1))
    desk = ControlDesk(core, FakeLinks())
    for _ in range(30):
        desk.give(Tick())
        await trio.sleep(0.1)
    assert isinstance(await desk.change(CHANGE), Settled)
    gauges = gauges_of(desk, trio.current_time())
    assert gauges.items() >= {"revision": 1.0, "can_accept": 1.0, "leads": 1.0}.items()
    assert desk.told_counts == {"told.settled": 1}


async def test_a_failed_disk_is_shown_to_operators(node, autojump_clock):
    desk = ControlDesk(FakeCore(node), FakeLinks())
    desk.carry_out(StoodDown("the disk failed"))
    desk.carry_out(LogBehind(7, 3))
    newest, oldest = desk.failures
    assert oldest == "the disk failed"
    assert newest.startswith("entry VMs run revision 7, the log holds 3")


async def test_a_drain_ends_at_the_holder_and_not_at_a_silent_vm(node, autojump_clock):
    links = FakeLinks()
    desk = ControlDesk(FakeCore(node), links)
    async with trio.open_nursery() as nursery:

        @nursery.start_soon
        async def answer():
            await trio.sleep(0.1)
            number = links.sent[0][1].number
            for vm, is_holder in (("cnx-a-1", False), ("cnx-b-1", True)):
                message = DrainAnswer(vm, number, is_holder)
                hand_over(desk, Delivery(vm, message))

        assert await desk.drain(SERVER, "nok") == "cnx-b-1"
    assert trio.current_time() == pytest.approx(0.1)
    assert await desk.drain(SERVER, "nok") is None
    assert [vm for vm, _ in links.sent] == ["cnx-a-1", "cnx-b-1"] * 2


async def test_a_message_in_another_vms_name_is_dropped(node, autojump_clock):
    core = FakeCore(node)
    desk = ControlDesk(core, FakeLinks())
    request = DeltaRequest("cnx-a-1", 0, "")
    hand_over(desk, Delivery("cnx-b-1", request))
    hand_over(desk, Delivery("cnx-a-1", VmReport("x", 1, "z", 0, 0, 0, 0, (), (), ())))
    assert core.events == []
    hand_over(desk, Delivery("cnx-a-1", request))
    assert [event.message for event in core.events] == [request]
