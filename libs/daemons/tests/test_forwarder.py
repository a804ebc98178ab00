from __future__ import annotations

import dpkt
import pytest

from kumquatmux_core.segments import FLAG_ACK, FLAG_SYN
from kumquatmux_flows.events import Passing, Stage
from kumquatmux_lab.benches.packets import SERVICE_AT, Bench, packet_of
from kumquatmux_packets import envelope

STRANGER = ("127.0.0.9", 4500)
FABRIC = ("127.0.0.8", 4500)


@pytest.fixture
def vm():
    made = Bench(1)
    made.sink.setblocking(False)
    yield made
    made.port.close()
    made.sink.close()
    made.sender.close()


def take(vm, data, source=FABRIC):
    """Hand a datagram over and return what left the VM for it."""
    vm.forwarder.on_datagram(data, source, vm.now)
    vm.forwarder.end_batch(vm.now)
    try:
        return vm.sink.recv(65_535)
    except BlockingIOError:
        return None


def syn(vm, target=SERVICE_AT):
    return packet_of(vm.caller(1), target, FLAG_SYN, 0, 0)


BAD_PACKETS = [
    (b"", "packet-short"),
    (b"\x45" * 30, "packet-length"),
    (b"\x60" + bytes(60), "packet-version"),
    (b"\xc1", "envelope-sender"),
]


@pytest.mark.parametrize(("data", "code"), BAD_PACKETS)
def test_bad_datagrams_are_counted_and_go_nowhere(vm, data, code):
    assert take(vm, data) is None
    assert vm.forwarder.counts[code] == 1


def test_a_cut_packet_and_a_fragment_are_refused(vm):
    fragment = bytearray(syn(vm))
    fragment[6] = 0x20
    assert take(vm, syn(vm)[:39]) is None
    assert take(vm, bytes(fragment)) is None
    assert vm.forwarder.counts["packet-length"] == 1
    assert vm.forwarder.counts["packet-fragment"] == 1


def test_an_address_without_service_is_answered_by_a_reset(vm):
    answer = dpkt.ip.IP(take(vm, syn(vm, SERVICE_AT._replace(port=81))))
    assert answer.data.flags & dpkt.tcp.TH_RST
    assert answer.data.dport == vm.caller(1).port


def test_a_reset_to_an_address_without_service_is_not_answered(vm):
    reset = packet_of(vm.caller(1), SERVICE_AT._replace(port=81), 0x04, 0, 0)
    assert take(vm, reset) is None


def test_an_envelope_of_a_stranger_or_with_another_key_is_refused(vm):
    passing = Passing(Stage.TO_OWNER, 1)
    peer = vm.sink.getsockname()
    right = envelope.seal(passing, syn(vm), key=bytes(32))
    wrong = envelope.seal(passing, syn(vm), key=bytes(31) + b"x")
    assert take(vm, right, STRANGER) is None
    assert take(vm, wrong, peer) is None
    assert vm.forwarder.counts["envelope-sender"] == 1
    assert vm.forwarder.counts["envelope-digest"] == 1


def test_an_envelope_passed_on_too_often_is_refused(vm):
    sealed = envelope.seal(Passing(Stage.TO_OWNER, 99), syn(vm), key=bytes(32))
    assert take(vm, sealed, vm.sink.getsockname()) is None
    assert vm.forwarder.counts["envelope-hops"] == 1


def test_a_new_flow_goes_to_its_backup_with_its_record(vm):
    sealed = take(vm, syn(vm))
    opened = envelope.unseal(sealed, key=bytes(32)).ok
    assert opened.passing.stage == Stage.STORE
    assert opened.passing.binding is not None
    assert opened.packet == syn(vm)


def test_a_vm_that_stood_still_decides_nothing(vm):
    vm.forwarder.is_suspended = True
    assert take(vm, syn(vm)) is None
    assert vm.forwarder.counts["dropped.suspended"] == 1


def test_packets_of_an_open_flow_are_rewritten_both_ways(vm):
    vm.open_flows(1)
    caller, server = vm.caller(0), vm.server(0)
    there = packet_of(caller, SERVICE_AT, FLAG_ACK, 201, 201, b"more")
    back = packet_of(server, caller, FLAG_ACK, 201, 205, b"answer")
    assert dpkt.ip.IP(take(vm, there)).dst == server.packed[:4]
    assert dpkt.ip.IP(take(vm, back)).src == SERVICE_AT.packed[:4]
