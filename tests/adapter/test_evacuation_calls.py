"""Orders to evacuate a zone over TCP at a running control VM, through its restart."""

from __future__ import annotations

import shutil
from contextlib import asynccontextmanager, suppress

import trio

from kumquatmux_core.identity import Endpoint, VmId, ZoneName
from kumquatmux_core.lines import LineSettings, LineWriter
from kumquatmux_daemons.early_signals import EarlySignals
from kumquatmux_daemons.plain_http.server import listen
from kumquatmux_daemons.registrar.daemon import RegistrarParts, run_registrar
from kumquatmux_daemons.registrar.settings import RegistrarSettings
from kumquatmux_daemons.running import Steering, Watch
from kumquatmux_platform.calls import PlatformCalls

LOOPBACK = VmId("127.0.41.2")
"""An address from which nothing connects, so that a free port stays free."""
STUCK_S = 60
PAUSE_S = 0.05


def free_endpoint():
    with listen(Endpoint(LOOPBACK, 0)) as bound:
        return Endpoint(*bound.getsockname())


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
        with suppress(OSError):
            async with await trio.open_tcp_stream(*endpoint) as stream:
                await stream.send_all(head.encode())
                received = b"".join([part async for part in stream])
            status = int(received.split()[1])
            if status != 503:
                return status, received.partition(b"\r\n\r\n")[2]
        await trio.sleep(PAUSE_S)


# Guards against orders that are right in each part, and fail between them.
async def test_orders_are_taken_over_tcp_and_kept_through_a_restart(tmp_path):
    zone, folder, seeds = ZoneName("cnx-a"), tmp_path / "data", (LOOPBACK,)
    peers, calls, metrics = Endpoint(LOOPBACK, 0), free_endpoint(), free_endpoint()
    settings = RegistrarSettings(
        LOOPBACK, zone, peers, calls, metrics, seeds, True, folder, 0, 1.2
    )
    async with running(settings):
        for name in ("cnx-b", "lpg%2Da", "cnx-b"):
            assert (await call(calls, "POST", f"/v1/evacuations/{name}"))[0] == 200
        assert (await call(calls, "POST", "/v1/evacuations/%0A"))[0] == 400
        assert (await call(calls, "DELETE", "/v1/evacuations/cnx-b"))[0] == 200
    # The first run has locked its folder until this process ends.
    copied = shutil.copytree(folder, tmp_path / "copied")
    async with running(settings._replace(folder=copied)):
        told = await call(calls, "GET", "/v1/evacuations")
        assert told == (200, b'{"revision":3,"zones":["lpg-a"]}')
        lines = (await call(metrics, "GET", "/metrics"))[1].splitlines()
        assert b"kumquatmux_evacuated_zones 1" in lines
