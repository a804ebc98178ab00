from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from kumquatmux_core.identity import Endpoint, Vm, VmId, ZoneName
from kumquatmux_membership import Coordinator, LeaseSettings, MembershipSettings
from kumquatmux_membership.events import Received, Tick
from kumquatmux_membership.wire import MESSAGE_KINDS, MESSAGES

ENDPOINT = Endpoint("127.0.0.1", 1)
VMS = tuple(
    Vm(VmId(name), ZoneName("cnx-a"), ENDPOINT, ENDPOINT) for name in ("", "a", "b")
)
WIRE_INTEGERS = st.integers(-(2**63), 2**64 - 1)
st.register_type_strategy(int, st.one_of(WIRE_INTEGERS, st.integers(0, 3)))
st.register_type_strategy(str, st.text(alphabet="ab", max_size=2))
MESSAGE_STRATEGY = st.one_of([st.from_type(kind) for kind in MESSAGE_KINDS.values()])


@given(MESSAGE_STRATEGY)
def test_every_message_is_unchanged_after_encoding_and_decoding(message):
    decoded = MESSAGES.decode(MESSAGES.encode(message)).ok
    assert repr(decoded) == repr(message)


@settings(max_examples=200)
@given(st.lists(MESSAGE_STRATEGY, max_size=8))
def test_no_message_of_a_peer_crashes_the_coordinator(messages):
    coordinator = Coordinator(
        VMS[0], VMS, MembershipSettings(), LeaseSettings(), Random(1)
    )
    for second, message in enumerate(messages):
        coordinator.handle(Received(message), float(second) / 2)
        coordinator.handle(Tick(), float(second) / 2)


@given(st.binary(max_size=64))
def test_the_decoder_returns_a_result_for_any_bytes(data):
    assert MESSAGES.decode(b"\x01\x02" + data) is not None
