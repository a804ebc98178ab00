from __future__ import annotations

from typing import get_args

import pytest

from kumquatmux_daemons.transport.registry import all_messages
from kumquatmux_flows.messages import FlowMessage
from kumquatmux_membership.events import Message as MembershipMessage
from kumquatmux_settings.messages import Message as SettingsMessage

SENT = (
    *get_args(FlowMessage),
    *get_args(MembershipMessage),
    *get_args(SettingsMessage),
)


@pytest.mark.parametrize("kind", SENT)
def test_every_message_an_engine_sends_can_travel(kind):
    assert kind in all_messages().kinds
