from __future__ import annotations

from random import Random

import pytest

from kumquatmux_tokens.packets import AskZone, Drop, PacketHeader
from kumquatmux_tokens.questions import FlowAnswer
from kumquatmux_tokens.router import TokenRouter
from kumquatmux_tokens.settings import TokenRouterSettings

ROUTE = bytes([198, 18, 0, 1, 1, 187])
PACKET = PacketHeader(bytes(6) + ROUTE, ROUTE, 7, False, False, 0, 101, 500, 9)


# Guards against the conclusion about one flow that holds for the next one on its port,
# or on against what its caller acknowledged since.
@pytest.mark.parametrize(
    "sequence, acknowledged, is_asked",
    [(101, 500, False), (110, 400, False), (101, 501, True), (9_000_000, 500, True)],
)
def test_what_the_zone_said_of_a_flow_holds_for_no_other_and_not_against_news(
    sequence, acknowledged, is_asked
):
    router = TokenRouter(TokenRouterSettings("e1", "a"), Random(1), 0.0)
    router.coordinators.set_entry_vms(("e1", "e2"))
    lost = router.lost_flows
    assert isinstance(lost.decide(PACKET, 7, "server-ended", 1.0), AskZone)
    lost.record_answer(FlowAnswer("e2", PACKET.flow_key, 8, (8,)))
    packet = PACKET._replace(sequence_number=sequence, ack_number=acknowledged)
    decision = lost.decide(packet, 7, "server-ended", 1.1)
    assert isinstance(decision, AskZone if is_asked else Drop)
