"""What the parts of a token entry VM's core share."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from kumquatmux_core.identity import VmId
from kumquatmux_daemons.token_entry.contact import ControlContact
from kumquatmux_daemons.token_entry.formats import EntryFormat
from kumquatmux_daemons.token_entry.settings import EntrySettings
from kumquatmux_registry.follower import Follower
from kumquatmux_registry.table import ServerTable
from kumquatmux_tokens.router import TokenRouter

ASKED_PEERS = 3
"""Entry VMs asked for an unknown token, beside the control VMs, which know them all.

As many are asked for news of flows when this VM starts, or is in touch again.
"""


class CoreParts(NamedTuple):
    """What the parts of a core share.

    Attributes:
        settings: Who this VM is.
        format: How packets and documents look.
        table: Records of the servers, as control VMs tell them.
        router: Where packets go.
        follower: What control VMs tell.
        contact: What may be concluded from their silence.
        counts: Decisions by kind.
    """

    settings: EntrySettings
    format: EntryFormat
    table: ServerTable
    router: TokenRouter
    follower: Follower
    contact: ControlContact
    counts: Counter[str]

    def select_peers(self) -> set[VmId]:
        """Return some other entry VMs of the zone, drawn at random."""
        peers = [vm for vm in self.follower.peers if vm != self.settings.vm]
        return {*self.router.random.sample(peers, min(len(peers), ASKED_PEERS))}
