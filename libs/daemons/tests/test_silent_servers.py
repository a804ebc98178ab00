from __future__ import annotations

from random import Random

import pytest
from expression import Ok

from kumquatmux_core import decisions
from kumquatmux_core.identity import Address, Endpoint
from kumquatmux_daemons.token_entry.core import Datagram, EntryCore
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_registry.feed import FeedAnswer
from kumquatmux_registry.records import Lifetime, Phase, Report, ServerRecord
from kumquatmux_tokens.packets import PacketHeader
from kumquatmux_tokens.routes import Route, RouteSet, WeightedService

ROUTE = Address(bytes([198, 18, 0, 1, 1, 187]))
PLACE = Endpoint("10.1.0.9", 1)
CONTROL_VMS = {"a": "c1", "b": "c2"}
REPORT = Report(
    Lifetime("i-1", 1), 1, "entries", Endpoint("10.2.0.9", 1), "b", "v1", 2,
    Phase.READY, 0.0,
)  # fmt: skip
SERVER = ServerRecord(REPORT, "c2")


class DataOnly:
    """Each packet is the number of its caller: data of an open flow to the server."""

    def read_head(self, packet):
        flow = int(packet).to_bytes(6) + ROUTE
        return PacketHeader(flow, ROUTE, SERVER.token, False, False, 0, 101, 500, 9)

    def names_server(self, name):
        return True

    def to_server(self, packet, server, token):
        return b"forwarded"

    def reset_for(self, packet, sequence):
        return b"reset"

    def caller_ip(self, packet):
        return "100.64.0.1"

    def read_routes(self, content):
        route = Route("r", ROUTE, (WeightedService("entries", 1),))
        return Ok(RouteSet(int(content), (route,), frozenset({"entries"}), 15.0))


def answer(zone, *records):
    vm = CONTROL_VMS[zone]
    control = tuple(CONTROL_VMS.values())
    return FeedAnswer(
        vm, zone, 1, 0, len(records), records, 3, b"3", control, ("e1",), True
    )


@pytest.fixture
def core():
    """An entry VM in zone a that knows a server of zone b."""
    settings = EntrySettings("e1", "a", PLACE, PLACE, PLACE, PLACE, ("c1", "c2"))
    core = EntryCore(settings, DataOnly(), Random(1), 0.0)
    core.message("c2", answer("b", SERVER), 0.0)
    return core


@pytest.fixture
def lines():
    """The lines of the test: events with their fields."""
    written = []
    decisions.configure(
        as_json=False, sink=lambda event, fields: written.append((event, fields))
    )
    yield written
    decisions.configure(as_json=False)


def hear(core, now, *zones):
    for zone in zones:
        core.message(CONTROL_VMS[zone], answer(zone), now)


def listen(core, since, until, *zones):
    """Let time pass, with answers of the control VMs of some zones."""
    for step in range(round(since * 10), round(until * 10)):
        hear(core, step / 10, *zones)
        core.tick(step / 10)


def resets(core, *times):
    """Return the resets of a caller that sends the same data at some times."""
    sent = [one for now in times for one in core.packet(b"7", now)]
    return [one for one in sent if isinstance(one, Datagram) and one.data == b"reset"]


# Guards against reset lines that cannot tell a VM's own silence from a server's.
def test_a_reset_line_names_the_server_and_what_was_heard_of_it(core, lines):
    late = SERVER._replace(doubts=1)
    listen(core, 0.0, 2.0, "a", "b")
    core.message("c2", answer("b", late), 2.0)
    listen(core, 2.1, 3.5, "a")
    resets(core, 2.5, 2.8, 3.2)
    (line,) = [fields for event, fields in lines if event == "flow-reset"]
    assert line["server"] == SERVER.report.lifetime
    assert (line["holder"], line["late"]) == ("c2", True)
    assert line["holder_heard_s"] == pytest.approx(1.2)
    assert line["control_heard_s"] < 0.2


# Guards against resets by a VM that stood still and has read no news since.
@pytest.mark.xfail(strict=True, reason="reset-for-own-silence in KNOWN-RED.txt")
def test_a_vm_that_stood_still_resets_no_flow_for_the_silence_of_others(core):
    listen(core, 0.0, 2.9, "a", "b")
    assert resets(core, 2.95) == []
    core.tick(8.0)
    assert resets(core, 8.0, 8.0, 8.0) == []


# Guards against resets by a VM that is cut off from the control VMs, not from servers.
@pytest.mark.xfail(strict=True, reason="reset-for-own-silence in KNOWN-RED.txt")
def test_a_vm_that_hears_no_control_vm_resets_no_flow(core):
    listen(core, 0.0, 2.0, "a", "b")
    listen(core, 2.0, 5.0)
    assert resets(core, 5.0) == []
    listen(core, 5.0, 6.0)
    assert resets(core, 5.7, 5.9) == []


# Guards against resets of flows of a server that answers this VM while the control VMs
# of its zone do not.
@pytest.mark.xfail(strict=True, reason="reset-for-own-silence in KNOWN-RED.txt")
def test_the_loss_of_a_zones_control_vms_resets_no_flow_of_a_server_that_lives(core):
    listen(core, 0.0, 2.0, "a", "b")
    listen(core, 2.0, 8.0, "a")
    assert resets(core, 8.0) == []
    listen(core, 8.0, 9.0, "a")
    assert resets(core, 8.7, 8.9) == []
