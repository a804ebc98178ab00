"""Orders to evacuate a zone over TCP at a running control VM, through its restart."""

from __future__ import annotations

import json
import re
import shutil
from contextlib import asynccontextmanager

import pytest
import trio

from kumquatmux_core import decisions
from kumquatmux_core.identity import Endpoint, VmId, ZoneName
from kumquatmux_core.lines import LineSettings, LineWriter
from kumquatmux_daemons.early_signals import EarlySignals
from kumquatmux_daemons.plain_http.server import listen
from kumquatmux_daemons.registrar.daemon import RegistrarParts, run_registrar
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_daemons.running import Steering, Watch
from kumquatmux_platform.calls import PlatformCalls

LOOPBACK = "127.0.41.2"
"""An address from which nothing connects, so that a free port stays free."""

STUCK_S = 60
PAUSE_S = 0.05


def free_endpoint():
    with listen(Endpoint(LOOPBACK, 0)) as bound:
        return Endpoint(*bound.getsockname())


@pytest.fixture
def settings(tmp_path):
    decisions.configure(as_json=False, enabled=False)
    me = VmId(LOOPBACK)
    yield RegistrarSettings(
        vm=me,
        zone=ZoneName("cnx-a"),
        peers=Endpoint(me, 0),
        calls=free_endpoint(),
        metrics=free_endpoint(),
        seeds=(me,),
        founds=True,
        folder=tmp_path / "data",
        losses=0,
        report_period_s=1.2,
    )
    decisions.configure(as_json=False)


@asynccontextmanager
async def running(settings):
    """Run a control VM until the block ends."""
    steering = Steering(Watch(settings.folder / "none", tuple), EarlySignals())
    writer = LineWriter(LineSettings(file_descriptor=-1), settings.vm)
    form = PlatformCalls(settings.calls.port)
    parts = RegistrarParts(settings, form, writer, steering)
    with trio.fail_after(STUCK_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_registrar, parts)
            yield
            steering.stopping.set()


async def call(endpoint, method, path):
    """Call as an operator does, without a body, until it is not put off."""
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    while True:
        received = b""
        try:
            async with await trio.open_tcp_stream(*endpoint) as stream:
                await stream.send_all(head.encode())
                async for part in stream:
                    received += part
        except OSError:
            await trio.sleep(PAUSE_S)
            continue
        status = int(received.split()[1])
        if status != 503:
            return status, received.partition(b"\r\n\r\n")[2]
        await trio.sleep(PAUSE_S)


# Guards against orders that are right in each part, and fail between them.
async def test_orders_are_taken_over_tcp_and_kept_through_a_restart(settings):
    async with running(settings):
        for zone in ("cnx-b", "lpg%2Da", "cnx-b"):
            path = f"/v1/evacuations/{zone}"
            assert (await call(settings.calls, "POST", path))[0] == 200
        assert (await call(settings.calls, "POST", "/v1/evacuations/%0A"))[0] == 400
        assert (await call(settings.calls, "DELETE", "/v1/evacuations/cnx-b"))[0] == 200
    # The first run has locked its folder until this process ends.
    copied = shutil.copytree(settings.folder, settings.folder.with_name("copied"))
    async with running(settings._replace(folder=copied)):
        status, body = await call(settings.calls, "GET", "/v1/evacuations")
        assert (status, json.loads(body)) == (200, {"revision": 3, "zones": ["lpg-a"]})
        _, metrics = await call(settings.metrics, "GET", "/metrics")
        assert re.search(rb"^kumquatmux_evacuated_zones 1$", metrics, re.MULTILINE)
