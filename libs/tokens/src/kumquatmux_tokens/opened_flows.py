"""What other VMs are told of flows whose SYN may have gone to several servers.

A late answer of a server that such a flow is not open at may leave its token with the
caller, whose next packets may reach any VM of the zone.
"""

from __future__ import annotations

from kumquatmux_core.identity import VmId
from kumquatmux_tokens.load import LoadTracker
from kumquatmux_tokens.lost_flows import LostFlows
from kumquatmux_tokens.questions import FlowOpened
from kumquatmux_tokens.settings import TokenRouterSettings


class OpenedFlows:
    """Flows that this VM saw open and that the others of the zone are told of.

    Attributes:
        left: Number of flows that may be told of until the next sweep.
    """

    def __init__(
        self,
        settings: TokenRouterSettings,
        load_tracker: LoadTracker,
        lost_flows: LostFlows,
    ) -> None:
        self.settings = settings
        self.load_tracker = load_tracker
        self.lost_flows = lost_flows
        self.left = settings.flow_news_sweep_limit

    def due(self, now: float) -> list[tuple[VmId, FlowOpened]]:
        """Return what to tell other VMs, at each sweep and before this VM ends."""
        self.left = self.settings.flow_news_sweep_limit
        return self._told_of(list(self.load_tracker.contested_flows), now)

    def due_at_once(self, now: float) -> list[tuple[VmId, FlowOpened]]:
        """Return what to tell of the flows that have just opened.

        This VM may fail before the next sweep.
        """
        shown = self.load_tracker.shown_flows.copy()
        self.load_tracker.shown_flows.clear()
        return self._told_of(shown, now)

    def latest(self) -> list[FlowOpened]:
        """Return the latest news, as from this VM, for one that has heard none."""
        latest = self.lost_flows.news.latest(self.settings.flow_news_told_limit)
        return [opened._replace(sender=self.settings.vm) for opened in latest]

    def _told_of(
        self, flow_keys: list[bytes], now: float
    ) -> list[tuple[VmId, FlowOpened]]:
        """Return what to tell of those of some flows that are known to be open."""
        due: list[tuple[VmId, FlowOpened]] = []
        if not self.lost_flows.coordinators.has_other_vms:
            return due
        for flow_key in flow_keys:
            if not self.left:
                break
            opened = self._take(flow_key)
            if opened is not None:
                self.left -= 1
                self.lost_flows.news.record(opened, now)
                due += [(vm, opened) for vm in self.lost_flows.some_vms()]
        return due

    def _take(self, flow_key: bytes) -> FlowOpened | None:
        """Return the news of a flow, None if there is none, or none yet."""
        tracker = self.load_tracker
        flow = tracker.flows.get(flow_key)
        if flow is not None and not (flow.is_known or flow.own_answers):
            return None
        tracker.contested_flows.discard(flow_key)
        if flow is None:
            return None
        return FlowOpened(
            self.settings.vm, flow_key, flow.next_sequence_number, flow.token
        )
